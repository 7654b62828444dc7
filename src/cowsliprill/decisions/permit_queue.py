"""Queue of requests that wait for a permit to be sent to a limited endpoint.

The coordinator of a pool of plain servers hands out the permits for all VMs.
More urgent requests come first, and the customers of one priority take turns.
A request that won't get a permit in time is denied at once.
"""

import dataclasses
import math

from cowsliprill.decisions import endpoint_rates

# Wake-ups while requests wait: rates rise after the end of a limit.
_MAX_WAKEUP_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitRequest:
    """A request that waits for a permit.

    Attributes:
      number: Number of the request.
      endpoint_ids: Endpoints to any of which it may be sent.
      priority: Its priority; higher is more urgent.
      customer: Id of the customer.
      expires_at: Latest time at which a permit is of use, in seconds.
    """

    number: int
    endpoint_ids: tuple[str, ...]
    priority: int = 0
    customer: str = ""
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """A request may be sent to an endpoint now.

    Attributes:
      number: Number of the request.
      endpoint_id: The endpoint.
    """

    number: int
    endpoint_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Denied:
    """A request won't get a permit in time.

    Attributes:
      number: Number of the request.
      wait_s: Expected wait for a permit in seconds.
      rate_per_s: Requests a second that its endpoints take together.
    """

    number: int
    wait_s: float
    rate_per_s: float


Decision = Granted | Denied


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    request: PermitRequest
    turn: int

    def key(self) -> tuple[int, int, int]:
        return (-self.request.priority, self.turn, self.request.number)


class PermitQueue:
    """Waiting requests of one pool.

    Args:
      rates: Rates of the pool's endpoints.
    """

    def __init__(self, rates: endpoint_rates.EndpointRates) -> None:
        self._rates = rates
        self._waiting_by_number: dict[int, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_number)

    def add(self, request: PermitRequest) -> None:
        """Adds a request; `decide` decides on it."""
        same_customer = sum(
            item.request.customer == request.customer
            and item.request.priority == request.priority
            for item in self._waiting_by_number.values()
        )
        self._waiting_by_number[request.number] = _Waiting(
            request, same_customer
        )

    def remove(self, number: int) -> None:
        """Removes a request whose caller has left."""
        self._waiting_by_number.pop(number, None)

    def decide(self, now: float) -> list[Decision]:
        """Grants the permits that are due and denies hopeless requests.

        Args:
          now: Current time in seconds.

        Returns:
          The decisions; the requests are no longer in the queue.
        """
        decisions: list[Decision] = []
        planned_at_by_endpoint: dict[str, float] = {}
        for item in sorted(self._waiting_by_number.values(), key=_Waiting.key):
            decision = self._decide_one(
                item.request, planned_at_by_endpoint, now
            )
            if decision is not None:
                decisions.append(decision)
                del self._waiting_by_number[item.request.number]
        return decisions

    def next_wakeup(self, now: float) -> float:
        """Returns when `decide` is due, infinite for an empty queue."""
        if not self._waiting_by_number:
            return math.inf
        return min(self._rates.next_opening(now), now + _MAX_WAKEUP_INTERVAL_S)

    def _decide_one(
        self,
        request: PermitRequest,
        planned_at_by_endpoint: dict[str, float],
        now: float,
    ) -> Decision | None:
        """Decides on the next request in the order of the queue.

        Args:
          request: The request.
          planned_at_by_endpoint: When endpoints have their next permit after
            those of the requests before; updated.
          now: Current time in seconds.
        """
        permit_at, endpoint_id = min(
            (
                planned_at_by_endpoint.get(
                    endpoint_id, self._rates.next_at(endpoint_id, now)
                ),
                endpoint_id,
            )
            for endpoint_id in request.endpoint_ids
        )
        if permit_at <= now:
            self._rates.take(endpoint_id, now)
            planned_at_by_endpoint.pop(endpoint_id, None)
            return Granted(number=request.number, endpoint_id=endpoint_id)
        if permit_at <= request.expires_at:
            planned_at_by_endpoint[endpoint_id] = (
                permit_at + 1 / self._rates.rate_per_s(endpoint_id, now)
            )
            return None
        return Denied(
            number=request.number,
            wait_s=permit_at - now,
            rate_per_s=sum(
                self._rates.rate_per_s(endpoint_id, now)
                for endpoint_id in request.endpoint_ids
            ),
        )
