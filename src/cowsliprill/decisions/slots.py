"""The home's ledger of one endpoint's slots.

Pure state machine: asks of entries in, grants out. First, thin version:
grants in order of arrival, fixed lease time.
"""

import dataclasses

from cowsliprill.decisions import messages

LEASE_S = 2.0


@dataclasses.dataclass(slots=True)
class _Lease:
    slots: int
    in_use: int
    expires_at: float


class SlotLedger:
    """Leases the slots of one endpoint to entries.

    Args:
      endpoint_id: The endpoint.
      slots: Slots it has.
    """

    def __init__(self, endpoint_id: str, slots: int) -> None:
        self.endpoint_id = endpoint_id
        self.slots = slots
        self._leases_by_entry: dict[str, _Lease] = {}

    def ask(
        self, entry: str, ask: messages.SlotAsk, now: float
    ) -> messages.SlotGrant:
        """Answers an entry's statement.

        Args:
          entry: Incarnation of the asking entry process.
          ask: Its statement.
          now: Time, seconds.

        Returns:
          What the entry holds from now on; `expires_at` is on this clock.
        """
        self._expire(now)
        others = sum(
            max(lease.slots, lease.in_use)
            for name, lease in self._leases_by_entry.items()
            if name != entry
        )
        free = max(self.slots - others, 0)
        granted = max(min(ask.want, free), ask.in_use)
        lease = _Lease(granted, ask.in_use, now + LEASE_S)
        self._leases_by_entry[entry] = lease
        return messages.SlotGrant(
            endpoint_id=self.endpoint_id,
            slots=granted,
            expires_at=lease.expires_at,
            waiting=max(ask.want - granted, 0),
        )

    def _expire(self, now: float) -> None:
        self._leases_by_entry = {
            name: lease
            for name, lease in self._leases_by_entry.items()
            if lease.expires_at > now
        }
