"""Exhaustive test of the call outcomes of one plain service request.

Runs each sequence of up to four call outcomes through the placement filter and
the relay of an entry process, and compares the reported result with what the
servers did.
"""

import asyncio
import itertools
import random
import types

import pytest
from tornado import httputil

import fake_paths
from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import retry_budget
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import service_client
from cowsliprill.entry import attempts
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import plain_relay
from cowsliprill.entry import request_quarantine
from cowsliprill.entry.filters import plain_placement

_MAX_ATTEMPTS = 3

# Limit of failed connections that don't count as attempts. Lower than in
# production, as each further one multiplies the number of sequences by six.
_MAX_UNSENT_CALLS = 1

# Outcomes of a call, and whether the server has executed the request.
_CONNECT_FAILED = "connection failed"
_LIMIT_REACHED = "own connection limit reached"
_REFUSED = "refused without execution"
_RESPONSE_LOST = "executed, response lost"
_REQUEST_LOST = "request lost before execution"
_SERVER_ERROR = "executed, status 500"
_SUCCEEDED = "executed, status 200"
_OUTCOMES = (
    _CONNECT_FAILED,
    _REFUSED,
    _RESPONSE_LOST,
    _REQUEST_LOST,
    _SERVER_ERROR,
    _SUCCEEDED,
)
_EXECUTED = {_RESPONSE_LOST, _SERVER_ERROR, _SUCCEEDED}


class _ScriptedServers:
    """Fake `PlainCalls` with a given sequence of call outcomes."""

    def __init__(self, outcomes):
        self._outcomes = iter(outcomes)
        self.observed = []
        self.called_ids = []

    async def call(self, ctx, progress):
        self.called_ids.append(ctx.endpoint.id)
        outcome = next(self._outcomes)
        self.observed.append(outcome)
        if outcome == _CONNECT_FAILED:
            raise engine_errors.ConnectFailed("no connection")
        if outcome == _LIMIT_REACHED:
            raise engine_errors.ConnectionLimitReached("all are in use")
        progress.mark_writing()
        if outcome == _REFUSED:
            progress.mark_refused()
            raise engine_errors.EngineRefused("full", code="full")
        if outcome in (_RESPONSE_LOST, _REQUEST_LOST):
            raise engine_errors.CallError("connection lost", run=progress.run)
        status = 500 if outcome == _SERVER_ERROR else 200
        return service_client.ServiceResponse(
            status=status, headers=httputil.HTTPHeaders(), body=b""
        )


def _run_sequence(outcomes, idempotency):
    """Returns the call outcomes, the statuses sent and the error raised."""
    servers = _ScriptedServers(outcomes)
    statuses, error = _run_request(servers, idempotency)
    return servers.observed, statuses, error


def _run_request(servers, idempotency):
    """Returns the statuses sent to the caller and the error raised."""
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
            ratio=1.0, burst=9, attempts=_MAX_ATTEMPTS, failed_answers=True
        ),
    )
    cluster_state = types.SimpleNamespace(
        snapshot=model.Snapshot(endpoints_by_id=endpoints),
        fleet_at=lambda now: model.Fleet(),
    )
    placement = plain_placement.PlainPlacement(
        availability_zone="a",
        cluster_state=cluster_state,
        budgets=retry_budget.RetryBudgets(),
        log=types.SimpleNamespace(warning=lambda *_, **__: None),
        random_source=random.Random(1),
        authorization=types.SimpleNamespace(check=lambda ctx: None),
        quarantine=request_quarantine.Disabled(),
        paths=fake_paths.FakePaths(),
    )
    statuses = []
    ctx = types.SimpleNamespace(
        request_id="r",
        caller_id="c",
        fingerprint="f",
        service=service,
        progress=context.Progress(),
        deadline=clock.now() + 60,
        idempotency_key="",
        endpoint=None,
        silence=None,
        no_peer_serves=False,
        response_writer=None,
    )

    async def relay_response(_, response):
        statuses.append(response.status)

    async def run(monkeypatch):
        monkeypatch.setattr(plain_relay, "relay_response", relay_response)
        try:
            await placement(ctx, plain_relay.PlainRelay(servers))
        except errors.EntryError as error:
            return error
        return None

    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(
            plain_placement, "_MAX_UNSENT_CALLS", _MAX_UNSENT_CALLS
        )
        error = asyncio.run(run(monkeypatch))
    return statuses, error


_OUTCOME_SEQUENCES = [
    *itertools.product(_OUTCOMES, repeat=_MAX_ATTEMPTS + _MAX_UNSENT_CALLS)
]


