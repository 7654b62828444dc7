"""Tests of `decisions.caller_timeouts`."""

from cowsliprill.decisions import caller_timeouts


class TestCallerTimeouts:
    """Time that a caller has spent on earlier attempts."""

    def test_first_attempts_have_spent_no_time(self):
        timeouts = caller_timeouts.CallerTimeouts()
        assert timeouts.time_spent_s("brief", 14.0, 0.0) == 0.0
        assert timeouts.time_spent_s("brief", 13.95, 1.0) == 0.0

    def test_later_attempt_has_spent_the_difference(self):
        timeouts = caller_timeouts.CallerTimeouts()
        timeouts.time_spent_s("brief", 14.0, 0.0)
        assert timeouts.time_spent_s("brief", 10.0, 5.0) == 4.0
        assert timeouts.time_spent_s("desk", 10.0, 5.0) == 0.0

    def test_shortened_timeout_is_detected(self):
        """The operator shortens the timeout of all callers.

        Otherwise, each first attempt would be taken for a later one and
        scheduled as late.
        """
        timeouts = caller_timeouts.CallerTimeouts()
        timeouts.time_spent_s("brief", 14.0, 0.0)
        assert timeouts.time_spent_s("brief", 10.0, 31.0) == 0.0
        assert timeouts.time_spent_s("brief", 10.0, 32.0) == 0.0
