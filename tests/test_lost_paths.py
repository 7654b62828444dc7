"""Routers that lose their network path to the endpoints, beside others."""

import asyncio
import collections
import json

import pytest

import partition as partition_lib
import platform_site
from cowsliprill import peers
from cowsliprill.decisions import mechanisms
from cowsliprill.engines import errors as engine_errors

_CALLS = 12
# First tries at a cut-off router are served this often, compared with others.
_MIN_SERVED_RATIO = 0.9


async def _cut_off(
    site: platform_site.Site,
    router: int = 0,
    *,
    silent: bool = False,
    services: tuple[str, ...] = ("llm", "desk"),
) -> partition_lib.Partition:
    """Partitions a router from all endpoints, once its peers can serve."""
    await site.until_routers_are_live()
    addresses = [
        (platform_site.HOST, engine.site.port)
        for engine in site.engines.values()
        if engine.service in services
    ]
    return partition_lib.Partition(
        site.routers[router]._entry._http, addresses, silent=silent
    )


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


def _served_while_cut(path: str, *, silent: bool) -> tuple[float, int]:
    """Returns the part of calls served at a cut-off router, and repeated runs.

    Two calls before those that count make the router notice the cut.
    """

    async def run() -> tuple[float, int]:
        async with platform_site.running(routers=3) as site:
            partition = await _cut_off(site, silent=silent)
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

    # Guards against calls that wait for connections which are never answered.
    def test_plain_calls_are_served_while_connections_hang(self):
        served, runs = _served_while_cut(platform_site.UNSAFE_PATH, silent=True)
        assert served >= _MIN_SERVED_RATIO
        assert runs == 1

    # Guards against model requests that are placed again and again on engines
    # which only their own VM can't reach.
    @pytest.mark.parametrize("silent", [False, True])
    def test_model_requests_are_served(self, silent: bool):
        served, runs = _served_while_cut(
            platform_site.MODEL_PATH, silent=silent
        )
        assert served >= _MIN_SERVED_RATIO
        assert runs == 1

    # Guards against a detour for pools that can be reached, and against none
    # while only one pool can't.
    def test_only_the_pool_that_is_out_of_reach_takes_the_detour(self):
        async def run():
            async with platform_site.running(routers=2) as site:
                partition = await _cut_off(site, services=("desk",))
                plain = await _statuses(
                    site, platform_site.UNSAFE_PATH, "plain-"
                )
                relayed = site.logs[0].getvalue().count("relayed_to=")
                models = await _statuses(
                    site, platform_site.MODEL_PATH, "model-", calls=3
                )
                partition.heal()
                later = site.logs[0].getvalue().count("relayed_to=")
                return plain, models, relayed, later

        plain, models, relayed, later = asyncio.run(run())
        assert plain == [200] * _CALLS
        assert models == [200] * 3
        assert relayed == later == _CALLS

    # Guards against a detour that changes the answer or the request.
    def test_request_and_answer_arrive_unchanged(self):
        async def run():
            async with platform_site.running(routers=2) as site:
                direct = await site.call(
                    platform_site.UNSAFE_PATH + "a/b%20c?d=%2F&e",
                    body=b"x" * 15_000,
                    headers={"X-Own": "kept"},
                )
                partition = await _cut_off(site)
                relayed = await site.call(
                    platform_site.UNSAFE_PATH + "a/b%20c?d=%2F&e",
                    body=b"x" * 15_000,
                    headers={"X-Own": "kept"},
                    attempt="a2",
                )
                partition.heal()
                requests = [
                    request
                    for name in ("s0", "s1")
                    for request in site.engines[name].requests
                ]
                return direct, relayed, requests

        direct, relayed, (first, second) = asyncio.run(run())
        assert relayed[0] == direct[0] == 200
        assert relayed[2] == direct[2]
        names = {"Instance-Signature", "Attempt-Id"}
        assert names <= set(relayed[1])
        assert relayed[1]["Attempt-Id"] == "a2"
        assert not [name for name in relayed[1] if "Relay" in name]
        assert first.uri == second.uri
        assert first.body == second.body
        for request in (first, second):
            assert request.headers["Host"] == platform_site.CALLERS_HOST
            assert request.headers["X-Own"] == "kept"
            assert not [name for name in request.headers if "Relay" in name]
        assert int(second.headers["Deadline-Ms"]) <= 8_000

    # Guards against streams that arrive at their end only.
    def test_events_of_a_stream_are_passed_on_at_once(self):
        async def run() -> bytes:
            async with platform_site.running(routers=2) as site:
                for name in ("d0", "d1"):
                    site.engines[name].faults.pause_after_events = 2
                partition = await _cut_off(site)
                response = await site.open(platform_site.MODEL_PATH)
                first = await platform_site.read_until(response, b"t2\n\n")
                response.close()
                await platform_site.until(
                    lambda: any(
                        site.engines[name].disconnects for name in ("d0", "d1")
                    )
                )
                partition.heal()
                return first

        assert asyncio.run(run()) == platform_site.stream(1, 2)


