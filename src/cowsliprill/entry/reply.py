"""Where the answer to a caller goes."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from tornado import iostream
from tornado import web

from cowsliprill.decisions import tickets
from cowsliprill.engines import protocol

Headers = Iterable[tuple[str, str]]


class CallerGone(Exception):  # noqa: N818
    """Raised when the caller's connection is lost while writing to it."""


class Reply(Protocol):
    """The answer to one request; headers first, then the body, then the end.

    Attributes:
      started: Whether status and headers have been given.
    """

    started: bool

    async def start(self, status: int, headers: Headers) -> None:
        """Gives status and headers; they may go out with the first chunk."""

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body; returns when the socket has taken it."""

    async def end(self) -> None:
        """Ends a whole answer."""

    def abort(self) -> None:
        """Ends an answer that isn't whole, so that the caller notices."""


async def send(
    reply: Reply, status: int, headers: Headers, body: bytes
) -> None:
    """Sends a whole answer at once.

    Args:
      reply: Where to.
      status: HTTP status.
      headers: Headers besides `Content-Length`.
      body: The body.
    """
    length = ("Content-Length", str(len(body)))
    await reply.start(status, [*headers, length])
    if body:
        await reply.write(body)
    await reply.end()


class HttpReply:
    """Answers through a tornado handler.

    Args:
      handler: The handler of the caller's request.

    Attributes:
      started: Whether status and headers have been given.
      request_id: Told to the caller, who can name it to an operator.
    """

    def __init__(self, handler: web.RequestHandler) -> None:
        self._handler = handler
        self.started = False
        self.request_id = ""

    async def start(self, status: int, headers: Headers) -> None:
        """Gives status and headers; they go out with the first chunk."""
        self.started = True
        self._handler.clear()
        self._handler.set_status(status)
        self._handler.clear_header("Content-Type")
        self._handler.set_header(protocol.REQUEST_ID_HEADER, self.request_id)
        for name, value in headers:
            if name.lower() != protocol.REQUEST_ID_HEADER.lower():
                self._handler.add_header(name, value)

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body.

        Waiting for the socket bounds what is buffered for a caller that reads
        slowly: without it, a fast engine would fill this process's memory.

        Args:
          chunk: The part.

        Raises:
          CallerGone: The connection is lost.
        """
        self._handler.write(chunk)
        try:
            await self._handler.flush()
        except iostream.StreamClosedError as error:
            raise CallerGone from error

    async def end(self) -> None:
        """Ends a whole answer.

        Raises:
          CallerGone: The connection is lost.
        """
        try:
            await self._handler.finish()
        except iostream.StreamClosedError as error:
            raise CallerGone from error

    def abort(self) -> None:
        """Closes the connection without the end of the body."""
        connection = self._handler.request.connection
        stream = getattr(connection, "stream", None)
        if stream is not None:
            stream.close()


@dataclasses.dataclass(slots=True)
class RecordingRoom:
    """Room for the answers that are being recorded, shared by all of them.

    Attributes:
      left: Bytes that may yet be taken.
    """

    left: int = tickets.MAX_STORED_BYTES


@dataclasses.dataclass(slots=True)
class RecordingReply:
    """Keeps a copy of an answer, so that it can be given again.

    It goes on taking the answer when the caller is gone: the caller's retry
    with the same key then gets the answer of the one run.

    Without room for all of an answer nothing of it is kept: many long streams
    with keys would else take more memory than the process has.

    Attributes:
      inner: Where the answer goes besides.
      room: Room that it shares.
      started: Whether status and headers have been given.
      whole: Whether the answer has been ended.
      caller_gone: Whether the caller's connection is lost.
    """

    inner: Reply
    room: RecordingRoom
    started: bool = False
    whole: bool = False
    caller_gone: bool = False
    _status: int = 0
    _headers: tuple[tuple[str, str], ...] = ()
    _chunks: list[bytes] = dataclasses.field(default_factory=list)
    _taken: int = 0
    _complete: bool = True

    async def start(self, status: int, headers: Headers) -> None:
        """Takes status and headers."""
        self.started = True
        self._status = status
        self._headers = tuple(headers)
        if not self.caller_gone:
            await self.inner.start(status, self._headers)

    async def write(self, chunk: bytes) -> None:
        """Takes a part of the body."""
        self._record(chunk)
        await self._pass_on(self.inner.write, chunk)

    async def end(self) -> None:
        """Takes the end of a whole answer."""
        self.whole = True
        await self._pass_on(self.inner.end)

    def abort(self) -> None:
        """Breaks the answer off."""
        self.inner.abort()

    def answer(self) -> tickets.StoredResponse | None:
        """Returns the answer, None if it isn't whole or is too large."""
        if not (self.whole and self._complete):
            return None
        body = b"".join(self._chunks)
        return tickets.StoredResponse(
            status=self._status, headers=self._headers, body=body
        )

    def forget(self) -> None:
        """Gives its room back; to be called once, at the end."""
        self._chunks.clear()
        self.room.left += self._taken
        self._taken = 0

    def _record(self, chunk: bytes) -> None:
        size = len(chunk)
        fits = self._taken + size <= tickets.MAX_RESPONSE_BYTES
        if not (self._complete and fits and size <= self.room.left):
            self._complete = False
            self.forget()
            return
        self._chunks.append(chunk)
        self._taken += size
        self.room.left -= size

    async def _pass_on(self, send, *arguments) -> None:
        if self.caller_gone:
            return
        try:
            await send(*arguments)
        except CallerGone:
            self.caller_gone = True
