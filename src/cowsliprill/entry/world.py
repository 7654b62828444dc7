"""The settings and the VM list in force, as this process knows them."""

import dataclasses

from cowsliprill.decisions import model
from cowsliprill.decisions import ownership


@dataclasses.dataclass(slots=True)
class World:
    """What the process's tasks read; only the follower's callback writes it.

    Attributes:
      snapshot: The settings in force.
      fleet: The VM list with news.
    """

    snapshot: model.Snapshot = dataclasses.field(default_factory=model.Snapshot)
    fleet: model.Fleet = dataclasses.field(default_factory=model.Fleet)
    _homes_by_endpoint: dict[str, model.Vm | None] = dataclasses.field(
        default_factory=dict
    )

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Takes new settings or a new VM list."""
        self.snapshot = snapshot
        self.fleet = fleet
        self._homes_by_endpoint = {}

    def home_of(self, endpoint_id: str) -> model.Vm | None:
        """Returns the VM that is home to an endpoint, None if there is none."""
        if endpoint_id not in self._homes_by_endpoint:
            self._homes_by_endpoint[endpoint_id] = ownership.home_of(
                endpoint_id, self.fleet.vms_by_id.values()
            )
        return self._homes_by_endpoint[endpoint_id]
