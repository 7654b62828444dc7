"""Writers of engine events to the caller, streamed or as one response."""

import json
from typing import Protocol

from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import event_stream
from cowsliprill.engines import hop_headers
from cowsliprill.entry import context
from cowsliprill.entry import response_writer as response_writer_lib

_OK = 200
_STREAM_HEADERS = (
    ("Content-Type", "text/event-stream; charset=utf-8"),
    ("Cache-Control", "no-cache"),
)
_JSON_HEADERS = (("Content-Type", "application/json"),)


class Sink(Protocol):
    """Receives the validated events of one response."""

    async def write_events(self, events: bytes) -> None:
        """Writes the next events of the stream."""

    async def end(self) -> None:
        """Ends the response after the stream is complete."""


class _StreamSink:
    def __init__(
        self, response_writer: response_writer_lib.ResponseWriter
    ) -> None:
        self._response_writer = response_writer

    async def write_events(self, events: bytes) -> None:
        if not self._response_writer.started:
            await self._response_writer.start(_OK, _STREAM_HEADERS)
        await self._response_writer.write(events)

    async def end(self) -> None:
        await self._response_writer.end()


class _BufferedSink:
    def __init__(
        self, response_writer: response_writer_lib.ResponseWriter
    ) -> None:
        self._response_writer = response_writer
        self._response_builder = stream_lib.ResponseBuilder()

    async def write_events(self, events: bytes) -> None:
        self._response_builder.add(events)

    async def end(self) -> None:
        body = json.dumps(self._response_builder.answer()).encode()
        await response_writer_lib.send(
            self._response_writer, _OK, _JSON_HEADERS, body
        )


def sink_for(ctx: context.Context) -> Sink:
    """Returns the sink for the response mode that a request asks for."""
    if ctx.generation.request.stream:
        return _StreamSink(ctx.response_writer)
    return _BufferedSink(ctx.response_writer)


class PassthroughSink:
    """Passes an engine's events on unchanged, with the engine's headers.

    A stream that is resumed at another engine keeps the headers of the first.

    Args:
      ctx: The request.
      stream: Event stream of the engine.
    """

    def __init__(
        self, ctx: context.Context, stream: event_stream.EventStream
    ) -> None:
        self._ctx = ctx
        self._stream = stream

    async def write_events(self, events: bytes) -> None:
        """Writes events to the caller."""
        await self._start()
        await self._ctx.response_writer.write(events)
        # Set only after the socket has accepted the events: a resumed stream
        # must continue after the last event that was really sent.
        self._ctx.progress.last_event_id = self._stream.last_id

    async def end(self) -> None:
        """Ends the response after the stream is complete."""
        # A stream may have no events, as one that is resumed after its last.
        await self._start()
        await self._ctx.response_writer.end()

    async def _start(self) -> None:
        response_writer = self._ctx.response_writer
        if not response_writer.started:
            headers = hop_headers.end_to_end(self._stream.headers)
            await response_writer.start(self._stream.status, headers.get_all())
