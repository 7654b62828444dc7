"""Tests of the retries of cancellations, in virtual time."""

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import cancel_queue

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)
_STEP_S = 0.05
_OUTCOMES = strategies.sampled_from(["lost", "refused", "acknowledged"])


def _cancellation(
    number: int, endpoint_id: str = "d0"
) -> cancel_queue.Cancellation:
    return cancel_queue.Cancellation(
        endpoint_id=endpoint_id, request_id=f"vm-a.e0.one.{number}.0"
    )


def _report(
    book: cancel_queue.CancelQueue,
    cancellation: cancel_queue.Cancellation,
    outcome: str,
    now: float,
) -> None:
    match outcome:
        case "refused":
            book.record_failure(cancellation, now)
        case "acknowledged":
            book.acknowledge(cancellation, now)


class TestCancelBook:
    """Cancellations are retried until the engine acknowledges them."""

    @_SETTINGS
    @hypothesis.given(
        count=strategies.integers(1, 30),
        outcomes=strategies.lists(_OUTCOMES, max_size=60),
    )
    def test_every_cancellation_is_acknowledged_after_recovery(
        self, count: int, outcomes: list[str]
    ) -> None:
        """Cancellations are lost or refused before the engine recovers.

        A cancellation that is never delivered leaves a decode slot and its KV
        cache allocated for a disconnected caller while other requests wait.
        """
        book = cancel_queue.CancelQueue()
        pending = {_cancellation(number) for number in range(count)}
        for cancellation in pending:
            book.add(cancellation, 0.0)
        faults = iter(outcomes)
        now = 0.0
        faults_end = None
        while pending:
            now += _STEP_S
            for cancellation in book.due(now):
                outcome = next(faults, None)
                if outcome is None and faults_end is None:
                    faults_end = now
                outcome = outcome or "acknowledged"
                if outcome == "acknowledged":
                    pending.discard(cancellation)
                _report(book, cancellation, outcome, now)
            last_fault_at = 0.0 if faults_end is None else faults_end
            assert now - last_fault_at < 130
            if faults_end is not None:
                assert (
                    now - faults_end
                    <= cancel_queue.MAX_RETRY_DELAY_S + 2 * _STEP_S
                )
        assert book.pending == 0
        assert book.next_at() is None

    def test_retries_to_an_unresponsive_engine_are_limited(self) -> None:
        """An engine crashes with all slots in use, and all callers disconnect.

        Retrying all cancellations at once would add load to a failing engine.
        """
        book = cancel_queue.CancelQueue()
        for number in range(200):
            book.add(_cancellation(number), 0.0)
        for cancellation in book.due(0.0):
            book.record_failure(cancellation, 0.0)
        attempts = 0
        for step in range(1, 601):
            now = step * _STEP_S
            for cancellation in book.due(now):
                attempts += 1
                book.record_failure(cancellation, now)
        max_rate = (
            cancel_queue.MAX_CANCELS_PER_ATTEMPT
            / cancel_queue.MAX_RETRY_DELAY_S
        )
        assert (
            0
            < attempts
            <= max_rate * 30 + 6 * cancel_queue.MAX_CANCELS_PER_ATTEMPT
        )

    def test_failing_cancellations_do_not_starve_others(self) -> None:
        failing = {
            _cancellation(n)
            for n in range(cancel_queue.MAX_CANCELS_PER_ATTEMPT)
        }
        book = cancel_queue.CancelQueue()
        for number in range(20):
            book.add(_cancellation(number), 0.0)
        for cancellation in book.due(0.0):
            book.record_failure(cancellation, 0.0)
        for step in range(1, 30):
            now = 2.0 * step * cancel_queue.MAX_RETRY_DELAY_S
            for cancellation in book.due(now):
                outcome = (
                    "refused" if cancellation in failing else "acknowledged"
                )
                _report(book, cancellation, outcome, now)
        assert set(book.all()) == failing

    def test_failing_engine_does_not_delay_a_healthy_one(self) -> None:
        book = cancel_queue.CancelQueue()
        book.add(_cancellation(1, "dead"), 0.0)
        book.due(0.0)
        book.record_failure(_cancellation(1, "dead"), 0.0)
        book.add(_cancellation(2, "healthy"), 0.01)
        assert book.due(0.01) == [_cancellation(2, "healthy")]

    def test_cancellations_for_a_removed_endpoint_are_dropped(self) -> None:
        book = cancel_queue.CancelQueue()
        book.add(_cancellation(1, "d0"), 0.0)
        book.add(_cancellation(2, "d1"), 0.0)
        assert book.expire({"d1"}, 1.0) == 1
        assert book.all() == [_cancellation(2, "d1")]
