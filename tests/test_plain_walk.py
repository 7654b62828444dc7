"""All ways in which up to four calls of one plain request may end.

Each way is played through the placement and the relay as they run in an entry,
and compared with what its servers really did.
"""

import asyncio
import itertools
import random
import types

import pytest
from tornado import httputil

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import retry_budget
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import service_client
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import plain_relay
from cowsliprill.entry.filters import plain_placement

_ATTEMPTS = 3

# Calls without a connection that don't count, fewer than in earnest: each more
# makes six times as many ways.
_UNSENT = 1

# How a call may end, and whether its server has run the request.
_UNREACHED = "no connection"
_REFUSED = "the server says that it ran nothing"
_LOST = "it was run and the answer was lost"
_UNDELIVERED = "it was cut before it was run"
_FAILED = "it was run and answered with a failure"
_SERVED = "it was run and answered well"
_ENDINGS = (_UNREACHED, _REFUSED, _LOST, _UNDELIVERED, _FAILED, _SERVED)
_RUNS = {_LOST, _FAILED, _SERVED}


class _Servers:
    """`PlainCalls` whose calls end as a test says."""

    def __init__(self, endings):
        self._endings = iter(endings)
        self.seen = []
        self.asked = []

    async def call(self, ctx, progress):
        self.asked.append(ctx.endpoint.id)
        ending = next(self._endings)
        self.seen.append(ending)
        if ending == _UNREACHED:
            raise engine_errors.ConnectFailed("no connection")
        progress.mark_writing()
        if ending == _REFUSED:
            progress.mark_refused()
            raise engine_errors.EngineRefused("full", code="full")
        if ending in (_LOST, _UNDELIVERED):
            raise engine_errors.CallError("connection lost", run=progress.run)
        status = 500 if ending == _FAILED else 200
        return service_client.ServiceAnswer(
            status=status, headers=httputil.HTTPHeaders(), body=b""
        )


def _play(endings, idempotency):
    """Returns what the servers did, the status told and the error raised."""
    servers = _Servers(endings)
    told, error = _place(servers, idempotency)
    return servers.seen, told, error


def _place(servers, idempotency):
    """Returns the status told and the error raised."""
    endpoints = {
        name: model.Endpoint(
            id=name,
            kind=model.EndpointKind.PLAIN,
            host="10.0.0.1",
            port=1,
            availability_zone="a",
            pool="desk",
            slots=4,
        )
        for name in ("s0", "s1", "s2")
    }
    service = model.Service(
        id="desk/r",
        customer="",
        name="desk",
        kind=model.ServiceKind.PLAIN,
        pool="desk",
        idempotency=idempotency,
        retries=model.RetryPolicy(
            ratio=1.0, burst=9, attempts=_ATTEMPTS, failed_answers=True
        ),
    )
    world = types.SimpleNamespace(
        snapshot=model.Snapshot(endpoints_by_id=endpoints),
        fleet_at=lambda now: model.Fleet(),
    )
    placement = plain_placement.PlainPlacement(
        availability_zone="a",
        world=world,
        budgets=retry_budget.RetryBudgets(),
        log=types.SimpleNamespace(warning=lambda *_, **__: None),
        random_source=random.Random(1),
        authorization=types.SimpleNamespace(check=lambda ctx: None),
    )
    told = []
    ctx = types.SimpleNamespace(
        request_id="r",
        caller_id="c",
        service=service,
        progress=context.Progress(),
        deadline=clock.now() + 60,
        idempotency_key="",
        endpoint=None,
        stall_s=None,
        reply=None,
    )

    async def send_answer(_, answer):
        told.append(answer.status)

    async def run(monkeypatch):
        monkeypatch.setattr(plain_relay, "send_answer", send_answer)
        try:
            await placement(ctx, plain_relay.PlainRelay(servers))
        except errors.EntryError as error:
            return error
        return None

    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(plain_placement, "_UNSENT_MAX", _UNSENT)
        error = asyncio.run(run(monkeypatch))
    return told, error


_WAYS = [*itertools.product(_ENDINGS, repeat=_ATTEMPTS + _UNSENT)]


class TestAllWays:
    """What a caller is told must be true, whatever the servers do."""

    @pytest.mark.parametrize("idempotency", [*model.Idempotency])
    def test_not_run_is_only_said_of_what_was_not_run(self, idempotency):
        """A caller that hears "not run" asks again.

        Were it wrong, a pickup would be booked twice.
        """
        said = 0
        for way in _WAYS:
            seen, _, error = _play(way, idempotency)
            if error is not None and error.run is messages.Executed.NO:
                said += 1
                assert not _RUNS & {*seen}, way
                assert _UNDELIVERED not in seen, way
        assert said

    def test_an_unrepeatable_request_runs_once_at_most(self):
        for way in _WAYS:
            seen, _, _ = _play(way, model.Idempotency.NON_IDEMPOTENT)
            runs = [ending for ending in seen if ending in _RUNS]
            assert len(runs) <= 1, way
            for ending in seen[:-1]:
                assert ending in (_UNREACHED, _REFUSED), way

    @pytest.mark.parametrize("idempotency", [*model.Idempotency])
    def test_each_gets_one_answer_or_one_error(self, idempotency):
        for way in _WAYS:
            seen, told, error = _play(way, idempotency)
            assert len(told) + (error is not None) == 1, way
            sent = [ending for ending in seen if ending != _UNREACHED]
            assert len(sent) <= _ATTEMPTS, way
            assert len(seen) <= _ATTEMPTS + _UNSENT, way
            if seen[-1] == _SERVED:
                assert told == [200], way

    def test_a_failed_answer_is_told_where_no_better_one_came(self):
        way = (_FAILED,) * _ATTEMPTS
        _, told, error = _play(way, model.Idempotency.IDEMPOTENT)
        assert told == [500]
        assert error is None

    def test_a_server_that_takes_no_connection_costs_no_attempt(self):
        """A server has crashed and is listed for some seconds yet.

        A booking may be sent to one server only. None has heard of it, so
        another may be asked; its caller would else be turned away.
        """
        way = (_UNREACHED, _SERVED, _SERVED, _SERVED)
        seen, told, error = _play(way, model.Idempotency.NON_IDEMPOTENT)
        assert seen == [_UNREACHED, _SERVED]
        assert told == [200]
        assert error is None

    def test_a_repeat_goes_to_another_server(self):
        """Guards against a repeat that the same server fails again."""
        servers = _Servers((_FAILED,) * _ATTEMPTS)
        _place(servers, model.Idempotency.IDEMPOTENT)
        assert len({*servers.asked}) == _ATTEMPTS

    def test_without_the_guard_it_would_run_twice(self, monkeypatch):
        monkeypatch.setattr(plain_placement, "_may_repeat", lambda ctx: True)
        runs = [
            len([ending for ending in seen if ending in _RUNS])
            for seen, _, _ in (
                _play(way, model.Idempotency.NON_IDEMPOTENT) for way in _WAYS
            )
        ]
        assert max(runs) > 1

    def test_without_noting_each_write_it_would_lie(self, monkeypatch):
        monkeypatch.setattr(
            plain_relay.call_lib.CallProgress, "mark_writing", lambda self: None
        )
        lies = [
            way
            for way in _WAYS
            for seen, _, error in [_play(way, model.Idempotency.NON_IDEMPOTENT)]
            if error is not None
            and error.run is messages.Executed.NO
            and _RUNS & {*seen}
        ]
        assert lies
