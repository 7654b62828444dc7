"""Interfaces of the calls to endpoints, one implementation per API dialect."""

from typing import Protocol

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import engine_silence
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import service_client
from cowsliprill.entry import context
from cowsliprill.entry import output_stream
from cowsliprill.entry import sinks


class FinishedPrefill(Protocol):
    """A finished prefill with an exported KV cache for a decode engine."""


class EngineCalls(Protocol):
    """Engine calls of one attempt at a model request.

    Attributes:
      prefill_counts_as_execution: Whether a prefill counts as executing the
        request.
      disconnect_cancels: Whether an engine aborts a request when its
        connection is closed. Otherwise explicit cancellations are sent.
      can_resume_elsewhere: Whether another engine may resume a broken
        stream.
    """

    prefill_counts_as_execution: bool
    disconnect_cancels: bool
    can_resume_elsewhere: bool

    def attempt_id(self, ctx: context.Context) -> str:
        """Returns the ID of the current attempt, as sent to engines."""

    async def prepare(
        self, ctx: context.Context, endpoint: model.Endpoint
    ) -> None:
        """Checks before the prefill that the decode engine is reachable.

        Raises:
          engines.errors.ConnectFailed: No connection could be opened.
          engines.errors.EndpointUnavailable: This VM may open none now.
        """

    async def prefill(
        self, ctx: context.Context, endpoint: model.Endpoint, timeout_s: float
    ) -> FinishedPrefill:
        """Runs the prefill of the prompt.

        Raises:
          engines.errors.CallError: The call failed.
        """

    async def decode(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        prefilled: FinishedPrefill | None,
        timeout_s: float,
    ) -> output_stream.OutputStream:
        """Starts decoding and opens the output stream.

        Without `prefilled` the decode engine prefills the prompt itself.

        Raises:
          engines.errors.CallError: The call failed.
        """

    async def probe(self, endpoint: model.Endpoint) -> engine_silence.Liveness:
        """Finds out within a few tenths of a second whether an engine runs."""

    def discard(self, prefilled: FinishedPrefill) -> None:
        """Has the engine free a KV cache that no decode engine will fetch."""

    def sink(
        self, ctx: context.Context, stream: output_stream.OutputStream
    ) -> sinks.Sink:
        """Returns the sink that sends the stream's events to the caller."""


class PlainCalls(Protocol):
    """Calls to plain services."""

    async def call(
        self, ctx: context.Context, progress: call_lib.CallProgress
    ) -> service_client.ServiceResponse:
        """Calls `ctx.endpoint` once.

        Raises:
          engines.errors.CallError: The call failed.
        """


class StreamResumer(Protocol):
    """Resumes a broken stream at the engine that runs the request."""

    async def resume(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stream: output_stream.OutputStream,
        broken: engine_errors.StreamBroken,
    ) -> bool:
        """Tries to resume the stream; returns whether that succeeded."""