class TestStreamsUnderWay:
    """Streams that a VM relays when it loses its path to their engines."""

    # Guards against a stream that breaks although an engine that peers reach
    # could go on with it.
    def test_resumable_stream_goes_on_through_a_peer(self):
        async def run():
            async with platform_site.running(routers=3) as site:
                engines = [site.engines[name] for name in ("d0", "d1")]
                for engine in engines:
                    engine.faults.pause_after_events = 2
                response = await site.open(platform_site.RESUMABLE_PATH)
                got = await platform_site.read_until(response, b"t2\n\n")
                partition = await _cut_off(site)
                for engine in engines:
                    engine.faults = platform_site.Faults()
                    engine.cut.set()
                async for chunk in response.chunks():
                    got += chunk
                partition.heal()
                return got, site.runs()

        got, runs = asyncio.run(run())
        assert got == platform_site.stream()
        assert runs == ["a1", "a1"]

    # Guards against events of two software versions behind a peer.
    def test_peer_goes_on_at_the_version_that_began_the_stream(self):
        async def run():
            async with platform_site.running(routers=3) as site:
                await site.until_routers_are_live()
                for name in ("d2", "d3"):
                    await site.add_engine(name, "llm", "decode", version="v2")
                engines = [site.engines[f"d{number}"] for number in range(4)]
                for engine in engines:
                    engine.faults.pause_after_events = 2
                responses = [
                    await site.open(
                        platform_site.RESUMABLE_PATH, attempt=f"a{number}"
                    )
                    for number in range(2)
                ]
                for response in responses:
                    await platform_site.read_until(response, b"t2\n\n")
                partition = await _cut_off(site)
                for engine in engines:
                    engine.faults = platform_site.Faults()
                    engine.cut.set()
                bodies = [await item.read(1 << 20) for item in responses]
                partition.heal()
                versions_by_attempt = collections.defaultdict(list)
                for engine in engines:
                    for attempt in engine.runs:
                        versions_by_attempt[attempt].append(engine.version)
                return bodies, dict(versions_by_attempt)

        bodies, versions_by_attempt = asyncio.run(run())
        assert bodies == [platform_site.stream(3)] * 2
        for versions in versions_by_attempt.values():
            assert len(versions) == 2
            assert len(set(versions)) == 1

    # Guards against a peer of an older release, which would go on at any
    # software version.
    def test_stream_is_not_relayed_to_an_older_release(self, monkeypatch):
        async def run():
            async with platform_site.running(routers=2) as site:
                engines = [site.engines[name] for name in ("d0", "d1")]
                for engine in engines:
                    engine.faults.pause_after_events = 2
                response = await site.open(platform_site.RESUMABLE_PATH)
                await platform_site.read_until(response, b"t2\n\n")
                partition = await _cut_off(site)
                monkeypatch.setattr(peers, "RELAY_STREAM_PATH", "/v1/unknown")
                for engine in engines:
                    engine.faults = platform_site.Faults()
                    engine.cut.set()
                with pytest.raises(engine_errors.CallError):
                    await response.read(1_000)
                partition.heal()
                return site.runs(), site.logs[0].getvalue()

        runs, log = asyncio.run(run())
        assert runs == ["a1"]
        assert "relay_declined" in log

    # Guards against a second run of a stream that can't be resumed.
    def test_other_stream_ends_and_is_not_repeated(self):
        async def run():
            async with platform_site.running(routers=3) as site:
                engines = [site.engines[name] for name in ("d0", "d1")]
                for engine in engines:
                    engine.faults.pause_after_events = 2
                response = await site.open(platform_site.MODEL_PATH)
                await platform_site.read_until(response, b"t2\n\n")
                partition = await _cut_off(site)
                for engine in engines:
                    engine.cut.set()
                with pytest.raises(engine_errors.CallError):
                    await response.read(1_000)
                partition.heal()
                return site.runs()

        assert asyncio.run(run()) == ["a1"]


