"""Connection of a caller that knows how it ends."""

import asyncio
import enum
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from typing import Any

from tornado import iostream

from cowsliprill import buffer_budget

_HEAD_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large"
_MALFORMED = b"HTTP/1.1 400 Bad Request"
_NO_BODY = b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
# How long what a caller still sends is read and discarded, so that the response
# to an incomplete request reaches it. With unread data, the system would reset
# the connection and discard the response.
_LINGER_S = 1.0
_DISCARD_BYTES = 262_144
# A caller whose system takes no byte for this long is cut. An engine cuts a
# response that stays unread for some seconds, which begin later: when this
# process stops reading it. A caller that reads 3 KB/s into a common buffer of
# 128 KB takes some within this time.
_STALL_S = 3.0
_STALL_CHECK_S = 0.5
# The kernel would hold up to 4 MB for each caller that doesn't read. It doubles
# this value.
_SEND_BUFFER_BYTES = 131_072
# Closes with a reset. A response to HTTP/1.0 without a length would look
# complete after a proper close.
_RESET = struct.pack("ii", 1, 0)
_NO_RESET = struct.pack("ii", 0, 0)
_INT = struct.Struct("i")


class State(enum.Enum):
    """How far the current request of a connection has been received."""

    IDLE = enum.auto()
    RECEIVING = enum.auto()
    RECEIVED = enum.auto()


class End(enum.StrEnum):
    """Why a connection ended, as the metric counts it."""

    IDLE = "idle"
    LEAVING = "leaving"
    ANSWERED = "answered"
    UNREAD = "unread"
    MALFORMED = "malformed"
    CUT = "cut"
    STALLED = "stalled"
    OVER_BUDGET = "over_budget"
    CALLER_LEFT_REQUEST = "caller_left_request"
    CALLER_LEFT_ANSWER = "caller_left_answer"


