"""Tests for `decisions.engine_reach`."""

from cowsliprill.decisions import engine_reach


def _reached_by_others(failed: str = "vm-0") -> engine_reach.EngineReach:
    """Returns the state after one VM has failed and another was answered."""
    reach = engine_reach.EngineReach()
    reach.record_unreachable("d0", failed, 1.0)
    reach.record_answer("d0", "vm-1", 1.1, 1.2)
    return reach


class TestFailures:
    """For whom a failure counts."""

    def test_first_failure_counts_for_all(self):
        reach = engine_reach.EngineReach()
        assert reach.record_unreachable("d0", "vm-0", 1.0)
        assert reach.record_unreachable("d0", "vm-0", 2.0)

    def test_failure_counts_for_one_if_another_is_answered(self):
        reach = _reached_by_others()
        assert not reach.record_unreachable("d0", "vm-0", 1.3)
        assert not reach.record_unreachable("d0", "vm-2", 1.4)

    def test_answer_to_the_same_process_shows_no_difference(self):
        reach = _reached_by_others(failed="vm-1")
        assert reach.record_unreachable("d0", "vm-0", 1.3)

    # Guards against answers of an engine that has ended since.
    def test_answer_to_an_earlier_request_shows_nothing(self):
        reach = engine_reach.EngineReach()
        reach.record_unreachable("d0", "vm-0", 1.0)
        reach.record_answer("d0", "vm-1", 0.9, 1.2)
        assert reach.record_unreachable("d0", "vm-0", 1.3)

    # Guards against an engine that each VM tries in turn after it has ended.
    def test_three_failing_processes_show_an_end(self):
        reach = _reached_by_others()
        counted = [
            reach.record_unreachable("d0", f"vm-{number}", 1.3)
            for number in range(4)
        ]
        assert counted == [False, False, True, True]

    def test_difference_is_forgotten_after_ten_seconds(self):
        reach = _reached_by_others()
        assert reach.record_unreachable("d0", "vm-0", 11.3)

    def test_removed_engine_is_forgotten(self):
        reach = _reached_by_others()
        reach.retain({"d1"})
        assert reach.record_unreachable("d0", "vm-0", 1.3)
