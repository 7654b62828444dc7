"""Tests of `decisions.queue`."""

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import queue

_SERVICE = model.Service(
    id="u/s", customer="u", name="s", kind=model.ServiceKind.MODEL, pool="g"
)


def _waiting(
    request_id: int,
    *,
    customer: str = "u",
    priority: int = 0,
    start_deadline: float = 1.0,
) -> queue.Waiting:
    submit = messages.Submit(
        request_id=request_id,
        service=_SERVICE,
        customer=customer,
        prompt_tokens=10,
        output_tokens=10,
        priority=priority,
    )
    return queue.Waiting(
        submit=submit, start_deadline=start_deadline, cost_s=1.0
    )


def _equal(_: str) -> float:
    return 0.0


class TestWaitingQueue:
    """Order of waiting requests."""

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
    def test_equals_a_sorted_list(self, steps) -> None:
        waiting_queue = queue.WaitingQueue()
        plain: list[queue.Waiting] = []
        for number, (customer, priority, start_deadline, removes) in enumerate(
            steps
        ):
            if removes and plain:
                gone = plain.pop(number % len(plain))
                assert waiting_queue.remove(gone.submit.request_id) == gone
            item = _waiting(
                number,
                customer=customer,
                priority=priority,
                start_deadline=start_deadline,
            )
            plain.append(item)
            waiting_queue.add(item)
            plain.sort(key=queue.Waiting.key)
            assert waiting_queue.last(_equal) == plain[-1]
        while plain:
            first = waiting_queue.first(_equal)
            assert first == plain.pop(0)
            waiting_queue.remove(first.submit.request_id)
        assert len(waiting_queue) == 0
        assert waiting_queue.first(_equal) is None

    def test_low_priority_does_not_starve(self) -> None:
        """Urgent requests keep coming while a common one waits.

        Were priority strict, the common one would never run; its caller
        would see only refusals for as long as urgent work comes.
        """
        old = _waiting(1, priority=0, start_deadline=1.0)
        late = 2.0 + queue.PRIORITY_LEVEL_S
        fresh = _waiting(2, priority=1, start_deadline=late)
        waiting_queue = queue.WaitingQueue()
        waiting_queue.add(fresh)
        waiting_queue.add(old)
        assert waiting_queue.first(_equal) == old

    def test_a_customer_above_its_share_stands_back(self) -> None:
        waiting_queue = queue.WaitingQueue()
        waiting_queue.add(_waiting(1, customer="greedy", start_deadline=1.0))
        waiting_queue.add(_waiting(2, customer="modest", start_deadline=2.0))
        over = {"greedy": 3.0, "modest": 0.0}
        first = waiting_queue.first(over.__getitem__)
        last = waiting_queue.last(over.__getitem__)
        assert first is not None and first.submit.customer == "modest"
        assert last is not None and last.submit.customer == "greedy"
