"""Tests of router processes that are killed while they relay streams."""

import asyncio
import pathlib

import pytest
from tests import platform_site
from tests import router_processes

from cowsliprill.decisions import stream_origins

_ROUTERS = 4
_ENGINES = [
    ("p0", "prefill", "v1"),
    ("d0", "decode", "v1"),
    ("d1", "decode", "v2"),
]
_TWO_VERSIONS = [
    (f"{stage[0]}{number}", stage, f"v{number}")
    for number in (1, 2)
    for stage in ("prefill", "decode")
]
_STREAMS = 4
_PAUSED_AFTER = 3

# A list of engines that is older than this was once taken to show all versions
# of the streams that are resumed.
_LIST_AGE_S = 1.5


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


class _AllKilled:
    """All routers are killed while they relay streams, and start again.

    Args:
      fleet: The fleet.
    """

    def __init__(self, fleet: router_processes.Fleet) -> None:
        self.fleet = fleet

    async def play(
        self, *, old_version_leaves: bool = False, engine_vanishes: bool = False
    ) -> None:
        """Begins streams, kills all routers and starts them again.

        Args:
          old_version_leaves: Whether the engines of the first version end with
            the routers and the store discards its history.
          engine_vanishes: Whether an engine ends with the routers that stays
            listed.
        """
        fleet = self.fleet
        fleet.pause_streams(_PAUSED_AFTER)
        for number in range(_STREAMS):
            response = await self._open(number, f"a{number}")
            await platform_site.read_until(
                response, platform_site.stream(_PAUSED_AFTER, _PAUSED_AFTER)
            )
        await fleet.end_routers()
        fleet.pause_streams(0)
        if old_version_leaves:
            for engine in fleet.engines:
                if engine.version == "v1":
                    await fleet.store.remove(f"servers/{engine.name}")
            fleet.store.compacted_revision = fleet.store.revision
        if engine_vanishes:
            vanished = platform_site.Engine("d3", "llm", "decode", "v1")
            await fleet.store.put("servers/d3", vanished.entry())
            vanished.site.crash()
        await fleet.start_routers()
        await fleet.until_serving()

    async def resume(self) -> list[tuple[int, str, str]]:
        """Resumes all streams.

        Returns:
          Status, version that began each and version that it went on at.
        """
        results = []
        for number in range(_STREAMS):
            response = await self._open(
                number,
                f"b{number}",
                Last_Event_Id=str(_PAUSED_AFTER),
                Resumes=f"a{number}",
            )
            body = await response.read(1 << 20)
            if response.status == 200:
                assert body == platform_site.stream(_PAUSED_AFTER + 1)
            results.append(
                (
                    response.status,
                    self.fleet.version_of(f"a{number}"),
                    self.fleet.version_of(f"b{number}"),
                )
            )
        return results

    async def _open(self, number: int, attempt: str, **headers: str):
        fleet = self.fleet
        router = fleet.routers[number % len(fleet.routers)]
        prompt = f"shared:16,own{number}:100"
        return await fleet.open(router, attempt, Prefix_Hash=prompt, **headers)


async def _begun_and_resumed(
    folder: pathlib.Path,
    *,
    engines_go_on: bool = False,
    resumed_after_s: float = 0.0,
    **options: bool,
) -> list[tuple[int, str, str]]:
    async with router_processes.running(
        _ROUTERS, _TWO_VERSIONS, folder
    ) as fleet:
        for engine in fleet.engines:
            engine.keeps_requests = engines_go_on
            if engines_go_on:
                engine.keeps_parts = False
        killed = _AllKilled(fleet)
        await killed.play(**options)
        await asyncio.sleep(resumed_after_s)
        return await killed.resume()


class TestAllKilled:
    """No VM is left that knows which version began a stream."""

    # Guards against joined streams as a discarded history shows no version but
    # the one that is left.
    def test_streams_of_a_version_that_left_are_refused(
        self, tmp_path: pathlib.Path
    ) -> None:
        results = asyncio.run(
            _begun_and_resumed(tmp_path, old_version_leaves=True)
        )
        assert {began for _, began, _ in results} == {"v1", "v2"}
        for status, began, went_on in results:
            expected = (503, "") if began == "v1" else (200, "v2")
            assert (status, went_on) == expected

    # Guards against streams taken for younger than the list of engines.
    def test_streams_of_a_version_that_left_are_refused_later(
        self, tmp_path: pathlib.Path
    ) -> None:
        results = asyncio.run(
            _begun_and_resumed(
                tmp_path, resumed_after_s=_LIST_AGE_S, old_version_leaves=True
            )
        )
        assert {began for _, began, _ in results} == {"v1", "v2"}
        for status, began, went_on in results:
            assert began == "v2" or (status, went_on) == (503, "")

    # Guards against refusals of all streams as one engine doesn't answer.
    def test_streams_go_on_beside_an_engine_that_ended(
        self, tmp_path: pathlib.Path
    ) -> None:
        results = asyncio.run(
            _begun_and_resumed(tmp_path, engine_vanishes=True)
        )
        for status, began, went_on in results:
            assert (status, went_on) == (200, began)

    # Guards against refusals of streams whose engines still have them.
    @pytest.mark.parametrize("engines_go_on", [False, True])
    def test_streams_go_on_at_the_version_that_began_them(
        self, engines_go_on: bool, tmp_path: pathlib.Path
    ) -> None:
        results = asyncio.run(
            _begun_and_resumed(tmp_path, engines_go_on=engines_go_on)
        )
        assert {began for _, began, _ in results} == {"v1", "v2"}
        for status, began, went_on in results:
            assert (status, went_on) == (200, began)
