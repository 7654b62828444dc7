"""Tests of `decisions.pacing`."""

import random

from cowsliprill.decisions import pacing


class TestCallBudget:
    """Readers together stay below what the platform answers."""

    def test_many_readers_stay_below_the_limit(self) -> None:
        """690 VMs read as fast as they may.

        Above the platform's rate all readers, ours and others', would be
        refused.
        """
        readers = 690
        budget = pacing.CallBudget(readers=readers)
        now = 0.0
        calls = 0
        while now < 60.0:
            now += budget.take(now)
            calls += 1
        assert calls * readers / 60.0 < pacing.PLATFORM_CALLS_PER_S

    def test_a_quiet_reader_need_not_wait(self) -> None:
        budget = pacing.CallBudget(readers=690)
        assert budget.take(100.0) == 0


class TestBackoff:
    """Waiting after failures."""

    def test_waits_grow_up_to_a_bound_and_are_spread(self) -> None:
        """The platform comes back.

        All VMs at once would bring it down again; a VM that waits for minutes
        would miss a change meanwhile.
        """
        backoff = pacing.Backoff(random.Random(3))
        delays = [backoff.failed() for _ in range(50)]
        assert delays[0] <= backoff.base_s
        assert max(delays) <= backoff.max_s
        assert len({round(delay, 6) for delay in delays[10:]}) > 30
        backoff.succeeded()
        assert backoff.failed() <= backoff.base_s
