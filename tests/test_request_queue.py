"""Tests of the request queue."""

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import request_queue

_SERVICE = model.Service(
    id="u/s", customer="u", name="s", kind=model.ServiceKind.MODEL, pool="g"
)


def _waiting(
    request_id: int,
    *,
    customer: str = "u",
    priority: int = 0,
    start_deadline: float = 1.0,
) -> request_queue.QueuedRequest:
    submit = messages.Submit(
        request_id=request_id,
        service=_SERVICE,
        customer=customer,
        prompt_tokens=10,
        output_tokens=10,
        priority=priority,
    )
    return request_queue.QueuedRequest(
        submit=submit, start_deadline=start_deadline, cost_s=1.0
    )


def _no_excess(_: str) -> float:
    return 0.0


class TestWaitingQueue:
    """Order of queued requests."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=100
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.integers(0, 2),
                strategies.floats(0, 100),
                strategies.booleans(),
            ),
            max_size=25,
        )
    )
    def test_order_equals_a_sorted_list(self, steps) -> None:
        waiting_queue = request_queue.RequestQueue()
        expected: list[request_queue.QueuedRequest] = []
        for number, (customer, priority, start_deadline, removes) in enumerate(
            steps
        ):
            if removes and expected:
                removed = expected.pop(number % len(expected))
                assert (
                    waiting_queue.remove(removed.submit.request_id) == removed
                )
            item = _waiting(
                number,
                customer=customer,
                priority=priority,
                start_deadline=start_deadline,
            )
            expected.append(item)
            waiting_queue.add(item)
            expected.sort(key=request_queue.QueuedRequest.key)
            assert waiting_queue.last(_no_excess) == expected[-1]
        while expected:
            first = waiting_queue.first(_no_excess)
            assert first == expected.pop(0)
            waiting_queue.remove(first.submit.request_id)
        assert len(waiting_queue) == 0
        assert waiting_queue.first(_no_excess) is None

    def test_low_priority_does_not_starve(self) -> None:
        """Guards against starvation of low-priority requests.

        High-priority requests keep arriving. With strict priorities a request
        of low priority would be refused for as long as they do.
        """
        low = _waiting(1, priority=0, start_deadline=1.0)
        late = 2.0 + request_queue.PRIORITY_LEVEL_S
        high = _waiting(2, priority=1, start_deadline=late)
        waiting_queue = request_queue.RequestQueue()
        waiting_queue.add(high)
        waiting_queue.add(low)
        assert waiting_queue.first(_no_excess) == low

    def test_customer_above_its_share_goes_last(self) -> None:
        waiting_queue = request_queue.RequestQueue()
        waiting_queue.add(_waiting(1, customer="greedy", start_deadline=1.0))
        waiting_queue.add(_waiting(2, customer="modest", start_deadline=2.0))
        over = {"greedy": 3.0, "modest": 0.0}
        first = waiting_queue.first(over.__getitem__)
        last = waiting_queue.last(over.__getitem__)
        assert first is not None and first.submit.customer == "modest"
        assert last is not None and last.submit.customer == "greedy"
