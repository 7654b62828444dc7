"""Common runtime of all processes: servers, health, signals, shutdown."""

import asyncio
import dataclasses
import json
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from tornado import netutil
from tornado import web

from cowsliprill import environment as environment_lib
from cowsliprill import graceful_server
from cowsliprill import peers
from cowsliprill import start_cost
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

# Interval at which changes of readiness are logged. The readiness handler
# always returns the current state.
_READINESS_CHECK_S = 0.05

# Requests that peers relay have their callers' headers and an envelope.
_MAX_PEER_HEADER_BYTES = 262_144

# Limits how long a sender that is slow, or never ends, delays the exit. The
# platform kills processes that take longer than their reserve for it.
_CLOSE_TIMEOUT_S = 0.25

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def on_stop_signal(callback: Callable[[], None]) -> None:
    """Has the running event loop call back at each SIGTERM and SIGINT.

    The loop's own handlers can't be replaced without a moment in which a signal
    kills the process.

    Args:
      callback: Called without arguments.
    """
    loop = asyncio.get_running_loop()
    for signal_number in _STOP_SIGNALS:
        signal.signal(
            signal_number, lambda *_: loop.call_soon_threadsafe(callback)
        )


def ignore_stop_signals() -> None:
    """Ignores SIGTERM and SIGINT for the rest of the process's life.

    A repeated SIGTERM would kill a process that has drained completely, and its
    exit code would report a failure.
    """
    for signal_number in _STOP_SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)


class _HealthHandler(web.RequestHandler):
    def get(self) -> None:
        self.write({"healthy": True})


class _ReadyHandler(web.RequestHandler):
    def initialize(self, shell: "Process") -> None:
        self._process = shell

    def get(self) -> None:
        reason = self._process.unready_reason()
        self.set_status(503 if reason else 200)
        self.write({"ready": not reason, "reason": reason})


class _MetricsHandler(web.RequestHandler):
    def initialize(self, shell: "Process") -> None:
        self._process = shell

    def get(self) -> None:
        content, headers = self._process.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(content)


class _StatusHandler(web.RequestHandler):
    def initialize(self, shell: "Process") -> None:
        self._process = shell

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self._process.status()))


@dataclasses.dataclass(slots=True)
class Process:
    """HTTP servers, signal handling and lifecycle of a process.

    The caller adds routes and starts tasks, then awaits `run_until_stopped`.

    Attributes:
      environment: Start-up configuration of the process.
      log: Log of the process.
      metrics: Metrics that `GET /metrics` returns.
      unready_reason: Returns why the process accepts no requests, empty if the
        process is ready.
      status: Returns the JSON object for `GET /v1/status`.
      port: Port for peers and operators, set by `listen`.
      public_port: Port for callers, set by `listen_public`.
      drain: Called once after the first SIGTERM or SIGINT; the process exits
        when `drain` returns. Further signals are ignored, as exiting at once
        would abort requests in progress.
    """

    environment: environment_lib.Environment
    log: log_lib.Log
    metrics: metrics_lib.Metrics
    unready_reason: Callable[[], str]
    status: Callable[[], dict[str, Any]]
    drain: Callable[[], Awaitable[None]]
    port: int = 0
    public_port: int = 0
    _servers: list[graceful_server.GracefulServer] = dataclasses.field(
        default_factory=list
    )
    _stop_requested: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    def listen(self, routes: list[tuple]) -> None:
        """Serves peers and operators on the environment's port.

        Args:
          routes: Tornado routes besides health, readiness, metrics and status.
        """
        arguments = {"shell": self}
        common = [
            (peers.HEALTH_PATH, _HealthHandler),
            (peers.READY_PATH, _ReadyHandler, arguments),
            (peers.METRICS_PATH, _MetricsHandler, arguments),
            (peers.STATUS_PATH, _StatusHandler, arguments),
        ]
        application = web.Application(
            [*common, *routes], log_function=_discard_access_log
        )
        host = self.environment.host
        sockets = netutil.bind_sockets(self.environment.port, host)
        self.port = sockets[0].getsockname()[1]
        server = graceful_server.GracefulServer(
            application, max_header_size=_MAX_PEER_HEADER_BYTES
        )
        server.add_sockets(sockets)
        self._servers.append(server)

    def listen_public(self, server: graceful_server.GracefulServer) -> None:
        """Serves callers on the public port, which processes share.

        Args:
          server: Server of the callers.
        """
        sockets = netutil.bind_sockets(
            self.environment.public_port,
            self.environment.host,
            reuse_port=True,
        )
        self.public_port = sockets[0].getsockname()[1]
        server.add_sockets(sockets)
        self._servers.append(server)

    def listen_ready(self, host: str, port: int) -> None:
        """Serves the readiness check for load balancers on a separate port.

        Args:
          host: IP address.
          port: TCP port.
        """
        application = web.Application(
            [(peers.READY_PATH, _ReadyHandler, {"shell": self})],
            log_function=_discard_access_log,
        )
        server = graceful_server.GracefulServer(application)
        server.listen(port, host)
        self._servers.append(server)

    def stop(self) -> None:
        """Starts draining, as the first SIGTERM does."""
        self._stop_requested.set()

    async def run_until_stopped(self) -> None:
        """Logs the ports, waits for a stop signal, drains and stops serving."""
        on_stop_signal(self.stop)
        self.log.event(
            "started",
            port=self.port,
            public_port=self.public_port,
            availability_zone=self.environment.availability_zone,
            modules_without_bytecode=start_cost.modules_without_bytecode(),
            **start_cost.times(),
        )
        readiness = asyncio.create_task(self._log_readiness())
        await self._stop_requested.wait()
        self.log.event("draining")
        await self.drain()
        readiness.cancel()
        await self._stop_servers()
        self.log.event("stopped")
        ignore_stop_signals()

    async def _stop_servers(self) -> None:
        for server in self._servers:
            server.stop()
        await asyncio.gather(
            *(
                server.close_connections(_CLOSE_TIMEOUT_S)
                for server in self._servers
            )
        )

    async def _log_readiness(self) -> None:
        reason = None
        while True:
            current_reason = self.unready_reason()
            if current_reason != reason and current_reason:
                self.log.event("unready", reason=current_reason)
            elif current_reason != reason:
                self.log.event("ready", **start_cost.times())
            reason = current_reason
            await asyncio.sleep(_READINESS_CHECK_S)


def _discard_access_log(handler: web.RequestHandler) -> None:
    del handler