class TestTruth:
    """What callers are told when no VM can serve, or one may have."""

    # Guards against a storm of requests between VMs none of which can serve.
    def test_all_vms_cut_off_refuse_without_loops(self):
        async def run():
            async with platform_site.running(routers=3) as site:
                partitions = [
                    await _cut_off(site, router) for router in range(3)
                ]
                responses = [
                    await site.call(
                        platform_site.UNSAFE_PATH, attempt=f"a{number}"
                    )
                    for number in range(_CALLS)
                ]
                for partition in partitions:
                    partition.heal()
                hops = sum(
                    log.getvalue().count("relayed_by=") for log in site.logs
                )
                return responses, hops, site.runs()

        responses, hops, runs = asyncio.run(run())
        assert [response[0] for response in responses] == [503] * _CALLS
        assert all(float(item[1]["Retry-After"]) > 0 for item in responses)
        # Each peer is asked once, and not again within the next second.
        assert hops <= 4
        assert not runs

    # Guards against a second run of a call whose answer was lost on the way
    # back from the helping VM or behind it.
    def test_unrepeatable_call_with_a_lost_answer_is_not_repeated(self):
        async def run():
            async with platform_site.running(routers=3) as site:
                for name in ("s0", "s1"):
                    site.engines[name].faults.lose_response = True
                partition = await _cut_off(site)
                status = (await site.call(platform_site.UNSAFE_PATH))[0]
                partition.heal()
                return status, site.runs()

        status, runs = asyncio.run(run())
        assert status == 502
        assert runs == ["a1"]

    # Guards against an answer that is taken for the refusal of a peer, after
    # which the request would run again.
    def test_answer_with_a_header_between_vms_is_an_answer(self):
        async def run():
            async with platform_site.running(routers=3) as site:
                error = {"code": "path_lost", "message": "", "run": "no"}
                for name in ("s0", "s1"):
                    site.engines[name].faults.headers = {
                        "X-Relay-Error": json.dumps(error),
                        "X-Relay-Version": "0",
                    }
                partition = await _cut_off(site)
                relayed = await site.call(platform_site.UNSAFE_PATH)
                partition.heal()
                return relayed, site.runs()

        (status, headers, _), runs = asyncio.run(run())
        assert status == 200
        assert runs == ["a1"]
        assert not [name for name in headers if "Relay" in name]

    # Guards against requests that take the detour for good.
    def test_direct_path_is_taken_again_once_it_is_back(self):
        async def run():
            async with platform_site.running(routers=2) as site:
                partition = await _cut_off(site)
                await _statuses(site, platform_site.UNSAFE_PATH, "cut-")
                partition.heal()
                log = site.logs[0]
                await platform_site.until(
                    lambda: "event=path_restored" in log.getvalue()
                )
                before = log.getvalue().count("relayed_to=")
                statuses = await _statuses(
                    site, platform_site.UNSAFE_PATH, "healed-"
                )
                return statuses, log.getvalue().count("relayed_to=") - before

        statuses, relayed = asyncio.run(run())
        assert statuses == [200] * _CALLS
        assert relayed == 0

    # Guards against a relay interface that serves anybody.
    def test_request_without_a_valid_signature_is_refused(self):
        async def run():
            async with platform_site.running(
                routers=1, peer_secret="secret"
            ) as site:
                response = await site.http.call(
                    "127.0.0.1",
                    site._peer_port,
                    "POST",
                    "/v1/relay",
                    {"X-Relay-Envelope": "{}", "X-Peer-Signature": "00"},
                    b"",
                )
                await response.read(1_000)
                return response.status, site.runs()

        status, runs = asyncio.run(run())
        assert status == 403
        assert not runs


class TestOtherVms:
    """VMs that reach the endpoints, beside one that doesn't."""

    # Guards against a cut-off VM whose reports make the coordinator withhold
    # free engines from all VMs.
    def test_coordinator_ejects_no_engine_for_a_cut_off_vm(self):
        async def run() -> set[str]:
            async with platform_site.running(routers=3) as site:
                partition = await _cut_off(site)
                ejected = set()
                for number in range(2):
                    await _statuses(
                        site, platform_site.MODEL_PATH, f"{number}-", calls=1
                    )
                    ejected |= platform_site.ejected_engines(site)
                partition.heal()
                return ejected

        assert asyncio.run(run()) == set()

    # Guards against an engine that has ended and stays in use for want of
    # reports.
    def test_coordinator_ejects_an_engine_that_has_ended(self):
        async def run() -> tuple[list[int], set[str]]:
            async with platform_site.running(routers=2) as site:
                site.engines["d0"].site.crash()
                statuses = await _statuses(
                    site, platform_site.MODEL_PATH, "a", calls=4
                )
                return statuses, platform_site.ejected_engines(site)

        statuses, ejected = asyncio.run(run())
        assert statuses == [200] * 4
        assert ejected == {"d0"}


class TestSwitch:
    """The mechanism can be turned off."""

    def test_requests_are_refused_without_it(self):
        async def run():
            async with platform_site.running(
                routers=2,
                mechanisms_off=frozenset({mechanisms.Mechanism.PEER_RELAY}),
            ) as site:
                partition = await _cut_off(site)
                status = (await site.call(platform_site.UNSAFE_PATH))[0]
                partition.heal()
                return status, site.runs()

        assert asyncio.run(run()) == (503, [])


class TestRollout:
    """VMs of a version without relays in the same fleet."""

    # Guards against a call that is taken as possibly run since a peer doesn't
    # know the relay interface.
    def test_older_peer_declines(self, monkeypatch):
        async def run():
            async with platform_site.running(routers=2) as site:
                partition = await _cut_off(site)
                monkeypatch.setattr(peers, "RELAY_PATH", "/v1/unknown")
                status = (await site.call(platform_site.UNSAFE_PATH))[0]
                partition.heal()
                return status, "relay_declined" in site.logs[0].getvalue()

        assert asyncio.run(run()) == (503, True)
