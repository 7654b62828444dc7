"""Native dialect: OpenAI-compatible API for callers, JSON engine protocol."""

import dataclasses
from typing import Any

from tornado import web

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import engine_silence
from cowsliprill.decisions import identity
from cowsliprill.decisions import model
from cowsliprill.engines import engine_client
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import model as engine_model
from cowsliprill.engines import prompt_blocks
from cowsliprill.engines import service_client
from cowsliprill.engines import token_stream
from cowsliprill.entry import context
from cowsliprill.entry import dialect
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import routes
from cowsliprill.entry import sinks
from cowsliprill.entry import stream_resume


@dataclasses.dataclass(frozen=True, slots=True)
class NativeEngineCalls:
    """Implements `calls.EngineCalls` with the native engine protocol.

    Attributes:
      incarnation: Incarnation of this process, part of each attempt ID.
      client: Engine client.
    """

    incarnation: identity.Incarnation
    client: engine_client.EngineClient
    prefill_counts_as_execution: bool = True
    disconnect_cancels: bool = False
    can_resume_elsewhere: bool = False

    def attempt_id(self, ctx: context.Context) -> str:
        """Returns the ID that identifies the current attempt to engines."""
        number, attempt = ctx.start.request_id, ctx.start.attempt
        return str(identity.AttemptId(self.incarnation, number, attempt))

    async def prepare(
        self, ctx: context.Context, endpoint: model.Endpoint
    ) -> None:
        """Does nothing.

        Engines of this protocol are cancelled by a request, not by closing a
        connection, so no connection is opened in advance.
        """

    async def prefill(
        self, ctx: context.Context, endpoint: model.Endpoint, timeout_s: float
    ) -> engine_model.PrefillResult:
        """Runs the prefill of the prompt."""
        return await self.client.prefill(
            endpoint,
            self.attempt_id(ctx),
            _engine_body(ctx),
            path=ctx.generation.path,
            timeout_s=timeout_s,
        )

    async def decode(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        prefilled: engine_model.PrefillResult,
        timeout_s: float,
    ) -> token_stream.TokenStream:
        """Starts decoding and opens the token stream."""
        return await self.client.decode(
            endpoint,
            self.attempt_id(ctx),
            _engine_body(ctx),
            prefilled,
            path=ctx.generation.path,
            timeout_s=timeout_s,
        )

    async def probe(self, endpoint: model.Endpoint) -> engine_silence.Liveness:
        """Asks an engine for its load."""
        try:
            await self.client.load(endpoint)
        except engine_errors.CallError as error:
            return error.liveness
        return engine_silence.Liveness.ANSWERS

    def discard(self, prefilled: engine_model.PrefillResult) -> None:
        """Does nothing: cancelling the attempt frees the exported KV cache."""

    def sink(
        self, ctx: context.Context, stream: token_stream.TokenStream
    ) -> sinks.Sink:
        """Returns a streaming sink, or a buffering sink without streaming."""
        del stream
        return sinks.sink_for(ctx)


@dataclasses.dataclass(frozen=True, slots=True)
class NativePlainCalls:
    """Implements `calls.PlainCalls` with the native request headers.

    Attributes:
      incarnation: Incarnation of this process, part of each attempt ID.
      client: Plain service client.
    """

    incarnation: identity.Incarnation
    client: service_client.ServiceClient

    async def call(
        self, ctx: context.Context, progress: call_lib.CallProgress
    ) -> service_client.ServiceResponse:
        """Calls `ctx.endpoint` once."""
        # Attempt numbers start at 0.
        attempt = ctx.progress.attempts - 1
        request = service_client.ServiceRequest(
            request_id=str(
                identity.AttemptId(self.incarnation, ctx.number, attempt)
            ),
            method=ctx.call.method,
            path=ctx.service_path,
            headers=ctx.call.headers,
            body=ctx.call.body,
            idempotency_key=_customer_scoped_key(ctx),
        )
        return await self.client.call(
            ctx.endpoint, ctx.service, request, progress
        )


def make(dependencies: dialect.Dependencies) -> "NativeDialect":
    """Creates the native dialect for a process.

    Args:
      dependencies: Shared resources of the process, such as its HTTP client.

    Returns:
      The dialect.
    """
    client = engine_client.EngineClient(
        dependencies.http, feedback=dependencies.feedback
    )
    return NativeDialect(
        NativeEngineCalls(dependencies.incarnation, client),
        NativePlainCalls(
            dependencies.incarnation,
            service_client.ServiceClient(
                dependencies.http, dependencies.feedback
            ),
        ),
        stream_resume.StreamResumer(
            client, dependencies.budgets, dependencies.metrics, dependencies.log
        ),
    )


class NativeDialect(errors.JsonErrorFormatter):
    """Implements `dialect.Dialect` with the native protocols.

    Args:
      engines: Calls to engines.
      services: Calls to plain services.
      resumer: Resumes broken token streams.

    Attributes:
      engines: Calls to engines.
      services: Calls to plain services.
      resumer: Resumes broken token streams.
    """

    def __init__(
        self,
        engines: NativeEngineCalls,
        services: NativePlainCalls,
        resumer: stream_resume.StreamResumer,
    ) -> None:
        self.engines = engines
        self.services = services
        self.resumer = resumer

    def application(
        self, gate: gate_lib.Gate, components: routes.Components
    ) -> web.Application:
        """Returns the web application of the public API."""
        return routes.public_application(gate, components)

    def relayed_chain(self, components: routes.Components) -> context.Handler:
        """Returns the filter chain for requests that peers relay."""
        return routes.relayed_public_chain(components)


def _engine_body(ctx: context.Context) -> dict[str, Any]:
    generation = ctx.generation
    fields = dict(generation.fields)
    fields.pop("max_completion_tokens", None)
    fields["model"] = ctx.service.model or ctx.service.name
    fields["priority"] = ctx.priority
    fields["max_tokens"] = generation.output_tokens
    # Engines include the salt in their prefix cache keys, so that customers who
    # send the same prompt don't share blocks. A salt set by the caller is
    # overridden.
    fields[prompt_blocks.SALT_FIELD] = ctx.customer.id
    return fields


def _customer_scoped_key(ctx: context.Context) -> str:
    # Two customers may choose the same idempotency key. Without the customer
    # ID, a service that deduplicates by key would return the first customer's
    # response to the second one.
    if not ctx.idempotency_key:
        return ""
    return f"{ctx.customer.id}:{ctx.idempotency_key}"
