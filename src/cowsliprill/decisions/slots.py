"""The home's ledger of one endpoint's slots.

Pure state machine: asks of entries in, grants out. The ledger never has more
slots leased than the endpoint has. A lease is permission to place new work
until it expires; work that runs keeps its slot while its entry reports it.
"""

import dataclasses

from cowsliprill.decisions import messages

LEASE_S = 2.0

# The ledger believes in a lease a little longer than it tells the entry, so
# that clocks which drift apart don't make it hand a slot out twice.
_GRACE_S = 0.1

# An entry that falls silent may still have work at the endpoint. If its slots
# were free at once, the next entry's prefill would find the decode engine
# full. All that it was leased is kept this long, for it may have filled it
# without a word, or until `observe` says what really runs.
_LINGER_S = 5.0

# Reserve slots are leased only while at least this many remain unleased.
_UNLEASED_MIN = 2


@dataclasses.dataclass(slots=True)
class _Lease:
    """What one entry holds and last stated.

    Attributes:
      ask: The entry's newest statement.
      slots: Slots leased, those in use included.
      expires_at: When the permission to place new work ends.
      deadline: Nearest deadline of its waiting requests, on this clock.
      told_slots: Slots in the newest grant sent.
      told_waiting: Whether the newest grant sent spoke of others waiting.
    """

    ask: messages.SlotAsk
    slots: int = 0
    expires_at: float = 0.0
    deadline: float = 0.0
    told_slots: int = 0
    told_waiting: bool = False

    def needed(self) -> int:
        """Returns how many slots its waiting requests still lack."""
        waiting = sum(count for _, count in self.ask.customer_wants)
        idle = self.slots - self.ask.in_use
        short = self.ask.want - self.slots
        return max(min(waiting - idle, short), 0)


