"""Assembly of a settings process: controllers, watchers, gossip and tasks."""

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
from cowsliprill.settings import fetch
from cowsliprill.settings import fleet as fleet_lib
from cowsliprill.settings import gossip as gossip_lib
from cowsliprill.settings import parts
from cowsliprill.settings import platform_client
from cowsliprill.settings import platform_watch
from cowsliprill.settings import resolve
from cowsliprill.settings import store as store_lib

# A reply has at most a megabyte of parts, or one part; JSON escapes add to it.
_MAX_BODY_BYTES = 4 * parts.MAX_VALUE_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingReport:
    """Report of a local process that an endpoint is leaving.

    Attributes:
      endpoint_id: Id of the endpoint.
      ttl_s: TTL of the leaving notice in seconds.
    """

    endpoint_id: str
    ttl_s: float


class SettingsService:
    """A settings process without its HTTP server.

    Args:
      environment: Configuration from the environment variables.
      log: Log of the process.
      metrics: Metrics of the process.
      audit: Audit trail of the VM.

    Attributes:
      url: URL of this process, set once its port is known.
      auth: Signs and verifies the bodies of peer messages.
      audit: Audit trail of the VM.
      store: Store of the settings parts.
      settings: Controller of the active settings.
      fleet: Controller of the VM list.
      exchange: Gossip with the settings processes of other VMs.
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
            # Start above the versions of earlier incarnations of this VM, which
            # aren't stored: followers would take a lower version for an
            # outdated response.
            int(time.time() * 1000),
            self._endpoints,
            audit,
        )
        self.exchange = gossip_lib.SettingsGossip(
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
        self._head_watcher = platform_watch.HeadWatcher(
            self._platform, self.settings, self._random, log, metrics
        )
        self._vm_list_poller = platform_watch.VmListPoller(
            self._platform, self.fleet, self._random, log, metrics
        )
        self._booted = False
        self._stopping = False
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts the background tasks."""
        if not self.auth.is_enabled:
            self._log.warning("peer_secret_missing")
        jobs_by_name = {
            "controller": self.settings.run,
            "fleet": self.fleet.run,
            "endpoints": self._refresh_fleet_on_change,
            "boot": self._boot,
        }
        for name, job in jobs_by_name.items():
            task = asyncio.create_task(self._supervise(name, job))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Cancels the background tasks and ends all long polls."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        self.settings.changes.notify()
        self.fleet.changes.notify()
        self._client.close()

    def unready_reason(self) -> str:
        """Returns why this process isn't ready, empty if ready."""
        if not self._booted:
            return "the boot peers were not all asked yet"
        if self.settings.head is None:
            return "no revision is in force yet"
        if not self.fleet.listed:
            return "no VM list was read yet"
        return ""

    def status(self) -> dict[str, Any]:
        """Returns the response body of `GET /v1/status`."""
        head = self.settings.head
        refused = self.settings.refused()
        return {
            "revision": self.settings.version.revision,
            "index": self.settings.version.index,
            "published_by": head.published_by if head else "",
            "in_force_for_s": clock.now() - self.settings.active_since,
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
        self, known_version: tuple[int, str], wait_s: float
    ) -> parts.Head | None:
        """Waits until the active version differs from the caller's.

        Args:
          known_version: Revision and index hash that the caller has.
          wait_s: Timeout in seconds.

        Returns:
          The active head; None on timeout or shutdown. No head is returned
          before startup is complete: a local process must not start with a
          version that peers would replace.
        """
        deadline = clock.now() + wait_s
        while not self._has_other_version(known_version):
            remaining_s = deadline - clock.now()
            if remaining_s <= 0 or self._stopping:
                return None
            await self.settings.changes.wait(remaining_s)
        return self.settings.head

    async def wait_for_fleet(
        self, known_version: int, wait_s: float
    ) -> model.Fleet | None:
        """Waits until the fleet's version differs from the caller's.

        Args:
          known_version: Fleet version that the caller has.
          wait_s: Timeout in seconds.

        Returns:
          The fleet; None on timeout or shutdown.
        """
        deadline = clock.now() + wait_s
        while (
            not self.fleet.listed or self.fleet.fleet.version == known_version
        ):
            remaining_s = deadline - clock.now()
            if remaining_s <= 0 or self._stopping:
                return None
            await self.fleet.changes.wait(remaining_s)
        return self.fleet.fleet

    def _has_other_version(self, known_version: tuple[int, str]) -> bool:
        version = self.settings.version
        is_known = self._booted and self.settings.head is not None
        return is_known and (version.revision, version.index) != known_version

    def _endpoints(self) -> list[model.Endpoint]:
        return list(self.settings.snapshot.endpoints_by_id.values())

    def _sources(self, source_url: str, missing: int) -> list[fetch.Source]:
        order = fetch.order_sources(
            source_url, missing, self.exchange.peer_urls(), self._random
        )
        return [
            fetch.PeerSource(self._client, url)
            if url
            else fetch.PlatformSource(self._platform, self._random)
            for url in order
        ]

    async def _refresh_fleet_on_change(self) -> None:
        while True:
            await self.settings.changes.wait(gossip_lib.GOSSIP_INTERVAL_S)
            self.fleet.refresh()

    async def _boot(self) -> None:
        await asyncio.gather(
            self._head_watcher.read(-1),
            self._vm_list_poller.read(),
            self.exchange.query_boot_peers(),
        )
        self._booted = True
        self.settings.changes.notify()
        await asyncio.gather(
            self._supervise("settings_reader", self._head_watcher.run),
            self._supervise("list_reader", self._vm_list_poller.run),
            self._supervise("exchange", self.exchange.run),
        )

    async def _supervise(self, name: str, job: Any) -> None:
        # Restart a failed task: without it the process would pass its health
        # checks and stay at an old revision forever.
        while True:
            try:
                await job()
            except Exception as error:
                self._log.error("task_failed", task=name, reason=repr(error))
                await asyncio.sleep(1)
