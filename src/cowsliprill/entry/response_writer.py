"""Writers for HTTP responses to callers, directly or with a recorded copy."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from tornado import iostream
from tornado import web

from cowsliprill.decisions import tickets
from cowsliprill.engines import protocol
from cowsliprill.entry import caller_stream

# tornado copies what it writes. A large body is written in pieces of this size.
_PIECE_BYTES = 262_144

Headers = Iterable[tuple[str, str]]


class CallerDisconnected(Exception):  # noqa: N818
    """Raised when writing to a caller whose connection is closed."""


class ResponseWriter(Protocol):
    """Writer of one HTTP response: `start`, then `write`, then `end`.

    Attributes:
      started: Whether status and headers have been set.
    """

    started: bool

    @property
    def complete(self) -> bool:
        """Whether the caller was sent the complete response."""

    @property
    def closed_by_caller(self) -> bool:
        """Whether the caller closed the connection."""

    @property
    def request_read(self) -> bool:
        """Whether the request was received to its end."""

    @property
    def unread_end(self) -> str:
        """Why the response was cut as its caller didn't read it, or ""."""

    async def start(self, status: int, headers: Headers) -> None:
        """Sets status and headers, which may be sent with the first chunk."""

    async def write(self, chunk: bytes) -> None:
        """Writes a chunk of the body and waits until the socket accepts it."""

    async def end(self) -> None:
        """Finishes a complete response."""

    def abort(self) -> None:
        """Aborts an incomplete response so that the caller can detect it."""


async def send(
    response_writer: ResponseWriter, status: int, headers: Headers, body: bytes
) -> None:
    """Sends a complete response with a `Content-Length`.

    Args:
      response_writer: Response writer.
      status: HTTP status.
      headers: Headers other than `Content-Length`.
      body: Response body.
    """
    length = ("Content-Length", str(len(body)))
    await response_writer.start(status, [*headers, length])
    if body:
        await response_writer.write(body)
    await response_writer.end()


class HttpResponseWriter:
    """Writes a response through a Tornado request handler.

    Args:
      handler: Handler of the caller's request.

    Attributes:
      started: Whether status and headers have been set.
      request_id: Request ID, sent in a header so that the caller can quote it
        to an operator.
    """

    def __init__(self, handler: web.RequestHandler) -> None:
        self._handler = handler
        self._ended = False
        self._ends_with_connection = False
        self._stream = getattr(handler.request.connection, "stream", None)
        self.started = False
        self.request_id = ""

    @property
    def complete(self) -> bool:
        """Whether the caller was sent the complete response."""
        return self._ended and not caller_stream.is_cut(self._stream)

    @property
    def closed_by_caller(self) -> bool:
        """Whether the caller closed the connection."""
        return caller_stream.closed_by_caller(self._stream)

    @property
    def request_read(self) -> bool:
        """Whether the request was received to its end."""
        return caller_stream.request_read(self._stream)

    @property
    def unread_end(self) -> str:
        """Why the response was cut as its caller didn't read it, or ""."""
        return caller_stream.unread_end(self._stream)

    async def start(self, status: int, headers: Headers) -> None:
        """Sets status and headers, which are sent with the first chunk."""
        self.started = True
        headers = tuple(headers)
        self._handler.clear()
        self._handler.set_status(status)
        self._handler.clear_header("Content-Type")
        self._handler.set_header(protocol.REQUEST_ID_HEADER, self.request_id)
        for name, value in headers:
            if name.lower() != protocol.REQUEST_ID_HEADER.lower():
                self._handler.add_header(name, value)
        # Callers of HTTP/1.0 know no chunks: a body without a length ends with
        # the connection, which tornado keeps if they ask for that.
        self._ends_with_connection = (
            self._handler.request.version == "HTTP/1.0"
            and not any(name.lower() == "content-length" for name, _ in headers)
        )
        if self._ends_with_connection:
            caller_stream.set_reset_at_close(self._stream, enabled=True)

    async def write(self, chunk: bytes) -> None:
        """Writes a chunk of the body and waits until the socket accepts it.

        The wait applies backpressure when the caller reads slowly. Without it,
        the output of a fast engine would fill this process's memory.

        Args:
          chunk: Chunk of the body.

        Raises:
          CallerDisconnected: The connection is closed.
        """
        for begin in range(0, len(chunk), _PIECE_BYTES):
            piece = chunk[begin : begin + _PIECE_BYTES]
            caller_stream.set_pending(
                self._stream, len(chunk) - begin - len(piece)
            )
            self._handler.write(piece)
            try:
                await self._handler.flush()
            except iostream.StreamClosedError as error:
                raise CallerDisconnected from error

    async def end(self) -> None:
        """Finishes a complete response.

        Raises:
          CallerDisconnected: The connection is closed.
        """
        try:
            if self._ends_with_connection:
                caller_stream.set_reset_at_close(self._stream, enabled=False)
            await self._handler.finish()
            self._ended = True
            if self._ends_with_connection:
                self.abort()
        except iostream.StreamClosedError as error:
            raise CallerDisconnected from error

    def abort(self) -> None:
        """Closes the connection without terminating the body."""
        if self._stream is not None:
            self._stream.close()


