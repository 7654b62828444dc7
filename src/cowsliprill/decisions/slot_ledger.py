"""Server side of slot leases: an endpoint's ledger, kept by its coordinator.

State machine without I/O that answers the slot demands of entry processes with
grants. It never grants more slots than the endpoint has. A lease permits an
entry process to place new work until the lease expires; running work keeps its
slot for as long as the entry process reports it.
"""

import dataclasses

from cowsliprill.decisions import messages

LEASE_DURATION_S = 2.0

# The ledger keeps a lease this much longer than it promises to the entry
# process, so that clock drift can't lead to a slot being leased twice.
_CLOCK_DRIFT_MARGIN_S = 0.1

# Slots of an expired lease stay reserved for this long, or until a call of
# `reconcile_usage` reports what the endpoint really runs. An unresponsive entry
# process may have filled all of its leased slots; if they were reassigned at
# once, the prefill of the next request would complete only to find the decode
# engine full.
_EXPIRED_RESERVED_S = 5.0

# Slots beyond the immediate need are granted only while at least this many
# remain unleased.
_MIN_UNLEASED_SLOTS = 2


@dataclasses.dataclass(slots=True)
class _Lease:
    """The lease and the newest slot demand of one entry process.

    Attributes:
      demand: The newest slot demand.
      slots: Slots leased, including those in use.
      expires_at: When the ledger stops counting the lease as valid.
      deadline: Nearest deadline of the waiting requests, on this clock.
      sent_slots: Slots in the last grant sent.
      sent_waiting: Whether the last grant sent reported requests of other
        entry processes waiting.
    """

    demand: messages.SlotDemand
    slots: int = 0
    expires_at: float = 0.0
    deadline: float = 0.0
    sent_slots: int = 0
    sent_waiting: bool = False

    def unmet_slots(self) -> int:
        """Returns the number of slots missing for its waiting requests."""
        waiting = sum(count for _, count in self.demand.customer_wants)
        idle = self.slots - self.demand.in_use
        missing = self.demand.want - self.slots
        return max(min(waiting - idle, missing), 0)


