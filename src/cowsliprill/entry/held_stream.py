"""A stream whose engine is silent, kept open while another may take over."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.entry import attempts
from cowsliprill.entry import output_stream

_MAX_HELD_BYTES = 1_048_576

_Result = TypeVar("_Result")


class HeldStream:
    """Waits for the next events of a silent stream.

    Args:
      endpoint: The engine.
      stream: The stream; `engine_errors.EngineSilent` was raised for it.
      start: Placement of the attempt that the stream belongs to.

    Attributes:
      endpoint: The engine.
      stream: The stream.
      start: Placement of the attempt that the stream belongs to.
      events: The events received while it was held.
      is_going_on: Whether the engine has gone on with the stream.
    """

    def __init__(
        self,
        endpoint: model.Endpoint,
        stream: output_stream.OutputStream,
        start: messages.Start,
    ) -> None:
        self.endpoint = endpoint
        self.stream = stream
        self.start = start
        self.events = b""
        self.is_going_on = False
        self._broken: engine_errors.CallError | None = None
        self._task = asyncio.create_task(self._receive())

    async def wait(self) -> bool:
        """Waits for the end of the silence.

        Returns:
          Whether the engine goes on, else the stream is broken or closed.
        """
        await asyncio.wait([self._task])
        return self.is_going_on

    def lost(self) -> attempts.AttemptError:
        """Returns the error for a stream that won't go on."""
        broken = self._broken
        return attempts.AttemptError(
            self.endpoint.id,
            messages.Stage.DECODE,
            str(broken or "too much data without output"),
            resumable=True,
            sent=True,
            connection_lost=isinstance(broken, engine_errors.StreamBroken)
            and broken.connection_lost,
            had_output=True,
        )

    def close(self) -> None:
        """Closes the stream, which another engine goes on with."""
        self.is_going_on = False
        self._task.cancel()
        self.stream.close()

    async def _receive(self) -> None:
        tokens = self.stream.tokens
        try:
            # Comments and the like don't show that the output goes on.
            while self.stream.tokens == tokens:
                self.events += await anext(self.stream)
                if len(self.events) > _MAX_HELD_BYTES:
                    return
        except StopAsyncIteration:
            # The stream is complete.
            pass
        except engine_errors.CallError as broken:
            self._broken = broken
            return
        self.is_going_on = True


async def run_unless_going_on(
    held: HeldStream | None, work: Coroutine[Any, Any, _Result]
) -> _Result | None:
    """Does some work until a held stream goes on.

    Args:
      held: The held stream, if any.
      work: The work; cancelled if the stream goes on first.

    Returns:
      The result of the work, None if the stream goes on.
    """
    if held is None:
        return await work
    working = asyncio.create_task(work)
    waiting = asyncio.create_task(held.wait())
    try:
        await asyncio.wait(
            {working, waiting}, return_when=asyncio.FIRST_COMPLETED
        )
        return None if held.is_going_on else await working
    finally:
        waiting.cancel()
        working.cancel()
        await asyncio.gather(working, return_exceptions=True)
