"""Dispatch process: coordinates a part of the fleet's engines."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from cowsliprill import clock
from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill import process
from cowsliprill.dispatch import canceller as canceller_lib
from cowsliprill.dispatch import context as context_lib
from cowsliprill.dispatch import coordinated_endpoints as coordinated_lib
from cowsliprill.dispatch import handlers
from cowsliprill.dispatch import load_poller as load_poller_lib
from cowsliprill.dispatch import order_sender as order_sender_lib
from cowsliprill.dispatch import orphan_reaper as orphan_reaper_lib
from cowsliprill.dispatch import slot_lease_server
from cowsliprill.dispatch import zone_monitor as zone_monitor_lib
from cowsliprill.engines import engine_client
from cowsliprill.engines import http_client
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import follower as follower_lib

_TASK_RESTART_DELAY_S = 0.5


class DispatchProcess:
    """Builds, starts and stops the components of a dispatch process.

    Args:
      environment: Environment file of this process.
      log: Log of the process.
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        client = peer_client.PeerClient()
        self._http_client = http_client.HttpClient()
        self._context = context_lib.DispatchContext(
            environment=environment,
            follower=follower_lib.Follower(environment, client, log),
            coordinated=coordinated_lib.CoordinatedEndpoints(environment.vm),
            engines=engine_client.EngineClient(self._http_client),
            peers=client,
            auth=peer_auth.PeerAuth(environment.peer_secret.get_secret_value()),
            log=log,
            metrics=metrics,
        )
        self._zone_monitor = zone_monitor_lib.ZoneMonitor(self._context)
        self._canceller = canceller_lib.Canceller(self._context)
        self._orphan_reaper = orphan_reaper_lib.OrphanReaper(
            self._context, self._zone_monitor, self._canceller.add
        )
        self._order_sender = order_sender_lib.OrderSender(
            self._context, self._zone_monitor
        )
        self._load_poller = load_poller_lib.LoadPoller(self._context)
        self._lease_server = slot_lease_server.SlotLeaseServer(
            self._context.coordinated,
            clock.now,
            self._orphan_reaper.record_heartbeat,
        )
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._context.follower.subscribe(self._apply_cluster_state)

    def routes(self) -> list[tuple]:
        """Returns the tornado routes of the process."""
        auth = self._context.auth
        slots_arguments = {"auth": auth, "desk": self._lease_server}
        cancels_arguments = {"auth": auth, "canceller": self._canceller}
        return [
            (peers.SLOTS_PATH, handlers.SlotsHandler, slots_arguments),
            (peers.CANCELS_PATH, handlers.CancelsHandler, cancels_arguments),
        ]

    def start(self) -> None:
        """Starts the background tasks."""
        jobs = {
            "follower": self._context.follower.run,
            "desk": self._lease_server.run,
            "canceller": self._canceller.run,
            "sweeper": self._orphan_reaper.run,
            "orderer": self._order_sender.run,
            "reporter": self._load_poller.run,
        }
        for name, job in jobs.items():
            task = asyncio.create_task(self._run_supervised(name, job))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Stops the tasks, ends long polls and hands over cancellations.

        Entry processes then turn to the next coordinator of each endpoint.
        """
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        self._lease_server.end_long_polls()
        await self._canceller.hand_over()
        self._context.peers.close()
        self._http_client.close()

    def unready_reason(self) -> str:
        """Returns why the process can't serve, empty if it can."""
        if self._stopping:
            return "the process is stopping"
        if not self._context.follower.is_ready():
            return "settings and VM list are not known yet"
        return ""

    def status(self) -> dict[str, Any]:
        """Returns the response body of `GET /v1/status`."""
        now = clock.now()
        endpoints = {
            endpoint_id: {
                "slots": state.ledger.slots,
                "granted": state.ledger.leased(),
                "in_use": state.ledger.used(),
                "waiting": state.ledger.waiting(),
                "report_age_s": round(now - state.load_read_at, 3),
            }
            for endpoint_id, state in self._context.coordinated.by_id.items()
        }
        return {
            "revision": self._context.follower.snapshot.revision,
            "unready_reason": self.unready_reason(),
            "pending_cancels": self._canceller.pending,
            "orders_held": self._order_sender.status(),
            "endpoints": endpoints,
        }

    def _apply_cluster_state(self) -> None:
        follower = self._context.follower
        coordinated = self._context.coordinated
        previous_ids = set(coordinated.by_id)
        coordinated.update(follower.snapshot, follower.fleet, clock.now())
        current_ids = set(coordinated.by_id)
        if previous_ids != current_ids:
            self._context.log.event(
                "homes_changed",
                gained=len(current_ids - previous_ids),
                lost=len(previous_ids - current_ids),
                homed=len(current_ids),
            )
        self._context.metrics.revision.set({}, follower.snapshot.revision)
        self._orphan_reaper.update()
        self._order_sender.update()
        self._lease_server.regrant()

    async def _run_supervised(
        self, name: str, job: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        # An exception must not silently end a task. Without the orphan reaper,
        # for example, engines would fill up with requests of dead entry
        # processes, which would show only when slots run out.
        while True:
            try:
                await job()
            except Exception as error:  # noqa: BLE001
                self._context.log.error(
                    "task_failed", task=name, reason=repr(error)
                )
                self._context.count("task_failed")
                await asyncio.sleep(_TASK_RESTART_DELAY_S)


async def serve(environment: environment_lib.Environment) -> None:
    """Runs the dispatch process until a stop signal arrives.

    Args:
      environment: Environment file of this process.
    """
    log = log_lib.open_log(f"dispatch.{environment.vm}")
    metrics = metrics_lib.Metrics()
    dispatch = DispatchProcess(environment, log, metrics)
    runner = process.Process(
        environment,
        log,
        metrics,
        unready_reason=dispatch.unready_reason,
        status=dispatch.status,
        drain=dispatch.stop,
    )
    runner.listen(dispatch.routes())
    dispatch.start()
    await runner.run_until_stopped()
