"""Tests of streams while engines of several software versions serve."""

import asyncio

from tests import platform_site

_RESUMABLE = platform_site.RESUMABLE_PATH
_PAUSED_AFTER = 3
_OLD = ("d0", "d1")
_NEW = ("d2", "d3")


def _on_site(scenario, routers: int = 1):
    async def run():
        async with platform_site.running(routers) as site:
            return await scenario(site)

    return asyncio.run(run())


async def _open_paused(site, attempts):
    """Opens streams that pause after some events at the old version."""
    for name in _OLD:
        site.engines[name].faults.pause_after_events = _PAUSED_AFTER
    responses = []
    for attempt in attempts:
        response = await site.open(_RESUMABLE, attempt=attempt)
        await platform_site.read_until(
            response, platform_site.stream(_PAUSED_AFTER, _PAUSED_AFTER)
        )
        responses.append(response)
    for name in _OLD:
        site.engines[name].faults.pause_after_events = 0
    return responses


async def _add_new_version(site):
    for name in _NEW:
        await site.add_engine(name, "llm", "decode", version="v2")


def _resumed_at(site, attempt):
    """Returns the versions at which an attempt continued a stream."""
    return [
        engine.version
        for engine in site.engines.values()
        for request in engine.requests
        if request.headers["Attempt-Id"] == attempt
        and "Last-Event-Id" in request.headers
        and "Stage" not in request.headers
    ]


class TestWithinOneAnswer:
    """An engine ends while it streams, and another one goes on."""

    def test_stream_goes_on_at_the_version_that_began_it(self):
        """Guards against one answer with events of two software versions."""

        async def scenario(site):
            responses = await _open_paused(site, ["a1", "a2", "a3", "a4"])
            await _add_new_version(site)
            site.engines["d0"].cut.set()
            cut = [
                request.headers["Attempt-Id"]
                for request in site.engines["d0"].requests
            ]
            bodies = [
                await responses[int(attempt[1]) - 1].read(1 << 20)
                for attempt in cut
            ]
            for response in responses:
                response.close()
            return bodies, [_resumed_at(site, attempt) for attempt in cut]

        bodies, versions = _on_site(scenario)
        assert bodies
        assert set(bodies) == {platform_site.stream(_PAUSED_AFTER + 1)}
        assert versions == [["v1"]] * len(versions)


class TestNextAttempt:
    """A client resumes a stream by a new attempt, at any VM."""

    def test_other_vm_resumes_at_the_version_that_began_the_stream(self):
        """Guards against two software versions over a client's attempts."""

        async def scenario(site):
            responses = await _open_paused(site, ["a1", "a2", "a3", "a4"])
            await _add_new_version(site)
            responses[0].close()
            status, _, body = await site.call(
                _RESUMABLE,
                attempt="a5",
                headers={"Last-Event-Id": str(_PAUSED_AFTER), "Resumes": "a1"},
                router=1,
            )
            for response in responses[1:]:
                response.close()
            return status, body, _resumed_at(site, "a5")

        status, body, versions = _on_site(scenario, routers=2)
        assert (status, versions) == (200, ["v1"])
        assert body == platform_site.stream(_PAUSED_AFTER + 1)