class SlotLedger:
    """Leases the slots of one endpoint to entry processes.

    Args:
      endpoint_id: The endpoint.
      slots: Number of slots of the endpoint.
      reclaim_until: End of the reclaim period. Until then a new coordinator
        only confirms slots that entry processes report as held, because it
        doesn't know which leases of the previous coordinator are still valid.
    """

    def __init__(
        self, endpoint_id: str, slots: int, reclaim_until: float = 0.0
    ) -> None:
        self.endpoint_id = endpoint_id
        self.slots = slots
        self.shares_by_customer: dict[str, float] = {}
        self._reclaim_until = reclaim_until
        self._leases_by_entry: dict[str, _Lease] = {}

    def ask(
        self, entry: str, demand: messages.SlotDemand, now: float
    ) -> messages.SlotGrant:
        """Handles the slot demand of an entry process.

        Args:
          entry: Incarnation of the entry process.
          demand: The slot demand.
          now: Current time in seconds.

        Returns:
          The slots leased to the entry process; `expires_at` is on this clock.
          The entry process must start the lease at the time it sent the
          demand, not at the time the answer arrived.
        """
        self._expire(now)
        lease = self._leases_by_entry.get(entry)
        # A reordered or duplicated demand would take back slots that have
        # been granted to the entry process since.
        if lease and 0 < demand.sequence <= lease.demand.sequence:
            return self._grant(lease)
        self._apply_demand(entry, lease, demand, now)
        self._allocate(now)
        return self._grant(self._leases_by_entry[entry])

    def regrant(self, now: float) -> list[tuple[str, messages.SlotGrant]]:
        """Returns the changed grants to push to entry processes.

        These are grants with more slots than the last one sent, and grants of
        entry processes with idle slots for which requests of others have
        started to wait. Each change is returned once; the caller sends it as
        the answer to a pending long poll.

        Args:
          now: Current time in seconds.

        Returns:
          Pairs of the entry process's incarnation and its current grant.
        """
        self._expire(now)
        self._allocate(now)
        changed = []
        for entry, lease in self._leases_by_entry.items():
            if lease.expires_at <= now:
                continue
            idle = lease.slots - lease.demand.in_use
            contended = self._waiting_elsewhere(lease) > 0
            recalled = contended and idle > 0 and not lease.sent_waiting
            if lease.slots > lease.sent_slots or recalled:
                changed.append((entry, self._grant(lease)))
        return changed

    def waiting(self) -> int:
        """Returns how many waiting requests still need a slot."""
        return sum(
            lease.unmet_slots() for lease in self._leases_by_entry.values()
        )

    def used(self) -> int:
        """Returns the number of slots that entry processes report in use."""
        return sum(
            lease.demand.in_use for lease in self._leases_by_entry.values()
        )

    def leased(self) -> int:
        """Returns the number of slots leased, including those in use."""
        return sum(lease.slots for lease in self._leases_by_entry.values())

    def next_expiry(self) -> float | None:
        """Returns when the next lease expires, None without any lease.

        The caller should call `regrant` at that time, because slots of an
        unresponsive entry process may become free then.
        """
        return min(
            (lease.expires_at for lease in self._leases_by_entry.values()),
            default=None,
        )

    def reconcile_usage(
        self, running_by_entry: dict[str, int], now: float
    ) -> None:
        """Reduces expired leases to the slots the endpoint really uses.

        Args:
          running_by_entry: Number of requests at the endpoint by incarnation
            of the entry process.
          now: Current time in seconds.
        """
        for entry, lease in list(self._leases_by_entry.items()):
            if lease.expires_at > now:
                continue
            lease.slots = min(lease.slots, running_by_entry.get(entry, 0))
            if not lease.slots:
                del self._leases_by_entry[entry]

    def _apply_demand(
        self,
        entry: str,
        lease: _Lease | None,
        demand: messages.SlotDemand,
        now: float,
    ) -> None:
        if lease is None:
            lease = _Lease(demand)
            self._leases_by_entry[entry] = lease
            # Running work occupies its slot in any case; idle slots are
            # confirmed only if they are still unleased.
            lease.slots = demand.in_use + self._confirmed_idle_slots(demand)
        elif demand.held >= 0:
            lease.slots = max(min(lease.slots, demand.held), demand.in_use)
        lease.demand = demand
        lease.slots = max(min(lease.slots, demand.want), demand.in_use)
        lease.expires_at = now + LEASE_DURATION_S + _CLOCK_DRIFT_MARGIN_S
        lease.deadline = now + demand.deadline_in_s

    def _confirmed_idle_slots(self, demand: messages.SlotDemand) -> int:
        idle = max(demand.held - demand.in_use, 0)
        return min(idle, max(self._free_slots() - demand.in_use, 0))

    def _free_slots(self) -> int:
        return self.slots - self.leased()

    def _allocate(self, now: float) -> None:
        if now < self._reclaim_until:
            return
        free = self._free_slots()
        live = [
            lease
            for lease in self._leases_by_entry.values()
            if lease.expires_at > now
        ]
        ranks = self._ranks(live) if free > 0 else {}
        while free > 0:
            unmet = [lease for lease in live if lease.unmet_slots() > 0]
            if not unmet:
                break
            next_lease = min(unmet, key=lambda lease: ranks[id(lease)])
            granted = min(next_lease.unmet_slots(), free)
            next_lease.slots += granted
            free -= granted
        for lease in live:
            extra = min(
                lease.demand.want - lease.slots, free - _MIN_UNLEASED_SLOTS
            )
            if extra > 0:
                lease.slots += extra
                free -= extra

    def _ranks(
        self, leases: list[_Lease]
    ) -> dict[int, tuple[bool, int, float]]:
        """Ranks leases for free slots; the lowest rank is served first.

        Entry processes with a customer below its fair share come first, then
        higher priorities, then earlier deadlines.
        """
        usage_by_customer = self._usage_by_customer()
        total_share = sum(
            self.shares_by_customer.get(customer, 1.0)
            for customer in usage_by_customer
        )
        fair_usage = (
            self.slots / total_share if total_share else float(self.slots)
        )
        ranks = {}
        for lease in leases:
            usage = min(
                (
                    usage_by_customer[customer]
                    for customer, _ in lease.demand.customer_wants
                ),
                default=0.0,
            )
            ranks[id(lease)] = (
                usage >= fair_usage,
                -lease.demand.priority,
                lease.deadline,
            )
        return ranks

    def _usage_by_customer(self) -> dict[str, float]:
        usage_by_customer: dict[str, float] = {}
        for lease in self._leases_by_entry.values():
            for customer, _ in lease.demand.customer_wants:
                usage_by_customer.setdefault(customer, 0.0)
            for customer, count in lease.demand.customer_in_use:
                share = self.shares_by_customer.get(customer, 1.0)
                used = usage_by_customer.get(customer, 0.0)
                usage_by_customer[customer] = used + count / share
        return usage_by_customer

    def _waiting_elsewhere(self, lease: _Lease) -> int:
        return self.waiting() - lease.unmet_slots()

    def _grant(self, lease: _Lease) -> messages.SlotGrant:
        waiting = self._waiting_elsewhere(lease)
        lease.sent_slots = lease.slots
        lease.sent_waiting = waiting > 0
        return messages.SlotGrant(
            endpoint_id=self.endpoint_id,
            slots=lease.slots,
            expires_at=lease.expires_at - _CLOCK_DRIFT_MARGIN_S,
            waiting=waiting,
            used=self.used(),
            sequence=lease.demand.sequence,
        )

    def _expire(self, now: float) -> None:
        for entry, lease in list(self._leases_by_entry.items()):
            reserved_until = lease.expires_at + (
                _EXPIRED_RESERVED_S if lease.slots else 0.0
            )
            if reserved_until <= now:
                del self._leases_by_entry[entry]
