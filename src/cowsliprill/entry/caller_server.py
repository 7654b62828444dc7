"""HTTP server for callers that closes connections only while they are idle."""

import asyncio
from typing import Any

from tornado import httputil
from tornado import iostream

from cowsliprill import buffer_budget
from cowsliprill import graceful_server
from cowsliprill.decisions import model
from cowsliprill.entry import caller_stream
from cowsliprill.observability import metrics as metrics_lib

# Connections are checked no more often than this, also one that is due and has
# unread data.
_RECHECK_INTERVAL_S = 0.05


class CallerServer(graceful_server.GracefulServer):
    """HTTP server with an idle timeout that may change at any time.

    tornado's own timer closes a connection although a whole request has been
    received on it, if both become due while the event loop is busy.

    Attributes:
      limits: How long a connection may be idle, and a head may take. A change
        also holds for connections that wait.
    """

    def initialize(
        self,
        *args: Any,
        limits: model.HttpLimits,
        metrics: metrics_lib.Metrics,
        budget: buffer_budget.BufferBudget,
        **options: Any,
    ) -> None:
        """Sets up the server; called by tornado in place of `__init__`.

        Args:
          *args: Arguments of `tornado.httpserver.HTTPServer`.
          limits: Initial value of the attribute.
          metrics: Metrics that count how connections end.
          budget: Bound on the responses that callers don't read.
          **options: Options of `tornado.httpserver.HTTPServer`.
        """
        super().initialize(*args, **options)
        self.conn_params.header_timeout = None
        self.limits = limits
        self._metrics = metrics
        self._budget = budget

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serves a new connection."""
        recorded = caller_stream.CallerStream(
            stream.socket,
            self._count_end,
            self._budget,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        super().handle_stream(recorded, address)

    def _count_end(self, end: caller_stream.End) -> None:
        self._metrics.caller_connections_closed.inc({"reason": end.value})

    def create_request(
        self,
        delegate: httputil.HTTPMessageDelegate,
        stream: caller_stream.CallerStream,
    ) -> graceful_server.Request:
        """Returns the record of the next request on a connection."""
        return _CallerRequest(self, delegate, stream)

    def close_idle(self, stream: caller_stream.CallerStream) -> None:
        """Closes an idle connection, because the process ends."""
        stream.end = caller_stream.End.LEAVING
        stream.close()


class _CallerRequest(graceful_server.Request):
    """Closes the connection if no request arrives in time."""

    def __init__(
        self,
        server: CallerServer,
        delegate: httputil.HTTPMessageDelegate,
        stream: caller_stream.CallerStream,
    ) -> None:
        super().__init__(delegate, stream)
        stream.expect_request()
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._since = self._loop.time()
        self._check_again(server.limits.idle_timeout_s)

    def end(self) -> None:
        self._timer.cancel()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Any:
        self._timer.cancel()
        self.stream.state = caller_stream.State.RECEIVING
        return super().headers_received(start_line, headers)

    def finish(self) -> None:
        self.stream.state = caller_stream.State.RECEIVED
        super().finish()

    def _check_again(self, left_s: float) -> None:
        """Checks again when the time left is over, or that of a head may be."""
        delay_s = min(left_s, self._server.limits.header_timeout_s)
        self._timer = self._loop.call_later(
            max(delay_s, _RECHECK_INTERVAL_S), self._check
        )

    def _check(self) -> None:
        left_s = self._due_at() - self._loop.time()
        if left_s > 0:
            self._check_again(left_s)
        elif graceful_server.has_received(self.stream):
            self._check_again(_RECHECK_INTERVAL_S)
        else:
            self.stream.end = caller_stream.End.IDLE
            self.stream.close()

    def _due_at(self) -> float:
        limits = self._server.limits
        if self.stream.head_begun_at is None:
            return self._since + limits.idle_timeout_s
        return self.stream.head_begun_at + limits.header_timeout_s
