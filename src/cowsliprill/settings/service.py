"""The parts of one settings process, put together."""

import asyncio
import dataclasses
import random
import time
from typing import Any

from cowsliprill import clock
from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill.decisions import model
from cowsliprill.decisions import pacing
from cowsliprill.observability import audit as audit_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import controller as controller_lib
from cowsliprill.settings import exchange as exchange_lib
from cowsliprill.settings import fetch
from cowsliprill.settings import fleet as fleet_lib
from cowsliprill.settings import parts
from cowsliprill.settings import platform_client
from cowsliprill.settings import reader
from cowsliprill.settings import resolve
from cowsliprill.settings import store as store_lib

# A bulk of parts is at most a megabyte, or one part, plus JSON's escapes.
_MAX_BODY_BYTES = 4 * parts.MAX_VALUE_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingReport:
    """A local process's report that an endpoint is leaving.

    Attributes:
      endpoint_id: The endpoint.
      ttl_s: How long the news shall hold, seconds.
    """

    endpoint_id: str
    ttl_s: float


class SettingsService:
    """One settings process without its HTTP server.

    Args:
      environment: What the process was told about itself.
      log: Its log.
      metrics: Its metrics.
      audit: The VM's audit trail.

    Attributes:
      url: This process's own URL, set once its port is known.
      auth: Signs and checks peers' bodies.
      audit: The audit trail.
      store: Texts of the settings' parts.
      settings: Owner of the settings in force.
      fleet: Owner of the VM list.
      exchange: Speaks with peers.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        audit: audit_lib.AuditTrail,
    ) -> None:
        self.url = ""
        self.auth = peer_auth.PeerAuth(
            environment.peer_secret.get_secret_value()
        )
        self.audit = audit
        self.store = store_lib.PartStore()
        self._log = log
        self._random = random.Random(environment.seed)
        self._client = peer_client.PeerClient(_MAX_BODY_BYTES)
        self._platform = platform_client.PlatformClient(
            self._client,
            environment.platform_url,
            environment.vm_list_url,
            pacing.CallRateLimiter(updated_at=clock.now()),
        )
        self.settings = controller_lib.SettingsController(
            self.store,
            fetch.Fetcher(self.store, self._sources),
            resolve.Resolver(),
            log,
            metrics,
            audit,
        )
        self.fleet = fleet_lib.FleetController(
            environment.vm,
            # Above the versions of this VM's earlier lives, with no memory of
            # them: followers would take a lower one for an old answer.
            int(time.time() * 1000),
            self._endpoints,
            audit,
        )
        self.exchange = exchange_lib.PeerExchange(
            lambda: self.url,
            environment.boot_peers,
            self.settings,
            self.fleet,
            self._client,
            self.auth,
            self._random,
            log,
            metrics,
        )
        self._settings_reader = reader.SettingsReader(
            self._platform, self.settings, self._random, log, metrics
        )
        self._list_reader = reader.ListReader(
            self._platform, self.fleet, self._random, log, metrics
        )
        self._booted = False
        self._stopping = False
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts the tasks."""
        if not self.auth.checks:
            self._log.warning("peer_secret_missing")
        jobs = {
            "controller": self.settings.run,
            "fleet": self.fleet.run,
            "endpoints": self._follow_endpoints,
            "boot": self._boot,
        }
        for name, job in jobs.items():
            task = asyncio.create_task(self._keep_running(name, job))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Ends the tasks and lets waiting callers go."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        self.settings.changes.notify()
        self.fleet.changes.notify()
        self._client.close()

    def unready_reason(self) -> str:
        """Returns why the settings here can't be used yet, empty if so."""
        if not self._booted:
            return "the boot peers were not all asked yet"
        if self.settings.head is None:
            return "no revision is in force yet"
        if not self.fleet.listed:
            return "no VM list was read yet"
        return ""

    def status(self) -> dict[str, Any]:
        """Returns what `GET /v1/status` answers."""
        head = self.settings.head
        refused = self.settings.refused()
        return {
            "revision": self.settings.version.revision,
            "index": self.settings.version.index,
            "published_by": head.published_by if head else "",
            "in_force_for_s": clock.now() - self.settings.in_force_since,
            "refused": {
                f"{version.revision}/{version.index}": reason
                for version, reason in refused.items()
            },
            "vms": len(self.fleet.fleet.vms_by_id),
            "vm_list_age_s": self.fleet.list_age_s()
            if self.fleet.listed
            else None,
            "leaving_endpoints": sorted(self.fleet.fleet.leaving_endpoint_ids),
            "unready_reason": self.unready_reason(),
        }

    async def wait_for_head(
        self, have: tuple[int, str], wait_s: float
    ) -> parts.Head | None:
        """Waits for a version other than the one the caller has.

        Args:
          have: Revision and index hash that the caller has.
          wait_s: How long at most, seconds.

        Returns:
          The head in force; None if the caller has it, or this VM is not ready
          yet: a local process must not begin with a version that peers would
          have replaced.
        """
        ends_at = clock.now() + wait_s
        while not self._has_other(have):
            left_s = ends_at - clock.now()
            if left_s <= 0 or self._stopping:
                return None
            await self.settings.changes.wait(left_s)
        return self.settings.head

    async def wait_for_fleet(
        self, have: int, wait_s: float
    ) -> model.Fleet | None:
        """Waits for a version of the fleet other than the caller's.

        Args:
          have: Version that the caller has.
          wait_s: How long at most, seconds.

        Returns:
          The fleet; None if the caller has it or none is known.
        """
        ends_at = clock.now() + wait_s
        while not self.fleet.listed or self.fleet.fleet.version == have:
            left_s = ends_at - clock.now()
            if left_s <= 0 or self._stopping:
                return None
            await self.fleet.changes.wait(left_s)
        return self.fleet.fleet

    def _has_other(self, have: tuple[int, str]) -> bool:
        version = self.settings.version
        known = self._booted and self.settings.head is not None
        return known and (version.revision, version.index) != have

    def _endpoints(self) -> list[model.Endpoint]:
        return list(self.settings.snapshot.endpoints_by_id.values())

    def _sources(self, heard_at: str, missing: int) -> list[fetch.Source]:
        order = fetch.order_sources(
            heard_at, missing, self.exchange.peer_urls(), self._random
        )
        return [
            fetch.PeerSource(self._client, url)
            if url
            else fetch.PlatformSource(self._platform, self._random)
            for url in order
        ]

    async def _follow_endpoints(self) -> None:
        while True:
            await self.settings.changes.wait(exchange_lib.INTERVAL_S)
            self.fleet.refresh()

    async def _boot(self) -> None:
        await asyncio.gather(
            self._settings_reader.read(-1),
            self._list_reader.read(),
            self.exchange.ask_boot_peers(),
        )
        self._booted = True
        self.settings.changes.notify()
        await asyncio.gather(
            self._keep_running("settings_reader", self._settings_reader.run),
            self._keep_running("list_reader", self._list_reader.run),
            self._keep_running("exchange", self.exchange.run),
        )

    async def _keep_running(self, name: str, job: Any) -> None:
        # A process that lost one of its tasks would answer its health check
        # and stay at an old revision for ever.
        while True:
            try:
                await job()
            except Exception as error:
                self._log.error("task_failed", task=name, reason=repr(error))
                await asyncio.sleep(1)
