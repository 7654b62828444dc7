"""Recent demand at an entry, and which part of it fits the capacity.

When more is asked for than can be served, something has to be refused. Each
customer has its fair share of the decode slots; within it, higher priority goes
first and then what brings the most goodput for the slot time it takes. The
rest is refused at once instead of waiting for a slot that it won't get.
"""

import collections
import dataclasses
from collections.abc import Mapping

# Requests that are remembered at the least, and all of the last `_SPAN_MIN_S`:
# a pool of many requests a second has more of them in that time.
_ITEMS_LEAST = 160
_AGE_MAX_S = 20.0
_SPAN_MIN_S = 3.0
_REFRESH_S = 0.25

# Bursts last some seconds; a longer look back would notice them too late.
_LOAD_WINDOW_S = 3.0

# Admit a little more than fits: a queue that runs empty wastes slots, and
# what is too much is refused by its expected wait.
_HEADROOM = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """What one request asks for.

    Attributes:
      at: When it arrived.
      customer: Its customer.
      priority: Its priority.
      cost_s: Decode slot time it is expected to take.
      worth: What it is worth if it meets its targets.
    """

    at: float
    customer: str
    priority: int
    cost_s: float
    worth: float = 1.0

    def rank(self) -> tuple[int, float]:
        """Returns its place among its customer's requests, small first."""
        return (-self.priority, self.cost_s / max(self.worth, 1e-6))


def fair_shares(
    total: float,
    demand_by_customer: Mapping[str, float],
    shares_by_customer: Mapping[str, float],
) -> dict[str, float]:
    """Splits a total max-min fairly by weight.

    Args:
      total: What there is.
      demand_by_customer: What each customer asks for.
      shares_by_customer: Weights, 1 for customers not named.

    Returns:
      What each customer gets; none gets more than it asks for, and what one
      leaves goes to the others.
    """
    weights = {
        customer: shares_by_customer.get(customer, 1.0)
        for customer in demand_by_customer
    }
    by_level = sorted(
        demand_by_customer,
        key=lambda customer: demand_by_customer[customer] / weights[customer],
    )
    left = total
    weight_left = sum(weights.values())
    given = {}
    for customer in by_level:
        share = left * weights[customer] / weight_left if weight_left else 0.0
        given[customer] = min(demand_by_customer[customer], share)
        left -= given[customer]
        weight_left -= weights[customer]
    return given


class DemandWindow:
    """The requests that arrived lately."""

    def __init__(self) -> None:
        self._items: collections.deque[Item] = collections.deque()
        self._count_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self._cutoffs_by_customer: dict[str, tuple[int, float]] = {}
        self._refreshed_at = float("-inf")

    def add(self, item: Item) -> None:
        """Notes a request that arrived."""
        self._items.append(item)
        self._count_by_priority[item.priority] += 1
        since = item.at - _SPAN_MIN_S
        while len(self._items) > _ITEMS_LEAST and self._items[0].at < since:
            self._drop_oldest()

    def fits(
        self, item: Item, slots: float, shares_by_customer: Mapping[str, float]
    ) -> bool:
        """Returns whether a request belongs to the demand that can be served.

        Args:
          item: The request, added before.
          slots: Decode slots that are this entry's part of the pool.
          shares_by_customer: Weights of the customers.
        """
        if item.at - self._refreshed_at >= _REFRESH_S:
            self._refresh(item.at, slots, shares_by_customer)
        cutoff = self._cutoffs_by_customer.get(item.customer)
        return cutoff is None or item.rank() <= cutoff

    def load(self, now: float, slots: float) -> float:
        """Returns the part of the slots that lately arriving work takes.

        Args:
          now: Time, seconds.
          slots: Slots there are.
        """
        since = now - _LOAD_WINDOW_S
        cost_s = 0.0
        for item in reversed(self._items):
            if item.at < since:
                break
            cost_s += item.cost_s
        return cost_s / max(slots * _LOAD_WINDOW_S, 1.0)

    def share_at_least(self, priority: int) -> float:
        """Returns the share of the demand with a priority or a higher one."""
        if not self._items:
            return 1.0
        count = sum(
            count
            for other, count in self._count_by_priority.items()
            if other >= priority
        )
        return count / len(self._items)

    def _drop_oldest(self) -> None:
        priority = self._items.popleft().priority
        self._count_by_priority[priority] -= 1
        if not self._count_by_priority[priority]:
            del self._count_by_priority[priority]

    def _refresh(
        self, now: float, slots: float, shares_by_customer: Mapping[str, float]
    ) -> None:
        self._refreshed_at = now
        while self._items and now - self._items[0].at > _AGE_MAX_S:
            self._drop_oldest()
        self._cutoffs_by_customer = {}
        if not self._items:
            return
        span = max(now - self._items[0].at, _SPAN_MIN_S)
        items_by_customer: dict[str, list[Item]] = {}
        for item in self._items:
            items_by_customer.setdefault(item.customer, []).append(item)
        demand_by_customer = {
            customer: sum(item.cost_s for item in items)
            for customer, items in items_by_customer.items()
        }
        total = slots * span * _HEADROOM
        given = fair_shares(total, demand_by_customer, shares_by_customer)
        for customer, items in items_by_customer.items():
            if given[customer] < demand_by_customer[customer]:
                self._cutoffs_by_customer[customer] = _cutoff(
                    items, given[customer]
                )


def _cutoff(items: list[Item], capacity_s: float) -> tuple[int, float]:
    """Returns the rank of the last request that fits, at least in part.

    A share smaller than one request would otherwise let a customer do nothing.
    """
    ranked = sorted(items, key=Item.rank)
    last = ranked[0]
    for item in ranked:
        if capacity_s <= 0:
            break
        last = item
        capacity_s -= item.cost_s
    return last.rank()
