"""One HTTP request and its response on one connection."""

import asyncio
import collections
from collections.abc import AsyncIterator

from tornado import httputil
from tornado import iostream

from cowsliprill.engines import errors

# Beyond this much unread data a response is no longer read from the socket,
# so that TCP slows the sender down to the pace of a slow reader.
_BUFFER_BYTES = 65_536
# How long a released answer may take to end.
_RELEASE_S = 1.0
_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Response:
    """An answer whose body is still coming in.

    Attributes:
      status: HTTP status.
      headers: HTTP headers.
    """

    def __init__(self, exchange: "Exchange") -> None:
        self._exchange = exchange
        self.status = exchange.status
        self.headers = exchange.headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes in.

        The end of the iteration means that the body is whole by its own
        framing; an answer without length or chunked coding ends with an error,
        since its end can't be told from a cut.

        Yields:
          Parts of the body, never empty.

        Raises:
          errors.CallError: The connection was lost, the time was up, or
            `close` was called, before the body was whole.
        """
        while True:
            chunk = await self._exchange.next_chunk()
            if chunk is None:
                return
            yield chunk

    async def read(self, limit: int) -> bytes:
        """Reads the whole body.

        Args:
          limit: Bytes at most.

        Returns:
          The body.

        Raises:
          errors.AnswerTooLarge: The body is larger.
          errors.CallError: As for `chunks`.
        """
        parts = []
        size = 0
        try:
            async for chunk in self.chunks():
                size += len(chunk)
                if size > limit:
                    raise errors.AnswerTooLarge(f"over {limit} bytes came")
                parts.append(chunk)
        finally:
            # A reader that is cancelled leaves nobody to read the rest; the
            # connection would stay open until the whole call's time is up.
            self.close()
        return b"".join(parts)

    def buffered(self) -> int:
        """Counts the bytes that came in and weren't taken yet."""
        return self._exchange.buffered

    def release(self) -> None:
        """Keeps the connection for another call if the body ends soon.

        For a reader that knows by the content that nothing more is to come,
        while the framing's end is still on its way. Otherwise the connection
        is dropped.
        """
        self._exchange.release()

    def close(self) -> None:
        """Drops the connection at once, unless the body is already whole."""
        self._exchange.fail(errors.CallError("closed by this side"))


class Exchange(httputil.HTTPMessageDelegate):
    """One request and its response on one connection.

    A task reads the connection and hands over through `_chunks`; the consumer
    waits on `_arrival`, the reading task on `_room`.

    Attributes:
      status: HTTP status, 0 before it has come.
      headers: HTTP headers.
      whole: Whether the answer's body has come to its end.
      buffered: Bytes that came in and weren't taken yet.
      allow_unframed: Whether the orderly end of the connection may end the
        body.
    """

    def __init__(self, stream: iostream.IOStream, method: str) -> None:
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.whole = False
        self.allow_unframed = False
        self._has_body = method != "HEAD"
        self._loop = asyncio.get_running_loop()
        self._stream = stream
        self._chunks: collections.deque[bytes] = collections.deque()
        self.buffered = 0
        self._arrival: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None
        self._head: asyncio.Future[None] = self._loop.create_future()
        self._error: errors.CallError | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self._stall_check: asyncio.TimerHandle | None = None
        self._activity = 0.0

    # Called by tornado's connection.

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Takes the status and headers; interim answers are passed over."""
        if start_line.code < _FIRST_FINAL_STATUS or self._head.done():
            return
        self.status = start_line.code
        self.headers = headers
        self._head.set_result(None)

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Takes a part of the body; returns what to wait for, if full."""
        if self._error is not None:
            return None
        self._chunks.append(chunk)
        self.buffered += len(chunk)
        self._activity = self._loop.time()
        if self._arrival is not None:
            _wake(self._arrival)
            self._arrival = None
        if self.buffered < _BUFFER_BYTES:
            return None
        self._room = self._loop.create_future()
        return self._room

    def finish(self) -> None:
        """Takes the end of the body, which is whole by its framing."""
        if not self._is_framed() and not self._ended_well():
            self.fail(errors.CallError("answer has no framing"))
            return
        self.whole = True
        if self._stream.writing():
            # An endpoint may refuse before it has read the whole request.
            # tornado would wait for the rest to be written, which may be never.
            self._stream.close()
        self._end()

    def on_connection_close(self) -> None:
        """Takes the loss of the connection amid the answer."""
        self.fail(errors.CallError("connection lost amid the answer"))

    # Called by the client.

    async def wait_for_head(self) -> None:
        """Waits for status and headers."""
        await self._head

    async def next_chunk(self) -> bytes | None:
        """Returns the next part of the body, None at its end."""
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self.whole:
                return None
            self._arrival = self._loop.create_future()
            await self._arrival
        chunk = self._chunks.popleft()
        self.buffered -= len(chunk)
        if self._room is not None and self.buffered < _BUFFER_BYTES:
            _wake(self._room)
            self._room = None
        return chunk

    def fail(self, error: errors.CallError) -> None:
        """Ends the exchange and closes its connection, unless it is whole."""
        if self.whole or self._error is not None:
            return
        self._error = error
        self._stream.close()
        if not self._head.done():
            self._head.set_exception(error)
            # The waiter may be gone already; without this the loop would log
            # an exception that nobody was there to see.
            self._head.exception()
        self._end()

    def release(self) -> None:
        """Lets the answer end unread, within a short time."""
        if not self.whole and self._error is None:
            self.start_timers(_RELEASE_S, None)

    def start_timers(self, timeout_s: float, stall_s: float | None) -> None:
        """Bounds the whole exchange, and each wait for more of it.

        Args:
          timeout_s: Time for the whole exchange.
          stall_s: Time without a byte after which it fails, None for any.
        """
        self._cancel_timers()
        self._activity = self._loop.time()
        self._deadline = self._loop.call_later(
            timeout_s, self.fail, errors.CallTimeout("time is up")
        )
        if stall_s is not None:
            self._watch(stall_s)

    def _watch(self, stall_s: float) -> None:
        # One timer for a whole stream, looking at the time of the last byte:
        # a timer for each chunk would cost more than relaying it.
        idle_s = self._loop.time() - self._activity
        reading = self._room is None
        if reading and idle_s >= stall_s:
            self.fail(errors.CallTimeout(f"nothing came for {stall_s} s"))
            return
        if self.whole or self._error is not None:
            return
        wait_s = stall_s - idle_s if reading else stall_s
        self._stall_check = self._loop.call_later(wait_s, self._watch, stall_s)

    def _is_framed(self) -> bool:
        return (
            not self._has_body
            or "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
            or self.status in _STATUSES_WITHOUT_BODY
        )

    def _ended_well(self) -> bool:
        """Returns whether an answer without framing may count as whole.

        Its end is the end of the connection. Only an orderly end tells it from
        a cut, and only where the far end is known to mean that.
        """
        return self.allow_unframed and self._stream.error is None

    def _end(self) -> None:
        self._cancel_timers()
        for future in (self._arrival, self._room):
            if future is not None:
                _wake(future)

    def _cancel_timers(self) -> None:
        for timer in (self._deadline, self._stall_check):
            if timer is not None:
                timer.cancel()


def _wake(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
