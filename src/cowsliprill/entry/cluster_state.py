"""Cluster state of this process: the current settings and VM list."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous

# Bounds the memory for the ids of removed endpoints.
_MAX_REMOVED_ENDPOINTS = 1_000


class ClusterStateSource(Protocol):
    """Provides settings and the VM list, as `settings.follower.Follower` does.

    Attributes:
      snapshot: Current settings.
      fleet: VM list with the endpoints that are leaving.
      lists_ends: Whether an endpoint that has ended disappears from `snapshot`.
    """

    snapshot: model.Snapshot
    fleet: model.Fleet
    lists_ends: bool

    async def run(self) -> None:
        """Keeps `snapshot` and `fleet` up to date until cancelled."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after each change."""

    def accepts_api_keys(self) -> bool:
        """Returns whether the settings are fresh enough to accept API keys."""

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        """Publishes to all VMs that an endpoint is leaving.

        Args:
          endpoint_id: The endpoint.
          ttl_s: Seconds after which the leaving notice expires.
        """


@dataclasses.dataclass(slots=True)
class ClusterState:
    """Settings and VM list shared by all tasks of the process.

    Only the callback of the settings follower replaces them.

    Attributes:
      snapshot: Current settings.
      fleet: VM list as received, without the notices of `mark_leaving`.
    """

    snapshot: model.Snapshot = dataclasses.field(default_factory=model.Snapshot)
    fleet: model.Fleet = dataclasses.field(default_factory=model.Fleet)
    _leaving_until_by_incarnation: dict[tuple[str, str], float] = (
        dataclasses.field(default_factory=dict)
    )
    _coordinators_by_endpoint: dict[str, model.Vm | None] = dataclasses.field(
        default_factory=dict
    )
    _removed_endpoints: dict[str, None] = dataclasses.field(
        default_factory=dict
    )
    _updated: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Replaces the settings and the VM list."""
        present = snapshot.endpoints_by_id.keys()
        for endpoint_id in self.snapshot.endpoints_by_id.keys() - present:
            self._removed_endpoints[endpoint_id] = None
        while len(self._removed_endpoints) > _MAX_REMOVED_ENDPOINTS:
            del self._removed_endpoints[next(iter(self._removed_endpoints))]
        self.snapshot = snapshot
        self.fleet = fleet
        self._coordinators_by_endpoint = {}
        self._updated.set()
        self._updated = asyncio.Event()

    async def wait_until_listed(
        self, endpoint_id: str, timeout_s: float
    ) -> None:
        """Waits until the settings contain an endpoint.

        Updates that add an endpoint reach some VMs before others, so another
        VM may name an endpoint that this process doesn't know yet. Returns at
        once for an endpoint that has been removed.

        Args:
          endpoint_id: The endpoint; empty returns at once.
          timeout_s: Longest wait in seconds; no error is raised after it.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self._is_unknown(endpoint_id):
                    await self._updated.wait()
        except TimeoutError:
            pass

    def _is_unknown(self, endpoint_id: str) -> bool:
        return bool(
            endpoint_id
            and endpoint_id not in self.snapshot.endpoints_by_id
            and endpoint_id not in self._removed_endpoints
        )

    def mark_leaving(self, endpoint_id: str, until: float) -> None:
        """Marks an endpoint as leaving after it has responded that it drains.

        The VM list gets the leaving notice only by way of the settings process
        and the peers; without the mark this process would send requests to the
        endpoint until then.

        Args:
          endpoint_id: The endpoint.
          until: When the mark expires, in seconds.
        """
        endpoint = self.snapshot.endpoints_by_id.get(endpoint_id)
        if endpoint is not None:
            self._leaving_until_by_incarnation[endpoint.incarnation] = until

    def is_leaving(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint is leaving by either kind of notice."""
        return endpoint_id in self.fleet_at(now).leaving_endpoint_ids

    def fleet_at(self, now: float) -> model.Fleet:
        """Returns the VM list with this process's own leaving marks added.

        Args:
          now: Current time in seconds.
        """
        endpoints_by_id = self.snapshot.endpoints_by_id
        marked = {
            endpoint_id
            for (endpoint_id, life), until in (
                self._leaving_until_by_incarnation.items()
            )
            if until > now
            and (endpoint := endpoints_by_id.get(endpoint_id))
            and endpoint.life == life
        }
        return dataclasses.replace(
            self.fleet,
            leaving_endpoint_ids=self.fleet.leaving_endpoint_ids | marked,
        )

    def coordinator_of(self, endpoint_id: str) -> model.Vm | None:
        """Returns the coordinator VM of an endpoint, None if there is none."""
        if endpoint_id not in self._coordinators_by_endpoint:
            self._coordinators_by_endpoint[endpoint_id] = (
                rendezvous.coordinator_of(
                    endpoint_id, self.fleet.vms_by_id.values()
                )
            )
        return self._coordinators_by_endpoint[endpoint_id]
