"""Tests of `decisions.cancels`, in virtual time."""

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import cancels

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)
_STEP_S = 0.05
_OUTCOMES = strategies.sampled_from(["lost", "refused", "acknowledged"])


def _order(number: int, endpoint_id: str = "d0") -> cancels.CancelOrder:
    return cancels.CancelOrder(
        endpoint_id=endpoint_id, request_id=f"vm-a.e0.one.{number}.0"
    )


def _tell(
    book: cancels.CancelBook,
    order: cancels.CancelOrder,
    outcome: str,
    now: float,
) -> None:
    match outcome:
        case "refused":
            book.fail(order, now)
        case "acknowledged":
            book.acknowledge(order, now)


class TestCancelBook:
    """Orders are repeated until the engine acknowledges them."""

    @_SETTINGS
    @hypothesis.given(
        count=strategies.integers(1, 30),
        outcomes=strategies.lists(_OUTCOMES, max_size=60),
    )
    def test_every_order_is_acknowledged_once_the_engine_answers(
        self, count: int, outcomes: list[str]
    ) -> None:
        """Cancel orders are lost, refused or answered late for a while.

        An order that is forgotten leaves a decode slot and its KV cache held
        for a caller who is gone, and the next family waits for it.
        """
        book = cancels.CancelBook()
        held = {_order(number) for number in range(count)}
        for order in held:
            book.add(order, 0.0)
        faults = iter(outcomes)
        now = 0.0
        faults_end = None
        while held:
            now += _STEP_S
            for order in book.due(now):
                outcome = next(faults, None)
                if outcome is None and faults_end is None:
                    faults_end = now
                outcome = outcome or "acknowledged"
                if outcome == "acknowledged":
                    held.discard(order)
                _tell(book, order, outcome, now)
            last = 0.0 if faults_end is None else faults_end
            assert now - last < 130
            if faults_end is not None:
                assert now - faults_end <= cancels.LONGEST_RETRY_S + 2 * _STEP_S
        assert book.pending == 0
        assert book.next_at() is None

    def test_a_dead_engine_gets_few_orders_at_a_time(self) -> None:
        """An engine dies with its slots full, and all callers give up.

        Retrying all their cancels each time would add load just where an
        engine is failing.
        """
        book = cancels.CancelBook()
        for number in range(200):
            book.add(_order(number), 0.0)
        for order in book.due(0.0):
            book.fail(order, 0.0)
        tries = 0
        for step in range(1, 601):
            now = step * _STEP_S
            for order in book.due(now):
                tries += 1
                book.fail(order, now)
        per_try = cancels.ORDERS_PER_TRY / cancels.LONGEST_RETRY_S
        assert 0 < tries <= per_try * 30 + 6 * cancels.ORDERS_PER_TRY

    def test_orders_that_always_fail_keep_no_other_back(self) -> None:
        bad = {_order(n) for n in range(cancels.ORDERS_PER_TRY)}
        book = cancels.CancelBook()
        for number in range(20):
            book.add(_order(number), 0.0)
        for order in book.due(0.0):
            book.fail(order, 0.0)
        for step in range(1, 30):
            now = 2.0 * step * cancels.LONGEST_RETRY_S
            for order in book.due(now):
                outcome = "refused" if order in bad else "acknowledged"
                _tell(book, order, outcome, now)
        assert set(book.all()) == bad

    def test_a_healthy_engine_isnt_kept_back_by_a_dead_one(self) -> None:
        book = cancels.CancelBook()
        book.add(_order(1, "dead"), 0.0)
        book.due(0.0)
        book.fail(_order(1, "dead"), 0.0)
        book.add(_order(2, "healthy"), 0.01)
        assert book.due(0.01) == [_order(2, "healthy")]

    def test_orders_to_an_endpoint_that_is_no_more_are_dropped(self) -> None:
        book = cancels.CancelBook()
        book.add(_order(1, "d0"), 0.0)
        book.add(_order(2, "d1"), 0.0)
        assert book.expire({"d1"}, 1.0) == 1
        assert book.all() == [_order(2, "d1")]
