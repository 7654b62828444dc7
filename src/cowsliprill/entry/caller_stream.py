"""Connection of a caller that knows how it ends."""

import asyncio
import enum
import socket
from collections.abc import Callable
from typing import Any

from tornado import iostream

_HEAD_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large"
_MALFORMED = b"HTTP/1.1 400 Bad Request"
_NO_BODY = b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
# How long what a caller still sends is read and discarded, so that the response
# to an incomplete request reaches it. With unread data, the system would reset
# the connection and discard the response.
_LINGER_S = 1.0
_DISCARD_BYTES = 262_144


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
      end: Why this process closes the connection, if that isn't plain from the
        state.
    """

    def __init__(
        self,
        connection: socket.socket,
        on_end: Callable[[End], None],
        **options: Any,
    ) -> None:
        """Creates the stream.

        Args:
          connection: Connected socket.
          on_end: Called once when the connection ends; not if the caller closes
            it between two requests.
          **options: Options of `tornado.iostream.IOStream`.
        """
        super().__init__(connection, **options)
        self.state = State.IDLE
        self.answered = False
        self.closed_by_caller = False
        self.cut = False
        self.head_begun_at: float | None = None
        self.end: End | None = None
        self._on_end = on_end

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

    def close_fd(self) -> None:
        """Records why the connection ends and closes the socket."""
        self.cut = self.writing()
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
