"""A stream whose engine is silent, kept open while another may take over."""

import asyncio
import enum

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.entry import output_stream

_MAX_HELD_BYTES = 1_048_576


class State(enum.Enum):
    """What became of a held stream."""

    SILENT = enum.auto()
    GOES_ON = enum.auto()
    BROKEN = enum.auto()


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
      ended: Whether the stream is complete.
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
        self.ended = False
        self._state = State.SILENT
        self._task = asyncio.create_task(self._receive())

    @property
    def state(self) -> State:
        """What became of the stream so far."""
        return self._state

    async def wait(self) -> State:
        """Waits until the stream goes on, breaks or is closed."""
        await asyncio.wait([self._task])
        return self._state

    def close(self) -> None:
        """Closes the stream, which another engine goes on with."""
        self._state = State.BROKEN
        self._task.cancel()
        self.stream.close()

    async def _receive(self) -> None:
        tokens = self.stream.tokens
        try:
            # Comments and the like don't show that the output goes on.
            while self.stream.tokens == tokens:
                self.events += await anext(self.stream)
                if len(self.events) > _MAX_HELD_BYTES:
                    self._state = State.BROKEN
                    return
        except StopAsyncIteration:
            self.ended = True
        except engine_errors.CallError:
            self._state = State.BROKEN
            return
        self._state = State.GOES_ON
