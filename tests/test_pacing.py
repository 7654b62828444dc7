"""Tests of `decisions.pacing`."""

import random

from cowsliprill.decisions import pacing


class TestCallBudget:
    """All VMs together stay below the rate limit of the platform."""

    def test_many_vms_stay_below_the_rate_limit(self) -> None:
        """690 VMs call the platform as often as they may.

        Above the platform's rate, it would reject the calls of all clients,
        including those outside this fleet.
        """
        vm_count = 690
        budget = pacing.CallRateLimiter(vm_count=vm_count)
        now = 0.0
        calls = 0
        while now < 60.0:
            now += budget.reserve(now)
            calls += 1
        assert calls * vm_count / 60.0 < pacing.PLATFORM_CALLS_PER_S

    def test_idle_vm_does_not_wait(self) -> None:
        budget = pacing.CallRateLimiter(vm_count=690)
        assert budget.reserve(100.0) == 0


class TestBackoff:
    """Delays after failures."""

    def test_delays_grow_up_to_a_limit_with_jitter(self) -> None:
        """The platform recovers from an outage.

        If all VMs retried at once, they would overload the platform again. A VM
        with a delay of minutes would miss changes.
        """
        backoff = pacing.Backoff(random.Random(3))
        delays = [backoff.next_delay_s() for _ in range(50)]
        assert delays[0] <= backoff.base_s
        assert max(delays) <= backoff.max_s
        assert len({round(delay, 6) for delay in delays[10:]}) > 30
        backoff.reset()
        assert backoff.next_delay_s() <= backoff.base_s
