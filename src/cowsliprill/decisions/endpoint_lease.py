"""Client side of slot leases: an entry process's slots at one endpoint."""

import dataclasses
import math

from cowsliprill.decisions import messages
from cowsliprill.decisions import prefix_cache


@dataclasses.dataclass(slots=True)
class EndpointLease:
    """Lease and usage of one endpoint's slots by this entry process.

    Attributes:
      in_use: Slots occupied by running requests of this entry process.
      slots: Slots leased, including those in use.
      expires_at: When the lease expires; no new work may be placed after it.
      fallback_slots: Slots that may be used without a lease while the
        coordinator is unreachable.
      others_waiting: Requests of other entry processes waiting for a slot.
      used: Slots in use by all entry processes.
      full_until: Until when the endpoint counts as full after it has refused
        a request for lack of capacity; reset when a request ends there.
      running: Number of requests that occupy the slots in use.
      prompts: Number of prompts sent to the endpoint so far, including those
        still being processed.
      in_use_by_customer: `in_use` by customer.
      cached: Prompt blocks in the endpoint's prefix cache.
      prefix_epoch: Epoch of the coordinator's updates on the prefix cache.
      demanded_slots: Slots for waiting requests in the newest slot demand.
      last_answered: Sequence number of the newest answered slot demand.
      unanswered_demands: Sequence number and held slots of each slot demand
        without an answer.
    """

    in_use: int = 0
    slots: int = 0
    expires_at: float = 0.0
    fallback_slots: int = 0
    others_waiting: int = 0
    used: int = 0
    full_until: float = 0.0
    running: int = 0
    prompts: int = 0
    in_use_by_customer: dict[str, int] = dataclasses.field(default_factory=dict)
    cached: prefix_cache.CachedBlocks = dataclasses.field(
        default_factory=prefix_cache.CachedBlocks
    )
    prefix_epoch: int = 0
    demanded_slots: int = 0
    last_answered: int = 0
    unanswered_demands: list[tuple[int, int]] = dataclasses.field(
        default_factory=list
    )

    def assign_permanently(self, slots: int) -> None:
        """Assigns slots permanently, without a lease.

        Args:
          slots: Slots of the endpoint reserved for this scheduler.
        """
        self.slots = slots
        self.expires_at = math.inf
        # The assigned slots may be fewer than one request needs.
        self.fallback_slots = 1

    def held_slots(self, now: float) -> int:
        """Returns the slots held, including those of work past its lease."""
        leased = self.slots if self.expires_at > now else 0
        return max(leased, self.in_use)

    def free_slots(self, now: float) -> int:
        """Returns the number of slots available for new work."""
        leased = self.slots if self.expires_at > now else 0
        return max(leased, self.fallback_slots) - self.in_use

    def fits(self, slots: int, now: float) -> bool:
        """Returns whether a request may be placed at the endpoint now.

        With fallback slots one request at a time may be placed, whatever its
        size: the share of an engine may be smaller than one request needs, and
        all requests would be refused although the engine has room.

        Args:
          slots: Slots that the request needs.
          now: Current time in seconds.
        """
        if now < self.full_until:
            return False
        if self.free_slots(now) >= slots:
            return True
        return bool(self.fallback_slots) and not self.in_use

    def idle_slots(self, now: float) -> int:
        """Returns the number of held slots that aren't in use."""
        return self.held_slots(now) - self.in_use

    def acquire(self, customer: str, slots: int = 1) -> None:
        """Marks slots as in use by a request of a customer."""
        self.running += 1
        self.in_use += slots
        self.used += slots
        self.in_use_by_customer[customer] = (
            self.in_use_by_customer.get(customer, 0) + slots
        )

    def release(self, customer: str, slots: int = 1) -> None:
        """Frees the slots of a request that ended."""
        self.running -= 1
        self.full_until = 0.0
        self.in_use -= slots
        self.used = max(self.used - slots, self.in_use)
        remaining = self.in_use_by_customer[customer] - slots
        if remaining:
            self.in_use_by_customer[customer] = remaining
        else:
            del self.in_use_by_customer[customer]

    def grant(self, grant: messages.SlotGrant) -> None:
        """Applies a grant from the coordinator.

        A grant that answers an older slot demand must not bring back slots that
        a newer demand has given up: the coordinator may have leased them to
        another entry process since. Outdated grants are ignored.

        Args:
          grant: The grant.
        """
        if grant.sequence < self.last_answered:
            return
        self.last_answered = grant.sequence
        self.unanswered_demands = [
            (sequence, held)
            for sequence, held in self.unanswered_demands
            if sequence > grant.sequence
        ]
        max_slots = min(
            (held for _, held in self.unanswered_demands), default=grant.slots
        )
        self.slots = min(grant.slots, max_slots)
        self.expires_at = grant.expires_at
        self.fallback_slots = 0
        self.others_waiting = grant.waiting
        self.used = max(grant.used, self.in_use)
        self._apply_prefix_update(grant)

    def _apply_prefix_update(self, grant: messages.SlotGrant) -> None:
        # The coordinator starts a new epoch after a gap in the cache events.
        # Evictions may have been missed in the gap, and the old entries would
        # route requests to blocks that are no longer cached.
        if grant.prefix_epoch != self.prefix_epoch:
            self.prefix_epoch = grant.prefix_epoch
            self.cached = prefix_cache.CachedBlocks()
        self.cached.remove(grant.prefix_hashes_gone)
        self.cached.add(grant.prefix_hashes)

    def mark_full(self, until: float = 0.0) -> None:
        """Gives up the free slots after the endpoint reported that it is full.

        Args:
          until: Until when nothing is placed there, unless a request of this
            entry process ends there before.
        """
        self.full_until = until
        self.slots = min(self.slots, self.in_use)
        self.fallback_slots = min(self.fallback_slots, self.in_use)

    def record_demand(self, sequence: int, held: int) -> None:
        """Records a sent slot demand that gives up all but `held` slots.

        Args:
          sequence: Sequence number of the slot demand.
          held: Slots kept, including those in use.
        """
        self.slots = min(self.slots, held)
        self.unanswered_demands.append((sequence, held))
