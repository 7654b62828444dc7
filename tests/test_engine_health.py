"""Tests of ejection by failure rate, `decisions.engine_health`."""

import collections
import dataclasses
import heapq
import random

import pytest
from tests import test_pool_scheduler

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import scheduler as scheduler_lib
from cowsliprill.decisions.engine_health import health

_PREFILLS = [
    test_pool_scheduler._engine(f"p{number}", model.EndpointKind.PREFILL, 6)
    for number in range(7)
]
_DECODES = [
    dataclasses.replace(
        test_pool_scheduler._engine(f"d{n}", model.EndpointKind.DECODE, 1_760),
        own_prefill_tokens_per_s=16_000.0,
        places=12,
    )
    for n in range(23)
]


def _listed(*engines: model.Endpoint) -> messages.ClusterStateChanged:
    by_id = {item.id: item for item in engines}
    snapshot = model.Snapshot(revision=1, endpoints_by_id=by_id)
    return messages.ClusterStateChanged(snapshot, model.Fleet())


def _scheduler(*engines: model.Endpoint) -> scheduler_lib.Scheduler:
    subject = scheduler_lib.Scheduler("gasabo", 1, owns_slots=True)
    subject.handle(_listed(*engines), 0.0)
    return subject


def _lost(start: messages.Start, engine_id: str) -> messages.AttemptFailed:
    return messages.AttemptFailed(
        request_id=start.request_id,
        endpoint_id=engine_id,
        stage=messages.Stage.DECODE,
        connection_lost=True,
    )


class _Day:
    """500 requests, counted by their end in `ends`."""

    def __init__(self, loss_by_engine: dict[str, float]) -> None:
        self.ends: collections.Counter[str] = collections.Counter()
        self.losses: collections.Counter[str] = collections.Counter()
        self._loss_by_engine = loss_by_engine
        self._rng = random.Random(1)
        self._due: list[tuple[float, int, messages.Event]] = []
        self._added = 0
        self._free_at: dict[str, float] = collections.defaultdict(float)
        self._scheduler = _scheduler(*_PREFILLS, *_DECODES)

    def play(self) -> None:
        """Plays 30 requests/s, and 100/s from second 6 to 8."""
        at = 0.0
        for number in range(500):
            at += self._rng.expovariate(100 if 6 <= at < 8 else 30)
            sizes = {"output_tokens": 134, "expected_tokens": 67}
            self._add(at, test_pool_scheduler._submit(number, at, **sizes))
        for tenths in range(200):
            self._add(tenths / 10, messages.Tick())
        while self._due:
            now, _, event = heapq.heappop(self._due)
            self.ends["served"] += isinstance(event, messages.Finished)
            for action in self._scheduler.handle(event, now):
                if isinstance(action, messages.Refuse):
                    self.ends[action.code] += 1
                elif isinstance(action, messages.Start):
                    self._run(action, now)

    def _add(self, at: float, event: messages.Event) -> None:
        self._added += 1
        heapq.heappush(self._due, (at, self._added, event))

    def _run(self, start: messages.Start, now: float) -> None:
        at = now + 0.2
        if start.has_prefill():
            at = max(now, self._free_at[start.prefill_id]) + 3_200 / 33_000
            self._free_at[start.prefill_id] = at
            if self._loses(start.prefill_id):
                self._add(at, _lost(start, start.prefill_id))
                return
            self._add(at, messages.PrefillFinished(start.request_id))
        if self._loses(start.decode_id):
            self._add(at + 0.02, _lost(start, start.decode_id))
            return
        self._add(at + 0.02, messages.FirstToken(start.request_id))
        self._add(at + 0.6, messages.Finished(start.request_id, 67))

    def _loses(self, engine: str) -> bool:
        is_lost = self._rng.random() < self._loss_by_engine.get(engine, 0.0)
        self.losses[engine] += is_lost
        return is_lost


