"""Size of the fleet that the router is planned for, and its resource limits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """Sizes and request rates of the whole fleet.

    Attributes:
      entry_vms: VMs that run entry, dispatch and settings processes.
      engines: Number of prefill and decode engines.
      customers: Number of customers.
      settings_changes_per_s: Settings changes per second, averaged over a
        day.
      requests_per_s: Requests per second at peak load.
      tokens_per_s: Generated tokens per second at peak load.
      vm_list_changes_per_s: Changes of the VM list per second; each failure
        or restart of a VM changes the list twice.
      availability_zones: Number of availability zones.
      slots_per_decode_engine: Requests that a decode engine runs at once.
    """

    entry_vms: int = 690
    engines: int = 5_900
    customers: int = 42_000
    settings_changes_per_s: float = 25_000 / 86_400
    requests_per_s: float = 36_000.0
    tokens_per_s: float = 15_000_000.0
    vm_list_changes_per_s: float = 2 * (1_900 + 77) / 86_400
    availability_zones: int = 10
    slots_per_decode_engine: int = 20

    @property
    def engines_per_coordinator(self) -> float:
        """Returns the mean number of engines that one VM coordinates."""
        return self.engines / self.entry_vms

    @property
    def requests_per_s_per_vm(self) -> float:
        """Returns the requests per second through one VM at peak load."""
        return self.requests_per_s / self.entry_vms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResourceLimits:
    """Limits on control-plane work per VM and on load of the platform API.

    Attributes:
      core_fraction: CPU time per VM, as a fraction of one core.
      memory_bytes: Resident memory per VM.
      bytes_per_s: Network traffic per VM, bytes per second.
      settings_propagation_s: Time until a settings change is in force on all
        VMs.
      platform_calls_per_s: Platform API calls per second by all VMs together.
    """

    core_fraction: float = 0.027
    memory_bytes: float = 128e6
    bytes_per_s: float = 4_000.0
    settings_propagation_s: float = 9.0
    platform_calls_per_s: float = 2_000.0


TARGET_FLEET = FleetSize()
TARGET_LIMITS = ResourceLimits()
