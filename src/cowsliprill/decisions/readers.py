"""Which VMs read the registry's store for the others.

Pure. The store's price goes by calls, and a store that each VM of a large
fleet watches wakes them all at each change. So a few VMs a zone watch it, and
the others get what is new from whoever tells that it knows it. Any reader of
any zone will do for that; a zone has its own so that the loss of others is no
loss to it.
"""

from collections.abc import Iterable

from cowsliprill.decisions import member_records
from cowsliprill.decisions import ownership

# One may be lost or cut off from the store, and the zone still has one.
READERS_A_ZONE = 2

# Readers that can't reach the store are stood in for by the next ones. A store
# that is down is out of reach of all; so many try, and the rest needn't.
_TRYING_MAX = 4 * READERS_A_ZONE

_KEY = "registry"


def reads(
    own: member_records.Record, others: Iterable[member_records.Record]
) -> bool:
    """Returns whether a VM is to read the store.

    Args:
      own: Its record.
      others: Those of the other live VMs.
    """
    return own in of_zone(own, others)


def of_zone(
    own: member_records.Record, others: Iterable[member_records.Record]
) -> list[member_records.Record]:
    """Returns the VMs of a VM's zone that are to read the store.

    Args:
      own: The VM's record.
      others: Those of the other live VMs.
    """
    zone = [
        record
        for record in (own, *others)
        if record.availability_zone == own.availability_zone
    ]
    strongest = max(record.cores for record in zone)

    def rank(record: member_records.Record) -> tuple[bool, bool, int, str]:
        # A reader answers all others of its zone, so strong VMs come first.
        weak = ownership.is_weak(record.cores, strongest)
        score = ownership.score(record.id, _KEY)
        return (record.leaving, weak, -score, record.id)

    found: list[member_records.Record] = []
    sighted = 0
    for record in sorted(zone, key=rank)[:_TRYING_MAX]:
        found.append(record)
        sighted += not record.blind
        if sighted == READERS_A_ZONE:
            break
    return found
