"""What the platform's engines say in answers of leaving and of pauses."""

import asyncio

import pytest
from tests import fake_log
from tests import platform_site

from cowsliprill.decisions import model
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import http_client
from cowsliprill.platform import engines


def _events(site: platform_site.Site, name: str, router: int = 0) -> list[str]:
    lines = site.logs[router].getvalue().splitlines()
    return [line for line in lines if f"event={name} " in line]


async def _call_often(
    site: platform_site.Site, path: str, calls: int = 12
) -> list[int]:
    statuses = []
    for number in range(calls):
        status, _, _ = await site.call(path, attempt=f"c{number}")
        statuses.append(status)
    return statuses


class TestBelief:
    """Only the addressed engine's own answers are believed."""

    def test_answer_to_another_request_is_not(self) -> None:
        """Guards against an engine left out for an answer that isn't its."""

        async def scenario() -> list[str]:
            async with platform_site.running() as site:
                for name in ("s0", "s1"):
                    site.engines[name].leaving = "1"
                    site.engines[name].faults.foreign = True
                await _call_often(site, platform_site.SAFE_PATH, 4)
                return _events(site, "endpoint_leaving")

        assert asyncio.run(scenario()) == []

    def test_answer_of_another_engine_at_the_address_is_not(self) -> None:
        """Guards against belief in an engine that took over an address."""

        async def scenario() -> list[str]:
            async with platform_site.running() as site:
                for name in ("s0", "s1"):
                    site.engines[name].name = f"successor-of-{name}"
                    site.engines[name].leaving = "1"
                await _call_often(site, platform_site.SAFE_PATH, 4)
                return _events(site, "endpoint_leaving")

        assert asyncio.run(scenario()) == []

    @pytest.mark.parametrize("text", ["0", "", "2"])
    def test_other_values_mean_nothing(self, text: str) -> None:
        async def scenario() -> list[str]:
            async with platform_site.running() as site:
                site.engines["s0"].leaving = text
                await _call_often(site, platform_site.SAFE_PATH)
                return _events(site, "endpoint_leaving")

        assert asyncio.run(scenario()) == []

    def test_invalid_pause_is_logged_and_ignored(self) -> None:
        async def scenario() -> tuple[list[str], list[str]]:
            async with platform_site.running() as site:
                site.engines["s0"].faults = platform_site.Faults(
                    refuse=503, retry_after="soon", times=1
                )
                await _call_often(site, platform_site.SAFE_PATH)
                return (
                    _events(site, "endpoint_paused"),
                    _events(site, "endpoint_pause_invalid"),
                )

        paused, invalid = asyncio.run(scenario())
        assert paused == []
        assert len(invalid) == 1


class TestLeaving:
    """A server says in its answers that it leaves."""

    def test_holds_though_its_entry_says_ready_again(self) -> None:
        """Guards against an entry that was written before the answer."""

        async def scenario() -> int:
            async with platform_site.running() as site:
                leaver = site.engines["s0"]
                leaver.leaving = "1"
                await _call_often(site, platform_site.SAFE_PATH)
                known = len(leaver.requests)
                await site.store.put("servers/s0", leaver.entry(slots=9))
                source = site.routers[0]._source
                await platform_site.until(
                    lambda: source.snapshot.endpoints_by_id["s0"].slots == 9
                )
                await _call_often(site, platform_site.SAFE_PATH)
                return len(leaver.requests) - known

        assert asyncio.run(scenario()) == 0

    def test_ends_with_its_id(self) -> None:
        """Guards against a successor that gets no requests."""

        async def scenario() -> int:
            async with platform_site.running() as site:
                leaver = site.engines["s0"]
                leaver.leaving = "1"
                await _call_often(site, platform_site.SAFE_PATH)
                await site.store.remove("servers/s0")
                leaver.leaving = None
                leaver.name = "s9"
                await site.store.put("servers/s9", leaver.entry())
                await platform_site.until(
                    lambda: len(_events(site, "endpoint_listed")) > 6
                )
                known = len(leaver.requests)
                await _call_often(site, platform_site.SAFE_PATH)
                return len(leaver.requests) - known

        assert asyncio.run(scenario()) > 0

    def test_of_all_servers_has_requests_refused_at_once(self) -> None:
        async def scenario() -> tuple[int, dict[str, str]]:
            async with platform_site.running() as site:
                for name in ("s0", "s1"):
                    site.engines[name].leaving = "1"
                await _call_often(site, platform_site.SAFE_PATH, 4)
                status, headers, _ = await site.call(platform_site.SAFE_PATH)
                return status, headers

        status, headers = asyncio.run(scenario())
        assert status == 503
        assert float(headers["Retry-After"]) >= 0

    def test_is_only_logged_if_switched_off(self) -> None:
        async def scenario() -> tuple[int, int]:
            async with platform_site.running(
                mechanisms_off=["availability"]
            ) as site:
                leaver = site.engines["s0"]
                leaver.leaving = "1"
                await _call_often(site, platform_site.SAFE_PATH)
                return (
                    len(_events(site, "endpoint_leaving")),
                    len(leaver.requests),
                )

        logged, requests = asyncio.run(scenario())
        assert logged == 1
        assert requests > 1


