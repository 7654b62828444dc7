"""Requests with a suspected feature start one after the other."""

import pytest

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import suspected_features

_POOL = "writers"


def _suspected(*parts, now=10.0):
    """Returns the state after an engine was lost with these parts."""
    state = suspected_features.SuspectedFeatures()
    state.start(1, _POOL, parts)
    state.lose(1, now)
    state.end(1)
    return state


class TestMustWait:
    """Which requests have to wait for the start of others."""

    def test_unsuspected_requests_start_together(self):
        state = suspected_features.SuspectedFeatures()
        state.start(1, _POOL, ("x",))
        assert not state.must_wait(_POOL, ("x",), 10.0)

    def test_suspected_part_is_at_one_engine_at_a_time(self):
        """Guards against several engines that one part ends together."""
        state = _suspected("x")
        assert not state.must_wait(_POOL, ("x",), 10.1)
        state.start(2, _POOL, ("x", "y"))
        assert state.must_wait(_POOL, ("x",), 10.2)
        assert not state.must_wait(_POOL, ("y",), 10.2)
        assert not state.must_wait("other", ("x",), 10.2)
        state.end(2)
        assert not state.must_wait(_POOL, ("x",), 10.3)

    def test_output_frees_all_parts_of_the_prompt(self):
        """Guards against a popular part that waits after engines ended."""
        state = _suspected("x", "y")
        state.start(2, _POOL, ("x",))
        state.survive(2, 10.2)
        state.start(3, _POOL, ("x",))
        assert not state.must_wait(_POOL, ("x",), 10.3)
        state.start(4, _POOL, ("y",))
        assert state.must_wait(_POOL, ("y",), 10.3)

    def test_part_that_engines_survived_lately_is_not_suspected(self):
        state = suspected_features.SuspectedFeatures()
        state.start(1, _POOL, ("x",))
        state.survive(1, 9.0)
        state.start(2, _POOL, ("x",))
        state.lose(2, 10.0)
        state.end(2)
        state.start(3, _POOL, ("x",))
        assert not state.must_wait(_POOL, ("x",), 10.1)

    @pytest.mark.parametrize(
        ("losses", "least_s", "most_s"),
        [(1, 0.0, 0.0), (2, 0.5, 1.0), (4, 2.0, 4.0), (2_000, 4.0, 8.0)],
    )
    def test_part_is_tried_again_after_a_growing_delay(
        self, losses, least_s, most_s
    ):
        """Guards against engines that end before the VMs know the part."""
        state = suspected_features.SuspectedFeatures()
        for number in range(losses):
            state.start(number, _POOL, ("x",))
            state.lose(number, 10.0)
            state.end(number)
        assert not state.must_wait(_POOL, ("x",), 10.0 + most_s)
        if least_s:
            assert state.must_wait(_POOL, ("x",), 9.99 + least_s)

    def test_parts_lost_together_are_tried_again_apart(self):
        """Guards against company that is lost with the cause each time.

        What is always lost with the cause is blamed as the cause is.
        """
        parts = ("x", "y", "z")
        state = suspected_features.SuspectedFeatures()
        for _ in range(2):
            for number, part in enumerate(parts):
                state.start(number, _POOL, (part,))
            for number in range(len(parts)):
                state.lose(number, 10.0)
                state.end(number)
        delays_s = {
            next(
                step
                for step in range(100)
                if not state.must_wait(_POOL, (part,), 10.0 + step / 100)
            )
            for part in parts
        }
        assert len(delays_s) == len(parts)

    def test_number_of_suspected_features_is_bounded(self):
        """Guards against memory that grows with each lost request."""
        state = suspected_features.SuspectedFeatures()
        for number in range(10_000):
            state.start(number, _POOL, (f"{number:016x}",))
            state.lose(number, 10.0)
        assert len(state._suspicions_by_feature) == 8_192


def _record(endpoint: str, *parts: str, **changes) -> crash_records.CrashRecord:
    return crash_records.CrashRecord(
        endpoint_id=endpoint,
        number=0,
        pool=_POOL,
        sent_before_s={"r": 0.1},
        parts_by_fingerprint={"r": frozenset(parts)},
        observed_at=10.0,
        **changes,
    )


class TestLearn:
    """Ends of engines that another coordinator has seen."""

    def test_part_of_a_record_is_suspected(self):
        """Guards against a new coordinator that starts all requests at once."""
        state = suspected_features.SuspectedFeatures()
        state.learn([_record("d0", "x")], 10.1)
        assert not state.must_wait(_POOL, ("x",), 10.1)
        state.start(1, _POOL, ("x",))
        assert state.must_wait(_POOL, ("x",), 10.2)
        assert not state.must_wait("other", ("x",), 10.2)

    def test_request_of_a_record_is_suspected(self):
        """Guards against copies of a request that end several engines."""
        state = suspected_features.SuspectedFeatures()
        state.learn([_record("d0")], 10.1)
        state.start(1, _POOL, ("r",))
        assert state.must_wait(_POOL, ("r",), 10.2)

    def test_part_with_output_since_is_not(self):
        """Guards against sound requests that wait for each other."""
        acquitted = _record("d0", "x", acquitted_parts=frozenset({"x"}))
        state = suspected_features.SuspectedFeatures()
        state.learn([acquitted], 10.1)
        state.start(1, _POOL, ("x",))
        assert not state.must_wait(_POOL, ("x",), 10.2)

    def test_part_that_engines_survived_here_is_not(self):
        """Guards against a record that comes later than the output."""
        state = suspected_features.SuspectedFeatures()
        state.start(1, _POOL, ("x",))
        state.survive(1, 10.1)
        state.learn([_record("d0", "x")], 10.2)
        state.start(2, _POOL, ("x",))
        assert not state.must_wait(_POOL, ("x",), 10.3)

    def test_end_known_in_both_ways_counts_once(self):
        """Guards against a delay after the first loss already."""
        state = _suspected("x")
        for _ in range(3):
            state.learn([_record("d0", "x")], 10.1)
        assert not state.must_wait(_POOL, ("x",), 10.1)
        state.learn([_record("d1", "x")], 10.1)
        assert state.must_wait(_POOL, ("x",), 10.1)
