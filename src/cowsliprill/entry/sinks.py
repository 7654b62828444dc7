"""How tokens reach the caller: as they come, or all at once."""

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
    """Takes the checked events of one whole answer."""

    async def take(self, events: bytes) -> None:
        """Takes events, in order."""

    async def end(self) -> None:
        """Takes the end; the answer is whole."""


class _StreamSink:
    def __init__(
        self, response_writer: response_writer_lib.ResponseWriter
    ) -> None:
        self._response_writer = response_writer

    async def take(self, events: bytes) -> None:
        if not self._response_writer.started:
            await self._response_writer.start(_OK, _STREAM_HEADERS)
        await self._response_writer.write(events)

    async def end(self) -> None:
        await self._response_writer.end()


class _WholeSink:
    def __init__(
        self, response_writer: response_writer_lib.ResponseWriter
    ) -> None:
        self._response_writer = response_writer
        self._response_builder = stream_lib.ResponseBuilder()

    async def take(self, events: bytes) -> None:
        self._response_builder.add(events)

    async def end(self) -> None:
        body = json.dumps(self._response_builder.answer()).encode()
        await response_writer_lib.send(
            self._response_writer, _OK, _JSON_HEADERS, body
        )


def sink_for(ctx: context.Context) -> Sink:
    """Returns where the tokens of a request go."""
    if ctx.generation.request.stream:
        return _StreamSink(ctx.response_writer)
    return _WholeSink(ctx.response_writer)


class EventSink:
    """Passes an engine's events on unchanged, under its own headers.

    A stream that went on at another engine keeps the headers of the first.

    Args:
      ctx: The request.
      stream: The engine's stream.
    """

    def __init__(
        self, ctx: context.Context, stream: event_stream.EventStream
    ) -> None:
        self._ctx = ctx
        self._stream = stream

    async def take(self, events: bytes) -> None:
        """Passes events on."""
        response_writer = self._ctx.response_writer
        if not response_writer.started:
            headers = hop_headers.end_to_end(self._stream.headers)
            await response_writer.start(self._stream.status, headers.get_all())
        await response_writer.write(events)
        # Noted once the caller's socket has them: a stream that goes on
        # elsewhere must begin after what was really passed on.
        self._ctx.progress.last_event_id = self._stream.last_id

    async def end(self) -> None:
        """Ends the answer, which is whole."""
        await self._ctx.response_writer.end()