class TestLoad:
    """Engines lose responses under 30 requests/s with a burst of 100/s."""

    @pytest.mark.parametrize(
        "loss,least", [(0.06, 490), (0.2, 475), (0.4, 460)]
    )
    def test_nobody_is_refused_for_lost_responses(self, loss, least) -> None:
        """Guards against refusals with room, as ejection takes prefill.

        All prefill engines and half of the decode engines lose responses.
        """
        losing = [item.id for item in _PREFILLS + _DECODES[:11]]
        day = _Day(dict.fromkeys(losing, loss))
        day.play()
        assert not day.ends[messages.RefusalCode.OVERLOADED]
        assert day.ends["served"] >= least

    @pytest.mark.parametrize("loss", [0.5, 1.0])
    def test_failing_engines_get_few_requests(self, loss: float) -> None:
        """Guards against failing engines that keep their part of the load.

        A prefill and a decode engine lose half of their responses, or have
        crashed. Their parts of the load are 71 and 21 requests.
        """
        day = _Day({"p0": loss, "d0": loss})
        day.play()
        assert day.ends["served"] >= 495
        assert max(day.losses["p0"], day.losses["d0"]) <= 8

    def test_decode_engine_prefills_at_once_if_prefill_is_short(self) -> None:
        """Guards against waits and refusals while six of seven are ejected."""
        subject = _scheduler(*_PREFILLS, *_DECODES)
        for engine in _PREFILLS[:6]:
            subject._health.record_failure(engine.id, 0.0)
        starts = []
        for number in range(7):
            submit = test_pool_scheduler._submit(number, 0.0)
            starts += subject.handle(submit, 0.0)
        assert [start.prefill_id for start in starts[:6]] == ["p6"] * 6
        assert not starts[6].has_prefill()
        pool = subject._pools.pools_by_name["brief"]
        assert pool.backlog(0).prefills > 5


class TestVerdicts:
    """Which engines are ejected, and which the load keeps."""

    def _lose(self, subject, engine: str, times: int, now=10.0) -> None:
        for _ in range(times):
            subject.record_loss(engine, _PREFILLS, now)

    def test_worst_engines_are_ejected_while_the_others_suffice(self) -> None:
        """Guards against a pool without engines, as all of them lose."""
        subject = health.EngineHealth()
        for number in range(7):
            self._lose(subject, f"p{number}", 3 + number)
        ejected = subject.ejected_engine_ids(_PREFILLS, needed=4.6)
        assert ejected == {"p5", "p6"}
        text = subject.describe_lossy(_PREFILLS, 4.6)
        assert text.count(":needed") == 5
        assert "p6:0.69/0.56:ejected" in text
        subject.record_failure("p0", 10.0, unreachable=True)
        subject.record_silence("p1", 10.0)
        assert subject.ejected_engine_ids(_PREFILLS, 7) == {"p0", "p1"}

    def test_ejection_grows_only_while_probes_fail(self) -> None:
        """Guards against ejections that outlast losses of some seconds."""
        subject = health.EngineHealth()
        self._lose(subject, "p0", 2)
        assert subject.usable("p0", 10.0)
        self._lose(subject, "p0", 1)
        assert not subject.usable("p0", 11.9)
        self._lose(subject, "p0", 1, now=12.0)
        assert not subject.usable("p0", 15.9)
        subject.record_success("p0", sent_at=16.0)
        self._lose(subject, "p0", 2, now=17.0)
        assert subject.usable("p0", 17.0)
        self._lose(subject, "p0", 1, now=17.0)
        assert not subject.usable("p0", 18.9)

    def test_restart_under_the_same_id_begins_anew(self) -> None:
        """Guards against losses of the life before, which cost the new one."""
        subject = _scheduler(_PREFILLS[0], _DECODES[0])
        for number in range(2):
            submit = test_pool_scheduler._submit(number, 0.0)
            (start,) = subject.handle(submit, 0.0)
            subject.handle(messages.PrefillFinished(number), 0.1)
        loss = _lost(start, "d0")
        subject.handle(dataclasses.replace(loss, request_id=0), 0.2)
        assert subject._health.expected_loss_s("d0", 5.0, 0.2) == 1.0
        restarted = dataclasses.replace(_DECODES[0], life="2")
        subject.handle(_listed(_PREFILLS[0], restarted), 0.2)
        subject.handle(loss, 0.3)
        assert subject._health.expected_loss_s("d0", 5.0, 0.3) == 0.0

    def test_results_of_the_life_before_do_not_count(self) -> None:
        """Guards against a restarted engine that is ejected or slowed down.

        Events of requests to its life before arrive after its restart.
        """
        subject = _scheduler(*_PREFILLS[:1], *_DECODES[:2])
        for number in range(3):
            submit = test_pool_scheduler._submit(number, 0.0)
            subject.handle(submit, 0.0)
        for number in range(2):
            subject.handle(messages.PrefillFinished(number), 0.1)
            subject.handle(messages.FirstToken(number), 0.2)
        engines = [*_PREFILLS[:1], *_DECODES[:2]]
        restarted = [dataclasses.replace(item, life="2") for item in engines]
        subject.handle(_listed(*restarted), 0.3)
        for number in range(2):
            for tokens in (2, 3):
                subject.handle(messages.Progress(number, tokens), 9.0)
        subject.handle(messages.PrefillFinished(2), 9.0)
        assert not subject._health.has_ejected()
        pool = subject._pools.pools_by_name["brief"]
        assert not pool.slowdown_by_prefill

    def test_outdated_entry_between_newer_ones_mixes_no_leases(self) -> None:
        """Guards against a scheduler that fails as a request ends."""
        engines = (_PREFILLS[0], _DECODES[0])
        subject = _scheduler(*engines)
        subject.handle(test_pool_scheduler._submit(0, 0.0), 0.0)
        others = (dataclasses.replace(item, life="2") for item in engines)
        subject.handle(_listed(*others), 0.1)
        subject.handle(_listed(*engines), 0.1)
        subject.handle(test_pool_scheduler._submit(1, 0.1), 0.1)
        for number in (1, 0):
            subject.handle(messages.PrefillFinished(number), 0.2)
            subject.handle(messages.FirstToken(number), 0.2)
            subject.handle(messages.Finished(number, 2), 0.2)
        pool = subject._pools.pools_by_name["brief"]
        assert [pool.lease(name).in_use for name in ("p0", "d0")] == [0, 0]


