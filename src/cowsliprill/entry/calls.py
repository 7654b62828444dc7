"""The calls of one attempt, as the relays make them in any dialect."""

from collections.abc import AsyncIterator
from typing import Protocol

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import service_client
from cowsliprill.entry import context
from cowsliprill.entry import sinks


class AnswerStream(Protocol):
    """The answer of a decode engine; the iteration's end means it is whole.

    Attributes:
      tokens: Tokens that were delivered so far.
    """

    tokens: int

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields whole events; raises `engines.errors.StreamBroken`."""

    def close(self) -> None:
        """Ends the reading, at any time."""


class Prefilled(Protocol):
    """A finished prefill whose KV cache waits to be fetched."""


class EngineCalls(Protocol):
    """The calls of one attempt at a model request.

    Attributes:
      prefill_counts_as_execution: Whether a prefill counts as running the
        request.
      disconnect_cancels: Whether an engine drops a request when its connection
        is closed. Otherwise cancel orders are sent.
      can_resume_elsewhere: Whether another engine may go on with a broken
        stream.
    """

    prefill_counts_as_execution: bool
    disconnect_cancels: bool
    can_resume_elsewhere: bool

    def attempt_id(self, ctx: context.Context) -> str:
        """Returns the id by which engines know the present attempt."""

    async def prepare(
        self, ctx: context.Context, endpoint: model.Endpoint
    ) -> None:
        """Makes sure that a decode engine can be reached, before the prefill.

        Raises `engines.errors.ConnectFailed`.
        """

    async def prefill(
        self, ctx: context.Context, endpoint: model.Endpoint, timeout_s: float
    ) -> Prefilled:
        """Runs the prompt; raises `engines.errors.CallError`."""

    async def decode(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        prefilled: Prefilled | None,
        timeout_s: float,
    ) -> AnswerStream:
        """Opens the answer; raises `engines.errors.CallError`.

        Without `prefilled` the engine computes the prompt itself.
        """

    def discard(self, prefilled: Prefilled) -> None:
        """Has the memory of a prefill freed that no decode will fetch."""

    def sink(self, ctx: context.Context, stream: AnswerStream) -> sinks.Sink:
        """Returns where the stream's events go."""


class PlainCalls(Protocol):
    """The calls to plain services."""

    async def call(
        self, ctx: context.Context, progress: call_lib.CallProgress
    ) -> service_client.ServiceAnswer:
        """Calls `ctx.endpoint` once; raises `engines.errors.CallError`."""


class Resumer(Protocol):
    """Goes on with a broken stream at the engine that holds it."""

    async def resume(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stream: AnswerStream,
        broken: engine_errors.StreamBroken,
    ) -> bool:
        """Tries to; returns whether the stream goes on."""
