"""The entry's queue of requests that wait for slots.

Requests of one customer are ordered by priority and by the time left to their
target: each level of priority is worth a fixed number of seconds, so that a
low-priority request that waits long enough goes first, and none starves.
Between customers, those below their fair share of running work go first.
"""

import bisect
import dataclasses
from collections.abc import Callable
from collections.abc import Iterator

from cowsliprill.decisions import messages

# Seconds of waiting that outweigh one level of priority.
PRIORITY_WORTH_S = 30.0


_Key = tuple[bool, float, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """A request that waits.

    Attributes:
      submit: The request.
      latest_start: When starting it would be too late for its target.
      cost_s: Decode slot time it is expected to take.
      size_worth: Seconds of waiting that a second of `cost_s` outweighs.
      slots: Slots of a decode engine that it takes.
      late: Whether its target is missed and its answer only of some use.
    """

    submit: messages.Submit
    latest_start: float
    cost_s: float
    size_worth: float = 0.0
    slots: int = 1
    late: bool = False

    def key(self) -> _Key:
        """Returns its place in the order, small first.

        Those that can still meet their targets go before those that can't,
        whose answers are worth a part of it.
        """
        priority = self.submit.priority * PRIORITY_WORTH_S
        return (self.late, self.urgency() - priority, self.submit.request_id)

    def urgency(self) -> float:
        """Returns the latest start, put off for long requests."""
        return self.latest_start + self.cost_s * self.size_worth


class WaitingQueue:
    """Waiting requests of one pool, by customer."""

    def __init__(self) -> None:
        self._waiting_by_id: dict[int, Waiting] = {}
        self._keys_by_customer: dict[str, list[_Key]] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self._waiting_by_id.values())

    def add(self, waiting: Waiting) -> None:
        """Adds a request."""
        self._waiting_by_id[waiting.submit.request_id] = waiting
        keys = self._keys_by_customer.setdefault(waiting.submit.customer, [])
        bisect.insort(keys, waiting.key())

    def remove(self, request_id: int) -> Waiting | None:
        """Removes a request, and returns it if it was waiting."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return None
        customer = waiting.submit.customer
        keys = self._keys_by_customer[customer]
        del keys[bisect.bisect_left(keys, waiting.key())]
        if not keys:
            del self._keys_by_customer[customer]
        return waiting

    def wants(self) -> tuple[tuple[str, int], ...]:
        """Returns the number of waiting requests of each customer."""
        return tuple(
            (customer, len(keys))
            for customer, keys in self._keys_by_customer.items()
        )

    def customers(self) -> list[str]:
        """Returns the customers with waiting requests."""
        return list(self._keys_by_customer)

    def first(self, over_share: Callable[[str], float]) -> Waiting | None:
        """Returns the request to place next.

        Args:
          over_share: How far a customer is above its fair share, 0 if it isn't.

        Returns:
          The first request of the customer that comes first, None if empty.
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

    def last(self, over_share: Callable[[str], float]) -> Waiting | None:
        """Returns the request to give up first, the opposite of `first`."""
        customer = max(
            self._keys_by_customer,
            key=lambda name: (
                over_share(name),
                self._keys_by_customer[name][-1],
            ),
            default=None,
        )
        return None if customer is None else self._at(customer, -1)

    def soonest_latest_start(self) -> float:
        """Returns when the next request becomes too late."""
        return min(
            (item.latest_start for item in self._waiting_by_id.values()),
            default=float("inf"),
        )

    def too_late(self, now: float) -> list[Waiting]:
        """Returns the requests whose targets can't be met any more."""
        return [
            item
            for item in self._waiting_by_id.values()
            if item.latest_start <= now
        ]

    def _at(self, customer: str, index: int) -> Waiting:
        _, _, request_id = self._keys_by_customer[customer][index]
        return self._waiting_by_id[request_id]
