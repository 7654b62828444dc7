"""Shares an endpoint's connection limit among the VMs.

An endpoint accepts a number of connections from all VMs together and resets
those beyond. A call on a connection that was reset may have been executed, so
a non-idempotent one can't be retried. The limit is reached by idle connections
rather than by running calls: each non-idempotent call opens a connection, and
with VMs that kept these open for 30 s, a fifth of such calls were cut off.
"""

import dataclasses
import enum
from collections.abc import Mapping

from cowsliprill.decisions import model

# Fraction of an endpoint's connections that is divided among the VMs. The rest
# covers connections of VMs that have lost power, which the endpoint hasn't
# detected yet, VMs that have just joined, and endpoints that accept fewer
# connections under load.
_SHARED_FRACTION = 0.75

# Fraction of a VM's connections that may be idle. Only idempotent calls reuse
# connections, and those of one VM rarely overlap at one endpoint.
_IDLE_FRACTION = 1 / 3

# A VM needs one connection for a call and one for the next, however small its
# share. In a fleet so large, each VM has few concurrent calls, so that all VMs
# together stay below the limit.
_MIN_CONNECTIONS = 2

Address = tuple[str, int]


class OpenAction(enum.Enum):
    """Action to take before a connection is opened."""

    OPEN = enum.auto()
    CLOSE_IDLE_FIRST = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Connection limits of one VM for one endpoint.

    Attributes:
      connections: Maximum number of connections, including those being opened.
      idle: Maximum number of idle connections.
    """

    connections: int
    idle: int

    def plan_open(self, connections: int, idle: int) -> OpenAction:
        """Decides on opening a connection.

        Args:
          connections: Current connections, including those being opened.
          idle: Number of idle ones among them.

        Returns:
          The action to take.
        """
        if connections < self.connections:
            return OpenAction.OPEN
        return OpenAction.CLOSE_IDLE_FIRST if idle else OpenAction.REFUSE

    def keeps_idle(self, connections: int, idle: int) -> bool:
        """Returns whether to keep a connection whose call has ended.

        Args:
          connections: Current connections, including this one.
          idle: Number of other connections that are idle.
        """
        return idle < self.idle and connections <= self.connections


def limits_per_vm(
    endpoint_limit: int, vm_count: int, leased_slots: int = 0
) -> ConnectionLimits:
    """Returns the connection limits of one VM.

    Coordinators lease an engine's slots to the VMs that have requests for it,
    so that the calls of all VMs together take no more connections than that.
    One VM may use them all, if the idle connections of the others fit in too.

    Args:
      endpoint_limit: Number of connections that the endpoint accepts from all
        VMs.
      vm_count: Number of VMs that share them.
      leased_slots: Number of slots that coordinators lease to the VMs, 0 if
        nothing bounds the calls of all VMs together.
    """
    vm_count = max(vm_count, 1)
    shared = int(endpoint_limit * _SHARED_FRACTION)
    share = max(shared // vm_count, _MIN_CONNECTIONS)
    idle = max(int(share * _IDLE_FRACTION), 1)
    if leased_slots and leased_slots + vm_count * idle <= shared:
        share = max(share, leased_slots + idle)
    return ConnectionLimits(connections=share, idle=idle)


def limits_for_endpoints(
    snapshot: model.Snapshot, fleet: model.Fleet
) -> Mapping[Address, ConnectionLimits]:
    """Returns this VM's limits for all endpoints that limit connections.

    Args:
      snapshot: The current settings.
      fleet: The VM list.

    Returns:
      Limits by address of the endpoint.
    """
    vm_count = sum(
        vm.role is model.VmRole.ENTRY for vm in fleet.vms_by_id.values()
    )
    return {
        (endpoint.host, endpoint.port): limits_per_vm(
            endpoint.connections_max, vm_count, _leased_slots(endpoint)
        )
        for endpoint in snapshot.endpoints_by_id.values()
        if endpoint.connections_max
    }


def _leased_slots(endpoint: model.Endpoint) -> int:
    if endpoint.kind is model.EndpointKind.PLAIN:
        return 0
    return endpoint.places or endpoint.slots
