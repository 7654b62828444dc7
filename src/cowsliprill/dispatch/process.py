"""The dispatch process: home of some of the fleet's engines."""

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
from cowsliprill.dispatch import handlers
from cowsliprill.dispatch import homes as homes_lib
from cowsliprill.dispatch import orderer as orderer_lib
from cowsliprill.dispatch import reporter as reporter_lib
from cowsliprill.dispatch import slot_desk
from cowsliprill.dispatch import sweeper as sweeper_lib
from cowsliprill.dispatch import world as world_lib
from cowsliprill.dispatch import zone as zone_lib
from cowsliprill.engines import engine_client
from cowsliprill.engines import http_client
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import follower as follower_lib

_RESTART_S = 0.5


class Dispatch:
    """The parts of one dispatch process.

    Args:
      environment: What the process was told about itself.
      log: Its log.
      metrics: Its metrics.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        client = peer_client.PeerClient()
        self._http = http_client.HttpClient()
        self._world = world_lib.World(
            environment=environment,
            follower=follower_lib.Follower(environment, client, log),
            homes=homes_lib.Homes(environment.vm),
            engines=engine_client.EngineClient(self._http),
            peers=client,
            auth=peer_auth.PeerAuth(environment.peer_secret.get_secret_value()),
            log=log,
            metrics=metrics,
        )
        self._zone = zone_lib.Zone(self._world)
        self._canceller = canceller_lib.Canceller(self._world)
        self._sweeper = sweeper_lib.Sweeper(
            self._world, self._zone, self._canceller.add
        )
        self._orderer = orderer_lib.Orderer(self._world, self._zone)
        self._reporter = reporter_lib.Reporter(self._world)
        self._desk = slot_desk.SlotDesk(
            self._world.homes, clock.now, self._sweeper.record_heartbeat
        )
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._world.follower.subscribe(self._update)

    def routes(self) -> list[tuple]:
        """Returns the tornado routes of the process."""
        auth = self._world.auth
        desk = {"auth": auth, "desk": self._desk}
        canceller = {"auth": auth, "canceller": self._canceller}
        return [
            (peers.SLOTS_PATH, handlers.SlotsHandler, desk),
            (peers.CANCELS_PATH, handlers.CancelsHandler, canceller),
        ]

    def start(self) -> None:
        """Starts the tasks."""
        jobs = {
            "follower": self._world.follower.run,
            "desk": self._desk.run,
            "canceller": self._canceller.run,
            "sweeper": self._sweeper.run,
            "orderer": self._orderer.run,
            "reporter": self._reporter.run,
        }
        for name, job in jobs.items():
            task = asyncio.create_task(self._keep_running(name, job))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Hands over what is left; entries turn to the next home."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        self._desk.release()
        await self._canceller.hand_over()
        self._world.peers.close()
        self._http.close()

    def unready_reason(self) -> str:
        """Returns why the process can't serve, empty if it can."""
        if self._stopping:
            return "the process is stopping"
        if not self._world.follower.is_ready():
            return "settings and VM list are not known yet"
        return ""

    def status(self) -> dict[str, Any]:
        """Returns what `GET /v1/status` answers."""
        now = clock.now()
        endpoints = {
            name: {
                "slots": home.ledger.slots,
                "granted": home.ledger.leased(),
                "in_use": home.ledger.used(),
                "waiting": home.ledger.waiting(),
                "report_age_s": round(now - home.reported_at, 3),
            }
            for name, home in self._world.homes.by_endpoint.items()
        }
        return {
            "revision": self._world.follower.snapshot.revision,
            "unready_reason": self.unready_reason(),
            "pending_cancels": self._canceller.pending,
            "orders_held": self._orderer.status(),
            "endpoints": endpoints,
        }

    def _update(self) -> None:
        follower = self._world.follower
        homes = self._world.homes
        before = set(homes.by_endpoint)
        homes.update(follower.snapshot, follower.fleet, clock.now())
        after = set(homes.by_endpoint)
        if before != after:
            self._world.log.event(
                "homes_changed",
                gained=len(after - before),
                lost=len(before - after),
                homed=len(after),
            )
        self._world.metrics.revision.set({}, follower.snapshot.revision)
        self._sweeper.update()
        self._orderer.update()
        self._desk.regrant()

    async def _keep_running(
        self, name: str, job: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        # A fault in one task must not silently end it: the sweep would stop
        # and engines would fill up with requests of dead entries. One would
        # notice only when slots run out.
        while True:
            try:
                await job()
            except Exception as error:  # noqa: BLE001
                self._world.log.error(
                    "task_failed", task=name, reason=repr(error)
                )
                self._world.count("task_failed")
                await asyncio.sleep(_RESTART_S)


async def serve(environment: environment_lib.Environment) -> None:
    """Runs the dispatch process until it is told to stop.

    Args:
      environment: What the process was told about itself.
    """
    log = log_lib.open_log(f"dispatch.{environment.vm}")
    metrics = metrics_lib.Metrics()
    dispatch = Dispatch(environment, log, metrics)
    shell = process.Process(
        environment,
        log,
        metrics,
        unready_reason=dispatch.unready_reason,
        status=dispatch.status,
        drain=dispatch.stop,
    )
    shell.listen(dispatch.routes())
    dispatch.start()
    await shell.run_until_stopped()
