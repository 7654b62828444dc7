"""Changes of the configuration while requests arrive, wait and run.

A request is handled by the configuration in force once it has arrived whole.
"""

import asyncio
from typing import Any

import pytest

import platform_site
import raw_caller

_SAFE = platform_site.SAFE_PATH
_UNSAFE = platform_site.UNSAFE_PATH
_MODEL = platform_site.MODEL_PATH
_RESUMABLE = platform_site.RESUMABLE_PATH
_ALL_PATHS = (_SAFE, _UNSAFE, _MODEL, _RESUMABLE)
_ENGINES = ("p0", "p1", "d0", "d1")
_SERVERS = ("s0", "s1")
_BODY = b"a" * 3_000


def _run(scenario, routers: int = 1, **fields):
    async def run():
        async with platform_site.running(routers, **fields) as site:
            try:
                return await asyncio.wait_for(scenario(site), 20)
            finally:
                site.wake()

    return asyncio.run(run())


async def _publish(site: platform_site.Site, config: dict[str, Any]) -> None:
    """Sends a configuration and waits until all routers have it in force."""
    await site.store.put("op/config", config)
    line = f"event=settings_in_force version={config['version']} "
    await platform_site.until(
        lambda: all(line in log.getvalue() for log in site.logs)
    )


def _limits(version: int = 2, **changes: int) -> dict[str, Any]:
    config = platform_site.config(version)
    config["limits"] |= changes
    return config


def _routes(
    version: int = 2, *, without: tuple[str, ...] = (), **changes: Any
) -> dict[str, Any]:
    """Returns a configuration with some routes removed and others changed."""
    config = platform_site.config(version)
    config["routes"] = [
        {**route, **changes}
        for route in config["routes"]
        if route["pathPrefix"] not in without
    ]
    return config


def _caller(site: platform_site.Site, router: int = 0) -> raw_caller.Caller:
    return raw_caller.Caller(
        platform_site.ROUTER_HOSTS[router], site.routers[router].public_port
    )


async def _until_read(
    caller: raw_caller.Caller, reads: dict[tuple[str, int], int]
) -> None:
    await platform_site.until(
        lambda: reads[caller.address] == caller.sent_bytes
    )


def _send_around(
    data: bytes, at: int, config: dict[str, Any]
) -> raw_caller.Answer:
    """Sends a request in two pieces around a change of the configuration."""

    async def scenario(site):
        with raw_caller.counted_reads() as reads:
            caller = _caller(site)
            await caller.send(data[:at])
            await _until_read(caller, reads)
            await _publish(site, config)
            assert caller.is_open()
            await caller.send(data[at:])
            return await caller.receive()

    return _run(scenario)


def _in_head(data: bytes) -> int:
    return data.index(b"Attempt-Id")


def _in_body(data: bytes) -> int:
    return (
        data.index(b"\r\n\r\n") + 4 + (len(data) - data.index(b"\r\n\r\n")) // 2
    )


class TestHalfReadRequests:
    """The change comes while a request arrives."""

    @pytest.mark.parametrize("where", [_in_head, _in_body])
    @pytest.mark.parametrize("path", _ALL_PATHS)
    def test_route_is_that_of_the_new_configuration(self, path, where):
        """Guards against a request that is run with a dropped route."""
        data = raw_caller.request(path, "a1", _BODY)
        config = _routes(without=(path,))
        answer = _send_around(data, where(data), config)
        assert (answer.status, answer.whole) == (404, True)

    @pytest.mark.parametrize("where", [_in_head, _in_body])
    @pytest.mark.parametrize("path", _ALL_PATHS)
    def test_request_that_is_still_allowed_is_served(self, path, where):
        """Guards against requests that are lost as another route changes."""
        data = raw_caller.request(path, "a1", _BODY)
        config = _routes(timeoutMs=5_000, maxAttempts=1)
        answer = _send_around(data, where(data), config)
        assert (answer.status, answer.whole) == (200, True)

    @pytest.mark.parametrize("chunked", [False, True])
    @pytest.mark.parametrize("limit", [2_000, 1_000, 100])
    @pytest.mark.parametrize("where", [_in_head, _in_body])
    def test_body_above_a_lowered_limit_gets_an_answer(
        self, where, limit, chunked
    ):
        """Guards against a closed connection in place of a refusal."""
        data = raw_caller.request(_SAFE, "a1", _BODY, chunked=chunked)
        config = _limits(maxBodyBytes=limit)
        answer = _send_around(data, where(data), config)
        assert (answer.status, answer.whole) == (413, True)

    @pytest.mark.parametrize("where", [_in_head, _in_body])
    def test_head_above_a_lowered_limit_gets_an_answer(self, where):
        """Guards against a closed connection in place of a refusal."""
        data = raw_caller.request(_SAFE, "a1", _BODY, Pad="a" * 1_000)
        config = _limits(maxHeaderBytes=500)
        answer = _send_around(data, where(data), config)
        assert (answer.status, answer.whole) == (
            431 if where is _in_head else 200,
            True,
        )
