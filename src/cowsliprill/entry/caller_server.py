"""HTTP server for callers that closes connections only while they are idle."""

import asyncio
import socket
from typing import Any

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from cowsliprill.entry import caller_stream
from cowsliprill.observability import metrics as metrics_lib

# A connection that has been idle for long enough, but has unread data, is
# checked again after this interval.
_RECHECK_INTERVAL_S = 0.05
_CLOSE_INTERVAL_S = 0.005


class CallerServer(httpserver.HTTPServer):
    """HTTP server with an idle timeout that may change at any time.

    tornado's own timer closes a connection although a whole request has been
    received on it, if both become due while the event loop is busy.

    Attributes:
      idle_timeout_s: How long a connection may wait for the head of the next
        request, in seconds. A change also holds for connections that wait.
      idle_end: Why idle connections are closed.
    """

    def initialize(
        self,
        *args: Any,
        idle_timeout_s: float,
        metrics: metrics_lib.Metrics,
        **options: Any,
    ) -> None:
        """Sets up the server; called by tornado in place of `__init__`.

        Args:
          *args: Arguments of `tornado.httpserver.HTTPServer`.
          idle_timeout_s: Initial value of the attribute.
          metrics: Metrics that count how connections end.
          **options: Options of `tornado.httpserver.HTTPServer`.
        """
        super().initialize(*args, **options)
        self.conn_params.header_timeout = None
        self.idle_timeout_s = idle_timeout_s
        self.idle_end = caller_stream.End.IDLE
        self._metrics = metrics
        self._idle_by_connection: dict[object, _IdleConnection] = {}

    def stop(self) -> None:
        """Stops listening; serves connections that wait to be accepted.

        The system resets these, although requests may have been sent on them.
        """
        if not self._stopped:
            for listener in self._sockets.values():
                self._accept_waiting(listener)
        super().stop()

    def _accept_waiting(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, address = listener.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                # None is left, or the process can't have more.
                return
            self._handle_connection(connection, address)

    async def close_idle_connections(self, timeout_s: float) -> None:
        """Closes connections, each once nothing more was received on it.

        A request that stays unread when the process exits would be lost, and
        the reset of its connection may destroy the response before it.

        Args:
          timeout_s: How long requests that were received are waited for.
        """
        self.idle_timeout_s = 0.0
        self.idle_end = caller_stream.End.LEAVING
        for idle in list(self._idle_by_connection.values()):
            idle.check_now()
        try:
            async with asyncio.timeout(timeout_s):
                while self._idle_by_connection:  # noqa: ASYNC110 no event
                    await asyncio.sleep(_CLOSE_INTERVAL_S)
        except TimeoutError:
            # The exit of the process closes the others.
            return

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serves a new connection."""
        recorded = caller_stream.CallerStream(
            stream.socket,
            self._count_end,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        super().handle_stream(recorded, address)

    def _count_end(self, end: caller_stream.End) -> None:
        self._metrics.caller_connections_closed.inc({"reason": end.value})

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Starts to wait for the head of a request."""
        request_conn.stream.expect_request()
        delegate = super().start_request(server_conn, request_conn)
        idle = _IdleConnection(self, request_conn.stream)
        self._idle_by_connection[server_conn] = idle
        return _RequestDelegate(delegate, idle)

    def on_close(self, server_conn: object) -> None:
        """Forgets a closed connection."""
        self._idle_by_connection.pop(server_conn).end()
        super().on_close(server_conn)


class _IdleConnection:
    """Closes a connection on which no request arrives in time."""

    def __init__(
        self, server: CallerServer, stream: caller_stream.CallerStream
    ) -> None:
        self._server = server
        self._stream = stream
        self._ended = False
        self._loop = asyncio.get_running_loop()
        self._since = self._loop.time()
        self._check_in(server.idle_timeout_s)

    def end(self) -> None:
        """Records that a request has begun or the connection is closed."""
        self._ended = True
        self._timer.cancel()

    def check_now(self) -> None:
        """Applies an idle timeout that has become shorter."""
        if not self._ended:
            self._timer.cancel()
            self._check()

    def begin(self) -> None:
        """Records that the head of a request has been received."""
        self._stream.state = caller_stream.State.RECEIVING
        self.end()

    def finish(self) -> None:
        """Records that a whole request has been received."""
        self._stream.state = caller_stream.State.RECEIVED

    def _check_in(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        idle_s = self._loop.time() - self._since
        if idle_s < self._server.idle_timeout_s:
            self._check_in(self._server.idle_timeout_s - idle_s)
        elif self._has_received():
            self._check_in(_RECHECK_INTERVAL_S)
        else:
            self._stream.end = self._server.idle_end
            self._stream.close()

    def _has_received(self) -> bool:
        """Returns whether data is about to be read or processed."""
        if not self._stream.reading():
            return True
        try:
            return bool(self._stream.socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False
        except OSError:
            # The stream reports the failure to its reader.
            return True


class _RequestDelegate(httputil.HTTPMessageDelegate):
    """Passes a request on and tells how much of it has been received."""

    def __init__(
        self, delegate: httputil.HTTPMessageDelegate, idle: _IdleConnection
    ) -> None:
        self._delegate = delegate
        self._idle = idle

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Any:
        self._idle.begin()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._idle.finish()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()
