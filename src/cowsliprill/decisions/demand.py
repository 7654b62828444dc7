"""Recent demand at a scheduler, and which requests fit the capacity.

In an overload each customer gets its max-min fair share of the decode slots.
Within it, requests of higher priority go first, then those with the most
goodput for their slot time. The others are refused at once, as they would only
wait for slots that they won't get.
"""

import collections
import dataclasses
from collections.abc import Mapping
from typing import Self

# The window keeps at least this many requests, and all of the last
# `_MIN_SPAN_S`, which are more at a high request rate.
_MIN_SAMPLES = 160
_MAX_AGE_S = 20.0
_MIN_SPAN_S = 3.0
_REFRESH_INTERVAL_S = 0.25

# Bursts last some seconds; a longer window would detect them too late.
_LOAD_WINDOW_S = 3.0

# Multiple of the capacity up to which demand is admitted. It should not be too
# low: a queue that runs empty wastes slots, and excess requests are refused by
# their expected wait anyway.
_CAPACITY_FACTOR = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestDemand:
    """Demand of one request.

    Attributes:
      arrived_at: Arrival time in seconds.
      customer: Id of its customer.
      priority: Its priority; higher goes first.
      cost_s: Expected decode slot time, summed over its slots.
      value: Its goodput if it meets its targets.
    """

    arrived_at: float
    customer: str
    priority: int
    cost_s: float
    value: float = 1.0

    def __deepcopy__(self, memo: dict) -> Self:
        """Returns itself, as it is immutable."""
        return self

    def rank(self) -> tuple[int, float]:
        """Returns the sort key within its customer, smallest first."""
        return (-self.priority, self.cost_s / max(self.value, 1e-6))


def fair_shares(
    total: float,
    demand_by_customer: Mapping[str, float],
    shares_by_customer: Mapping[str, float],
) -> dict[str, float]:
    """Allocates a total by weighted max-min fairness.

    Args:
      total: Amount to allocate.
      demand_by_customer: Demand of each customer.
      shares_by_customer: Weights, 1 for customers not named.

    Returns:
      Allocation of each customer. None exceeds the customer's demand; what one
      customer leaves unused goes to the others.
    """
    weights = {
        customer: shares_by_customer.get(customer, 1.0)
        for customer in demand_by_customer
    }
    by_level = sorted(
        demand_by_customer,
        key=lambda customer: demand_by_customer[customer] / weights[customer],
    )
    remaining = total
    remaining_weight = sum(weights.values())
    allocated = {}
    for customer in by_level:
        share = (
            remaining * weights[customer] / remaining_weight
            if remaining_weight
            else 0.0
        )
        allocated[customer] = min(demand_by_customer[customer], share)
        remaining -= allocated[customer]
        remaining_weight -= weights[customer]
    return allocated


class DemandWindow:
    """Sliding window of the requests that arrived recently."""

    def __init__(self) -> None:
        self._items: collections.deque[RequestDemand] = collections.deque()
        self._count_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self._cutoffs_by_customer: dict[str, tuple[int, float]] = {}
        self._refreshed_at = float("-inf")

    def add(self, item: RequestDemand) -> None:
        """Records a new request."""
        self._items.append(item)
        self._count_by_priority[item.priority] += 1
        since = item.arrived_at - _MIN_SPAN_S
        while (
            len(self._items) > _MIN_SAMPLES
            and self._items[0].arrived_at < since
        ):
            self._drop_oldest()

    def fits(
        self,
        item: RequestDemand,
        slots: float,
        shares_by_customer: Mapping[str, float],
    ) -> bool:
        """Returns whether a request fits its customer's share of the capacity.

        Args:
          item: Request, which was added before.
          slots: Decode slots of the pool that this process may use.
          shares_by_customer: Weights of the customers.
        """
        if item.arrived_at - self._refreshed_at >= _REFRESH_INTERVAL_S:
            self._refresh(item.arrived_at, slots, shares_by_customer)
        cutoff = self._cutoffs_by_customer.get(item.customer)
        return cutoff is None or item.rank() <= cutoff

    def load(self, now: float, slots: float) -> float:
        """Returns recent demand as a fraction of the capacity.

        Args:
          now: Current time in seconds.
          slots: Decode slots of the pool that this process may use.
        """
        since = now - _LOAD_WINDOW_S
        cost_s = 0.0
        for item in reversed(self._items):
            if item.arrived_at < since:
                break
            cost_s += item.cost_s
        return cost_s / max(slots * _LOAD_WINDOW_S, 1.0)

    def fraction_at_or_above(self, priority: int) -> float:
        """Returns the fraction of recent requests of at least some priority.

        Args:
          priority: Least priority that counts.

        Returns:
          The fraction, 1 if there were no requests.
        """
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
        while self._items and now - self._items[0].arrived_at > _MAX_AGE_S:
            self._drop_oldest()
        self._cutoffs_by_customer = {}
        if not self._items:
            return
        span_s = max(now - self._items[0].arrived_at, _MIN_SPAN_S)
        items_by_customer: dict[str, list[RequestDemand]] = {}
        for item in self._items:
            items_by_customer.setdefault(item.customer, []).append(item)
        demand_by_customer = {
            customer: sum(item.cost_s for item in items)
            for customer, items in items_by_customer.items()
        }
        total = slots * span_s * _CAPACITY_FACTOR
        allocated = fair_shares(total, demand_by_customer, shares_by_customer)
        for customer, items in items_by_customer.items():
            if allocated[customer] < demand_by_customer[customer]:
                self._cutoffs_by_customer[customer] = _cutoff(
                    items, allocated[customer]
                )


def _cutoff(items: list[RequestDemand], capacity_s: float) -> tuple[int, float]:
    """Returns the rank of the last request that fits at least partly.

    The first request always counts. Otherwise a customer whose share is smaller
    than one request could run none.

    Args:
      items: Recent requests of one customer.
      capacity_s: Decode slot time of the customer's fair share.
    """
    ranked = sorted(items, key=RequestDemand.rank)
    last = ranked[0]
    for item in ranked:
        if capacity_s <= 0:
            break
        last = item
        capacity_s -= item.cost_s
    return last.rank()
