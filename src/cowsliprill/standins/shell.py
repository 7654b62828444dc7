"""What the stand-ins of engines and services have in common."""

import asyncio
import json
import signal
from typing import Any

from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from cowsliprill import process
from cowsliprill.engines import protocol
from cowsliprill.observability import log as log_lib
from cowsliprill.standins import misbehaviour as misbehaviour_lib

MISBEHAVE_PATH = "/standin/misbehave"
HELD_PATH = "/standin/held"
JOURNAL_PATH = "/standin/journal"

_UNAVAILABLE = 503
_TOO_MANY = 429


def refusal_body(code: str) -> bytes:
    """Writes the body of a refusal.

    Args:
      code: The refusal's code.

    Returns:
      JSON that says that nothing was run.
    """
    message = f"stand-in says {code}"
    error = {"code": code, "message": message, "run": "no"}
    return json.dumps({"error": error}).encode()


class Handler(web.RequestHandler):
    """Answers in JSON and can cut its own connection."""

    def set_default_headers(self) -> None:
        """Leaves out tornado's own headers, but echoes the request's id."""
        self.clear_header("Server")
        request_id = self.request.headers.get(protocol.REQUEST_ID_HEADER)
        if request_id is not None:
            self.set_header(protocol.REQUEST_ID_HEADER, request_id)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs a fault; a reader that is gone is none."""
        if not isinstance(value, iostream.StreamClosedError):
            super().log_exception(typ, value, tb)

    def fields(self) -> dict[str, Any]:
        """Returns the body's JSON object.

        Raises:
          web.HTTPError: The body is no JSON object.
        """
        try:
            fields = json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(400) from error
        if not isinstance(fields, dict):
            raise web.HTTPError(400)
        return fields

    def fail(
        self, status: int, code: str, *, run: str = "no", **more: Any
    ) -> None:
        """Answers with an error.

        Args:
          status: HTTP status.
          code: The error's code.
          run: Whether the request was run: `no` or `unknown`.
          **more: Further fields of the error.
        """
        self.set_status(status)
        error = {"code": code, "message": f"stand-in says {code}", "run": run}
        self.finish({"error": {**error, **more}})

    async def refuse(self, conduct: misbehaviour_lib.Misbehaviour) -> None:
        """Refuses without running, perhaps dying amid the answer.

        Args:
          conduct: What to do wrong.
        """
        full = conduct.refuse == protocol.CODE_FULL
        self.set_status(_TOO_MANY if full else _UNAVAILABLE)
        body = refusal_body(conduct.refuse)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        if conduct.cut_refusal_at_byte is None:
            self.finish(body)
            return
        self.write(body[: conduct.cut_refusal_at_byte])
        await self.flush()
        self.cut()

    def cut(self) -> None:
        """Closes the connection without ending the answer."""
        self.request.connection.stream.close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers tornado's own errors in the same form."""
        del kwargs
        self.set_header("Content-Type", "application/json")
        self.finish(
            {"error": {"code": "bad_request", "message": str(status_code)}}
        )


class MisbehaveHandler(Handler):
    """Sets the misbehaviour."""

    def initialize(self, conduct: misbehaviour_lib.Conduct) -> None:
        """Takes the conduct to change."""
        self._conduct = conduct

    def post(self) -> None:
        """Replaces the misbehaviour by the body's fields."""
        try:
            self._conduct.set(self.fields())
        except misbehaviour_lib.MisbehaviourError as error:
            self.fail(400, error.code)
            return
        self.finish({})


def _log_nothing(handler: web.RequestHandler) -> None:
    del handler


class Server:
    """A tornado server on a port that the kernel may pick.

    Args:
      routes: tornado routes.
      host: IP number to listen on.
      port: TCP port, 0 for any.

    Attributes:
      port: The port it listens on.
    """

    def __init__(self, routes: list[tuple], host: str, port: int) -> None:
        application = web.Application(routes, log_function=_log_nothing)
        sockets = netutil.bind_sockets(port, host)
        self.port = sockets[0].getsockname()[1]
        self._server = httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()


async def run_until_signal(name: str, server: Server, **fields: Any) -> None:
    """Announces the port, waits for SIGTERM or SIGINT and stops.

    Args:
      name: The process's name in the log.
      server: The server.
      **fields: Further pairs of the log line.
    """
    log = log_lib.open_log(name)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    log.event("started", port=server.port, **fields)
    await stopping.wait()
    await server.stop()
    log.event("stopped")
    process.block_stop_signals()
