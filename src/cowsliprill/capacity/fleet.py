"""The size that the letter names, and the limits that come with it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """Counts and rates of the whole fleet.

    Attributes:
      nodes: Entry VMs.
      engines: Prefill and decode engines.
      customers: Customers.
      changes_per_s: Changes of the settings, average of a day.
      requests_per_s: Requests at the peak.
      tokens_per_s: Generated tokens at the peak.
      vm_changes_per_s: Failures and restarts of VMs; each is two changes of
        the list.
      zones: Availability zones.
      slots: Slots of a decode engine.
    """

    nodes: int = 690
    engines: int = 5_900
    customers: int = 42_000
    changes_per_s: float = 25_000 / 86_400
    requests_per_s: float = 36_000.0
    tokens_per_s: float = 15_000_000.0
    vm_changes_per_s: float = 2 * (1_900 + 77) / 86_400
    zones: int = 10
    slots: int = 20

    @property
    def engines_per_home(self) -> float:
        """Engines whose home one node is."""
        return self.engines / self.nodes

    @property
    def requests_per_node(self) -> float:
        """Requests a second at one node."""
        return self.requests_per_s / self.nodes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What one node may spend on control, and what the platform stands.

    Attributes:
      core: Part of a core.
      memory_bytes: Resident memory.
      bytes_per_s: Bytes on the wire.
      change_s: Time until a change is in force everywhere.
      platform_reads_per_s: Calls of the platform by all nodes.
    """

    core: float = 0.027
    memory_bytes: float = 128e6
    bytes_per_s: float = 4_000.0
    change_s: float = 9.0
    platform_reads_per_s: float = 2_000.0


LETTER = FleetSize()
LIMITS = Limits()
