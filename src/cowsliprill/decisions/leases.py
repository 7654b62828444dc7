"""The entry's side of slot leases: what it holds at each endpoint."""

import dataclasses
import math

from cowsliprill.decisions import messages
from cowsliprill.decisions import prefixes


@dataclasses.dataclass(slots=True)
class Holding:
    """Slots of one endpoint held by this entry.

    Attributes:
      in_use: Slots with running work of this entry.
      slots: Slots held in all, as far as the lease is valid.
      expires_at: When no new work may be placed any more.
      fallback: Slots this entry may use without a lease, because the home
        can't be reached.
      others_waiting: Requests of other entries that wait for a slot.
      used: Slots in use by all entries.
      full_until: Until when the endpoint is taken for full because it said so
        itself, unless something ends there before.
      running: Requests with work in those slots.
      prompts: Prompts that were sent there, those that are read included.
      in_use_by_customer: `in_use` by customer.
      cached: Prompt blocks cached there.
      prefix_epoch: Epoch of the home's news of cached blocks.
      stated_need: Waiting requests in the newest statement.
      answered: Sequence of the newest statement answered.
      unanswered: Sequence and held slots of statements not answered yet.
    """

    in_use: int = 0
    slots: int = 0
    expires_at: float = 0.0
    fallback: int = 0
    others_waiting: int = 0
    used: int = 0
    full_until: float = 0.0
    running: int = 0
    prompts: int = 0
    in_use_by_customer: dict[str, int] = dataclasses.field(default_factory=dict)
    cached: prefixes.CachedBlocks = dataclasses.field(
        default_factory=prefixes.CachedBlocks
    )
    prefix_epoch: int = 0
    stated_need: int = 0
    answered: int = 0
    unanswered: list[tuple[int, int]] = dataclasses.field(default_factory=list)

    def own(self, slots: int) -> None:
        """Takes slots that need no lease.

        Args:
          slots: Slots of the endpoint that are all this scheduler's to use.
        """
        self.slots = slots
        self.expires_at = math.inf
        # A small part of an engine may be less than one request needs.
        self.fallback = 1

    def held(self, now: float) -> int:
        """Returns the slots held, work that outlived its lease included."""
        leased = self.slots if self.expires_at > now else 0
        return max(leased, self.in_use)

    def free(self, now: float) -> int:
        """Returns the slots on which new work may be placed now."""
        leased = self.slots if self.expires_at > now else 0
        return max(leased, self.fallback) - self.in_use

    def fits(self, slots: int, now: float) -> bool:
        """Returns whether a request that takes some slots may be placed.

        Without a lease one request at a time may, whatever it takes: a small
        share of an engine may be less than one request needs, and all would
        be refused while the engine has room.

        Args:
          slots: Slots that it takes.
          now: Time, seconds.
        """
        if now < self.full_until:
            return False
        if self.free(now) >= slots:
            return True
        return bool(self.fallback) and not self.in_use

    def idle(self, now: float) -> int:
        """Returns the leased slots without work."""
        return self.held(now) - self.in_use

    def take(self, customer: str, slots: int = 1) -> None:
        """Takes slots for a request of a customer."""
        self.running += 1
        self.in_use += slots
        self.used += slots
        self.in_use_by_customer[customer] = (
            self.in_use_by_customer.get(customer, 0) + slots
        )

    def release(self, customer: str, slots: int = 1) -> None:
        """Frees the slots of a customer's request."""
        self.running -= 1
        self.full_until = 0.0
        self.in_use -= slots
        self.used = max(self.used - slots, self.in_use)
        left = self.in_use_by_customer[customer] - slots
        if left:
            self.in_use_by_customer[customer] = left
        else:
            del self.in_use_by_customer[customer]

    def grant(self, grant: messages.SlotGrant) -> None:
        """Takes in a home's answer.

        A grant that crossed a newer statement on its way must not bring back
        slots that this statement gave up: the home may have leased them to
        another entry since.

        Args:
          grant: The answer.
        """
        if grant.sequence < self.answered:
            return
        self.answered = grant.sequence
        self.unanswered = [
            (sequence, held)
            for sequence, held in self.unanswered
            if sequence > grant.sequence
        ]
        given_up_to = min(
            (held for _, held in self.unanswered), default=grant.slots
        )
        self.slots = min(grant.slots, given_up_to)
        self.expires_at = grant.expires_at
        self.fallback = 0
        self.others_waiting = grant.waiting
        self.used = max(grant.used, self.in_use)
        self._take_prefixes(grant)

    def _take_prefixes(self, grant: messages.SlotGrant) -> None:
        # Cache events come with gaps. After one, evictions may have gone
        # unheard, and old news would draw requests to blocks that are gone.
        if grant.prefix_epoch != self.prefix_epoch:
            self.prefix_epoch = grant.prefix_epoch
            self.cached = prefixes.CachedBlocks()
        self.cached.remove(grant.prefix_hashes_gone)
        self.cached.add(grant.prefix_hashes)

    def drop_free(self, until: float = 0.0) -> None:
        """Gives up free slots: the endpoint itself said that it is full.

        Args:
          until: Until when it isn't asked again, unless work of ours ends there
            before.
        """
        self.full_until = until
        self.slots = min(self.slots, self.in_use)
        self.fallback = min(self.fallback, self.in_use)

    def state(self, sequence: int, held: int) -> None:
        """Notes a statement that gives up all but `held` slots."""
        self.slots = min(self.slots, held)
        self.unanswered.append((sequence, held))
