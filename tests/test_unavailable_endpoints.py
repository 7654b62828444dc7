"""Endpoints that say in answers that they leave or want a pause."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Coroutine
from typing import Any

from tests import platform_site

_ROUTERS = 3
# Bounds of the customers: a request that a client sent later than this after
# its VM had passed on such an answer mustn't reach an engine that leaves.
_DRAIN_S = 2.0
# At most two requests reach an engine between this time after it has asked a VM
# for a pause and the end of the pause.
_PAUSE_REACTION_S = 0.5
_PAUSE_SENDS_MAX = 2
_PAUSE_S = 3.0
# Retries that the customers allow beside a fraction of the requests.
_RETRY_SLACK = 52.0
# Far more than a scenario takes on a busy machine.
_LIMIT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A request of a client.

    Attributes:
      sent_at: When the client sent it, in seconds.
      ended_at: When it had the whole answer.
      status: HTTP status.
    """

    sent_at: float
    ended_at: float
    status: int


class _Clients:
    """Clients of all routers that send requests at a steady rate.

    Attributes:
      calls_by_attempt: Their requests by attempt id, once answered.
    """

    def __init__(self, site: platform_site.Site, path: str) -> None:
        self._site = site
        self._path = path
        self._numbers = itertools.count()
        self.calls_by_attempt: dict[str, _Call] = {}

    async def send_for(self, duration_s: float, interval_s: float) -> None:
        """Sends one request a router and interval."""
        until = time.monotonic() + duration_s
        pending = []
        while time.monotonic() < until:
            for router in range(_ROUTERS):
                pending.append(asyncio.create_task(self._send(router)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*pending)

    async def _send(self, router: int) -> None:
        attempt = f"r{router}.{next(self._numbers)}"
        sent_at = time.monotonic()
        status, _, _ = await self._site.call(
            self._path, router=router, attempt=attempt
        )
        self.calls_by_attempt[attempt] = _Call(
            sent_at, time.monotonic(), status
        )

    def refused(self) -> int:
        """Returns how many requests had no answer of an endpoint."""
        calls = self.calls_by_attempt.values()
        return sum(call.status != 200 for call in calls)


def _router_of(attempt: str) -> str:
    return attempt.partition(".")[0]


class _Watch:
    """Requests that an endpoint gets from now on, by the time of arrival."""

    def __init__(self, endpoint: platform_site.Engine) -> None:
        self._endpoint = endpoint
        self._known = len(endpoint.requests)
        self.arrivals: list[tuple[float, str]] = []

    async def run(self) -> None:
        while True:
            requests = self._endpoint.requests[self._known :]
            self._known += len(requests)
            now = time.monotonic()
            self.arrivals += [
                (now, request.headers["Attempt-Id"]) for request in requests
            ]
            await asyncio.sleep(0.002)


async def _sends_after_notice(path: str, name: str, bound_s: float) -> int:
    """Returns the late requests at an endpoint that leaves, store away.

    Late is what a client sent more than a bound after its router had passed on
    an answer of that endpoint.
    """
    async with platform_site.running(_ROUTERS) as site:
        clients = _Clients(site, path)
        await site.store.fail(503)
        endpoint = site.engines[name]
        endpoint.leaving = "1"
        watch = _Watch(endpoint)
        watching = asyncio.create_task(watch.run())
        await clients.send_for(_DRAIN_S + 1.0, 0.1)
        watching.cancel()
        told_at: dict[str, float] = {}
        for _, attempt in watch.arrivals:
            call = clients.calls_by_attempt[attempt]
            router = _router_of(attempt)
            told_at[router] = min(
                told_at.get(router, call.ended_at), call.ended_at
            )
        assert clients.refused() == 0
        return sum(
            clients.calls_by_attempt[attempt].sent_at
            > told_at[_router_of(attempt)] + bound_s
            for _, attempt in watch.arrivals
        )


async def _begin_stream_at(
    site: platform_site.Site, endpoint: platform_site.Engine
) -> None:
    """Has a decode engine run a stream that lasts until the end of the test.

    Without one, an engine that turns a request away counts as failing.
    """
    if endpoint.stage != "decode":
        return
    endpoint.faults.pause_after_events = 2
    for number in itertools.count():
        if endpoint.runs:
            break
        response = await site.open(
            platform_site.MODEL_PATH, attempt=f"held.{number}"
        )
        await platform_site.read_until(response, b"\n\n")


async def _sends_in_pause(path: str, name: str, interval_s: float) -> int:
    """Returns the most requests that a router sends in an endpoint's pause.

    The endpoint turns one request of each router away and serves the others.
    """
    async with platform_site.running(
        _ROUTERS, retry_budget_slack=_RETRY_SLACK
    ) as site:
        clients = _Clients(site, path)
        endpoint = site.engines[name]
        await _begin_stream_at(site, endpoint)
        endpoint.faults = platform_site.Faults(
            refuse=503, retry_after=str(_PAUSE_S), times=_ROUTERS
        )
        watch = _Watch(endpoint)
        watching = asyncio.create_task(watch.run())
        await clients.send_for(_PAUSE_S + 0.5, interval_s)
        watching.cancel()
        assert clients.refused() == 0
        turned_away = watch.arrivals[:_ROUTERS]
        return max(
            sum(
                asked_at + _PAUSE_REACTION_S < at < asked_at + _PAUSE_S
                and _router_of(attempt) == _router_of(first)
                for at, attempt in watch.arrivals
            )
            for asked_at, first in turned_away
        )


async def _within_limit(scenario: Coroutine[Any, Any, list[int]]) -> list[int]:
    """Runs a scenario, which fails rather than hangs."""
    async with asyncio.timeout(_LIMIT_S):
        return await scenario


class TestLeaving:
    """An endpoint says in its answers that it leaves; the store is away."""

    def test_gets_no_requests_once_answers_have_said_so(self) -> None:
        """Guards against requests to an endpoint that answers say leaves."""

        async def scenario() -> list[int]:
            return await asyncio.gather(
                _sends_after_notice(platform_site.SAFE_PATH, "s0", _DRAIN_S),
                _sends_after_notice(platform_site.MODEL_PATH, "p0", _DRAIN_S),
                _sends_after_notice(
                    platform_site.RESUMABLE_PATH, "d0", _DRAIN_S
                ),
            )

        assert asyncio.run(_within_limit(scenario())) == [0, 0, 0]


class TestPause:
    """An endpoint turns a request away and wants no more for a while."""

    def test_is_kept_by_the_vm_that_was_asked(self) -> None:
        """Guards against requests to an endpoint that asked for a pause."""

        async def scenario() -> list[int]:
            return await asyncio.gather(
                _sends_in_pause(platform_site.SAFE_PATH, "s0", 0.05),
                _sends_in_pause(platform_site.MODEL_PATH, "p0", 0.1),
                _sends_in_pause(platform_site.RESUMABLE_PATH, "d0", 0.1),
            )

        sends = asyncio.run(_within_limit(scenario()))
        assert max(sends) <= _PAUSE_SENDS_MAX
