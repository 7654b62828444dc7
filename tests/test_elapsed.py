"""Tests of `decisions.elapsed`."""

from cowsliprill.decisions import elapsed


class TestFullWaits:
    """How much of its time a caller has spent before it came here."""

    def test_first_attempts_have_spent_nothing(self):
        timeouts = elapsed.FullWaits()
        assert timeouts.spent_s("brief", 14.0, 0.0) == 0.0
        assert timeouts.spent_s("brief", 13.95, 1.0) == 0.0

    def test_one_that_comes_back_has(self):
        timeouts = elapsed.FullWaits()
        timeouts.spent_s("brief", 14.0, 0.0)
        assert timeouts.spent_s("brief", 10.0, 5.0) == 4.0
        assert timeouts.spent_s("desk", 10.0, 5.0) == 0.0

    def test_an_operators_shorter_time_is_learnt(self):
        """After a change no caller waits as long as before.

        All would be taken for ones that came back, and served as late.
        """
        timeouts = elapsed.FullWaits()
        timeouts.spent_s("brief", 14.0, 0.0)
        assert timeouts.spent_s("brief", 10.0, 31.0) == 0.0
        assert timeouts.spent_s("brief", 10.0, 32.0) == 0.0
