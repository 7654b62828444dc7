"""Notices of leaving endpoints, spread by gossip ahead of the VM list.

An endpoint that answers a call with a draining response is leaving, long before
the platform's VM list shows it. The VM that receives the response notifies the
others. Each notice has a TTL, so that an endpoint that comes back is used again
without anybody having to revoke the notice.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from cowsliprill.decisions import model

MAX_TTL_S = 120.0

# Ids of expired notices are kept for this time, so that a VM that was paused
# and then sends an old notice can't reactivate it.
_EXPIRED_KEPT_S = 2 * MAX_TTL_S

# Fanout of changes that were read from the platform, where others read them
# too.
_PLATFORM_CHANGE_FANOUT = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingNotice:
    """A notice that an endpoint is leaving.

    Attributes:
      endpoint_id: Id of the endpoint.
      origin: Id of the VM that created the notice.
      number: Sequence number at the origin; later notices have higher numbers.
      ttl_s: Remaining time to live in seconds.
    """

    endpoint_id: str
    origin: str
    number: int
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredNotice:
    item: LeavingNotice
    expires_at: float


class LeavingNotices:
    """The notices known to one VM.

    Args:
      vm: Id of this VM.
      first_number: Base of the sequence numbers of this VM's notices; must be
        above the numbers used in earlier incarnations, for example
        milliseconds since the epoch.
    """

    def __init__(self, vm: str, first_number: int) -> None:
        self._vm = vm
        self._number = first_number
        self._notices_by_id: dict[tuple[str, str, int], _StoredNotice] = {}

    def report(
        self, endpoint_id: str, ttl_s: float, now: float
    ) -> LeavingNotice | None:
        """Creates a notice from a report of a local process.

        Args:
          endpoint_id: Id of the endpoint that gave a draining response.
          ttl_s: Requested time to live in seconds.
          now: Current time in seconds.

        Returns:
          A new notice to send to peers, or None if a known one is valid for at
          least half of the requested time: otherwise each refused call would
          cause a message.
        """
        ttl_s = min(max(ttl_s, 0.0), MAX_TTL_S)
        if self._remaining_s(endpoint_id, now) >= ttl_s / 2:
            return None
        self._number += 1
        item = LeavingNotice(
            endpoint_id=endpoint_id,
            origin=self._vm,
            number=self._number,
            ttl_s=ttl_s,
        )
        return item if self.receive(item, now) else None

    def receive(self, item: LeavingNotice, now: float) -> bool:
        """Stores a notice of a peer.

        A notice that is known already is ignored. Otherwise each exchange
        between two VMs would start its TTL anew, and it would never expire.

        Args:
          item: The notice.
          now: Current time in seconds.

        Returns:
          Whether the notice is new, and must be sent to further peers.
        """
        self._evict(now)
        notice_id = (item.endpoint_id, item.origin, item.number)
        if notice_id in self._notices_by_id or not item.ttl_s > 0:
            return False
        ttl_s = min(item.ttl_s, MAX_TTL_S)
        self._notices_by_id[notice_id] = _StoredNotice(item, now + ttl_s)
        return True

    def leaving(self, now: float) -> frozenset[str]:
        """Returns the ids of endpoints with a notice that hasn't expired.

        Args:
          now: Current time in seconds.
        """
        return frozenset(
            notice.item.endpoint_id
            for notice in self._notices_by_id.values()
            if notice.expires_at > now
        )

    def items(self, now: float) -> list[LeavingNotice]:
        """Returns the notices that haven't expired, with the remaining TTL.

        Args:
          now: Current time in seconds.
        """
        return [
            dataclasses.replace(notice.item, ttl_s=notice.expires_at - now)
            for notice in self._notices_by_id.values()
            if notice.expires_at > now
        ]

    def next_expiry(self, now: float) -> float:
        """Returns the time of the next expiry in seconds, infinity for none.

        Args:
          now: Current time in seconds.
        """
        expiries = [
            notice.expires_at for notice in self._notices_by_id.values()
        ]
        return min(
            (expires_at for expires_at in expiries if expires_at > now),
            default=math.inf,
        )

    def _remaining_s(self, endpoint_id: str, now: float) -> float:
        return max(
            (
                notice.expires_at - now
                for notice in self._notices_by_id.values()
                if notice.item.endpoint_id == endpoint_id
            ),
            default=-math.inf,
        )

    def _evict(self, now: float) -> None:
        self._notices_by_id = {
            notice_id: notice
            for notice_id, notice in self._notices_by_id.items()
            if notice.expires_at + _EXPIRED_KEPT_S > now
        }


def leaving_by_vm_list(
    endpoints: Iterable[model.Endpoint], vms_by_id: dict[str, model.Vm]
) -> frozenset[str]:
    """Returns the ids of endpoints whose VM is leaving by the VM list.

    A VM that is missing from the list doesn't count as leaving, since the list
    lags behind for new VMs too.

    Args:
      endpoints: All endpoints.
      vms_by_id: The VM list.
    """
    return frozenset(
        endpoint.id
        for endpoint in endpoints
        if endpoint.vm in vms_by_id
        and vms_by_id[endpoint.vm].state is model.VmState.LEAVING
    )


def gossip_fanout(peers: int, *, from_platform: bool = False) -> int:
    """Returns the gossip fanout: the number of peers to send an update to.

    If each VM that receives a new update sends it to ln(n) + 1 others, the
    update reaches nearly all of n VMs in a few rounds; the periodic exchange
    brings it to the rest. Most VMs read a change of the platform there
    themselves, so a VM that did sends it to few peers only; a peer that lacked
    it uses the full fanout.

    Args:
      peers: Number of other VMs.
      from_platform: Whether this VM read the change from the platform itself.
    """
    if from_platform:
        return min(peers, _PLATFORM_CHANGE_FANOUT)
    return min(peers, math.ceil(math.log(peers + 1)) + 1) if peers else 0


def sample_peers(
    peers: Iterable[str], count: int, random_source: random.Random
) -> list[str]:
    """Draws peers at random.

    The peers are sorted first, so that the result depends on the seed alone.

    Args:
      peers: Peers to draw from.
      count: Number of peers to draw; all if there are fewer.
      random_source: Random number generator.
    """
    ordered = sorted(peers)
    return random_source.sample(ordered, min(count, len(ordered)))
