"""The settings and the VM list in force, as this process knows them."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous

# Endpoints that are gone and remembered as such.
_GONE_MAX = 1_000


class Source(Protocol):
    """Where settings and VM list come from: `settings.follower.Follower`.

    Attributes:
      snapshot: The settings in force.
      fleet: The VM list with news.
    """

    snapshot: model.Snapshot
    fleet: model.Fleet

    async def run(self) -> None:
        """Follows for ever."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Has a function called after each change."""

    def accepts_api_keys(self) -> bool:
        """Returns whether API keys of the settings may be honoured now."""

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        """Tells all VMs that an endpoint is leaving."""


@dataclasses.dataclass(slots=True)
class World:
    """What the process's tasks read; only the follower's callback writes it.

    Attributes:
      snapshot: The settings in force.
      fleet: The VM list with news.
    """

    snapshot: model.Snapshot = dataclasses.field(default_factory=model.Snapshot)
    fleet: model.Fleet = dataclasses.field(default_factory=model.Fleet)
    _leaving_until_by_endpoint: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    _homes_by_endpoint: dict[str, model.Vm | None] = dataclasses.field(
        default_factory=dict
    )
    _gone: dict[str, None] = dataclasses.field(default_factory=dict)
    _updated: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Takes new settings or a new VM list."""
        present = snapshot.endpoints_by_id.keys()
        for endpoint_id in self.snapshot.endpoints_by_id.keys() - present:
            self._gone[endpoint_id] = None
        while len(self._gone) > _GONE_MAX:
            del self._gone[next(iter(self._gone))]
        self.snapshot = snapshot
        self.fleet = fleet
        self._homes_by_endpoint = {}
        self._updated.set()
        self._updated = asyncio.Event()

    async def wait_until_listed(self, endpoint_id: str, wait_s: float) -> None:
        """Waits for an endpoint that another VM knows and this one doesn't.

        News of a new endpoint reach some VMs before others. One that was here
        and is gone isn't waited for.

        Args:
          endpoint_id: The endpoint; empty for none.
          wait_s: Longest time.
        """
        try:
            async with asyncio.timeout(wait_s):
                while self._is_unheard_of(endpoint_id):
                    await self._updated.wait()
        except TimeoutError:
            pass

    def _is_unheard_of(self, endpoint_id: str) -> bool:
        return bool(
            endpoint_id
            and endpoint_id not in self.snapshot.endpoints_by_id
            and endpoint_id not in self._gone
        )

    def note_leaving(self, endpoint_id: str, until: float) -> None:
        """Notes an endpoint's own draining answer until its news expire.

        The VM list hears of it through the settings process and the peers;
        until then this process would go on sending work there.
        """
        self._leaving_until_by_endpoint[endpoint_id] = until

    def is_leaving(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint is known to be leaving."""
        return endpoint_id in self.fleet_at(now).leaving_endpoint_ids

    def fleet_at(self, now: float) -> model.Fleet:
        """Returns the VM list with this process's own news."""
        own = {
            endpoint_id
            for endpoint_id, until in self._leaving_until_by_endpoint.items()
            if until > now
        }
        return dataclasses.replace(
            self.fleet,
            leaving_endpoint_ids=self.fleet.leaving_endpoint_ids | own,
        )

    def coordinator_of(self, endpoint_id: str) -> model.Vm | None:
        """Returns the VM that is home to an endpoint, None if there is none."""
        if endpoint_id not in self._homes_by_endpoint:
            self._homes_by_endpoint[endpoint_id] = rendezvous.coordinator_of(
                endpoint_id, self.fleet.vms_by_id.values()
            )
        return self._homes_by_endpoint[endpoint_id]
