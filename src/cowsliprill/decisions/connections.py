"""How many connections this VM may have to an endpoint that bounds them.

Pure. An endpoint takes a number of connections from all VMs together and
resets what comes beyond. A call that is cut like that may have run for all
that anybody knows, so an unrepeatable one can't be made again. What fills the
bound are idle connections rather than calls: unrepeatable calls open one each,
and every VM that kept those for half a minute had a fifth of its bookings cut.
"""

import dataclasses
import enum
from collections.abc import Mapping

from cowsliprill.decisions import model

# Part of an endpoint's connections that the VMs share out. The rest is for
# those of VMs that have lost power, which the endpoint hasn't noticed yet, for
# a VM that has just joined, and for an endpoint that takes fewer while busy.
_SHARED_PART = 0.75

# Part of a VM's connections that may be idle. Only repeatable calls use one
# again, and those of one VM seldom overlap at one endpoint.
_IDLE_PART = 1 / 3

# A VM needs one for a call and one for the next, whatever its part is. Among so
# many VMs each has few calls at a time, so that all of them stay below the
# bound together.
_LEAST = 2

Address = tuple[str, int]


class Opening(enum.Enum):
    """What has to be done for a new connection."""

    OPEN = enum.auto()
    CLOSE_IDLE_FIRST = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Allowance:
    """One VM's part of an endpoint's connections.

    Attributes:
      connections: Connections at most, those being opened included.
      idle: Idle ones at most.
    """

    connections: int
    idle: int

    def opening(self, connections: int, idle: int) -> Opening:
        """Decides on a new connection.

        Args:
          connections: Connections there are, those being opened included.
          idle: How many of them no call uses.
        """
        if connections < self.connections:
            return Opening.OPEN
        return Opening.CLOSE_IDLE_FIRST if idle else Opening.REFUSE

    def keeps(self, connections: int, idle: int) -> bool:
        """Returns whether a connection whose call has ended is kept.

        Args:
          connections: Connections there are, this one included.
          idle: How many others no call uses.
        """
        return idle < self.idle and connections <= self.connections


def allowance(bound: int, vms: int) -> Allowance:
    """Returns one VM's part.

    Args:
      bound: Connections that the endpoint takes from all VMs.
      vms: VMs that share them.
    """
    part = max(int(bound * _SHARED_PART / max(vms, 1)), _LEAST)
    return Allowance(connections=part, idle=max(int(part * _IDLE_PART), 1))


def allowances(
    snapshot: model.Snapshot, fleet: model.Fleet
) -> Mapping[Address, Allowance]:
    """Returns this VM's part of each endpoint that bounds its connections.

    Args:
      snapshot: The settings in force.
      fleet: The VM list.
    """
    vms = sum(vm.role is model.VmRole.ENTRY for vm in fleet.vms_by_id.values())
    return {
        (endpoint.host, endpoint.port): allowance(endpoint.connections_max, vms)
        for endpoint in snapshot.endpoints_by_id.values()
        if endpoint.connections_max
    }
