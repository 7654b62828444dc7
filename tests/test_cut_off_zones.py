"""Routers of a zone that loses its network path to endpoints."""

import asyncio

import pytest

import partition as partition_lib
import platform_site

# More VMs lose their path than one request asks.
_CUT_OFF = 5
_ZONES = ["gasabo"] * _CUT_OFF + ["remera"] * 3

_CALLS = 5
_PAUSE_S = 0.6

# First tries at cut-off routers are served this often.
_MIN_SERVED_RATIO = 0.9


async def _partitions(
    site: platform_site.Site, *, silent: bool
) -> list[partition_lib.Partition]:
    """Partitions the first routers from all endpoints."""
    await site.until_routers_are_live()
    addresses = [
        (platform_site.HOST, engine.site.port)
        for engine in site.engines.values()
    ]
    partitions = [
        partition_lib.Partition(router._entry._http, addresses, silent=silent)
        for router in site.routers[:_CUT_OFF]
    ]
    for partition in partitions:
        partition.close_connections()
    return partitions


async def _calls(
    site: platform_site.Site, path: str, name: str, calls: int
) -> list[int]:
    """Sends calls to all partitioned routers; returns their statuses."""

    async def call_router(router: int) -> list[int]:
        statuses = []
        for number in range(calls):
            attempt = f"{name}-{router}-{number}"
            answer = await site.call(path, attempt=attempt, router=router)
            statuses.append(answer[0])
            await asyncio.sleep(_PAUSE_S)
        return statuses

    by_router = await asyncio.gather(*map(call_router, range(_CUT_OFF)))
    return [status for statuses in by_router for status in statuses]


class TestServedByOtherZones:
    """Callers of a zone whose VMs reach no endpoints."""

    # Guards against VMs that ask only peers of their own zone, which have lost
    # their paths with it, and refuse what other zones could serve.
    @pytest.mark.parametrize("silent", [False, True])
    @pytest.mark.parametrize(
        "path", [platform_site.UNSAFE_PATH, platform_site.MODEL_PATH]
    )
    def test_first_tries_are_served(self, path: str, silent: bool):
        async def run() -> tuple[list[int], list[str]]:
            async with platform_site.running(zones=_ZONES) as site:
                partitions = await _partitions(site, silent=silent)
                await _calls(site, path, "early", 1)
                statuses = await _calls(site, path, "cut", _CALLS)
                for partition in partitions:
                    partition.heal()
                return statuses, site.runs()

        statuses, runs = asyncio.run(run())
        assert statuses.count(200) >= _MIN_SERVED_RATIO * len(statuses)
        assert len(runs) == len(set(runs))


class TestServedByTheLastPeer:
    """Callers of VMs which don't know yet that most others are cut off too."""

    # Guards against requests that are refused after three peers have declined
    # them, though another one could serve.
    def test_first_calls_are_served(self):
        async def run() -> list[int]:
            zones = [f"zone-{number}" for number in range(_CUT_OFF + 1)]
            async with platform_site.running(zones=zones) as site:
                partitions = await _partitions(site, silent=False)
                path = platform_site.UNSAFE_PATH
                statuses = await _calls(site, path, "first", 1)
                for partition in partitions:
                    partition.heal()
                return statuses

        assert asyncio.run(run()) == [200] * _CUT_OFF
