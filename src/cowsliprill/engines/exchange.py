"""A single HTTP request and response on one connection, with timeouts."""

import asyncio
import collections
import math
from collections.abc import AsyncIterator

from tornado import httputil
from tornado import iostream

from cowsliprill import buffer_budget
from cowsliprill.decisions import engine_silence
from cowsliprill.engines import errors
from cowsliprill.engines import silence as silence_lib

# Reading from the socket pauses while this much data is unread, so that TCP
# flow control slows the sender down to the pace of the reader.
_MAX_BUFFERED_BYTES = 65_536
# Part of a body that shows that its sender makes progress.
_PROGRESS_MIN_BYTES = 1_024
# Endpoints cut responses that stay unread for some seconds. If a response ends
# early after reading was paused for this long, its endpoint isn't to blame.
_UNREAD_MIN_S = 2.0
# Time for the body to end after `release`.
_RELEASE_TIMEOUT_S = 1.0
# A timer that fires later than this shows that this process stood still.
_STANDSTILL_MIN_S = 0.25
_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = frozenset({204, 304})

_PATIENT = silence_lib.FixedTimeout(math.inf)


class Response:
    """A response whose body is still being received.

    Attributes:
      status: HTTP status.
      headers: HTTP headers.
    """

    def __init__(self, exchange: "Exchange") -> None:
        self._exchange = exchange
        self.status = exchange.status
        self.headers = exchange.headers

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return not self._exchange.is_framed()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it is received.

        The iteration ends normally only if the body is complete according to
        its framing. Unless close-delimited bodies are allowed, a response
        with neither `Content-Length` nor chunked encoding ends with an error,
        because its end looks the same as a lost connection.

        Yields:
          Non-empty chunks of the body.

        Raises:
          errors.CallError: The connection was lost, a timeout expired, or
            `close` was called before the body was complete.
        """
        while True:
            chunk = await self.next_chunk()
            if chunk is None:
                return
            yield chunk

    async def next_chunk(self) -> bytes | None:
        """Returns the next chunk of the body, None at its end.

        Raises:
          errors.EngineSilent: No data has been received for a while. The next
            call waits for it.
          errors.CallError: As for `chunks`.
        """
        return await self._exchange.next_chunk()

    async def read(self, limit: int) -> bytes:
        """Reads the complete body.

        A trickle of bytes counts as silence: endpoints may send line breaks or
        comments without end in place of an answer.

        Args:
          limit: Maximum size of the body in bytes.

        Returns:
          The body.

        Raises:
          errors.AnswerTooLarge: The body is larger than `limit`.
          errors.CallError: As for `chunks`.
        """
        chunks = []
        size = progress_size = 0
        self.expect_progress()
        try:
            async for chunk in self.chunks():
                size += len(chunk)
                if size - progress_size >= _PROGRESS_MIN_BYTES:
                    progress_size = size
                    self.report_progress()
                if size > limit:
                    raise errors.ResponseTooLarge(
                        f"response body exceeds {limit} bytes"
                    )
                self._exchange.keep(size)
                chunks.append(chunk)
        finally:
            # If the reading task is cancelled, nothing reads the rest. Without
            # this the connection would stay open until the call times out.
            self.close()
        return b"".join(chunks)

    def buffered_bytes(self) -> int:
        """Returns the number of bytes received but not yet read."""
        return self._exchange.buffered_bytes

    def expect_progress(self) -> None:
        """Takes data for silence, for a reader that calls `report_progress`.

        Otherwise an endpoint could keep a call open for ever by bytes that
        make no message.
        """
        self._exchange.expect_progress()

    def report_progress(self) -> None:
        """Tells that the data received made a message."""
        self._exchange.hear()

    def watch_silence(self) -> None:
        """Has silence reported again; to be called after `EngineSilent`."""
        self._exchange.watch_silence()

    def release(self) -> None:
        """Keeps the connection for reuse if the body ends within a second.

        For a reader that knows from the content that the message is complete
        before the end of the HTTP framing has been received. If the framing
        doesn't end in time, the connection is closed.
        """
        self._exchange.release()

    def close(self) -> None:
        """Closes the connection at once, unless the body is complete."""
        self._exchange.discard()
        self._exchange.fail(errors.CallError("response closed by the client"))


class Exchange(httputil.HTTPMessageDelegate):
    """One request and its response on one connection.

    A reader task puts body chunks into `_chunks`. The consumer waits on
    `_data_available`, the reader task on `_space_available`.

    Attributes:
      status: HTTP status, 0 before the headers are received.
      headers: HTTP headers of the response.
      complete: Whether the end of the response body was received.
      buffered_bytes: Number of bytes received but not yet read.
      allow_close_delimited: Whether a clean close of the connection may end the
        body (close-delimited body).
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        method: str,
        budget: buffer_budget.BufferBudget | None = None,
    ) -> None:
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.complete = False
        self.allow_close_delimited = False
        self._has_body = method != "HEAD"
        self._loop = asyncio.get_running_loop()
        self._stream = stream
        self._chunks: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self._data_available: asyncio.Future[None] | None = None
        self._space_available: asyncio.Future[None] | None = None
        self._headers_future: asyncio.Future[None] = self._loop.create_future()
        self._error: errors.CallError | None = None
        self._silent: errors.EngineSilent | None = None
        self._data_is_progress = True
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._silence_timer: asyncio.TimerHandle | None = None
        self._silence: silence_lib.SilencePolicy = _PATIENT
        self._kept_bytes = 0
        self._paused_at = math.inf
        self._longest_pause_s = 0.0
        self._reservation = (budget or buffer_budget.BufferBudget()).reserve(
            self._drop_soon
        )

    # Callbacks of tornado's `HTTP1Connection`.

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the status and headers; ignores interim (1xx) responses."""
        if start_line.code < _FIRST_FINAL_STATUS or self._headers_future.done():
            return
        self.status = start_line.code
        self.headers = headers
        self._headers_future.set_result(None)
        self.hear()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Buffers a chunk. Returns a future to await if the buffer is full."""
        if self._error is not None:
            return None
        self._chunks.append(chunk)
        self.buffered_bytes += len(chunk)
        self._reserve()
        if self._data_is_progress:
            self.hear()
        if self._data_available is not None:
            _set_done(self._data_available)
            self._data_available = None
        if self.buffered_bytes < _MAX_BUFFERED_BYTES:
            return None
        self._paused_at = self._loop.time()
        self._space_available = self._loop.create_future()
        return self._space_available

    def finish(self) -> None:
        """Marks the body as complete, unless its end is ambiguous."""
        if not self.is_framed() and not self._closed_cleanly():
            # After a pause, the endpoint may have cut the body as unread.
            self.fail(
                errors.CallError(
                    "response has neither a length nor chunked encoding"
                )
            )
            return
        self.complete = True
        if self._stream.writing():
            # An endpoint may refuse a request before reading all of it. tornado
            # would wait for the rest to be written, possibly forever.
            self._stream.close()
        self._stop_waiting()

    def on_connection_close(self) -> None:
        """Fails the exchange: the connection closed during the response."""
        cause = self._stream.error or "closed"
        self.fail(
            errors.lost_connection(
                f"connection lost during the response: {cause}",
                self._stream.error,
            )
        )

    # Methods for the client.

    def hear(self) -> None:
        """Tells the silence policy that the endpoint makes progress."""
        self._silence.hear(self._loop.time())

    def expect_progress(self) -> None:
        """Has received data count as silence until `hear` is called."""
        self._data_is_progress = False

    async def wait_for_headers(self) -> None:
        """Waits for the status and headers of the response."""
        await self._headers_future

    async def next_chunk(self) -> bytes | None:
        """Returns the next chunk of the body, None at the end.

        Raises:
          errors.EngineSilent: No data has been received for a while.
          errors.CallError: The exchange failed.
        """
        while not self._chunks and self._silent is None:
            if self._error is not None:
                raise self._error
            if self.complete:
                return None
            self._data_available = self._loop.create_future()
            await self._data_available
        if self._silent is not None:
            silent, self._silent = self._silent, None
            raise silent
        chunk = self._chunks.popleft()
        self.buffered_bytes -= len(chunk)
        self._reserve()
        if (
            self._space_available is not None
            and self.buffered_bytes < _MAX_BUFFERED_BYTES
        ):
            _set_done(self._space_available)
            self._space_available = None
            self._longest_pause_s = self._pause_s()
            self._paused_at = math.inf
        return chunk

    def keep(self, kept_bytes: int) -> None:
        """Counts bytes that the reader of the body keeps until its end."""
        self._kept_bytes = kept_bytes
        self._reserve()

    def discard(self) -> None:
        """Drops what was received, as nobody reads it any more."""
        self._chunks.clear()
        self.buffered_bytes = self._kept_bytes = 0
        self._reserve()

    def _reserve(self) -> None:
        self._reservation.hold(self.buffered_bytes + self._kept_bytes)

    def _drop_soon(self) -> None:
        self._loop.call_soon(self._drop)

    def _drop(self) -> None:
        """Drops an unread response, because the process holds too many."""
        self.discard()
        error = errors.ResponseUnread("dropped: too much is held unread")
        if self.complete:
            self._error = error
        else:
            self.fail(error)

    def _pause_s(self) -> float:
        """Returns for how long reading was paused at most, in seconds."""
        return max(self._longest_pause_s, self._loop.time() - self._paused_at)

    def fail(self, error: errors.CallError) -> None:
        """Fails the exchange and closes its connection, unless it has ended."""
        if self.complete or self._error is not None:
            return
        if self._pause_s() >= _UNREAD_MIN_S and not isinstance(
            error, errors.MalformedResponse
        ):
            error = errors.ResponseUnread(f"{error} while it wasn't read")
        self._error = error
        self._stream.close()
        if not self._headers_future.done():
            self._headers_future.set_exception(error)
            # The waiting task may have been cancelled. Retrieving the exception
            # stops the event loop from logging it as never retrieved.
            self._headers_future.exception()
        self._stop_waiting()

    def is_framed(self) -> bool:
        """Returns whether the body has a length, chunks or no bytes at all."""
        return (
            not self._has_body
            or "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
            or self.status in _STATUSES_WITHOUT_BODY
        )

    def release(self) -> None:
        """Discards the response if it does not end within a second."""
        if not self.complete and self._error is None:
            self.start_timers(_RELEASE_TIMEOUT_S, None)

    def start_timers(
        self, timeout_s: float, silence: silence_lib.SilencePolicy | None
    ) -> None:
        """Starts the timers for the whole exchange and for silence.

        Args:
          timeout_s: Timeout of the whole exchange in seconds.
          silence: Decides what becomes of the exchange while no data is
            received, None to wait for the timeout.
        """
        self._cancel_timers()
        self._timeout_timer = self._loop.call_later(
            timeout_s, self.fail, errors.CallTimeout("call timed out")
        )
        if silence is not None:
            now = self._loop.time()
            silence.begin(now)
            self._silence = silence
            self._check_silence(now)

    def _check_silence(self, due_at: float) -> None:
        # One timer per stream that checks the time of the last byte. A timer
        # per chunk would cost more than relaying the chunk.
        now = self._loop.time()
        if now - due_at > _STANDSTILL_MIN_S:
            self._silence.excuse(now - due_at)
        if self._space_available is not None:
            # The reader of the body is slow, not its sender.
            self._silence.hear(now)
        match self._silence.check(now):
            case engine_silence.Leave() if self._headers_future.done():
                self._report_silence(self._silence.describe(now))
            case engine_silence.Leave() | engine_silence.Gone():
                self.fail(errors.CallTimeout(self._silence.describe(now)))
            case engine_silence.Wait(check_in_s):
                self._silence_timer = self._loop.call_at(
                    now + check_in_s, self._check_silence, now + check_in_s
                )

    def _report_silence(self, reason: str) -> None:
        # The reader may go on to wait. It calls `watch_silence` once it wants
        # to be told of silence again.
        self._silent = errors.EngineSilent(reason)
        if self._data_available is not None:
            _set_done(self._data_available)

    def watch_silence(self) -> None:
        """Starts to check for silence again after it was reported."""
        if not self.complete and self._error is None:
            self._check_silence(self._loop.time())

    def _closed_cleanly(self) -> bool:
        """Returns whether a close-delimited body counts as complete.

        The end of the connection ends such a body. Only a clean close tells
        the end from a lost connection, and only if the server is known to
        close cleanly exactly when the body is complete.
        """
        return (
            self.allow_close_delimited
            and self._stream.error is None
            and self._pause_s() < _UNREAD_MIN_S
        )

    def _stop_waiting(self) -> None:
        self._cancel_timers()
        for future in (self._data_available, self._space_available):
            if future is not None:
                _set_done(future)

    def _cancel_timers(self) -> None:
        self._silence.end()
        for timer in (self._timeout_timer, self._silence_timer):
            if timer is not None:
                timer.cancel()


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
