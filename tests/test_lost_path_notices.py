"""Tests for `decisions.lost_path_notices`."""

from cowsliprill.decisions import lost_path_notices


class TestLostPathNotices:
    """Which lost paths peers get to know, and when."""

    def test_lost_path_is_told_at_once(self):
        notices = lost_path_notices.LostPathNotices()
        assert notices.update(["desk"], 1.0) == {"desk"}

    def test_restored_path_is_told_after_two_seconds(self):
        notices = lost_path_notices.LostPathNotices()
        notices.update(["desk"], 1.0)
        assert notices.update([], 2.9) == {"desk"}
        assert notices.update([], 3.1) == frozenset()

    # Guards against a flapping path that has each VM send its record again and
    # again.
    def test_flapping_path_is_told_once(self):
        notices = lost_path_notices.LostPathNotices()
        told = [
            notices.update(["desk"] if step % 4 == 0 else [], step / 4)
            for step in range(100)
        ]
        assert set(told) == {frozenset({"desk"})}
