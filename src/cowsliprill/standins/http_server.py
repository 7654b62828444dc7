"""HTTP server and request handlers shared by fake engines and services."""

import asyncio
import json
from typing import Any

from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from cowsliprill import process
from cowsliprill.engines import protocol
from cowsliprill.observability import log as log_lib
from cowsliprill.standins import fault_injection

FAULTS_PATH = "/standin/misbehave"
USAGE_PATH = "/standin/held"
REQUEST_LOG_PATH = "/standin/journal"

_STATUS_UNAVAILABLE = 503
_STATUS_TOO_MANY_REQUESTS = 429


def refusal_body(code: str) -> bytes:
    """Returns the body of a refusal.

    Args:
      code: Error code of the refusal.

    Returns:
      JSON that states that the request wasn't executed.
    """
    message = f"stand-in says {code}"
    error = {"code": code, "message": message, "run": "no"}
    return json.dumps({"error": error}).encode()


class Handler(web.RequestHandler):
    """Base handler: JSON bodies, error responses and aborted connections."""

    def set_default_headers(self) -> None:
        """Removes tornado's `Server` header and echoes the request id."""
        self.clear_header("Server")
        request_id = self.request.headers.get(protocol.REQUEST_ID_HEADER)
        if request_id is not None:
            self.set_header(protocol.REQUEST_ID_HEADER, request_id)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs an exception, unless the client has disconnected."""
        if not isinstance(value, iostream.StreamClosedError):
            super().log_exception(typ, value, tb)

    def json_body(self) -> dict[str, Any]:
        """Returns the JSON object of the request body.

        Raises:
          web.HTTPError: The body isn't a JSON object.
        """
        try:
            fields = json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(400) from error
        if not isinstance(fields, dict):
            raise web.HTTPError(400)
        return fields

    def respond_error(
        self, status: int, code: str, *, run: str = "no", **more: Any
    ) -> None:
        """Responds with an error.

        Args:
          status: HTTP status.
          code: Error code.
          run: Whether the request was executed: `no` or `unknown`.
          **more: Further fields of the error.
        """
        self.set_status(status)
        error = {"code": code, "message": f"stand-in says {code}", "run": run}
        self.finish({"error": {**error, **more}})

    async def respond_refusal(self, faults: fault_injection.Faults) -> None:
        """Refuses a request without executing it.

        Args:
          faults: Faults to inject: the error code of the refusal, and the
            byte at which the response is cut, if any.
        """
        is_full = faults.refuse == protocol.CODE_FULL
        self.set_status(
            _STATUS_TOO_MANY_REQUESTS if is_full else _STATUS_UNAVAILABLE
        )
        body = refusal_body(faults.refuse)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        if faults.cut_refusal_at_byte is None:
            self.finish(body)
            return
        self.write(body[: faults.cut_refusal_at_byte])
        await self.flush()
        self.abort_connection()

    def abort_connection(self) -> None:
        """Closes the connection without completing the response."""
        self.request.connection.stream.close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Writes tornado's own errors in the form of the other errors."""
        del kwargs
        self.set_header("Content-Type", "application/json")
        self.finish(
            {"error": {"code": "bad_request", "message": str(status_code)}}
        )


class FaultsHandler(Handler):
    """Replaces the injected faults of an endpoint."""

    def initialize(self, faults: fault_injection.FaultInjector) -> None:
        """Sets the fault injector that requests change."""
        self._fault_injector = faults

    def post(self) -> None:
        """Replaces the faults in force by those of the body."""
        try:
            self._fault_injector.set(self.json_body())
        except fault_injection.FaultsError as error:
            self.respond_error(400, error.code)
            return
        self.finish({})


def _discard_access_log(handler: web.RequestHandler) -> None:
    del handler


class Server:
    """An HTTP server that listens from its construction on.

    Args:
      routes: tornado routes.
      host: IP address to listen on.
      port: TCP port, 0 for any free one.

    Attributes:
      port: TCP port that the server listens on.
    """

    def __init__(self, routes: list[tuple], host: str, port: int) -> None:
        application = web.Application(routes, log_function=_discard_access_log)
        sockets = netutil.bind_sockets(port, host)
        self.port = sockets[0].getsockname()[1]
        self._server = httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()


async def run_until_signal(name: str, server: Server, **fields: Any) -> None:
    """Logs the port, waits for SIGTERM or SIGINT and stops the server.

    Args:
      name: Name of the process in the log.
      server: The server.
      **fields: Further keys and values of the log line of the start.
    """
    log = log_lib.open_log(name)
    stop_event = asyncio.Event()
    process.on_stop_signal(stop_event.set)
    log.event("started", port=server.port, **fields)
    await stop_event.wait()
    await server.stop()
    log.event("stopped")
    process.ignore_stop_signals()
