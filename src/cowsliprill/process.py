"""The shell of every process: servers, health, signals and shutdown."""

import asyncio
import dataclasses
import json
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from tornado import httpserver
from tornado import netutil
from tornado import web

from cowsliprill import environment as environment_lib
from cowsliprill import peers
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

# How soon a change of readiness is logged; the handler itself always tells
# the present state.
_READINESS_CHECK_S = 0.05


def block_stop_signals() -> None:
    """Lets no further SIGTERM or SIGINT reach a process that has stopped.

    The loop gives the signals back to their default when it closes. One more
    SIGTERM just then would end a process that has drained well as if it had
    been cut down; its exit code would say so.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT})


class _HealthHandler(web.RequestHandler):
    def get(self) -> None:
        self.write({"healthy": True})


class _ReadyHandler(web.RequestHandler):
    def initialize(self, shell: "Process") -> None:
        self._shell = shell

    def get(self) -> None:
        reason = self._shell.unready_reason()
        self.set_status(503 if reason else 200)
        self.write({"ready": not reason, "reason": reason})


class _MetricsHandler(web.RequestHandler):
    def initialize(self, shell: "Process") -> None:
        self._shell = shell

    def get(self) -> None:
        content, headers = self._shell.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(content)


class _StatusHandler(web.RequestHandler):
    def initialize(self, shell: "Process") -> None:
        self._shell = shell

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self._shell.status()))


@dataclasses.dataclass(slots=True)
class Process:
    """What every process has in common.

    The process adds its routes and tasks, then awaits `run_until_stopped`.

    Attributes:
      environment: What the process was told about itself.
      log: Its log.
      metrics: Its metrics.
      unready_reason: Returns why the process takes no work, empty if it does.
      status: Returns what `GET /v1/status` answers.
      port: Port for peers and operators, known after `listen`.
      public_port: Port for callers, known after `listen_public`.
      drain: Called once at the first SIGTERM or SIGINT; the process ends when
        it returns. A second signal changes nothing: ending at once would cut
        requests in progress.
    """

    environment: environment_lib.Environment
    log: log_lib.Log
    metrics: metrics_lib.Metrics
    unready_reason: Callable[[], str]
    status: Callable[[], dict[str, Any]]
    drain: Callable[[], Awaitable[None]]
    port: int = 0
    public_port: int = 0
    _servers: list[httpserver.HTTPServer] = dataclasses.field(
        default_factory=list
    )
    _stopping: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def listen(self, routes: list[tuple]) -> None:
        """Serves peers and operators on the environment's port.

        Args:
          routes: tornado routes beside health, readiness, metrics and status.
        """
        arguments = {"shell": self}
        common = [
            (peers.HEALTH_PATH, _HealthHandler),
            (peers.READY_PATH, _ReadyHandler, arguments),
            (peers.METRICS_PATH, _MetricsHandler, arguments),
            (peers.STATUS_PATH, _StatusHandler, arguments),
        ]
        application = web.Application(
            [*common, *routes], log_function=_log_nothing
        )
        host = self.environment.host
        sockets = netutil.bind_sockets(self.environment.port, host)
        self.port = sockets[0].getsockname()[1]
        server = httpserver.HTTPServer(application)
        server.add_sockets(sockets)
        self._servers.append(server)

    def listen_public(
        self, application: web.Application, **options: Any
    ) -> httpserver.HTTPServer:
        """Serves callers on the public port, shared with other processes.

        Args:
          application: tornado application.
          **options: Options of `tornado.httpserver.HTTPServer`.

        Returns:
          The server; `stop` makes it take no new connections.
        """
        sockets = netutil.bind_sockets(
            self.environment.public_port,
            self.environment.host,
            reuse_port=True,
        )
        self.public_port = sockets[0].getsockname()[1]
        server = httpserver.HTTPServer(application, **options)
        server.add_sockets(sockets)
        self._servers.append(server)
        return server

    def listen_ready(self, host: str, port: int) -> None:
        """Tells a balancer on a port of its own whether to send work here.

        Args:
          host: IP number.
          port: TCP port.
        """
        application = web.Application(
            [(peers.READY_PATH, _ReadyHandler, {"shell": self})],
            log_function=_log_nothing,
        )
        server = httpserver.HTTPServer(application)
        server.listen(port, host)
        self._servers.append(server)

    def stop(self) -> None:
        """Begins to drain, as the first SIGTERM does."""
        self._stopping.set()

    async def run_until_stopped(self) -> None:
        """Announces the port, waits for a signal, drains and stops."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        self.log.event(
            "started",
            port=self.port,
            public_port=self.public_port,
            availability_zone=self.environment.availability_zone,
        )
        readiness = asyncio.create_task(self._log_readiness())
        await self._stopping.wait()
        self.log.event("draining")
        await self.drain()
        readiness.cancel()
        for server in self._servers:
            server.stop()
        self.log.event("stopped")
        block_stop_signals()

    async def _log_readiness(self) -> None:
        reason = None
        while True:
            now = self.unready_reason()
            if now != reason and now:
                self.log.event("unready", reason=now)
            elif now != reason:
                self.log.event("ready")
            reason = now
            await asyncio.sleep(_READINESS_CHECK_S)


def _log_nothing(handler: web.RequestHandler) -> None:
    del handler
