"""Tests of `engines.service_client` against a simulated service."""

import asyncio
import dataclasses
import json

import pytest
from tests import fake_fleet
from tests import raw_endpoint

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.engines import service_client
from cowsliprill.standins import http_server

_SERVICE = model.Service(
    id="zarqa/pickup",
    customer="zarqa",
    name="pickup",
    kind=model.ServiceKind.PLAIN,
    pool="desk",
    idempotency=model.Idempotency.NON_IDEMPOTENT,
)
_REQUEST = service_client.ServiceRequest(
    request_id="vm1.e0.a1.1.0",
    method="POST",
    path="/pickups?bag=7",
    headers={
        "Authorization": "Bearer secret",
        "Connection": "close, X-Hop",
        "X-Hop": "1",
        "X-End": "2",
        "Transfer-Encoding": "chunked",
    },
    body=b"bag 7",
    idempotency_key="k1",
)


def _call(faults: dict) -> tuple[object, call_lib.CallProgress, list]:
    async def scenario():
        async with fake_fleet.start() as fleet:
            fleet.service.faults.set(faults)
            progress = call_lib.CallProgress()
            try:
                outcome = await fleet.service_client.call(
                    fleet.service_endpoint, _SERVICE, _REQUEST, progress
                )
            except errors.CallError as error:
                outcome = error
            return outcome, progress, fleet.service.executed_calls

    return asyncio.run(scenario())


class TestCall:
    """Forwarding of one request and its response."""

    def test_forwards_request_and_response_unchanged(self) -> None:
        response, _, executed_calls = _call({})
        assert response.status == 200
        assert json.loads(response.body)["received"] == "bag 7"
        assert [entry.path for entry in executed_calls] == [_REQUEST.path]
        assert executed_calls[0].idempotency_key == "k1"
        assert "Content-Length" not in response.headers

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        """The API key and hop-by-hop headers are not forwarded."""
        headers = service_client.request_headers(_REQUEST)
        assert headers["X-End"] == "2"
        dropped = {"Authorization", "Connection", "X-Hop", "Transfer-Encoding"}
        assert not dropped & set(headers)

    def test_service_deduplicates_by_idempotency_key(self) -> None:
        async def scenario() -> None:
            async with fake_fleet.start() as fleet:
                responses = [
                    await fleet.service_client.call(
                        fleet.service_endpoint, _SERVICE, _REQUEST
                    )
                    for _ in range(2)
                ]
                assert responses[0].body == responses[1].body
                assert len(fleet.service.executed_calls) == 1

        asyncio.run(scenario())


class TestConnections:
    """Which requests may reuse an idle connection."""

    @pytest.mark.parametrize(
        ("idempotency", "expected"),
        [
            (model.Idempotency.NON_IDEMPOTENT, 2),
            (model.Idempotency.IDEMPOTENT, 1),
        ],
    )
    def test_non_idempotent_request_opens_a_connection(
        self, idempotency, expected
    ) -> None:
        """A service may close an idle connection as a request is sent on it.

        Whether a non-idempotent request was executed would then be unknown.
        """

        async def script(connection) -> None:
            while True:
                await connection.run()
                await connection.send(raw_endpoint.http_response(b"booked"))

        async def scenario() -> None:
            service = dataclasses.replace(
                _SERVICE, idempotency=idempotency, echoes_request_id=False
            )
            client = service_client.ServiceClient(http_client.HttpClient())
            async with raw_endpoint.RawEndpoint(script) as raw:
                endpoint = model.Endpoint(
                    id="desk",
                    kind=model.EndpointKind.PLAIN,
                    host="127.0.0.1",
                    port=raw.port,
                    availability_zone="gasabo",
                    pool="desk",
                    slots=1,
                )
                for _ in range(2):
                    await client.call(endpoint, service, _REQUEST)
                assert raw.connections == expected

        asyncio.run(scenario())


class TestFailure:
    """What is known of a request's execution without a usable response."""

    def test_refusal_truncated_at_each_byte(self) -> None:
        """The service crashes at each byte of its refusal.

        A caller repeats a request reported as "not run", so this must be true;
        a needless "unknown" makes the caller check by hand.
        """
        length = len(http_server.refusal_body("engine_draining"))

        async def scenario() -> None:
            async with fake_fleet.start() as fleet:
                for end in range(length + 1):
                    fleet.service.faults.set(
                        {
                            "refuse": "engine_draining",
                            "cut_refusal_at_byte": end,
                        }
                    )
                    with pytest.raises(errors.CallError) as caught:
                        await fleet.service_client.call(
                            fleet.service_endpoint, _SERVICE, _REQUEST
                        )
                    is_refusal = isinstance(caught.value, errors.ServiceRefused)
                    assert (
                        caught.value.run is messages.Executed.NO
                    ) is is_refusal
                    assert is_refusal is (end == length)
                assert fleet.service.executed_calls == []

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("faults", "executions"),
        [
            ({"cut_before_run": True}, 0),
            ({"cut_at_byte": 0}, 1),
            ({"cut_at_byte": 9}, 1),
            ({"foreign_id": True}, 1),
        ],
    )
    def test_only_a_refusal_proves_not_executed(
        self, faults, executions
    ) -> None:
        """The connection is lost before or after the execution."""
        outcome, progress, executed_calls = _call(faults)
        assert isinstance(outcome, errors.CallError)
        assert outcome.run is messages.Executed.UNKNOWN
        assert progress.run is messages.Executed.UNKNOWN
        assert len(executed_calls) == executions

    def test_progress_records_a_refusal(self) -> None:
        _, progress, _ = _call({"refuse": "engine_draining"})
        assert progress.run is messages.Executed.NO


class TestIsRefusal:
    """Which responses prove that a request was not executed."""

    @pytest.mark.parametrize(
        ("status", "run", "response_id", "expected"),
        [
            (503, "no", "a", True),
            (503, "no", "b", False),
            (503, "no", None, False),
            (503, "unknown", "a", False),
            (503, None, "a", False),
            (200, "no", "a", False),
        ],
    )
    def test_requires_explicit_refusal_with_matching_id(
        self, status, run, response_id, expected
    ) -> None:
        """An endpoint mixes up refusals, or fails without a `run` field."""
        assert call_lib.is_refusal(status, run, response_id, "a") is expected
