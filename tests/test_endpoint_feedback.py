"""What the clients of the own interface tell and learn about endpoints."""

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from tests import raw_endpoint

from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import engine_client
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.engines import service_client

_ID = "vm1.e0.a1.1.0"
_SERVICE = model.Service(
    id="zarqa/pickup",
    customer="zarqa",
    name="pickup",
    kind=model.ServiceKind.PLAIN,
    pool="desk",
)
_REQUEST = service_client.ServiceRequest(
    request_id=_ID, method="POST", path="/pickups", headers={}, body=b"bag"
)
_REFUSAL = json.dumps(
    {"error": {"code": "engine_full", "message": "full", "run": "no"}}
).encode()


class _FakeFeedback(endpoint_feedback.NoFeedback):
    """Records what answers say; may have a pause begin between two checks.

    Attributes:
      answers: What was observed.
      checks_left: Number of checks after which the endpoint wants no requests.
    """

    def __init__(self, checks_left: int = 99) -> None:
        self.answers: list[endpoint_answers.Answer] = []
        self.checks_left = checks_left

    def check(self, endpoint: model.Endpoint) -> None:
        """Counts a check."""
        del endpoint
        if not self.checks_left:
            raise errors.EndpointUnavailable("it wants a pause")
        self.checks_left -= 1

    def before_send(self, endpoint: model.Endpoint) -> None:
        """Counts a check."""
        self.check(endpoint)

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Keeps an answer."""
        self.answers.append(answer)


_Call = Callable[[_FakeFeedback, model.Endpoint], Awaitable[object]]


async def _call_service(
    feedback: _FakeFeedback, endpoint: model.Endpoint
) -> object:
    client = service_client.ServiceClient(http_client.HttpClient(), feedback)
    return await client.call(endpoint, _SERVICE, _REQUEST)


async def _call_engine(
    feedback: _FakeFeedback, endpoint: model.Endpoint
) -> object:
    client = engine_client.EngineClient(
        http_client.HttpClient(), feedback=feedback
    )
    return await client.prefill(endpoint, _ID, {"prompt": "p"})


def _run(
    call: _Call, feedback: _FakeFeedback, headers: str = ""
) -> tuple[Exception, int]:
    """Makes a call that is turned away.

    Returns:
      The error, and the number of requests that the endpoint got.
    """

    async def refuse(connection: raw_endpoint.Connection) -> None:
        await connection.run()
        await connection.send(
            raw_endpoint.http_response(
                _REFUSAL,
                "503 Service Unavailable",
                f"X-Request-Id: {_ID}\r\n{headers}",
            )
        )

    async def scenario() -> tuple[Exception, int]:
        async with raw_endpoint.RawEndpoint(refuse) as server:
            endpoint = model.Endpoint(
                id="e",
                kind=model.EndpointKind.PLAIN,
                host="127.0.0.1",
                port=server.port,
                availability_zone="a",
                pool="desk",
                slots=1,
            )
            with pytest.raises(errors.CallError) as caught:
                await call(feedback, endpoint)
            return caught.value, len(server.executed_requests)

    return asyncio.run(scenario())


@pytest.mark.parametrize("call", [_call_service, _call_engine])
class TestRefusal:
    """An endpoint turns a request away."""

    def test_tells_for_how_long_it_wants_none(self, call: _Call) -> None:
        """Guards against a pause that is read from successes only."""
        feedback = _FakeFeedback()
        _run(call, feedback, "Retry-After: 2.5\r\n")
        [answer] = feedback.answers
        assert answer.retry_after == "2.5"
        assert not answer.accepted

    def test_tells_until_when_it_wants_none(self, call: _Call) -> None:
        """Guards against a pause until a date that is taken for invalid."""
        feedback = _FakeFeedback()
        date, until = (
            f"Fri, 04 Dec 2026 08:00:0{second} GMT" for second in (0, 3)
        )
        _run(call, feedback, f"Date: {date}\r\nRetry-After: {until}\r\n")
        [answer] = feedback.answers
        assert (answer.retry_after, answer.date) == (until, date)

    def test_without_a_time_asks_for_no_pause(self, call: _Call) -> None:
        feedback = _FakeFeedback()
        _run(call, feedback)
        [answer] = feedback.answers
        assert answer.retry_after is None
        assert not answer.accepted


@pytest.mark.parametrize("call", [_call_service, _call_engine])
class TestWithheldCall:
    """An endpoint wants no requests."""

    @pytest.mark.parametrize("checks", [0, 1])
    def test_is_not_sent(self, call: _Call, checks: int) -> None:
        """Guards against calls to an endpoint that asked while they waited."""
        error, sent = _run(call, _FakeFeedback(checks))
        assert isinstance(error, errors.EndpointUnavailable)
        assert error.run == "no"
        assert sent == 0
