"""Tests of ejection by failure rate, `decisions.engine_health`."""

import collections
import heapq
import random

import pytest
from tests import test_pool_scheduler

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import scheduler as scheduler_lib
from cowsliprill.decisions.engine_health import health

_PREFILLS = 7
_DECODES = 23
_PREFILL = model.EndpointKind.PREFILL


def _engine(kind: model.EndpointKind, number: int) -> model.Endpoint:
    is_prefill = kind is _PREFILL
    return model.Endpoint(
        id=f"{kind[0]}{number}",
        kind=kind,
        host="10.0.0.1",
        port=1,
        availability_zone="gasabo",
        pool="brief",
        slots=6 if is_prefill else 1_760,
        places=0 if is_prefill else 12,
        block_tokens=0 if is_prefill else 16,
        prefill_tokens_per_s=33_300.0 if is_prefill else 0.0,
        own_prefill_tokens_per_s=0.0 if is_prefill else 16_000.0,
        seconds_per_token=0.0 if is_prefill else 0.01,
    )


_ENGINES = [_engine(_PREFILL, number) for number in range(_PREFILLS)]
_ENGINES += [
    _engine(model.EndpointKind.DECODE, number) for number in range(_DECODES)
]


class _Day:
    """Requests of a pool with 7 prefill and 23 decode engines.

    Attributes:
      ends: Requests by their end: `served` or the code of the refusal.
      losses_by_engine: Responses that each engine has lost.
    """

    def __init__(self, loss_by_engine: dict[str, float]) -> None:
        self.ends: collections.Counter[str] = collections.Counter()
        self.losses_by_engine: collections.Counter[str] = collections.Counter()
        self._loss_by_engine = loss_by_engine
        self._rng = random.Random(1)
        self._due: list[tuple[float, int, messages.Event | messages.Start]] = []
        self._free_at: dict[str, float] = collections.defaultdict(float)
        self.scheduler = scheduler_lib.Scheduler("gasabo", 1, owns_slots=True)
        engines = {item.id: item for item in _ENGINES}
        snapshot = model.Snapshot(revision=1, endpoints_by_id=engines)
        fleet = model.Fleet()
        self._handle(messages.ClusterStateChanged(snapshot, fleet), 0.0)

    def play(self) -> None:
        """Plays 30 requests/s for 12 s, and 100/s from second 6 to 8."""
        at, number = 0.0, 0
        while at < 12.0:
            at += self._rng.expovariate(100 if 6 <= at < 8 else 30)
            submit = test_pool_scheduler._submit(
                number, at, output_tokens=134, expected_tokens=67
            )
            self._add(at, submit)
            number += 1
        for tenths in range(200):
            self._add(tenths / 10, messages.Tick())
        while self._due:
            at, _, event = heapq.heappop(self._due)
            self._handle(event, at)

    def _add(self, at: float, event: messages.Event) -> None:
        heapq.heappush(self._due, (at, len(self._due) + id(event), event))

    def _handle(self, event: messages.Event, now: float) -> None:
        if isinstance(event, messages.Finished):
            self.ends["served"] += 1
        for action in self.scheduler.handle(event, now):
            if isinstance(action, messages.Refuse):
                self.ends[action.code] += 1
            elif isinstance(action, messages.Start):
                self._run(action, now)

    def _run(self, start: messages.Start, now: float) -> None:
        number = start.request_id
        at = now
        if start.has_prefill():
            at = max(now, self._free_at[start.prefill_id]) + 3_200 / 33_300
            self._free_at[start.prefill_id] = at
            if self._loses(start.prefill_id):
                self._fail(start, start.prefill_id, at, messages.Stage.PREFILL)
                return
            self._add(at, messages.PrefillFinished(number))
        at += 0.02 if start.has_prefill() else 0.22
        if self._loses(start.decode_id):
            self._fail(start, start.decode_id, at, messages.Stage.DECODE)
            return
        self._add(at, messages.FirstToken(number))
        self._add(at + 0.67, messages.Finished(number, 67))

    def _loses(self, engine_id: str) -> bool:
        return self._rng.random() < self._loss_by_engine.get(engine_id, 0.0)

    def _fail(self, start, engine_id, at, stage) -> None:
        self.losses_by_engine[engine_id] += 1
        failed = messages.AttemptFailed(
            request_id=start.request_id,
            endpoint_id=engine_id,
            stage=stage,
            connection_lost=True,
        )
        self._add(at, failed)


