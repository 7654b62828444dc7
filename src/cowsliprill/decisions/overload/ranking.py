"""Order in which competing work is served, and in reverse order shed.

The order is by share, priority, lateness, deadline and cost. Priority comes
before lateness: otherwise an urgent request that is late would be shed while
routine work of its own customer is served.

Load pattern: a customer floods a pool with routine requests, with urgent ones
of its own among them, while others stay within their shares. Its share at a
priority counts only its work of at least that priority, so the routine flood
neither delays its own urgent requests nor the requests of others.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Self

# Seconds by which a cost of one slot-second moves work back in the queue.
COST_WEIGHT = 3.0

# Lower bound of a work's value, against division by zero.
_MIN_VALUE = 1e-6

# Over share, negative priority, late, adjusted start deadline, number.
Key = tuple[bool, int, bool, float, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """A request that competes for capacity.

    Attributes:
      customer: Id of its customer.
      priority: Its priority; higher is more urgent.
      start_deadline: Latest start in seconds that meets its target, or, if it
        is late, at which its response is of use.
      cost: Expected slot-seconds, with slots relative to the mean request.
      value: Value of its response, about 1 for a request of average size.
      late: Whether it misses its target but its response is of use.
      number: Unique number that orders otherwise equal work, lowest first.
      slots: Slots that it takes while it runs.
    """

    customer: str
    priority: int
    start_deadline: float
    cost: float
    value: float = 1.0
    late: bool = False
    number: int = 0
    slots: float = 1.0

    def __deepcopy__(self, memo: dict) -> Self:
        """Returns itself, as it is immutable."""
        return self


class SlotUse:
    """Slots that work takes or asks for, by customer and priority.

    Attributes:
      total: Slots of all work.
      changes: Number of changes so far.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._slots_by_priority_by_customer: dict[str, dict[int, float]] = {}
        self.total = 0.0

    @classmethod
    def of(cls, works: Iterable[Work]) -> "SlotUse":
        """Returns the slots that works ask for."""
        use = cls()
        for work in works:
            use.add(work.customer, work.priority, work.slots)
        return use

    def add(self, customer: str, priority: int, slots: float) -> None:
        """Adds the slots of one request."""
        by_priority = self._slots_by_priority_by_customer.setdefault(
            customer, {}
        )
        by_priority[priority] = by_priority.get(priority, 0.0) + slots
        self.total += slots
        self.changes += 1

    def remove(self, customer: str, priority: int, slots: float) -> None:
        """Removes the slots of one request that was added with them."""
        by_priority = self._slots_by_priority_by_customer[customer]
        by_priority[priority] -= slots
        self.total -= slots
        self.changes += 1
        if by_priority[priority] <= 0:
            del by_priority[priority]
        if not by_priority:
            del self._slots_by_priority_by_customer[customer]

    def of_customer(self, customer: str, priority: int) -> float:
        """Returns a customer's slots of work of at least some priority."""
        by_priority = self._slots_by_priority_by_customer.get(customer, {})
        return sum(
            slots for level, slots in by_priority.items() if level >= priority
        )

    def by_customer(self, priority: int) -> dict[str, float]:
        """Returns the slots of work of at least some priority, by customer."""
        slots_by_customer = {
            customer: self.of_customer(customer, priority)
            for customer in self._slots_by_priority_by_customer
        }
        return {
            name: slots for name, slots in slots_by_customer.items() if slots
        }


