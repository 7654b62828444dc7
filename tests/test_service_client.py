"""Tests of `engines.service_client` against the stand-in of a service."""

import asyncio
import dataclasses
import json

import pytest
from tests import raw_endpoint
from tests import standin_fleet

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.engines import service_client
from cowsliprill.standins import shell

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


def _call(conduct: dict) -> tuple[object, call_lib.CallProgress, list]:
    async def scenario():
        async with standin_fleet.start() as fleet:
            fleet.service.conduct.set(conduct)
            progress = call_lib.CallProgress()
            try:
                outcome = await fleet.service_client.call(
                    fleet.service_endpoint, _SERVICE, _REQUEST, progress
                )
            except errors.CallError as error:
                outcome = error
            return outcome, progress, fleet.service.journal

    return asyncio.run(scenario())


class TestCall:
    """One call, passed whole."""

    def test_passes_the_call_and_the_answer_whole(self) -> None:
        answer, _, journal = _call({})
        assert answer.status == 200
        assert json.loads(answer.body)["received"] == "bag 7"
        assert [entry.path for entry in journal] == [_REQUEST.path]
        assert journal[0].idempotency_key == "k1"
        assert "Content-Length" not in answer.headers

    def test_headers_of_one_connection_stay_behind(self) -> None:
        """A caller's key and connection headers aren't the service's."""
        headers = service_client.request_headers(_REQUEST)
        assert headers["X-End"] == "2"
        dropped = {"Authorization", "Connection", "X-Hop", "Transfer-Encoding"}
        assert not dropped & set(headers)

    def test_a_key_runs_once_where_the_service_checks(self) -> None:
        async def scenario() -> None:
            async with standin_fleet.start() as fleet:
                answers = [
                    await fleet.service_client.call(
                        fleet.service_endpoint, _SERVICE, _REQUEST
                    )
                    for _ in range(2)
                ]
                assert answers[0].body == answers[1].body
                assert len(fleet.service.journal) == 1

        asyncio.run(scenario())


class TestConnections:
    """Which calls may go out on a connection that lay idle."""

    @pytest.mark.parametrize(
        ("idempotency", "expected"),
        [
            (model.Idempotency.NON_IDEMPOTENT, 2),
            (model.Idempotency.IDEMPOTENT, 1),
        ],
    )
    def test_unrepeatable_call_opens_its_own(
        self, idempotency, expected
    ) -> None:
        """A service closes an idle connection just as a booking goes out.

        Nobody could tell whether the booking was made.
        """

        async def script(connection) -> None:
            while True:
                await connection.run()
                await connection.send(raw_endpoint.answer(b"booked"))

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
    """What may be said of a call without a usable answer."""

    def test_refusal_cut_at_each_byte(self) -> None:
        """The service dies while it refuses.

        A caller told "not run" repeats the pickup, so it must be true; a
        caller told "unknown" without need has to look it up by hand.
        """
        length = len(shell.refusal_body("engine_draining"))

        async def scenario() -> None:
            async with standin_fleet.start() as fleet:
                for end in range(length + 1):
                    fleet.service.conduct.set(
                        {
                            "refuse": "engine_draining",
                            "cut_refusal_at_byte": end,
                        }
                    )
                    with pytest.raises(errors.CallError) as caught:
                        await fleet.service_client.call(
                            fleet.service_endpoint, _SERVICE, _REQUEST
                        )
                    whole = isinstance(caught.value, errors.ServiceRefused)
                    assert (caught.value.run is messages.Executed.NO) is whole
                    assert whole is (end == length)
                assert fleet.service.journal == []

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("conduct", "ran"),
        [
            ({"cut_before_run": True}, 0),
            ({"cut_at_byte": 0}, 1),
            ({"cut_at_byte": 9}, 1),
            ({"foreign_id": True}, 1),
        ],
    )
    def test_nothing_but_a_refusal_says_not_run(self, conduct, ran) -> None:
        """The service breaks off before or after it has run the call."""
        outcome, progress, journal = _call(conduct)
        assert isinstance(outcome, errors.CallError)
        assert outcome.run is messages.Executed.UNKNOWN
        assert progress.run is messages.Executed.UNKNOWN
        assert len(journal) == ran

    def test_refusal_is_kept_for_use_after_a_cancel(self) -> None:
        _, progress, _ = _call({"refuse": "engine_draining"})
        assert progress.run is messages.Executed.NO


class TestIsRefusal:
    """Which answers prove that nothing was run."""

    @pytest.mark.parametrize(
        ("status", "run", "answer_id", "expected"),
        [
            (503, "no", "a", True),
            (503, "no", "b", False),
            (503, "no", None, False),
            (503, "unknown", "a", False),
            (503, None, "a", False),
            (200, "no", "a", False),
        ],
    )
    def test_only_its_own_and_explicit(
        self, status, run, answer_id, expected
    ) -> None:
        """An engine mixes up refusals, or fails without a word on the run."""
        assert call_lib.is_refusal(status, run, answer_id, "a") is expected