def _overloaded(day: _Day) -> int:
    return day.ends[messages.RefusalCode.OVERLOADED]


class TestLoad:
    """Engines lose responses under 30 requests/s with a burst of 100/s."""

    @pytest.mark.parametrize("loss", [0.06, 0.2, 0.4])
    def test_nobody_is_refused_for_lost_responses(self, loss: float) -> None:
        """Guards against refusals with room, as ejection takes prefill.

        All prefill engines and half of the decode engines lose responses. When
        one loss ejected an engine, 52 to 82 of 500 requests were refused as
        overloaded, and none without losses.
        """
        losing = [item.id for item in _ENGINES[: _PREFILLS + _DECODES // 2]]
        day = _Day(dict.fromkeys(losing, loss))
        day.play()
        assert not _overloaded(day)
        assert day.ends["served"] >= 440

    def test_engine_that_loses_half_gets_few_requests(self) -> None:
        """Guards against one failing engine that keeps its part of the load.

        Its part of 500 requests would be 71 prefills or 21 streams.
        """
        day = _Day({"p0": 0.5, "d0": 0.5})
        day.play()
        assert day.ends["served"] >= 495
        assert day.losses_by_engine["p0"] <= 8
        assert day.losses_by_engine["d0"] <= 4

    def test_crash_of_a_prefill_engine_under_load(self) -> None:
        """Guards against prefills for an engine that loses all of them."""
        day = _Day({"p0": 1.0})
        day.play()
        assert not _overloaded(day)
        assert day.losses_by_engine["p0"] <= 8


def _lose(subject: health.EngineHealth, engine: str, times: int) -> None:
    for _ in range(times):
        subject.record_loss(engine, _ENGINES[:_PREFILLS], 10.0)


class TestVerdicts:
    """Which engines are ejected, and which the load keeps."""

    def test_one_loss_of_one_call_only_costs(self) -> None:
        subject = health.EngineHealth()
        _lose(subject, "p0", 1)
        assert not subject.has_ejected()
        assert subject.expected_loss_s("p0", 5.0, 10.0) == pytest.approx(1.0)
        assert subject.expected_loss_s("p1", 5.0, 10.0) == 0.0

    def test_worst_engines_are_ejected_while_the_others_suffice(self) -> None:
        """Guards against a pool without engines, as all of them lose."""
        subject = health.EngineHealth()
        for number in range(_PREFILLS):
            _lose(subject, f"p{number}", 3 + number)
        engines = _ENGINES[:_PREFILLS]
        ejected = subject.ejected_engine_ids(engines, needed=4.6)
        assert ejected == {"p5", "p6"}
        assert len(subject.ejected_engine_ids(engines)) == _PREFILLS - 1
        text = subject.describe_lossy(engines, 4.6)
        assert text.count(":needed") == 5
        assert "p6:0.69/0.56:ejected" in text

    def test_dead_engine_is_ejected_whatever_the_load_needs(self) -> None:
        """Guards against requests for an engine that refuses connections."""
        subject = health.EngineHealth()
        _lose(subject, "p0", 3)
        subject.record_failure("p0", 10.0, unreachable=True)
        engines = _ENGINES[:_PREFILLS]
        assert subject.ejected_engine_ids(engines, _PREFILLS) == {"p0"}
        subject.record_silence("p1", 10.0)
        ejected = subject.ejected_engine_ids(engines, _PREFILLS)
        assert ejected == {"p0", "p1"}

    def test_ejection_grows_only_while_probes_fail(self) -> None:
        subject = health.EngineHealth()
        _lose(subject, "p0", 3)
        assert not subject.usable("p0", 11.9)
        subject.record_loss("p0", [], 12.0)
        assert not subject.usable("p0", 15.9)
        subject.record_success("p0", sent_at=16.0)
        _lose(subject, "p0", 2)
        assert not subject.has_ejected()
        _lose(subject, "p0", 1)
        assert subject.usable("p0", 12.0)

    def test_restart_under_the_same_id_begins_anew(self) -> None:
        """Guards against losses of the life before, which cost the new one."""
        subject = health.EngineHealth()
        _lose(subject, "p0", 3)
        subject.reset("p0")
        assert not subject.has_ejected()
        assert subject.expected_loss_s("p0", 5.0, 10.0) == 0.0
