"""Routers that lose their network path to the endpoints, beside others."""

import asyncio
import collections

import platform_site

_CALLS = 12
# First tries at a cut-off router are served this often, compared with others.
_MIN_SERVED_RATIO = 0.9


async def _statuses(
    site: platform_site.Site,
    path: str,
    name: str,
    router: int = 0,
    calls: int = _CALLS,
) -> list[int]:
    """Sends first tries one after the other; returns their statuses."""
    return [
        (await site.call(path, attempt=f"{name}{number}", router=router))[0]
        for number in range(calls)
    ]


def _served(statuses: list[int]) -> float:
    return statuses.count(200) / len(statuses)


def _ejected(site: platform_site.Site) -> set[str]:
    """Returns the engines that get no requests for now, at any coordinator."""
    return {
        engine
        for router in site.routers
        for load in router._pool_schedulers.loads().values()
        for engine in load.ejected.split(",")
        if engine
    }


def _served_while_cut(path: str, *, silent: bool) -> tuple[float, int]:
    """Returns the part of calls served at a cut-off router, and repeated runs.

    Two calls before those that count make the router notice the cut.
    """

    async def run() -> tuple[float, int]:
        async with platform_site.running(routers=3) as site:
            partition = platform_site.Partition(
                site.routers[0], site.engines.values(), silent=silent
            )
            partition.close_connections()
            await asyncio.gather(
                *(
                    _statuses(site, path, f"early{number}-", calls=1)
                    for number in range(2)
                )
            )
            statuses = await _statuses(site, path, "cut-")
            partition.heal()
            runs = collections.Counter(site.runs())
            return _served(statuses), max(runs.values(), default=0)

    return asyncio.run(run())


class TestServedThroughPeers:
    """Callers of a VM without a path to endpoints that other VMs reach."""

    # Guards against a VM that refuses calls which other VMs could serve.
    def test_plain_calls_are_served_while_connections_are_refused(self):
        for path in (platform_site.UNSAFE_PATH, platform_site.SAFE_PATH):
            served, runs = _served_while_cut(path, silent=False)
            assert served >= _MIN_SERVED_RATIO, path
            assert runs == 1, path


class TestOtherVms:
    """VMs that reach the endpoints, beside one that doesn't."""

    # Guards against a cut-off VM whose reports make the coordinator withhold
    # free engines from all VMs.
    def test_coordinator_ejects_no_engine_for_a_cut_off_vm(self):
        async def run() -> set[str]:
            async with platform_site.running(routers=3) as site:
                partition = platform_site.Partition(
                    site.routers[0], site.engines.values(), silent=False
                )
                ejected = set()
                for number in range(2):
                    await _statuses(
                        site, platform_site.MODEL_PATH, f"{number}-", calls=1
                    )
                    ejected |= _ejected(site)
                partition.heal()
                return ejected

        assert asyncio.run(run()) == set()
