"""The settings and the VM list in force, as this process knows them."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import model
from cowsliprill.decisions import ownership


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

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Takes new settings or a new VM list."""
        self.snapshot = snapshot
        self.fleet = fleet
        self._homes_by_endpoint = {}

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

    def home_of(self, endpoint_id: str) -> model.Vm | None:
        """Returns the VM that is home to an endpoint, None if there is none."""
        if endpoint_id not in self._homes_by_endpoint:
            self._homes_by_endpoint[endpoint_id] = ownership.home_of(
                endpoint_id, self.fleet.vms_by_id.values()
            )
        return self._homes_by_endpoint[endpoint_id]
