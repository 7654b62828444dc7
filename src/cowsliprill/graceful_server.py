"""HTTP server that stops without losing requests that it has received."""

import asyncio
import socket
from collections.abc import Iterable
from typing import Any

from tornado import httpserver
from tornado import httputil
from tornado import iostream

_POLL_INTERVAL_S = 0.005


def has_received(stream: iostream.IOStream) -> bool:
    """Returns whether data of a connection is about to be read or processed.

    Args:
      stream: Stream of the connection.
    """
    if not stream.reading():
        return True
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False
    except OSError:
        # The stream reports the failure to its reader.
        return True


class GracefulServer(httpserver.HTTPServer):
    """HTTP server that responds to every request that it has received.

    If a process closes a connection that has unread data, the kernel resets it:
    the sender gets no response, and nothing tells whether the request was
    executed. The same happens to established connections that nobody accepts.
    """

    def initialize(self, *args: Any, **options: Any) -> None:
        """Sets up the server; called by tornado in place of `__init__`.

        Args:
          *args: Arguments of `tornado.httpserver.HTTPServer`.
          **options: Options of `tornado.httpserver.HTTPServer`.
        """
        super().initialize(*args, **options)
        self._listening: list[socket.socket] = []
        self._request_by_connection: dict[object, Request] = {}

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Serves connections to listening sockets."""
        added = list(sockets)
        self._listening.extend(added)
        super().add_sockets(added)

    def stop(self) -> None:
        """Stops listening, and serves the connections established so far."""
        for listening in self._listening:
            self._accept_all(listening)
        self._listening.clear()
        super().stop()

    async def close_connections(self, timeout_s: float) -> None:
        """Closes all connections; to be called after `stop`.

        Requests that are received meanwhile get their responses first. It
        doesn't wait for those that are served already, as they may take long.

        Args:
          timeout_s: Timeout in seconds.
        """
        served = {
            request
            for request in self._request_by_connection.values()
            if request.is_received
        }
        end = asyncio.get_running_loop().time() + timeout_s
        while self._close_idle_connections(served):
            if asyncio.get_running_loop().time() >= end:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Starts to wait for a request."""
        delegate = super().start_request(server_conn, request_conn)
        request = self.create_request(delegate, request_conn.stream)
        self._request_by_connection[server_conn] = request
        return request

    def create_request(
        self, delegate: httputil.HTTPMessageDelegate, stream: iostream.IOStream
    ) -> "Request":
        """Returns the record of the next request on a connection."""
        return Request(delegate, stream)

    def on_close(self, server_conn: object) -> None:
        """Forgets a closed connection."""
        self._request_by_connection.pop(server_conn).end()
        super().on_close(server_conn)

    def close_idle(self, stream: iostream.IOStream) -> None:
        """Closes an idle connection, because the process ends."""
        stream.close()

    def _accept_all(self, listening: socket.socket) -> None:
        while True:
            try:
                connection, address = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                asyncio.get_running_loop().call_exception_handler(
                    {"message": "can't accept", "exception": error}
                )
                return
            stream = iostream.IOStream(
                connection,
                max_buffer_size=self.max_buffer_size,
                read_chunk_size=self.read_chunk_size,
            )
            self.handle_stream(stream, address)

    def _close_idle_connections(self, ignored: set["Request"]) -> bool:
        """Closes idle connections; returns whether others are left."""
        any_left = False
        for request in self._request_by_connection.values():
            if request.stream.closed() or request in ignored:
                continue
            if request.has_begun or has_received(request.stream):
                any_left = True
            else:
                self.close_idle(request.stream)
        return any_left


class Request(httputil.HTTPMessageDelegate):
    """Passes a request on and records how far it has been received.

    Attributes:
      stream: Stream of the connection.
      has_begun: Whether its head has been received.
      is_received: Whether it has been received completely.
    """

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        stream: iostream.IOStream,
    ) -> None:
        self._delegate = delegate
        self.stream = stream
        self.has_begun = False
        self.is_received = False

    def end(self) -> None:
        """Called when the connection is closed."""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Any:
        """Records and passes on the head of the request."""
        self.has_begun = True
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        """Passes on a chunk of the body."""
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Records and passes on the end of the request."""
        self.is_received = True
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Passes on that the connection was closed during the request."""
        self._delegate.on_connection_close()
