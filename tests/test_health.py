"""Tests of `decisions.health`."""

from cowsliprill.decisions import health

_INFINITE = float("inf")


class TestTransfers:
    """Whose link is slow."""

    def test_the_end_with_more_slow_transfers_is_blamed(self) -> None:
        """One decode engine's link runs at a tenth of its rate.

        Prefills sent to it are evicted before they arrive. Were a prefill
        engine blamed, good engines would be left alone one after another.
        """
        state = health.Health()
        for prefill_id in ("p0", "p1"):
            state.transfer(prefill_id, "slow", _INFINITE, 0.0)
            state.transfer(prefill_id, "good", 1.0, 0.0)
        assert not state.usable("slow", 0.1)
        assert all(state.usable(name, 0.1) for name in ("p0", "p1", "good"))


class TestAvoidance:
    """Leaving an endpoint alone and trying it again."""

    def test_one_probe_at_a_time_and_longer_each_time(self) -> None:
        state = health.Health()
        state.failed("e", 0.0)
        assert not state.usable("e", 1.9)
        assert state.usable("e", 2.0)
        state.placed("e", 2.0)
        assert not state.usable("e", 2.1)
        state.failed("e", 2.2)
        assert not state.usable("e", 6.1)
        assert state.usable("e", 6.2)

    def test_a_good_probe_brings_it_back(self) -> None:
        state = health.Health()
        state.failed("e", 0.0)
        state.placed("e", 2.0)
        state.pace("e", 1.0, 2.5)
        assert state.usable("e", 2.5)

    def test_failures_of_earlier_work_are_one_piece_of_news(self) -> None:
        """Twenty streams end when their engine dies."""
        state = health.Health()
        for _ in range(20):
            state.failed("e", 0.0)
        assert state.usable("e", 2.0)
