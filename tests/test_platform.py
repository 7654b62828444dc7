"""Tests of the router with fake engines, services and metadata store."""

import asyncio
import json
import re

import pytest
from tests import answers
from tests import platform_site

from cowsliprill.platform import catalog

_MODEL = platform_site.MODEL_PATH + "x?y=1"
_RESUMABLE = platform_site.RESUMABLE_PATH
_SAFE = platform_site.SAFE_PATH
_UNSAFE = platform_site.UNSAFE_PATH
_SHORT = {"Deadline-Ms": "300"}


def _on_site(
    scenario, routers: int = 1, drain_notice_s: float = 0.0, **node_fields
):
    async def run():
        async with platform_site.running(
            routers, drain_notice_s, **node_fields
        ) as site:
            return await scenario(site)

    return asyncio.run(run())


def _lines(text, event):
    return [
        dict(re.findall(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)', line))
        for line in text.splitlines()
        if f"event={event} " in line
    ]


class TestCalls:
    """Requests are relayed unchanged, except for the router's own headers."""

    def test_stream_uses_prefill_and_decode_engines(self):
        async def scenario(site):
            status, headers, body = await site.call(_MODEL, body=b"a\0b")
            return status, headers, body, site.engines

        status, headers, body, engines = _on_site(scenario)
        assert status == 200
        assert body == platform_site.stream()
        assert headers["Instance-Signature"].startswith("sig-d")
        assert headers["Attempt-Id"] == "a1"
        prefills = engines["p0"].requests + engines["p1"].requests
        decodes = engines["d0"].requests + engines["d1"].requests
        assert [item.headers["Stage"] for item in prefills] == ["prefill"]
        assert "Stage" not in decodes[0].headers
        source = decodes[0].headers["Kv-Source"]
        assert source.startswith(prefills[0].host) or "/h1" in source
        for request in (prefills[0], decodes[0]):
            assert request.method == "POST"
            assert request.uri == _MODEL
            assert request.body == b"a\0b"
            assert request.headers["Host"] == platform_site.CALLERS_HOST
            assert request.headers["Token-Usage"] == "3200,800"
            assert 0 < int(request.headers["Deadline-Ms"]) <= 8_000

    @pytest.mark.parametrize(
        ("terms", "sent"),
        [(["pressure"], "4"), (["other"], None), (None, None)],
    )
    def test_engines_get_the_priority_under_overload_control(self, terms, sent):
        # Guards against engines that admit and preempt by arrival alone.
        async def scenario(site):
            await site.call(_MODEL, headers={"Request-Priority": "0"})
            return [
                request.headers.get("Request-Priority")
                for engine in site.engines.values()
                for request in engine.requests
            ]

        assert _on_site(scenario, terms=terms) == [sent, sent]

    def test_router_only_headers_of_callers_are_removed(self):
        """A client names another client's KV cache, or a hold it doesn't have.

        If relayed, these headers would give access to the other KV cache.
        """
        forged = {
            "Kv-Source": "10.0.0.1:80/h",
            "Kv-Hold": "h",
            "Kv-Backup": "10.0.0.1:80",
            "Kv-Fetch": "10.0.0.1:80",
            "Pin-Ms": "4000",
            "Stage": "decode",
            "Expected-Instance": "other",
            "X-Own": "kept",
        }

        async def scenario(site):
            status, _, _ = await site.call(_SAFE, headers=forged)
            (request,) = [
                item
                for name in ("s0", "s1")
                for item in site.engines[name].requests
            ]
            return status, request.headers

        status, headers = _on_site(scenario)
        assert status == 200
        assert headers["X-Own"] == "kept"
        assert headers["Expected-Instance"] in ("s0", "s1")
        for name in ("Kv-Source", "Kv-Hold", "Kv-Backup", "Pin-Ms", "Stage"):
            assert name not in headers

    @pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
    def test_plain_request_is_relayed_unchanged(self, method):
        async def scenario(site):
            path = _UNSAFE + "a%20b//c?d=%2F&"
            response = await site.call(path, method=method, body=b"12")
            requests = [
                item
                for name in ("s0", "s1")
                for item in site.engines[name].requests
            ]
            return response, requests

        (status, _, body), (request,) = _on_site(scenario)
        assert (status, body) == (200, b"12")
        assert request.method == method
        assert request.uri == _UNSAFE + "a%20b//c?d=%2F&"

    def test_unknown_path_returns_404(self):
        async def scenario(site):
            return await site.call("/nowhere/")

        assert _on_site(scenario)[0] == 404

    def test_requests_over_size_limits_are_rejected(self):
        async def scenario(site):
            large = await site.call(_SAFE, body=b"x" * 20_001)
            many = await site.call(_SAFE, headers={"X-Long": "x" * 5_000})
            return large[0], many[0], site.runs()

        assert _on_site(scenario) == (413, 431, [])


class TestOnce:
    """Non-idempotent requests run at most once; a 503 means not executed."""

    def test_non_idempotent_request_is_not_retried_after_lost_response(self):
        """A server executed a booking, but its response was lost.

        A retry by the router would book twice. So would a 503, which lets the
        client retry the request as not executed.
        """

        async def scenario(site):
            for name in ("s0", "s1"):
                site.engines[name].faults.lose_response = True
            status, _, _ = await site.call(_UNSAFE)
            return status, site.runs()

        status, runs = _on_site(scenario)
        assert status == 502
        assert runs == ["a1"]

    def test_idempotent_request_is_retried_after_lost_response(self):
        async def scenario(site):
            once = platform_site.Faults(lose_response=True, times=1)
            for name in ("s0", "s1"):
                site.engines[name].faults = once
            return await site.call(_SAFE), site.runs()

        (status, _, body), runs = _on_site(scenario)
        assert (status, body) == (200, b"ask")
        assert len(runs) == 2

    def test_refused_request_is_retried_at_another_server(self):
        async def scenario(site):
            site.engines["s0"].faults.refuse = 503
            answers = [
                await site.call(_UNSAFE, attempt=f"a{number}")
                for number in range(6)
            ]
            return [response[0] for response in answers], site.runs()

        statuses, runs = _on_site(scenario)
        assert statuses == [200] * 6
        assert sorted(runs) == [f"a{number}" for number in range(6)]

    def test_request_refused_by_all_servers_returns_503(self):
        async def scenario(site):
            for name in ("s0", "s1"):
                site.engines[name].faults.refuse = 503
            return await site.call(_UNSAFE), site.runs()

        (status, headers, _), runs = _on_site(scenario)
        assert status == 503
        assert float(headers["Retry-After"]) >= 0
        assert runs == []

    def test_503_without_not_executed_header_becomes_502(self):
        """A server executed a request, failed and sent 503 without the header.

        If the 503 were relayed, the client would take the request for not
        executed and send it again.
        """

        async def scenario(site):
            for name in ("s0", "s1"):
                site.engines[name].faults.fail = 503
            return (await site.call(_UNSAFE))[0], site.runs()

        status, runs = _on_site(scenario)
        assert status == 502
        assert len(runs) == 1

    def test_stale_entry_of_reused_address_causes_no_failures(self):
        """An endpoint is gone and another endpoint serves at its address."""

        async def scenario(site):
            entry = site.engines["s0"].entry()
            await site.store.put("servers/gone", entry)
            await platform_site.until(
                lambda: "endpoint=gone" in site.logs[0].getvalue()
            )
            answers = [
                await site.call(_UNSAFE, attempt=f"a{number}")
                for number in range(9)
            ]
            return [response[0] for response in answers], site.runs()

        statuses, runs = _on_site(scenario)
        assert set(statuses) == {200}
        assert len(set(runs)) == len(runs) == 9


class TestMetrics:
    """Metrics from which an operator diagnoses rejected requests."""

    def test_gauges_of_store_members_and_kv_cache(self):
        """Requests are rejected, and the gauges have to show the cause.

        They distinguish a store outage, unreachable VMs and a pool whose KV
        cache blocks are all reserved.
        """

        async def scenario(site):
            site.engines["d0"].faults.pause_after_events = 1
            site.engines["d1"].faults.pause_after_events = 1
            response = await site.open(_MODEL)
            await platform_site.read_until(response, b"t1\n\n")
            await site.store.fail(503)
            await platform_site.until(
                lambda: "registry_away" in site.logs[0].getvalue()
            )
            site.routers[0]._gauges.sample()
            text, _ = site.routers[0]._metrics.render()
            response.close()
            return text.decode()

        text = _on_site(scenario)
        values = dict(
            line.rsplit(" ", 1)
            for line in text.splitlines()
            if not line.startswith("#")
        )
        assert float(values["cowsliprill_members"]) == 1
        away = 'cowsliprill_registry_away_seconds{prefix="servers/"}'
        assert float(values[away]) > 0
        age = 'cowsliprill_registry_view_age_seconds{prefix="servers/"}'
        assert float(values[age]) > 0
        reads = "cowsliprill_registry_reads"
        failed = reads + '{prefix="servers/",result="failed"}'
        answered = reads + '{prefix="servers/",result="answered"}'
        assert float(values[failed]) >= 1
        assert float(values[answered]) >= 1
        slots = "cowsliprill_pool_slots"
        promised = slots + '{pool="llm",state="promised"}'
        # 3,200 prompt tokens and 0.7 of 300 expected tokens, in blocks of 16.
        assert float(values[promised]) == 214
        whole = slots + '{pool="llm",state="all"}'
        assert float(values[whole]) == 2 * 40_000 // 16
        assert float(values['cowsliprill_pool_waiting{pool="llm"}']) == 0


class TestNoPrefillEngines:
    """All prefill engines have been removed."""

    def test_decode_engine_prefills_locally(self):
        async def scenario(site):
            for name in ("p0", "p1"):
                await site.store.remove(f"servers/{name}")
            await platform_site.until(
                lambda: site.logs[0].getvalue().count("endpoint_removed") == 2
            )
            status, _, body = await site.call(_MODEL)
            requests = [
                request
                for name in ("d0", "d1")
                for request in site.engines[name].requests
            ]
            return status, body, requests

        status, body, requests = _on_site(scenario)
        assert status == 200
        assert body == platform_site.stream()
        (request,) = requests
        assert "Kv-Source" not in request.headers
        assert "Stage" not in request.headers


class TestResponses:
    """Only valid responses of the engine to this request are relayed."""

    @pytest.mark.parametrize("fault", ["foreign", "unsigned"])
    def test_foreign_or_unsigned_response_returns_502(self, fault):
        async def scenario(site):
            for name in ("s0", "s1", "d0", "d1"):
                setattr(site.engines[name].faults, fault, True)
            plain = await site.call(_UNSAFE)
            model = await site.call(_MODEL, attempt="a2")
            return plain[0], model[0]

        assert _on_site(scenario) == (502, 502)

    def test_failure_is_relayed_with_its_signature(self):
        async def scenario(site):
            for name in ("s0", "s1"):
                site.engines[name].faults.fail = 500
            return await site.call(_UNSAFE)

        status, headers, body = _on_site(scenario)
        assert (status, body) == (500, b"failed")
        assert headers["Instance-Signature"].startswith("sig-s")


class TestStreams:
    """Streams that are cut by an engine failure."""

    def test_resumable_stream_resumes_at_another_engine(self):
        """The decode engine crashes in the middle of an event.

        The client receives one stream with each event once and the signature
        of the first engine.
        """

        async def scenario(site):
            once = platform_site.Faults(pause_after_events=3, times=1)
            engines = [site.engines[name] for name in ("d0", "d1")]
            for engine in engines:
                engine.faults = once
            response = await site.open(_RESUMABLE)
            begin = await platform_site.read_until(
                response, platform_site.stream(3, 3)
            )
            for engine in engines:
                engine.cut.set()
            rest = await response.read(1 << 20)
            decodes = engines[0].requests + engines[1].requests
            headers = [item.headers for item in decodes]
            return response.headers, begin + rest, headers

        headers, body, decodes = _on_site(scenario)
        assert body == platform_site.stream()
        assert headers["Instance-Signature"].startswith("sig-d")
        resumed = [item.get("Last-Event-Id") for item in decodes]
        assert sorted(resumed, key=str) == ["3", None]

    def test_non_resumable_stream_is_truncated(self):
        async def scenario(site):
            for name in ("d0", "d1"):
                site.engines[name].faults.pause_after_events = 3
            response = await site.open(_MODEL)
            begin = await platform_site.read_until(
                response, platform_site.stream(3, 3)
            )
            for name in ("d0", "d1"):
                site.engines[name].cut.set()
            rest = await answers.read_until_error(response)
            return begin, rest, site.runs()

        begin, rest, runs = _on_site(scenario)
        assert begin == platform_site.stream(1, 3)
        assert rest == (b"", False)
        assert runs == ["a1"]

    def test_resumption_by_the_client_is_relayed(self):
        async def scenario(site):
            headers = {"Last-Event-Id": "4"}
            return await site.call(_RESUMABLE, headers=headers)

        assert _on_site(scenario)[2] == platform_site.stream(5)

    @pytest.mark.parametrize("end_after_bytes", [-1, 0, 5, 25, 40])
    def test_stream_that_ends_with_its_connection(self, end_after_bytes):
        """Guards against a broken unframed stream that looks complete."""

        async def scenario(site):
            once = platform_site.Faults(
                unframed=True, end_after_bytes=end_after_bytes, times=1
            )
            for name in ("d0", "d1"):
                site.engines[name].faults = once
            return await site.call(_RESUMABLE)

        status, _, body = _on_site(scenario)
        assert (status, body) == (200, platform_site.stream())

    def test_prefill_is_reused_when_a_decode_engine_refuses(self):
        """One decode engine is full; the other fetches the same KV cache."""

        async def scenario(site):
            site.engines["d0"].faults.refuse = 503
            statuses = [
                (await site.call(_MODEL, attempt=f"a{number}"))[0]
                for number in range(4)
            ]
            prefills = [
                item
                for name in ("p0", "p1")
                for item in site.engines[name].requests
            ]
            return statuses, len(prefills)

        statuses, prefills = _on_site(scenario)
        assert statuses == [200] * 4
        assert prefills == 4


class TestClientDisconnects:
    """A client's disconnection ends the work of its engine at each stage."""

    @pytest.mark.parametrize("names", [("p0", "p1"), ("d0", "d1")])
    def test_before_the_engine_responds(self, names):
        async def scenario(site):
            for name in names:
                site.engines[name].faults.hang = True
            asking = asyncio.create_task(site.call(_MODEL))
            await platform_site.until(
                lambda: any(site.engines[name].requests for name in names)
            )
            asking.cancel()
            await platform_site.until(
                lambda: any(site.engines[name].disconnects for name in names)
            )
            await platform_site.until(
                lambda: (
                    not any(
                        site.engines[name].handles
                        - set(site.engines[name].freed)
                        for name in ("p0", "p1")
                    )
                )
            )

        _on_site(scenario)

    def test_during_the_stream(self):
        async def scenario(site):
            for name in ("d0", "d1"):
                site.engines[name].faults.pause_after_events = 2
            response = await site.open(_MODEL)
            async for _ in response.chunks():
                break
            response.close()
            await platform_site.until(
                lambda: (
                    site.engines["d0"].disconnects
                    + site.engines["d1"].disconnects
                )
            )

        _on_site(scenario)


class TestConfiguration:
    """Settings and endpoints follow the store and never revert."""

    def test_settings_change_is_received_by_the_watch(self):
        async def scenario(site):
            assert (await site.call("/new/"))[0] == 404
            config = platform_site.config(2)
            config["routes"][2]["pathPrefix"] = "/new/"
            await site.store.put("op/config", config)
            await platform_site.until(
                lambda: "version=2" in site.logs[0].getvalue()
            )
            return (await site.call("/new/"))[0], (await site.call(_SAFE))[0]

        assert _on_site(scenario) == (200, 404)

    def test_older_settings_version_is_ignored(self):
        async def scenario(site):
            await site.store.put("op/config", platform_site.config(5))
            await platform_site.until(
                lambda: "version=5" in site.logs[0].getvalue()
            )
            old = platform_site.config(4, routes=[])
            await site.store.put("op/config", old)
            await platform_site.until(
                lambda: "event=settings_older" in site.logs[0].getvalue()
            )
            return (await site.call(_SAFE))[0]

        assert _on_site(scenario) == 200

    def test_draining_endpoint_receives_no_new_requests(self):
        async def scenario(site):
            engine = site.engines["s0"]
            await site.store.put("servers/s0", engine.entry(state="draining"))
            await platform_site.until(
                lambda: "leaving=true" in site.logs[0].getvalue()
            )
            before = len(engine.requests)
            for number in range(5):
                await site.call(_SAFE, attempt=f"a{number}")
            return len(engine.requests) - before

        assert _on_site(scenario) == 0

    def test_all_entries_are_listed_again_after_history_is_lost(self):
        """An endpoint is removed during an outage after which history is lost.

        The watch can't report the removal, so only a new listing shows it.
        """

        async def scenario(site):
            await platform_site.until(lambda: site.store.waiting == 2)
            await site.store.fail(503)
            await platform_site.until(
                lambda: "event=registry_away" in site.logs[0].getvalue()
            )
            await site.store.remove("servers/s0")
            await site.store.put("op/config", platform_site.config(3))
            site.store.forget_history()
            site.store.status = 0
            await platform_site.until(
                lambda: "version=3" in site.logs[0].getvalue()
            )
            await platform_site.until(
                lambda: "event=endpoint_removed" in site.logs[0].getvalue()
            )
            return (await site.call(_SAFE))[0]

        assert _on_site(scenario) == 200

    @pytest.mark.parametrize(
        "value",
        [
            b"\xff\xfe",
            b"[]",
            json.dumps({"service": "desk"}).encode(),
            json.dumps({"service": "desk", "address": 7}).encode(),
        ],
    )
    def test_malformed_endpoint_entry_is_ignored(self, value):
        """Another program writes a malformed entry; the others stay valid."""

        async def scenario(site):
            await site.store.put("servers/odd", value)
            await platform_site.until(
                lambda: "event=endpoint_unreadable" in site.logs[0].getvalue()
            )
            return (await site.call(_SAFE))[0]

        assert _on_site(scenario) == 200


class TestPeers:
    """Several routers in one cluster."""

    def test_one_that_the_store_turns_away_hears_from_the_others(self):
        """A router that can't reach the store gets the registry from peers."""

        async def scenario(site):
            with platform_site.hold_port() as closed:
                store = f"{platform_site.HOST}:{closed.port}"
                number = site.add_router(store=store)
                log = site.logs[number]
                await platform_site.until(
                    lambda: (
                        "event=settings_in_force" in log.getvalue()
                        and site.ready(number)
                    )
                )
            return (await site.call(_MODEL, router=number))[0]

        assert _on_site(scenario, routers=2) == 200

    def test_requests_succeed_after_the_coordinator_stops(self):
        """A router stops, which may coordinate a pool; the others serve on."""

        async def scenario(site):
            statuses = []
            site.routers[0].stop()
            await site.tasks[0]
            for number in range(6):
                router = 1 + number % 2
                response = await site.call(
                    _MODEL, attempt=f"a{number}", router=router
                )
                statuses.append(response[0])
            return statuses

        assert _on_site(scenario, routers=3) == [200] * 6


class TestDrain:
    """Draining after a stop signal."""

    def test_request_during_the_drain_notice_is_completed(self):
        async def scenario(site):
            site.routers[0].stop()
            await platform_site.until(
                lambda: "event=draining" in site.logs[0].getvalue()
            )
            during = await site.call(_MODEL)
            await site.tasks[0]
            return during

        status, headers, body = _on_site(scenario, drain_notice_s=1.0)
        assert (status, body) == (200, platform_site.stream())
        assert headers["Connection"] == "close"


class TestVersionLog:
    """Log and metrics tell the software versions of engines and streams."""

    def test_placement_names_version_and_resumed_attempt(self):
        """Guards against resumed streams that look like new ones in the log."""

        async def scenario(site):
            headers = {"Last-Event-Id": "4", "Resumes": "a0"}
            await site.call(_RESUMABLE, headers=headers)
            await site.call(_RESUMABLE, attempt="a2")
            site.routers[0]._gauges.sample()
            text, _ = site.routers[0]._metrics.render()
            return site.logs[0].getvalue(), text.decode()

        log, metrics = _on_site(scenario)
        resumed, new = _lines(log, "placed")
        assert (resumed["version"], new["version"]) == ("v1", "v1")
        assert (resumed["resumes"], resumed["after_event"]) == ("a0", "4")
        assert (new["resumes"], new["after_event"]) == ('""', '""')
        assert _lines(log, "request_ended")[0]["resumes"] == "a0"
        assert {line["version"] for line in _lines(log, "endpoint_listed")} == {
            "v1"
        }
        assert (
            'cowsliprill_engines{pool="llm",state="ready",version="v1"} 4\n'
            in metrics
        )


class TestSoftwareVersions:
    """Versions in the entries of engines, which other programs write."""

    @pytest.mark.parametrize(
        ("fields", "version"),
        [
            ({"version": "v1.2"}, "v1.2"),
            ({"version": 7}, "7"),
            ({"version": None}, ""),
            ({"version": True}, ""),
            ({"version": ["v1"]}, ""),
        ],
    )
    def test_entry_with_any_version_stays_in_use(self, fields, version):
        """Guards against the loss of engines whose version isn't a string."""
        entry = {**platform_site.entry("llm", "10.0.0.1:1", "decode"), **fields}
        listed = catalog.Catalog(0.2, 10).parse_endpoint(
            "servers/d0", json.dumps(entry).encode()
        )
        assert listed.endpoint.software_version == version


class TestLostAttemptLog:
    """Lines of lost attempts tell which request it was and what was lost."""

    def test_repetitions_of_a_request_share_a_fingerprint(self):
        """Guards against repeats that the logs can't tell from new requests."""

        async def scenario(site):
            for name in ("s0", "s1"):
                site.engines[name].faults = platform_site.Faults(
                    lose_response=True
                )
            for router, attempt, body in ((0, "a", b"1"), (1, "b", b"1")):
                await site.call(
                    _SAFE, attempt=attempt, body=body, router=router
                )
            await site.call(_SAFE, attempt="c", body=b"2")
            return [log.getvalue() for log in site.logs]

        logs = _on_site(scenario, routers=2)
        fingerprints_by_caller = {
            line["caller"]: line["fingerprint"]
            for text in logs
            for line in _lines(text, "call_lost")
        }
        assert fingerprints_by_caller["a"] == fingerprints_by_caller["b"]
        assert fingerprints_by_caller["a"] != fingerprints_by_caller["c"]

    def test_stage_reached_and_cause_are_logged(self):
        """Guards against lines that don't tell a cut stream from a dead port.

        An engine that gave output and one that never did both close the
        connection; then nothing listens at its address.
        """

        async def scenario(site):
            for name in ("d0", "d1"):
                site.engines[name].faults = platform_site.Faults(
                    lose_response=True
                )
            await site.call(_RESUMABLE, attempt="a")
            for name in ("d0", "d1"):
                await site.engines[name].site.close()
            await site.call(
                _RESUMABLE, attempt="b", body=b"other", headers=_SHORT
            )
            return _lines(site.logs[0].getvalue(), "attempt_lost")

        lines = _on_site(scenario)
        first, last = lines[0], lines[-1]
        assert (first["sent"], first["had_output"]) == ("true", "false")
        assert last["sent"] == "false"
        assert "Connection refused" in last["reason"]

    def test_requests_with_a_part_of_the_prompt_in_common_are_shown(self):
        """Guards against lines that don't show what lost requests share."""

        async def scenario(site):
            for attempt, parts in (
                ("a", "AB:1,c:2,d:3"),
                ("b", "ab:1,e:0,d:3"),
            ):
                headers = {"Prefix-Hash": parts}
                await site.call(_RESUMABLE, attempt=attempt, headers=headers)
            await site.call(_RESUMABLE, attempt="c")
            return _lines(site.logs[0].getvalue(), "request_ended")

        first, second, without = _on_site(scenario)
        parts, others = (
            line["prompt_parts"].split(",") for line in (first, second)
        )
        assert len(set(parts)) == len(set(others)) == 2
        assert set(parts) & set(others) == {parts[0]}
        assert "prompt_parts" not in without