@dataclasses.dataclass(slots=True)
class RecordingBudget:
    """Memory budget shared by all responses that are being recorded.

    Attributes:
      remaining_bytes: Remaining budget in bytes.
    """

    remaining_bytes: int = tickets.MAX_STORED_BYTES


@dataclasses.dataclass(slots=True)
class RecordingResponseWriter:
    """Forwards a response to another writer and records a copy for replay.

    Recording continues after the caller has disconnected, so that a retry with
    the same idempotency key gets the response of the single execution.

    A response that exceeds the size limit or the shared budget is not recorded
    at all. Otherwise many long streams with idempotency keys could exhaust the
    memory of the process.

    Attributes:
      inner: Writer that the response is forwarded to.
      budget: Shared memory budget.
      started: Whether status and headers have been set.
      finished: Whether the response is finished.
      caller_disconnected: Whether the caller's connection is closed.
    """

    inner: ResponseWriter
    budget: RecordingBudget
    started: bool = False
    finished: bool = False
    caller_disconnected: bool = False
    _status: int = 0
    _headers: tuple[tuple[str, str], ...] = ()
    _chunks: list[bytes] = dataclasses.field(default_factory=list)
    _recorded_bytes: int = 0
    _within_limits: bool = True

    @property
    def complete(self) -> bool:
        """Whether the caller was sent the complete response."""
        return self.inner.complete

    @property
    def closed_by_caller(self) -> bool:
        """Whether the caller closed the connection."""
        return self.inner.closed_by_caller

    @property
    def request_read(self) -> bool:
        """Whether the request was received to its end."""
        return self.inner.request_read

    @property
    def unread_end(self) -> str:
        """Why the response was cut as its caller didn't read it, or ""."""
        return self.inner.unread_end

    async def start(self, status: int, headers: Headers) -> None:
        """Records and forwards status and headers."""
        self.started = True
        self._status = status
        self._headers = tuple(headers)
        if not self.caller_disconnected:
            await self.inner.start(status, self._headers)

    async def write(self, chunk: bytes) -> None:
        """Records and forwards a chunk of the body."""
        self._record(chunk)
        await self._write_through(self.inner.write, chunk)

    async def end(self) -> None:
        """Marks the response as finished and forwards the end."""
        self.finished = True
        await self._write_through(self.inner.end)

    def abort(self) -> None:
        """Aborts the response of the inner writer."""
        self.inner.abort()

    def answer(self) -> tickets.StoredResponse | None:
        """Returns the recorded response, None if incomplete or too large."""
        if not (self.finished and self._within_limits):
            return None
        body = b"".join(self._chunks)
        return tickets.StoredResponse(
            status=self._status, headers=self._headers, body=body
        )

    def release(self) -> None:
        """Drops the recording and returns its bytes to the shared budget.

        What is written later isn't recorded.
        """
        self._within_limits = False
        self._chunks.clear()
        self.budget.remaining_bytes += self._recorded_bytes
        self._recorded_bytes = 0

    def _record(self, chunk: bytes) -> None:
        size = len(chunk)
        fits = self._recorded_bytes + size <= tickets.MAX_RESPONSE_BYTES
        if not (
            self._within_limits and fits and size <= self.budget.remaining_bytes
        ):
            self.release()
            return
        self._chunks.append(chunk)
        self._recorded_bytes += size
        self.budget.remaining_bytes -= size

    async def _write_through(self, operation, *arguments) -> None:
        if self.caller_disconnected:
            return
        try:
            await operation(*arguments)
        except CallerDisconnected:
            self.caller_disconnected = True
