"""The product's own dialect: OpenAI-style callers, JSON engine protocol."""

import dataclasses
from typing import Any

from tornado import web

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import identity
from cowsliprill.decisions import model
from cowsliprill.engines import engine_client
from cowsliprill.engines import model as engine_model
from cowsliprill.engines import prefix
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
class NativeEngines:
    """`calls.EngineCalls` in the product's engine protocol.

    Attributes:
      incarnation: This process, named in attempt ids.
      client: Client of engines.
    """

    incarnation: identity.Incarnation
    client: engine_client.EngineClient
    prefill_runs: bool = True
    closing_ends_work: bool = False
    resumes_elsewhere: bool = False

    def attempt_id(self, ctx: context.Context) -> str:
        """Returns the id by which engines know the present attempt."""
        number, attempt = ctx.start.request_id, ctx.start.attempt
        return str(identity.AttemptId(self.incarnation, number, attempt))

    async def prepare(
        self, ctx: context.Context, endpoint: model.Endpoint
    ) -> None:
        """Does nothing: engines of this protocol cancel by an order."""

    async def prefill(
        self, ctx: context.Context, endpoint: model.Endpoint, timeout_s: float
    ) -> engine_model.PrefillResult:
        """Runs the prompt."""
        return await self.client.prefill(
            endpoint,
            self.attempt_id(ctx),
            _body(ctx),
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
        """Opens the answer."""
        return await self.client.decode(
            endpoint,
            self.attempt_id(ctx),
            _body(ctx),
            prefilled,
            path=ctx.generation.path,
            timeout_s=timeout_s,
        )

    def discard(self, prefilled: engine_model.PrefillResult) -> None:
        """Does nothing: the cancel order of the attempt frees it."""

    def sink(
        self, ctx: context.Context, stream: token_stream.TokenStream
    ) -> sinks.Sink:
        """Returns where the tokens go: as they come, or all at once."""
        del stream
        return sinks.sink_for(ctx)


@dataclasses.dataclass(frozen=True, slots=True)
class NativeServices:
    """`calls.PlainCalls` with the product's own headers.

    Attributes:
      incarnation: This process, named in attempt ids.
      client: Client of plain services.
    """

    incarnation: identity.Incarnation
    client: service_client.ServiceClient

    async def call(
        self, ctx: context.Context, progress: call_lib.CallProgress
    ) -> service_client.ServiceAnswer:
        """Calls `ctx.endpoint` once."""
        # An attempt's number counts from 0.
        attempt = ctx.progress.attempts - 1
        request = service_client.ServiceRequest(
            request_id=str(
                identity.AttemptId(self.incarnation, ctx.number, attempt)
            ),
            method=ctx.call.method,
            path=ctx.service_path,
            headers=ctx.call.headers,
            body=ctx.call.body,
            idempotency_key=_scoped_key(ctx),
        )
        return await self.client.call(
            ctx.endpoint, ctx.service, request, progress
        )


def make(tools: dialect.Tools) -> "Native":
    """Makes the dialect of a process.

    Args:
      tools: What the process has.

    Returns:
      The dialect.
    """
    client = engine_client.EngineClient(tools.http)
    return Native(
        NativeEngines(tools.incarnation, client),
        NativeServices(
            tools.incarnation, service_client.ServiceClient(tools.http)
        ),
        stream_resume.Resumer(client, tools.budgets, tools.metrics, tools.log),
    )


class Native(errors.JsonAnswers):
    """`dialect.Dialect` of the product itself.

    Args:
      engines: Calls to engines.
      services: Calls to plain services.
      resumer: Goes on with broken streams.

    Attributes:
      engines: Calls to engines.
      services: Calls to plain services.
      resumer: Goes on with broken streams.
    """

    def __init__(
        self,
        engines: NativeEngines,
        services: NativeServices,
        resumer: stream_resume.Resumer,
    ) -> None:
        self.engines = engines
        self.services = services
        self.resumer = resumer

    def application(
        self, gate: gate_lib.Gate, parts: routes.Parts
    ) -> web.Application:
        """Returns what callers reach."""
        return routes.public_application(gate, parts)


def _body(ctx: context.Context) -> dict[str, Any]:
    generation = ctx.generation
    fields = dict(generation.fields)
    fields.pop("max_completion_tokens", None)
    fields["model"] = ctx.service.model or ctx.service.name
    fields["priority"] = ctx.priority
    fields["max_tokens"] = generation.output_tokens
    # Engines key their prefix caches by this as well, so that rivals who send
    # the same prompt don't share blocks. A caller's own salt is overridden.
    fields[prefix.SALT_FIELD] = ctx.customer.id
    return fields


def _scoped_key(ctx: context.Context) -> str:
    # Two firms may choose the same key. Were it passed on as it is, a service
    # that checks keys would give the second firm the answer of the first.
    if not ctx.idempotency_key:
        return ""
    return f"{ctx.customer.id}:{ctx.idempotency_key}"