class SlotLedger:
    """Leases the slots of one endpoint to entries.

    Args:
      endpoint_id: The endpoint.
      slots: Slots it has.
      silent_until: A new home doesn't know what an earlier one leased. Until
        this time it only confirms what entries say they hold, because slots
        leased by the other home may still be unexpired.
    """

    def __init__(
        self, endpoint_id: str, slots: int, silent_until: float = 0.0
    ) -> None:
        self.endpoint_id = endpoint_id
        self.slots = slots
        self.shares_by_customer: dict[str, float] = {}
        self._silent_until = silent_until
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
          What the entry holds from now on; `expires_at` is on this clock. The
          entry must count the lease from when it sent the ask, not from when
          the answer arrived.
        """
        self._expire(now)
        lease = self._leases_by_entry.get(entry)
        # A statement that was overtaken by a newer one, or that comes twice,
        # would take back slots which the entry has been granted since.
        if lease and 0 < ask.sequence <= lease.ask.sequence:
            return self._grant(lease)
        self._state(entry, lease, ask, now)
        self._allocate(now)
        return self._grant(self._leases_by_entry[entry])

    def regrant(self, now: float) -> list[tuple[str, messages.SlotGrant]]:
        """Finds entries that should hear from the home without asking.

        These are entries whose grants grew, and entries that hold idle slots
        for which others have begun to wait. Each is named once; the shell
        answers their long polls.

        Args:
          now: Time, seconds.

        Returns:
          Pairs of entry and its present grant.
        """
        self._expire(now)
        self._allocate(now)
        changed = []
        for entry, lease in self._leases_by_entry.items():
            if lease.expires_at <= now:
                continue
            idle = lease.slots - lease.ask.in_use
            scarce = self._waiting_besides(lease) > 0
            recalled = scarce and idle > 0 and not lease.told_waiting
            if lease.slots > lease.told_slots or recalled:
                changed.append((entry, self._grant(lease)))
        return changed

    def waiting(self) -> int:
        """Returns how many waiting requests lack a slot here."""
        return sum(lease.needed() for lease in self._leases_by_entry.values())

    def used(self) -> int:
        """Returns how many slots entries say are in use."""
        return sum(lease.ask.in_use for lease in self._leases_by_entry.values())

    def leased(self) -> int:
        """Returns how many slots are leased or in use, for metrics."""
        return sum(lease.slots for lease in self._leases_by_entry.values())

    def next_expiry(self) -> float | None:
        """Returns when the next lease runs out, None if there is none.

        The shell calls `regrant` then: slots of a silent entry become free.
        """
        return min(
            (lease.expires_at for lease in self._leases_by_entry.values()),
            default=None,
        )

    def observe(self, running_by_entry: dict[str, int], now: float) -> None:
        """Corrects what silent entries hold by what the endpoint runs.

        Args:
          running_by_entry: Requests that the endpoint holds, by entry.
          now: Time, seconds.
        """
        for entry, lease in list(self._leases_by_entry.items()):
            if lease.expires_at > now:
                continue
            lease.slots = min(lease.slots, running_by_entry.get(entry, 0))
            if not lease.slots:
                del self._leases_by_entry[entry]

    def _state(
        self,
        entry: str,
        lease: _Lease | None,
        ask: messages.SlotAsk,
        now: float,
    ) -> None:
        if lease is None:
            lease = _Lease(ask)
            self._leases_by_entry[entry] = lease
            # Running work is a fact; what is merely held must still be free.
            lease.slots = ask.in_use + self._confirm(ask)
        elif ask.held >= 0:
            lease.slots = max(min(lease.slots, ask.held), ask.in_use)
        lease.ask = ask
        lease.slots = max(min(lease.slots, ask.want), ask.in_use)
        lease.expires_at = now + LEASE_S + _GRACE_S
        lease.deadline = now + ask.deadline_in_s

    def _confirm(self, ask: messages.SlotAsk) -> int:
        idle = max(ask.held - ask.in_use, 0)
        return min(idle, max(self._free() - ask.in_use, 0))

    def _free(self) -> int:
        return self.slots - self.leased()

    def _allocate(self, now: float) -> None:
        if now < self._silent_until:
            return
        free = self._free()
        live = [
            lease
            for lease in self._leases_by_entry.values()
            if lease.expires_at > now
        ]
        ranks = self._ranks(live) if free > 0 else {}
        while free > 0:
            needy = [lease for lease in live if lease.needed() > 0]
            if not needy:
                break
            first = min(needy, key=lambda lease: ranks[id(lease)])
            granted = min(first.needed(), free)
            first.slots += granted
            free -= granted
        for lease in live:
            reserve = min(lease.ask.want - lease.slots, free - _UNLEASED_MIN)
            if reserve > 0:
                lease.slots += reserve
                free -= reserve

    def _ranks(
        self, leases: list[_Lease]
    ) -> dict[int, tuple[bool, int, float]]:
        """Orders entries: customers below their share, priority, deadline."""
        usage_by_customer = self._usage_by_customer()
        weight = sum(
            self.shares_by_customer.get(customer, 1.0)
            for customer in usage_by_customer
        )
        fair = self.slots / weight if weight else float(self.slots)
        ranks = {}
        for lease in leases:
            usage = min(
                (
                    usage_by_customer[customer]
                    for customer, _ in lease.ask.customer_wants
                ),
                default=0.0,
            )
            ranks[id(lease)] = (
                usage >= fair,
                -lease.ask.priority,
                lease.deadline,
            )
        return ranks

    def _usage_by_customer(self) -> dict[str, float]:
        usage_by_customer: dict[str, float] = {}
        for lease in self._leases_by_entry.values():
            for customer, _ in lease.ask.customer_wants:
                usage_by_customer.setdefault(customer, 0.0)
            for customer, count in lease.ask.customer_in_use:
                share = self.shares_by_customer.get(customer, 1.0)
                used = usage_by_customer.get(customer, 0.0)
                usage_by_customer[customer] = used + count / share
        return usage_by_customer

    def _waiting_besides(self, lease: _Lease) -> int:
        return self.waiting() - lease.needed()

    def _grant(self, lease: _Lease) -> messages.SlotGrant:
        waiting = self._waiting_besides(lease)
        lease.told_slots = lease.slots
        lease.told_waiting = waiting > 0
        return messages.SlotGrant(
            endpoint_id=self.endpoint_id,
            slots=lease.slots,
            expires_at=lease.expires_at - _GRACE_S,
            waiting=waiting,
            used=self.used(),
            sequence=lease.ask.sequence,
        )

    def _expire(self, now: float) -> None:
        for entry, lease in list(self._leases_by_entry.items()):
            ends_at = lease.expires_at + (_LINGER_S if lease.slots else 0.0)
            if ends_at <= now:
                del self._leases_by_entry[entry]
