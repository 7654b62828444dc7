"""Tests of the pool scheduler with engines that some VMs don't reach."""

import collections
import random

from tests import test_pool_scheduler

from cowsliprill.decisions import messages

_STEP_S = 0.2
_STEPS = 60

# From this time on the coordinator knows whom an engine answers.
_LEARNT_AFTER_S = 2.0

_VMS = 4


class _Day:
    """VMs that send requests, some of which get no answer of one engine.

    Args:
      without_path: VMs that don't reach the engine `d0`.

    Attributes:
      lost: Requests that got no answer, by VM.
      served: Requests that the engine has served, by VM.
      ejected_steps: Steps after which the engine got no requests of any VM.
    """

    def __init__(self, without_path: set[str]) -> None:
        self.lost: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.ejected_steps = 0
        self._without_path = without_path
        self._running: list[tuple[str, messages.Start]] = []
        self._rng = random.Random(1)
        self._site = test_pool_scheduler._Site(entries=_VMS)
        self._site.send_heartbeats()

    def play(self) -> None:
        site = self._site
        for step in range(_STEPS):
            self._finish()
            for name in self._rng.sample(site.names, _VMS):
                submit = test_pool_scheduler._submit(step, site.now)
                site.send(name, submit)
            for name in site.names:
                self._run(name)
            load = site.pool_scheduler.pool_load("brief")
            is_learnt = step * _STEP_S >= _LEARNT_AFTER_S
            self.ejected_steps += is_learnt and "d0" in load.ejected
            site.now += _STEP_S
            site.send_heartbeats()
            site.pool_scheduler.tick(site.now)

    def _run(self, name: str) -> None:
        site = self._site
        while starts := test_pool_scheduler._starts(site.decisions(name)):
            for start in starts:
                if start.decode_id == "d0" and name in self._without_path:
                    self._lose(name, start)
                else:
                    self._running.append((name, start))

    def _lose(self, name: str, start: messages.Start) -> None:
        self.lost[name] += 1
        failed = messages.AttemptFailed(
            request_id=start.request_id,
            endpoint_id="d0",
            stage=messages.Stage.TRANSFER,
            unsent=True,
            unreachable=True,
            not_run=True,
        )
        self._site.send(name, failed)

    def _finish(self) -> None:
        for name, start in self._running:
            self.served[name] += start.decode_id == "d0"
            number = start.request_id
            self._site.send(
                name,
                messages.PrefillFinished(number),
                messages.FirstToken(number),
                messages.Finished(number, 100),
            )
        self._running.clear()


class TestPartialReach:
    """An engine that some VMs don't reach."""

    # Guards against a VM without a path to an engine whose reports withhold the
    # engine from all VMs.
    def test_serves_the_vms_that_reach_it(self):
        day = _Day(without_path={"vm-0"})
        day.play()
        assert not day.ejected_steps
        assert all(day.served[f"vm-{number}"] for number in (1, 2, 3))
        assert not day.served["vm-0"]

    def test_is_tried_by_the_others_once_in_a_while(self):
        day = _Day(without_path={"vm-0", "vm-1"})
        day.play()
        tries = _STEPS * _STEP_S / 5.0 + _LEARNT_AFTER_S / _STEP_S
        assert day.lost["vm-0"] + day.lost["vm-1"] <= 2 * tries

    # Guards against an engine that has ended and costs each VM requests.
    def test_engine_that_has_ended_is_withheld_from_all(self):
        day = _Day(without_path={f"vm-{number}" for number in range(_VMS)})
        day.play()
        learnt_steps = _STEPS - _LEARNT_AFTER_S / _STEP_S
        assert day.ejected_steps == learnt_steps
        assert sum(day.lost.values()) <= _STEPS * _STEP_S / 0.5
