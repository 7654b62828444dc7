"""Tests of the pool scheduler with engines that name rate limits."""

import heapq

import pytest
from tests import test_pool_scheduler

from cowsliprill.decisions import messages
from cowsliprill.decisions import rate_limits

_PER_S = 1.5
_WINDOW_S = 4.0
_STEP_S = 0.01
_PREFILL_S = 0.1
_DECODE_S = 1.5
_USEFUL_S = 3.0


class _Site(test_pool_scheduler._Site):
    """A pool under load; records when engines get requests."""

    def __init__(self, decodes: int = 4) -> None:
        super().__init__(entries=1, decodes=decodes)
        self.send_heartbeats()
        self.sent_at_by_engine: dict[str, list[float]] = {}
        self.refusals: list[tuple[float, messages.Refuse]] = []
        self.submitted_at: dict[int, float] = {}
        self._due: list[tuple[float, int, messages.Event]] = []
        self._number = 0

    def set_limits(self, names: list[str], per_s: float = _PER_S) -> None:
        limits = tuple(
            rate_limits.RateLimit(endpoint_id=name, per_s=per_s)
            for name in names
        )
        self.pool_scheduler.set_rate_limits(limits, self.now)

    def run(self, requests_per_s: float, seconds: float) -> None:
        """Submits requests at even times while time passes."""
        steps = round(seconds / _STEP_S)
        submitted = 0
        for step in range(steps):
            self.now += _STEP_S
            while self._due and self._due[0][0] <= self.now:
                self.send("vm-0", heapq.heappop(self._due)[2])
            if step * _STEP_S * requests_per_s >= submitted:
                submitted += 1
                self._submit()
            if step % 50 == 0:
                self.send_heartbeats()
            if self.pool_scheduler.next_wakeup(self.now) <= self.now:
                self.pool_scheduler.tick(self.now)
            self._carry_out()

    def _submit(self) -> None:
        self._number += 1
        self.submitted_at[self._number] = self.now
        submit = test_pool_scheduler._submit(
            self._number,
            self.now,
            tokens=1_000,
            expected_tokens=100,
            useful_until=self.now + _USEFUL_S,
        )
        self.send("vm-0", submit)

    def _carry_out(self) -> None:
        for decision in self.decisions("vm-0"):
            match decision:
                case messages.Refuse():
                    self.refusals.append((self.now, decision))
                case messages.Start():
                    self._start(decision)

    def _start(self, start: messages.Start) -> None:
        number = start.request_id
        for name in {start.prefill_id, start.decode_id} - {""}:
            self.sent_at_by_engine.setdefault(name, []).append(self.now)
        events = (
            (_PREFILL_S, messages.PrefillFinished(number)),
            (2 * _PREFILL_S, messages.FirstToken(number)),
            (_DECODE_S, messages.Finished(number, 100)),
        )
        for delay_s, event in events:
            entry = (self.now + delay_s, len(self._due) + number * 10, event)
            heapq.heappush(self._due, entry)

    def sent_since(self, name: str, begin: float) -> list[float]:
        return [
            at for at in self.sent_at_by_engine.get(name, []) if at >= begin
        ]


def _worst_window(times: list[float]) -> int:
    return max(
        (sum(end - _WINDOW_S < at <= end for at in times) for end in times),
        default=0,
    )


class TestLimitedEngines:
    """Engines of a pool under load name a limit."""

    @pytest.mark.parametrize("names", [["d0"], ["d0", "d1", "d2", "d3"], ["p"]])
    def test_get_no_more_requests_than_the_limit(self, names) -> None:
        """Guards against prefills or decodes beyond a named limit."""
        site = _Site()
        site.run(12, 3)
        site.set_limits(names)
        begin = site.now
        site.run(12, 12)
        for name in names:
            worst = _worst_window(site.sent_since(name, begin))
            assert worst <= _PER_S * _WINDOW_S + 2

    def test_are_used_while_requests_are_refused(self) -> None:
        """Guards against a limit that starves a healthy engine."""
        names = ["d0", "d1", "d2", "d3"]
        site = _Site()
        site.run(12, 3)
        site.set_limits(names)
        site.run(12, 3)
        begin = site.now
        site.run(12, 15)
        assert [at for at, _ in site.refusals if at >= begin]
        for name in names:
            assert len(site.sent_since(name, begin)) >= 0.9 * _PER_S * 15

    def test_requests_that_can_not_be_served_are_refused_early(self) -> None:
        """Guards against requests that wait for what can't come in time."""
        site = _Site()
        site.run(12, 3)
        site.set_limits(["d0", "d1", "d2", "d3"])
        site.run(12, 3)
        begin = site.now
        site.run(24, 10)
        waits = sorted(
            at - site.submitted_at[refusal.request_id]
            for at, refusal in site.refusals
            if at >= begin
        )
        assert waits[len(waits) // 2] <= 0.1
        assert min(item.retry_after_s for _, item in site.refusals) >= 0.5

    def test_others_take_the_load(self) -> None:
        site = _Site()
        site.run(12, 3)
        site.set_limits(["d0"])
        begin = site.now
        site.run(12, 10)
        served = sum(len(site.sent_since(f"d{n}", begin)) for n in range(4))
        assert not [at for at, _ in site.refusals if at >= begin]
        assert served >= 118


class TestRefusalByLimitedEngine:
    """A limited engine refuses its only request of this pool."""

    @pytest.mark.parametrize("limited", [False, True])
    def test_ejects_only_engines_without_a_limit(self, limited) -> None:
        """Guards against a limited engine that is taken for a failing one."""
        site = _Site(decodes=1)
        if limited:
            site.set_limits(["d0"])
            site.now += 1.0
        site.send("vm-0", test_pool_scheduler._submit(1, site.now))
        refused = messages.AttemptFailed(
            request_id=1,
            endpoint_id="d0",
            stage=messages.Stage.TRANSFER,
            refused=True,
            not_run=True,
        )
        site.send("vm-0", messages.PrefillFinished(1), refused)
        health = site.pool_scheduler._scheduler._health
        engine = site.snapshot.endpoints_by_id["d0"]
        assert bool(health.ejected_engine_ids([engine])) is not limited