class TestAllOutcomeSequences:
    """The reported result is correct for every sequence of outcomes."""

    @pytest.mark.parametrize("idempotency", [*model.Idempotency])
    def test_not_executed_is_only_reported_when_true(self, idempotency):
        """Callers retry a request that is reported as not executed.

        A wrong report would execute the request twice, such as a booking.
        """
        not_executed_claims = 0
        for sequence in _OUTCOME_SEQUENCES:
            observed, _, error = _run_sequence(sequence, idempotency)
            if error is not None and error.run is messages.Executed.NO:
                not_executed_claims += 1
                assert not _EXECUTED & {*observed}, sequence
                assert _REQUEST_LOST not in observed, sequence
        assert not_executed_claims

    def test_non_idempotent_request_is_executed_at_most_once(self):
        for sequence in _OUTCOME_SEQUENCES:
            observed, _, _ = _run_sequence(
                sequence, model.Idempotency.NON_IDEMPOTENT
            )
            executions = [
                outcome for outcome in observed if outcome in _EXECUTED
            ]
            assert len(executions) <= 1, sequence
            for outcome in observed[:-1]:
                assert outcome in (_CONNECT_FAILED, _REFUSED), sequence

    @pytest.mark.parametrize("idempotency", [*model.Idempotency])
    def test_exactly_one_response_or_error(self, idempotency):
        for sequence in _OUTCOME_SEQUENCES:
            observed, statuses, error = _run_sequence(sequence, idempotency)
            assert len(statuses) + (error is not None) == 1, sequence
            sent_calls = [
                outcome for outcome in observed if outcome != _CONNECT_FAILED
            ]
            assert len(sent_calls) <= _MAX_ATTEMPTS, sequence
            assert len(observed) <= _MAX_ATTEMPTS + _MAX_UNSENT_CALLS, sequence
            if observed[-1] == _SUCCEEDED:
                assert statuses == [200], sequence

    def test_error_response_is_relayed_after_the_last_attempt(self):
        sequence = (_SERVER_ERROR,) * _MAX_ATTEMPTS
        _, statuses, error = _run_sequence(
            sequence, model.Idempotency.IDEMPOTENT
        )
        assert statuses == [500]
        assert error is None

    def test_failed_connection_uses_no_attempt(self):
        """A crashed server stays listed for some seconds.

        A non-idempotent request may reach one server only. The crashed server
        has not received the request, so another one may be called. Otherwise
        the caller would get an error.
        """
        sequence = (_CONNECT_FAILED, _SUCCEEDED, _SUCCEEDED, _SUCCEEDED)
        observed, statuses, error = _run_sequence(
            sequence, model.Idempotency.NON_IDEMPOTENT
        )
        assert observed == [_CONNECT_FAILED, _SUCCEEDED]
        assert statuses == [200]
        assert error is None

    def test_own_connection_limit_is_not_the_server_s_fault(self):
        """Guards against ejected servers as this VM's connections are spent."""
        relay = plain_relay.PlainRelay(_ScriptedServers([_LIMIT_REACHED]))
        ctx = types.SimpleNamespace(
            progress=context.Progress(),
            endpoint=types.SimpleNamespace(id="s0"),
        )
        with pytest.raises(attempts.PlainCallError) as lost:
            asyncio.run(relay(ctx))
        assert lost.value.unsent
        assert lost.value.withheld

    def test_retry_goes_to_another_server(self):
        """Guards against a retry that fails on the same server again."""
        servers = _ScriptedServers((_SERVER_ERROR,) * _MAX_ATTEMPTS)
        _run_request(servers, model.Idempotency.IDEMPOTENT)
        assert len({*servers.called_ids}) == _MAX_ATTEMPTS

    def test_executed_twice_without_the_idempotency_check(self, monkeypatch):
        monkeypatch.setattr(
            plain_placement, "_is_safe_to_repeat", lambda ctx: True
        )
        executions = [
            len([outcome for outcome in observed if outcome in _EXECUTED])
            for observed, _, _ in (
                _run_sequence(sequence, model.Idempotency.NON_IDEMPOTENT)
                for sequence in _OUTCOME_SEQUENCES
            )
        ]
        assert max(executions) > 1

    def test_wrong_report_without_tracking_writes(self, monkeypatch):
        monkeypatch.setattr(
            plain_relay.call_lib.CallProgress, "mark_writing", lambda self: None
        )
        false_claims = [
            sequence
            for sequence in _OUTCOME_SEQUENCES
            for observed, _, error in [
                _run_sequence(sequence, model.Idempotency.NON_IDEMPOTENT)
            ]
            if error is not None
            and error.run is messages.Executed.NO
            and _EXECUTED & {*observed}
        ]
        assert false_claims
