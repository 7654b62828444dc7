"""Queue of requests that wait for slots, with fair sharing by customer.

Requests of one customer are ordered by start deadline and priority. Each
priority level counts as a fixed number of seconds, so that a low-priority
request that has waited long enough goes first and none starves. Between
customers, those at or below their fair share of running requests go first.
"""

import bisect
import dataclasses
from collections.abc import Callable
from collections.abc import Iterator
from typing import Self

from cowsliprill.decisions import messages

# Seconds of start deadline that one priority level counts as.
PRIORITY_LEVEL_S = 30.0


_Key = tuple[bool, float, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRequest:
    """A queued request.

    Attributes:
      submit: The request.
      start_deadline: Latest start that meets its TTFT target. For a late
        request, the latest start at which its response is of use.
      cost_s: Expected time in seconds for which it holds its slots, scaled by
        their number relative to the mean request and divided by its value.
      cost_weight: Seconds by which each second of `cost_s` moves the request
        back in the queue.
      slots: Decode slots that it takes.
      late: Whether it misses its TTFT target but its response is of use.
      version: Software version of the engines that it needs, None for any.
    """

    submit: messages.Submit
    start_deadline: float
    cost_s: float
    cost_weight: float = 0.0
    slots: int = 1
    late: bool = False
    version: str | None = None

    def __deepcopy__(self, memo: dict) -> Self:
        """Returns itself, as it is immutable."""
        return self

    def key(self) -> _Key:
        """Returns the sort key, smallest first.

        Late requests come last, as their responses have less value.
        """
        priority = self.submit.priority * PRIORITY_LEVEL_S
        return (
            self.late,
            self.adjusted_start_deadline() - priority,
            self.submit.request_id,
        )

    def adjusted_start_deadline(self) -> float:
        """Returns the start deadline plus a penalty for expensive requests."""
        return self.start_deadline + self.cost_s * self.cost_weight


class RequestQueue:
    """Queued requests of one pool, sorted for each customer."""

    def __init__(self) -> None:
        self._waiting_by_id: dict[int, QueuedRequest] = {}
        self._keys_by_customer: dict[str, list[_Key]] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._waiting_by_id.values())

    def add(self, waiting: QueuedRequest) -> None:
        """Adds a request."""
        self._waiting_by_id[waiting.submit.request_id] = waiting
        keys = self._keys_by_customer.setdefault(waiting.submit.customer, [])
        bisect.insort(keys, waiting.key())

    def remove(self, request_id: int) -> QueuedRequest | None:
        """Removes a request and returns it, or None if it isn't queued."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return None
        customer = waiting.submit.customer
        keys = self._keys_by_customer[customer]
        del keys[bisect.bisect_left(keys, waiting.key())]
        if not keys:
            del self._keys_by_customer[customer]
        return waiting

    def waiting_by_customer(self) -> tuple[tuple[str, int], ...]:
        """Returns pairs of a customer and its number of queued requests."""
        return tuple(
            (customer, len(keys))
            for customer, keys in self._keys_by_customer.items()
        )

    def customers(self) -> list[str]:
        """Returns the customers with queued requests."""
        return list(self._keys_by_customer)

    def first(self, over_share: Callable[[str], float]) -> QueuedRequest | None:
        """Returns the request to place next.

        Args:
          over_share: Returns how far a customer is above its fair share, 0 if
            it isn't.

        Returns:
          The first request of the customer that comes first, or None if the
          queue is empty.
        """
        customer = min(
            self._keys_by_customer,
            key=lambda name: (
                over_share(name),
                self._keys_by_customer[name][0],
            ),
            default=None,
        )
        return None if customer is None else self._at(customer, 0)

    def last(self, over_share: Callable[[str], float]) -> QueuedRequest | None:
        """Returns the request to shed first, the last in the order of `first`.

        Args:
          over_share: As for `first`.

        Returns:
          The request, or None if the queue is empty.
        """
        customer = max(
            self._keys_by_customer,
            key=lambda name: (
                over_share(name),
                self._keys_by_customer[name][-1],
            ),
            default=None,
        )
        return None if customer is None else self._at(customer, -1)

    def earliest_start_deadline(self) -> float:
        """Returns the earliest start deadline, infinite for an empty queue."""
        return min(
            (item.start_deadline for item in self._waiting_by_id.values()),
            default=float("inf"),
        )

    def past_deadline(self, now: float) -> list[QueuedRequest]:
        """Returns the requests whose start deadline has passed."""
        return [
            item
            for item in self._waiting_by_id.values()
            if item.start_deadline <= now
        ]

    def _at(self, customer: str, index: int) -> QueuedRequest:
        _, _, request_id = self._keys_by_customer[customer][index]
        return self._waiting_by_id[request_id]
