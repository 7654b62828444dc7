"""Tests of the placement of plain calls on servers that want a pause."""

import asyncio
import math
import types
from collections.abc import Callable

import pytest
from tests import test_plain_placement

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import attempts
from cowsliprill.entry import errors
from cowsliprill.entry import plain_relay

_LONG_S = 30.0
_SHORT_S = 0.02


class _FakeAvailability:
    """Pauses of some servers."""

    def __init__(self, **left_s_by_name: float) -> None:
        self._until_by_name = {
            name: clock.now() + left_s
            for name, left_s in left_s_by_name.items()
        }
        self.waits: list[float] = []
        self.on_trial: set[str] = set()

    def pause(self, name: str, seconds: float) -> None:
        self._until_by_name[name] = clock.now() + seconds

    def paused_until(self, endpoint: model.Endpoint) -> float:
        until = self._until_by_name.get(endpoint.id, 0.0)
        return until if until > clock.now() else 0.0

    def pause_left_s(self, endpoint: model.Endpoint) -> float:
        if endpoint.id in self.on_trial:
            return 0.0
        until = self._until_by_name.get(endpoint.id, 0.0)
        return max(until - clock.now(), 0.0)

    async def wait_for_change(self, timeout_s: float) -> None:
        self.waits.append(timeout_s)
        await asyncio.sleep(timeout_s)


class _PauseHarness(test_plain_placement._Harness):
    """The placement of one call with servers of which some are paused."""

    def __init__(self, names: str, availability: _FakeAvailability) -> None:
        super().__init__(names, test_plain_placement._FakePermits(""))
        self.before_send: list[Callable[[], None]] = []
        self.placement.availability = availability
        self.placement.log = types.SimpleNamespace(
            warning=lambda *_, **__: None, event=lambda *_, **__: None
        )

    async def _send(self, ctx) -> None:
        if self.before_send:
            self.before_send.pop(0)()
        await super()._send(ctx)


def _refused() -> attempts.PlainCallError:
    return attempts.PlainCallError(messages.Executed.NO, "status 503")


def _withheld() -> attempts.PlainCallError:
    return attempts.PlainCallError(
        messages.Executed.NO, "it wants a pause", unsent=True, withheld=True
    )


def _failed() -> attempts.PlainCallError:
    answer = types.SimpleNamespace(status=500)
    return attempts.PlainCallError(
        messages.Executed.UNKNOWN, "status 500", answer
    )


def _record_relayed(monkeypatch) -> list[int]:
    """Returns a list that gets the status of each relayed answer."""
    statuses: list[int] = []

    async def relay_response(ctx, response) -> None:
        del ctx
        statuses.append(response.status)

    monkeypatch.setattr(plain_relay, "relay_response", relay_response)
    return statuses