class TestCapacity:
    """Capacity that the engines in use add up to."""

    def test_local_prefill_capacity_is_in_the_unit_of_the_others(self) -> None:
        """Guards against admission beyond the capacity that is left.

        All fast prefill engines are ejected, a slow one is left.
        """
        slow = dataclasses.replace(_PREFILLS[0], prefill_tokens_per_s=11_000.0)
        subject = _scheduler(slow, *_PREFILLS[1:3], *_DECODES[:2])
        pool = subject._pools.pools_by_name["brief"]
        for engine in _PREFILLS[1:3]:
            subject._health.record_failure(engine.id, 0.0)
        mean = sum(item.prefill_tokens_per_s for item in pool.prefills) / 3
        tokens_per_s = pool.backlog(0).prefills * mean
        assert tokens_per_s == pytest.approx(11_000 + 2 * 16_000)


class TestSlowPhases:
    """A decode engine whose streams take longer from second 10 on.

    Three streams of 67 tokens begin every two seconds.
    """

    def _play(self, slow_s: float, factor: float) -> list[float]:
        """Returns when the engine was found ejected, from second 10."""
        subject = _scheduler(_PREFILLS[0], *_DECODES[:2])
        events: list[tuple[float, messages.Event]] = []
        for number in range(24):
            at = 2 + number / 1.5
            is_slow = 10 <= at < 10 + slow_s
            end = at + 66 * 0.008 * (factor if is_slow else 1.0)
            start = messages.Start(
                request_id=number, attempt=1, prefill_id="p0", decode_id="d0"
            )
            submit = test_pool_scheduler._submit(number, at)
            adopt = messages.Adopt(
                submit=submit, start=start, stage=messages.Stage.TRANSFER
            )
            events.append((at - 0.01, adopt))
            events.append((at, messages.FirstToken(number)))
            if end > at + 1:
                tokens = 1 + int(66 / (end - at))
                events.append((at + 1, messages.Progress(number, tokens)))
            events.append((end, messages.Finished(number, 67)))
        ejected_at = []
        for now, event in sorted(events, key=lambda item: item[0]):
            subject.handle(event, now)
            if subject._health.any_ejected(_DECODES[:1]):
                ejected_at.append(now - 10)
        return ejected_at

    def test_phase_of_less_than_a_second_does_not_eject(self) -> None:
        """Guards against an ejection of 2 s for a phase that is over by then.

        Two streams begin in the phase, and one reports twice.
        """
        assert not self._play(0.9, 2.5)

    def test_engine_that_turns_slower_is_out_soon(self) -> None:
        """Guards against slowness that is taken for a phase."""
        ejected_at = self._play(100.0, 5.0)
        assert ejected_at[0] < 3.5
