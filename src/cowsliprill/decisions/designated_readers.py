"""Selection of the designated readers of the registry's store.

Does no I/O. Calls to the store are billed, and a store that every VM of a large
fleet watches has to notify all of them of each change. So a few designated
readers in each availability zone watch it, and the other VMs fetch changes from
any member that reports newer ones, in whatever zone. Each zone has readers of
its own so that it doesn't depend on other zones being up.
"""

from collections.abc import Iterable

from cowsliprill.decisions import member_records
from cowsliprill.decisions import rendezvous

# Two, so that one may fail or lose its connection to the store.
READERS_PER_ZONE = 2

# Readers that can't reach the store are backed up by the next VMs in order. If
# the store is down, nobody reaches it; this bounds the VMs that keep trying.
_CANDIDATES_MAX = 4 * READERS_PER_ZONE

_KEY = "registry"


def is_reader(
    own: member_records.Record, others: Iterable[member_records.Record]
) -> bool:
    """Returns whether a VM is a designated reader of the store.

    Args:
      own: The VM's record.
      others: Records of the other live VMs.
    """
    return own in readers_in_zone(own, others)


def readers_in_zone(
    own: member_records.Record, others: Iterable[member_records.Record]
) -> list[member_records.Record]:
    """Returns the designated readers in a VM's availability zone.

    Args:
      own: The VM's record.
      others: Records of the other live VMs.
    """
    zone = [
        record
        for record in (own, *others)
        if record.availability_zone == own.availability_zone
    ]
    max_cores = max(record.cores for record in zone)

    def rank(record: member_records.Record) -> tuple[bool, bool, int, str]:
        # A reader serves all other VMs of its zone, so powerful VMs come first.
        weak = rendezvous.has_few_cores(record.cores, max_cores)
        rendezvous_score = rendezvous.rendezvous_score(record.id, _KEY)
        return (record.leaving, weak, -rendezvous_score, record.id)

    selected: list[member_records.Record] = []
    connected = 0
    for record in sorted(zone, key=rank)[:_CANDIDATES_MAX]:
        selected.append(record)
        connected += not record.store_unreachable
        if connected == READERS_PER_ZONE:
            break
    return selected


def other_readers_in_zone(
    own: member_records.Record, others: Iterable[member_records.Record]
) -> list[member_records.Record]:
    """Returns the designated readers in a VM's zone but the VM itself.

    Args:
      own: The VM's record.
      others: Records of the other live VMs.
    """
    return [
        record for record in readers_in_zone(own, others) if record.id != own.id
    ]
