"""Tests of the queue for permits."""

import math

from tests import test_endpoint_rates
from tests import test_rate_limits

from cowsliprill.decisions import endpoint_rates
from cowsliprill.decisions import permit_queue

_SERVER = test_rate_limits.SERVER


def _request(number: int, **changes) -> permit_queue.PermitRequest:
    fields = {"endpoint_ids": (_SERVER.id,), "expires_at": 100.0, **changes}
    return permit_queue.PermitRequest(number=number, **fields)


def _queue(per_s: float = 1.0) -> permit_queue.PermitQueue:
    return permit_queue.PermitQueue(test_endpoint_rates._rates(per_s))


def _granted(queue: permit_queue.PermitQueue, *times: float) -> list[int]:
    return [
        decision.number
        for now in times
        for decision in queue.decide(now)
        if isinstance(decision, permit_queue.Granted)
    ]


class TestOrder:
    """More requests wait than an endpoint takes."""

    def test_the_most_urgent_request_comes_first(self) -> None:
        queue = _queue()
        queue.add(_request(1, priority=0))
        queue.add(_request(2, priority=1))
        assert _granted(queue, 0.5, 1.0, 2.0) == [2, 1]

    def test_customers_take_turns(self) -> None:
        """Guards against a customer that takes all permits of a pool."""
        queue = _queue()
        for number in range(3):
            queue.add(_request(number, customer="a"))
        queue.add(_request(3, customer="b"))
        assert _granted(queue, 1.0, 2.0, 3.0, 4.0) == [0, 3, 1, 2]

    def test_a_caller_that_leaves_takes_no_permit(self) -> None:
        queue = _queue()
        queue.add(_request(1))
        queue.add(_request(2))
        queue.remove(1)
        assert _granted(queue, 1.0) == [2]


class TestDenial:
    """A request that won't get a permit in time is denied at once."""

    def test_by_its_place_in_the_queue(self) -> None:
        """Guards against a caller that waits for what can't come in time."""
        queue = _queue(per_s=2.0)
        for number in range(4):
            queue.add(_request(number, expires_at=1.1))
        denied = [item.number for item in queue.decide(0.0)]
        assert denied == [2, 3]
        assert len(queue) == 2

    def test_when_more_urgent_requests_come(self) -> None:
        queue = _queue(per_s=2.0)
        queue.add(_request(1, priority=0, expires_at=0.6))
        assert queue.decide(0.0) == []
        queue.add(_request(2, priority=1, expires_at=0.6))
        (decision,) = queue.decide(0.1)
        assert decision.number == 1
        assert decision.wait_s == 0.9
        assert decision.rate_per_s == 2.0

    def test_at_once_if_it_can_not_wait(self) -> None:
        queue = _queue()
        queue.add(_request(1, expires_at=0.0))
        (decision,) = queue.decide(0.0)
        assert isinstance(decision, permit_queue.Denied)


class TestWakeup:
    """The owner of the queue sleeps until there is something to decide."""

    def test_until_the_next_permit(self) -> None:
        queue = _queue(per_s=10.0)
        assert queue.next_wakeup(0.0) == math.inf
        queue.add(_request(1))
        assert queue.next_wakeup(0.0) == 0.1

    def test_a_request_to_endpoints_without_a_limit_is_granted(self) -> None:
        queue = permit_queue.PermitQueue(endpoint_rates.EndpointRates())
        queue.add(_request(1))
        assert _granted(queue, 0.0) == [1]
