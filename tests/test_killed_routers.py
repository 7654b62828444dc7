"""Tests of router processes that are killed while they relay streams."""

import asyncio
import pathlib

from tests import platform_site
from tests import router_processes

from cowsliprill.decisions import stream_origins

_ROUTERS = 4
_ENGINES = [
    ("p0", "prefill", "v1"),
    ("d0", "decode", "v1"),
    ("d1", "decode", "v2"),
]
_STREAMS = 4
_PAUSED_AFTER = 3


class TestKilledTogether:
    """The VM that relays streams and the pool's coordinator are killed."""

    def test_streams_go_on_at_the_version_that_began_them(
        self, tmp_path: pathlib.Path
    ):
        """Guards against origins that only the killed processes knew."""

        async def scenario():
            async with router_processes.running(
                _ROUTERS, _ENGINES, tmp_path
            ) as fleet:
                first = await fleet.open(fleet.routers[0], "first")
                await first.read(1 << 20)
                fleet.pause_streams(_PAUSED_AFTER)
                coordinator = fleet.coordinator()
                serving, *survivors = [
                    router
                    for router in fleet.routers
                    if router is not coordinator
                ]
                keys, responses = set(), []
                for number in range(_STREAMS):
                    attempt = f"a{number}"
                    response = await fleet.open(serving, attempt)
                    await platform_site.read_until(
                        response,
                        platform_site.stream(_PAUSED_AFTER, _PAUSED_AFTER),
                    )
                    keys.add(stream_origins.key_of("", attempt))
                    responses.append(response)
                for router in survivors:
                    await fleet.until_known(router, keys)
                await asyncio.gather(coordinator.end(), serving.end())
                for response in responses:
                    response.close()
                fleet.pause_streams(0)
                resumed = []
                for number in range(_STREAMS):
                    response = await fleet.open(
                        survivors[number % len(survivors)],
                        f"b{number}",
                        Last_Event_Id=str(_PAUSED_AFTER),
                        Resumes=f"a{number}",
                    )
                    resumed.append(
                        (response.status, await response.read(1 << 20))
                    )
                versions = [
                    (fleet.version_of(f"a{n}"), fleet.version_of(f"b{n}"))
                    for n in range(_STREAMS)
                ]
                return resumed, versions

        resumed, versions = asyncio.run(scenario())
        expected = (200, platform_site.stream(_PAUSED_AFTER + 1))
        assert resumed == [expected] * _STREAMS
        assert all(began == went_on for began, went_on in versions)
        assert {began for began, _ in versions} == {"v1", "v2"}