class TestPause:
    """Servers turn requests away and want none for a while."""

    def test_of_all_servers_is_told_to_callers(self) -> None:
        """Guards against a refusal that doesn't tell when to come back."""

        async def scenario() -> tuple[int, dict[str, str], int]:
            async with platform_site.running() as site:
                for name in ("s0", "s1"):
                    site.engines[name].faults = platform_site.Faults(
                        refuse=503, retry_after="30"
                    )
                await _call_often(site, platform_site.SAFE_PATH, 2)
                known = sum(
                    len(site.engines[name].requests) for name in ("s0", "s1")
                )
                status, headers, _ = await site.call(platform_site.SAFE_PATH)
                sent = sum(
                    len(site.engines[name].requests) for name in ("s0", "s1")
                )
                return status, headers, sent - known

        status, headers, sent = asyncio.run(scenario())
        assert status == 503
        assert 25 < float(headers["Retry-After"]) <= 31
        assert sent == 0

    def test_ends_with_the_incarnation(self) -> None:
        """Guards against an engine that idles after it came back."""

        async def scenario() -> tuple[int, int]:
            async with platform_site.running() as site:
                engine = site.engines["d0"]
                engine.faults = platform_site.Faults(
                    refuse=503, retry_after="600", times=1
                )
                path = platform_site.RESUMABLE_PATH
                await _call_often(site, path)
                paused = len(_events(site, "endpoint_paused"))
                known = len(engine.requests)
                await site.store.put("servers/d0", engine.entry(born=7))
                source = site.routers[0]._source
                await platform_site.until(
                    lambda: source.snapshot.endpoints_by_id["d0"].life == "7"
                )
                await _call_often(site, path)
                return paused, len(engine.requests) - known

        paused, requests = asyncio.run(scenario())
        assert paused == 1
        assert requests > 0


class _FakeFeedback(endpoint_feedback.NoFeedback):
    """Names a pause of all engines."""

    def __init__(self, pause_s: float) -> None:
        self._pause_s = pause_s

    def pause_left_s(self, endpoint: model.Endpoint) -> float:
        """Returns the pause."""
        del endpoint
        return self._pause_s


class TestRelease:
    """A prefill isn't needed any more, and its engine wants a pause."""

    @pytest.mark.parametrize(
        ("pause_s", "freed"), [(0.0, ["h1"]), (0.05, ["h1"]), (60.0, [])]
    )
    def test_waits_for_the_end_of_the_pause(
        self, pause_s: float, freed: list[str]
    ) -> None:
        """Guards against calls of our own in a pause."""

        async def scenario() -> list[str]:
            engine = platform_site.Engine("p0", "llm", "prefill")
            host, _, port = engine.site.address.rpartition(":")
            endpoint = model.Endpoint(
                id="p0",
                kind=model.EndpointKind.PREFILL,
                host=host,
                port=int(port),
                availability_zone="a",
                pool="llm",
                slots=1,
                export_ttl_s=1.0,
            )
            log = fake_log.FakeLog()
            client = engines.EngineClient(
                http_client.HttpClient(), log, _FakeFeedback(pause_s)
            )
            client.discard(
                engines.FinishedPrefill(endpoint=endpoint, handle="h1")
            )
            await asyncio.gather(*client._release_tasks)
            await engine.site.close()
            return engine.freed

        assert asyncio.run(scenario()) == freed