class CallerStream(iostream.IOStream):
    """Stream of one connection of a caller.

    Attributes:
      state: How far the current request has been received.
      answered: Whether the response to it has been handed to the stream.
      closed_by_caller: Whether the caller has closed the connection.
      cut: Whether the connection was closed before all data was sent.
      head_begun_at: Time of the event loop at which the head of the current
        request began to arrive, in seconds; None before.
      pending_bytes: Bytes of the response that are held outside of the stream,
        to be written next.
      end: Why this process closes the connection, if that isn't plain from the
        state.
    """

    def __init__(
        self,
        connection: socket.socket,
        on_end: Callable[[End], None],
        budget: buffer_budget.BufferBudget,
        **options: Any,
    ) -> None:
        """Creates the stream.

        Args:
          connection: Connected socket.
          on_end: Called once when the connection ends; not if the caller closes
            it between two requests.
          budget: Bound on the data that callers don't read.
          **options: Options of `tornado.iostream.IOStream`.
        """
        super().__init__(connection, **options)
        self.state = State.IDLE
        self.answered = False
        self.closed_by_caller = False
        self.cut = False
        self.head_begun_at: float | None = None
        self.pending_bytes = 0
        self.end: End | None = None
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        self._on_end = on_end
        self._taken_at = 0.0
        self._queued_bytes = 0
        self._stall_timer: asyncio.TimerHandle | None = None
        self._unsent = budget.reserve(self._cut_soon)

    def expect_request(self) -> None:
        """Records that the next request may arrive."""
        self.state = State.IDLE
        self.answered = False
        self.head_begun_at = None
        if self._read_buffer_size:
            self.head_begun_at = asyncio.get_running_loop().time()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; tornado closes the stream if it returns 0."""
        size = super().read_from_fd(buf)
        if size == 0:
            self.closed_by_caller = True
        elif size and self.state is State.IDLE and self.head_begun_at is None:
            self.head_begun_at = asyncio.get_running_loop().time()
        return size

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Writes data; what the socket doesn't accept yet counts as unread."""
        was_writing = self.writing()
        future = super().write(data)
        if self.writing():
            if not was_writing:
                self._taken_at = asyncio.get_running_loop().time()
            self._unsent.hold(len(self._write_buffer) + self.pending_bytes)
            self._watch_stall()
        return future

    def write_to_fd(self, data: memoryview) -> int:
        """Writes to the socket and records that it has taken data."""
        size = super().write_to_fd(data)
        if self._stall_timer is not None:
            self._taken_at = asyncio.get_running_loop().time()
            unsent_bytes = len(self._write_buffer) - size
            held_bytes = unsent_bytes and unsent_bytes + self.pending_bytes
            self._unsent.hold(held_bytes)
        return size

    def _watch_stall(self) -> None:
        if self._stall_timer is None:
            loop = asyncio.get_running_loop()
            self._stall_timer = loop.call_later(
                min(_STALL_CHECK_S, _STALL_S), self._check_stall
            )

    def _check_stall(self) -> None:
        self._stall_timer = None
        if self.closed() or not self.writing():
            return
        now = asyncio.get_running_loop().time()
        queued_bytes = self._kernel_queue_bytes()
        if queued_bytes < self._queued_bytes:
            # The socket takes data again only once a third of its buffer is
            # free, which a slow caller may need long for.
            self._taken_at = now
        self._queued_bytes = queued_bytes
        if now - self._taken_at < _STALL_S:
            self._watch_stall()
        else:
            self._cut(End.STALLED)

    def _kernel_queue_bytes(self) -> int:
        """Returns how many bytes the caller's system hasn't taken yet."""
        queued = fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(_INT.size))
        return _INT.unpack(queued)[0]

    def _cut_soon(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(self._cut, End.OVER_BUDGET)

    def _cut(self, end: End) -> None:
        """Ends a response that its caller doesn't read, with a reset."""
        if self.closed():
            return
        self.end = end
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.close()

    def close_fd(self) -> None:
        """Records why the connection ends and closes the socket."""
        self.cut = self.writing()
        self._unsent.hold(0)
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        if isinstance(self.error, OSError):
            self.closed_by_caller = True
        end = self._end()
        if end is not None:
            self._on_end(end)
        if end in (End.UNREAD, End.MALFORMED):
            self._refuse_malformed()
            _linger(self.socket)
            self.socket = None
        else:
            super().close_fd()

    def _end(self) -> End | None:
        if self.closed_by_caller:
            return self._end_by_caller()
        if self.end is not None:
            return self.end
        if self.state is not State.RECEIVED:
            return End.UNREAD if self.answered else End.MALFORMED
        return End.ANSWERED if self.answered and not self.cut else End.CUT

    def _end_by_caller(self) -> End | None:
        if self.state is State.RECEIVED:
            complete = self.answered and not self.cut
            return None if complete else End.CALLER_LEFT_ANSWER
        is_idle = self.state is State.IDLE and not self._read_buffer_size
        return None if is_idle else End.CALLER_LEFT_REQUEST

    def _refuse_malformed(self) -> None:
        """Answers a head or a chunk that tornado gives up without an answer."""
        if self.answered or not isinstance(
            self.error, iostream.UnsatisfiableReadError
        ):
            return
        is_head = self.state is State.IDLE
        line = _HEAD_TOO_LARGE if is_head else _MALFORMED
        try:
            self.socket.send(line + _NO_BODY)
        except OSError:
            self.closed_by_caller = True


def closed_by_caller(stream: iostream.IOStream | None) -> bool:
    """Returns whether a closed stream was closed by the other side.

    Args:
      stream: Stream of a caller, or of a peer, which isn't recorded: peers are
        taken to have closed it.
    """
    return not isinstance(stream, CallerStream) or stream.closed_by_caller


def is_cut(stream: iostream.IOStream | None) -> bool:
    """Returns whether a stream was closed before all data was sent.

    Args:
      stream: Stream of a caller; of others it isn't known.
    """
    return isinstance(stream, CallerStream) and stream.cut


def set_reset_at_close(
    stream: iostream.IOStream | None, *, enabled: bool
) -> None:
    """Sets whether the connection is reset when it is closed.

    This also holds if the process is killed. Without a length or chunks, only a
    reset tells a caller that its response is incomplete.

    Args:
      stream: Stream of a caller or a peer; a closed one is left as it is.
      enabled: Whether it is reset.
    """
    if stream is not None and not stream.closed():
        stream.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET if enabled else _NO_RESET,
        )


def set_pending(stream: iostream.IOStream | None, pending_bytes: int) -> None:
    """Records what is to be written to a caller next, in bytes.

    Args:
      stream: Stream of a caller; of others it isn't recorded.
      pending_bytes: Bytes held outside of the stream.
    """
    if isinstance(stream, CallerStream):
        stream.pending_bytes = pending_bytes


def unread_end(stream: iostream.IOStream | None) -> str:
    """Returns why a response that its caller didn't read was cut, or "".

    Args:
      stream: Stream of a caller; of others it isn't known.
    """
    end = stream.end if isinstance(stream, CallerStream) else None
    return str(end) if end in (End.STALLED, End.OVER_BUDGET) else ""


def request_read(stream: iostream.IOStream | None) -> bool:
    """Returns whether the current request has been received to its end.

    Args:
      stream: Stream of a caller; of others it isn't known.
    """
    return (
        not isinstance(stream, CallerStream) or stream.state is State.RECEIVED
    )


def _linger(connection: socket.socket) -> None:
    """Ends the sending half, discards what still arrives, then closes."""
    loop = asyncio.get_running_loop()

    def close() -> None:
        timer.cancel()
        loop.remove_reader(connection)
        connection.close()

    def discard() -> None:
        try:
            is_open = bool(connection.recv(_DISCARD_BYTES))
        except BlockingIOError:
            return
        except OSError:
            is_open = False
        if not is_open:
            close()

    timer = loop.call_later(_LINGER_S, close)
    try:
        connection.shutdown(socket.SHUT_WR)
    except OSError:
        # The caller has reset the connection.
        close()
        return
    loop.add_reader(connection, discard)
