"""News of leaving endpoints that the VM list doesn't show yet.

An endpoint that gives a draining answer is leaving, long before the platform's
list says so. The VM that hears it tells the others. Each item expires by
itself, so that an endpoint which comes back is used again and nobody has to
take an item back.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from cowsliprill.decisions import model

MAX_TTL_S = 120.0

# An item's id is remembered for this long after its end, so that a VM which
# was paused and then passes the item on doesn't bring it back to life.
_REMEMBERED_S = 2 * MAX_TTL_S

# Peers told of what the platform tells everyone.
_FROM_PLATFORM = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingItem:
    """One report that an endpoint is leaving.

    Attributes:
      endpoint_id: The endpoint.
      origin: The VM that heard it.
      number: Number of the item at its origin; larger ones are later.
      ttl_s: Seconds it still holds.
    """

    endpoint_id: str
    origin: str
    number: int
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    item: LeavingItem
    expires_at: float


class LeavingNews:
    """The items that one VM knows.

    Args:
      vm: Id of this VM.
      first_number: Number of its first own item; must be above those of its
        earlier lives, for example milliseconds since the epoch.
    """

    def __init__(self, vm: str, first_number: int) -> None:
        self._vm = vm
        self._number = first_number
        self._held_by_id: dict[tuple[str, str, int], _Held] = {}

    def report(
        self, endpoint_id: str, ttl_s: float, now: float
    ) -> LeavingItem | None:
        """Takes a local process's report.

        Args:
          endpoint_id: The endpoint that gave a draining answer.
          ttl_s: How long the news shall hold, seconds.
          now: Time, seconds.

        Returns:
          A new item to pass on, or None if a known one holds for at least half
          as long: each refused call would otherwise make a message.
        """
        ttl_s = min(max(ttl_s, 0.0), MAX_TTL_S)
        if self._longest(endpoint_id, now) >= ttl_s / 2:
            return None
        self._number += 1
        item = LeavingItem(
            endpoint_id=endpoint_id,
            origin=self._vm,
            number=self._number,
            ttl_s=ttl_s,
        )
        return item if self.hear(item, now) else None

    def hear(self, item: LeavingItem, now: float) -> bool:
        """Takes an item from a peer.

        An item known already is not taken again. Its remaining time would be
        counted from a later moment each time that two VMs exchange it, and it
        would never end.

        Args:
          item: The item.
          now: Time, seconds.

        Returns:
          Whether it is new, and so to be passed on.
        """
        self._forget(now)
        item_id = (item.endpoint_id, item.origin, item.number)
        if item_id in self._held_by_id or not item.ttl_s > 0:
            return False
        ttl_s = min(item.ttl_s, MAX_TTL_S)
        self._held_by_id[item_id] = _Held(item, now + ttl_s)
        return True

    def leaving(self, now: float) -> frozenset[str]:
        """Returns the ids of endpoints that are leaving by the news."""
        return frozenset(
            held.item.endpoint_id
            for held in self._held_by_id.values()
            if held.expires_at > now
        )

    def items(self, now: float) -> list[LeavingItem]:
        """Returns the items that hold, with the time that remains."""
        return [
            dataclasses.replace(held.item, ttl_s=held.expires_at - now)
            for held in self._held_by_id.values()
            if held.expires_at > now
        ]

    def next_expiry(self, now: float) -> float:
        """Returns when `leaving` changes by itself; infinity if never."""
        ends = [held.expires_at for held in self._held_by_id.values()]
        return min((end for end in ends if end > now), default=math.inf)

    def _longest(self, endpoint_id: str, now: float) -> float:
        return max(
            (
                held.expires_at - now
                for held in self._held_by_id.values()
                if held.item.endpoint_id == endpoint_id
            ),
            default=-math.inf,
        )

    def _forget(self, now: float) -> None:
        self._held_by_id = {
            item_id: held
            for item_id, held in self._held_by_id.items()
            if held.expires_at + _REMEMBERED_S > now
        }


def leaving_by_list(
    endpoints: Iterable[model.Endpoint], vms_by_id: dict[str, model.Vm]
) -> frozenset[str]:
    """Finds the endpoints whose VM the list marks as leaving.

    A VM that the list lacks is not taken as leaving: the list lags for new
    ones too.

    Args:
      endpoints: All endpoints.
      vms_by_id: The VM list.

    Returns:
      Their ids.
    """
    return frozenset(
        endpoint.id
        for endpoint in endpoints
        if endpoint.vm in vms_by_id
        and vms_by_id[endpoint.vm].state is model.VmState.LEAVING
    )


def fan_out(peers: int, *, from_platform: bool = False) -> int:
    """Returns how many peers to tell so that news reaches nearly all.

    With ln(n) + 1 messages from each VM that hears something new, a rumor
    reaches nearly all of n VMs in a few rounds; the regular exchange brings it
    to the rest. What came from the platform most others have read there too,
    so a VM tells only a few; one of these that lacked it tells on as above.

    Args:
      peers: Number of other VMs.
      from_platform: Whether this VM read it from the platform itself.
    """
    if from_platform:
        return min(peers, _FROM_PLATFORM)
    return min(peers, math.ceil(math.log(peers + 1)) + 1) if peers else 0


def choose_peers(
    peers: Iterable[str], count: int, random_source: random.Random
) -> list[str]:
    """Draws peers to tell; sorted first, so that a seed gives one result."""
    ordered = sorted(peers)
    return random_source.sample(ordered, min(count, len(ordered)))