class Ranking:
    """Ranks work by share, priority, lateness, deadline and cost.

    It holds for one moment: changes of `running` or `waiting` after its
    creation give wrong results.

    Args:
      capacity: Slots to share. It must be the same for all priorities, or work
        beyond the share of its customer could rank ahead of more urgent work of
        the same customer.
      running: Slots of the running work.
      waiting: Slots that the waiting work asks for.
      shares_by_customer: Weights of the customers, 1 for those not named.
    """

    def __init__(
        self,
        capacity: float,
        running: SlotUse,
        waiting: SlotUse,
        shares_by_customer: Mapping[str, float],
    ) -> None:
        self._capacity = capacity
        self._running = running
        self._waiting = waiting
        self._shares_by_customer = shares_by_customer
        self._level_by_priority: dict[int, float] = {}

    def over_share(
        self, customer: str, priority: int, ahead: float = 0.0
    ) -> bool:
        """Returns whether further work of a customer is beyond its share.

        Only work of at least this priority counts. The first work beyond the
        share counts as within it, as otherwise a customer whose share is below
        one request could run none.

        Args:
          customer: Id of the customer.
          priority: Priority of the further work.
          ahead: Slots of its waiting work of at least this priority that is
            served before.
        """
        used = self._running.of_customer(customer, priority) + ahead
        return used >= self._share(customer, priority)

    def key(self, work: Work, ahead: float = 0.0) -> Key:
        """Returns the sort key: the smallest is served first, the last shed.

        Args:
          work: The work.
          ahead: Slots of its customer's waiting work of at least its priority
            that is served before.
        """
        over = self.over_share(work.customer, work.priority, ahead)
        return (over, *own_key(work))

    def ordered(self, works: Iterable[Work]) -> list[Work]:
        """Returns waiting work in the order in which it is served.

        The work that a customer has ahead counts toward its share, so only the
        part of a flood that fits the share ranks before the work of others.
        """
        return [work for _, work in self.ranked(works)]

    def ranked(self, works: Iterable[Work]) -> list[tuple[Key, Work]]:
        """Returns waiting work with its keys, in the order of `ordered`."""
        works_by_customer = collections.defaultdict(list)
        for work in works:
            works_by_customer[work.customer].append(work)
        ranked = [
            item
            for own in works_by_customer.values()
            for item in self._ranked_of_customer(own)
        ]
        return sorted(ranked, key=lambda item: item[0])

    def _ranked_of_customer(self, works: list[Work]) -> list[tuple[Key, Work]]:
        ahead = SlotUse()
        ranked = []
        for work in sorted(works, key=own_key):
            slots = ahead.of_customer(work.customer, work.priority)
            ranked.append((self.key(work, slots), work))
            ahead.add(work.customer, work.priority, work.slots)
        return ranked

    def _share(self, customer: str, priority: int) -> float:
        """Returns a customer's fair share in slots at a priority."""
        level = self._level_by_priority.get(priority)
        if level is None:
            level = _slots_per_weight(
                self._capacity,
                self._demand_by_customer(priority),
                self._shares_by_customer,
            )
            self._level_by_priority[priority] = level
        return level * self._shares_by_customer.get(customer, 1.0)

    def _demand_by_customer(self, priority: int) -> dict[str, float]:
        demand = self._running.by_customer(priority)
        for customer, slots in self._waiting.by_customer(priority).items():
            demand[customer] = demand.get(customer, 0.0) + slots
        return demand


def adjusted_start_deadline(work: Work) -> float:
    """Returns the start deadline plus a penalty for expensive work."""
    return work.start_deadline + (
        COST_WEIGHT * work.cost / max(work.value, _MIN_VALUE)
    )


def own_key(work: Work) -> tuple[int, bool, float, int]:
    """Returns the sort key among the work of one customer."""
    return (
        -work.priority,
        work.late,
        adjusted_start_deadline(work),
        work.number,
    )


def _slots_per_weight(
    capacity: float,
    demand_by_customer: Mapping[str, float],
    shares_by_customer: Mapping[str, float],
) -> float:
    """Returns the level of weighted max-min fairness.

    Args:
      capacity: Slots to share.
      demand_by_customer: Demand of each customer in slots.
      shares_by_customer: Weights of the customers, 1 for those not named.

    Returns:
      Slots per unit of weight to which each customer's demand is cut, infinite
      if the capacity is enough for all.
    """
    weights = {
        name: shares_by_customer.get(name, 1.0) for name in demand_by_customer
    }
    remaining, weight_left = capacity, sum(weights.values())
    for name in sorted(
        demand_by_customer,
        key=lambda name: demand_by_customer[name] / weights[name],
    ):
        level = remaining / weight_left
        if demand_by_customer[name] > level * weights[name]:
            return level
        remaining -= demand_by_customer[name]
        weight_left -= weights[name]
    return math.inf