class TestPausedServers:
    """Some servers of a service want no requests for a while."""

    def test_get_no_calls(self) -> None:
        """Guards against calls to a server that asked for a pause."""
        harness = _PauseHarness("s0 s1", _FakeAvailability(s0=_LONG_S))
        for _ in range(8):
            harness.run()
        assert set(harness.called) == {"s1"}

    def test_are_no_longer_chosen_for_a_retry(self) -> None:
        harness = _PauseHarness("s0 s1", _FakeAvailability(s0=_LONG_S))
        harness.outcomes = [_failed()]
        harness.run()
        assert harness.called == ["s1", "s1"]

    def test_that_are_all_of_them_have_calls_refused_at_once(self) -> None:
        """Guards against calls that wait although no server takes them."""
        availability = _FakeAvailability(s0=_LONG_S, s1=2 * _LONG_S)
        harness = _PauseHarness("s0 s1", availability)
        with pytest.raises(errors.EntryError) as caught:
            harness.run()
        assert caught.value.code == messages.RefusalCode.OVERLOADED
        assert caught.value.run is messages.Executed.NO
        assert math.isclose(caught.value.retry_after_s, _LONG_S, abs_tol=1.0)
        assert harness.called == []
        assert availability.waits == []

    def test_that_are_ready_soon_are_waited_for(self) -> None:
        """Guards against a refusal though a server is about to be ready."""
        availability = _FakeAvailability(s0=_SHORT_S, s1=_LONG_S)
        harness = _PauseHarness("s0 s1", availability)
        harness.run()
        assert harness.called == ["s0"]
        assert availability.waits

    def test_on_trial_are_waited_for(self) -> None:
        """Guards against refusals while a trial is about to be answered."""
        availability = _FakeAvailability(s0=_LONG_S)
        availability.on_trial.add("s0")
        harness = _PauseHarness("s0", availability)

        async def answer_trial(timeout_s: float) -> None:
            availability.waits.append(timeout_s)
            availability.pause("s0", 0.0)

        availability.wait_for_change = answer_trial
        harness.run()
        assert harness.called == ["s0"]
        assert len(availability.waits) == 1

    def test_on_trial_are_not_waited_for_too_long(self) -> None:
        """Guards against calls that wait for a trial that isn't answered."""
        availability = _FakeAvailability(s0=_LONG_S)
        availability.on_trial.add("s0")
        harness = _PauseHarness("s0", availability)
        with pytest.raises(errors.EntryError):
            harness.run()
        assert harness.called == []
        assert sum(availability.waits) < 1.0

    def test_are_waited_for_by_as_many_calls_as_they_can_take(self) -> None:
        """Guards against a herd at the end of a pause."""
        availability = _FakeAvailability(s0=_SHORT_S)
        harness = _PauseHarness("s0", availability)
        slots = test_plain_placement.endpoint("s0").slots
        harness.placement._waiting_by_pool["desk"] = slots
        with pytest.raises(errors.EntryError):
            harness.run()
        assert harness.called == []

    def test_leave_the_answer_of_an_earlier_server(self, monkeypatch) -> None:
        """Guards against a server's answer that a refusal replaces."""
        delivered = _record_relayed(monkeypatch)
        availability = _FakeAvailability()
        harness = _PauseHarness("s0", availability)
        harness.outcomes = [_failed()]
        harness.before_send = [lambda: availability.pause("s0", _LONG_S)]
        harness.run()
        assert delivered == [500]


class TestRefusals:
    """A server turns calls away."""

    def test_leave_the_answer_of_an_earlier_server(self, monkeypatch) -> None:
        """Guards against a server's answer that a later refusal replaces."""
        delivered = _record_relayed(monkeypatch)
        harness = _PauseHarness("s0 s1 s2", _FakeAvailability())
        harness.outcomes = [_failed(), _refused(), _refused()]
        harness.run()
        assert delivered == [500]

    def test_with_a_pause_does_not_eject_it(self) -> None:
        """Guards against a server that idles after the pause it asked for."""
        availability = _FakeAvailability()
        harness = _PauseHarness("s0", availability)
        harness.outcomes = [_refused()]
        harness.before_send = [lambda: availability.pause("s0", _SHORT_S)]
        harness.run()
        assert harness.called == ["s0", "s0"]
        assert not harness.placement.health.is_ejected("s0", clock.now())

    def test_without_a_pause_ejects_it(self) -> None:
        harness = _PauseHarness("s0 s1", _FakeAvailability())
        harness.outcomes = [_refused()]
        harness.run()
        first = harness.called[0]
        assert harness.placement.health.is_ejected(first, clock.now())

    def test_that_are_withheld_cost_no_attempt(self) -> None:
        """Guards against attempts and health that unsent calls use up."""
        harness = _PauseHarness("s0 s1 s2", _FakeAvailability())
        harness.outcomes = [_withheld(), _withheld(), _withheld(), _failed()]
        harness.run()
        assert len(harness.called) == 5
        assert not any(
            harness.placement.health.is_ejected(name, clock.now())
            for name in harness.called[:3]
            if name != harness.called[3]
        )
