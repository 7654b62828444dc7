"""Routers whose engines stand still for a moment, hang or are gone."""

import asyncio
import re

import pytest

import partition as partition_lib
import platform_site
from cowsliprill.decisions import engine_silence
from cowsliprill.engines import errors

_RESUMABLE = platform_site.RESUMABLE_PATH
_DECODES = ("d0", "d1")
_EVENTS_BEFORE = 2
# Processes that stand still for up to 1.5 s are sound.
_STANDSTILL_S = 1.3


def _on_site(scenario, routers: int = 1, **fields):
    async def run():
        async with platform_site.running(routers, **fields) as site:
            try:
                return await scenario(site)
            finally:
                site.wake()

    return asyncio.run(run())


async def _open_silent(site, attempt="a1", router=0):
    """Opens a stream whose engine stands still after some events."""
    for name in _DECODES:
        site.engines[name].faults.stand_still_after_events = _EVENTS_BEFORE
        site.engines[name].faults.times = 1
    response = await site.open(_RESUMABLE, attempt=attempt, router=router)
    await platform_site.read_until(
        response, platform_site.stream(_EVENTS_BEFORE, _EVENTS_BEFORE)
    )
    for name in _DECODES:
        site.engines[name].faults = platform_site.Faults()
    (silent,) = [
        name for name in _DECODES if not site.engines[name].awake.is_set()
    ]
    return response, silent


async def _rest(response) -> bytes:
    try:
        return await response.read(1 << 20)
    finally:
        response.close()


def _prefills(site) -> int:
    return sum(
        request.headers.get("Stage") == "prefill"
        for engine in site.engines.values()
        for request in engine.requests
    )


_REST = platform_site.stream(_EVENTS_BEFORE + 1)


class TestStandstill:
    """Sound engines that answer nobody for a second or so."""

    # Guards against streams that leave a sound engine for one as silent.
    def test_streams_stay_while_all_engines_stand_still(self):
        async def scenario(site):
            response, _ = await _open_silent(site)
            site.stand_still()
            await asyncio.sleep(_STANDSTILL_S)
            site.wake()
            return await _rest(response), _prefills(site), site.runs()

        assert _on_site(scenario) == (_REST, 1, ["a1"])

    # Guards against prompts that are read again for an engine that goes on.
    def test_streams_stay_while_one_engine_stands_still(self):
        async def scenario(site):
            response, silent = await _open_silent(site)
            await asyncio.sleep(_STANDSTILL_S)
            site.wake(silent)
            return await _rest(response), _prefills(site), site.runs()

        assert _on_site(scenario) == (_REST, 1, ["a1"])

    # Guards against answers that end as their engine is silent and no attempt
    # is left.
    def test_answer_goes_on_though_no_attempt_is_left(self):
        async def scenario(site):
            response, silent = await _open_silent(site)
            other = _DECODES[1 - _DECODES.index(silent)]
            site.engines[other].faults.refuse = 503
            await asyncio.sleep(2 * _STANDSTILL_S)
            site.wake(silent)
            return await _rest(response), site.runs().count("a1")

        assert _on_site(scenario) == (_REST, 1)

    # Guards against callers who are told nothing more as the place to which
    # their stream would move is silent, too.
    def test_engine_that_speaks_first_goes_on(self):
        async def scenario(site):
            response, silent = await _open_silent(site)
            other = _DECODES[1 - _DECODES.index(silent)]
            site.stand_still("p0", "p1")
            await platform_site.until(
                lambda: "attempt=1 " in site.logs[0].getvalue()
            )
            site.wake(silent)
            rest = await _rest(response)
            site.wake()
            await platform_site.until(
                lambda: (
                    site.engines[other].disconnects
                    or not site.engines[other].requests
                )
            )
            return rest, site.runs()

        assert _on_site(scenario) == (_REST, ["a1"])

    # Guards against engines that are taken for failed, and callers who are
    # refused, once a standstill is over.
    def test_requests_are_served_after_it(self):
        async def scenario(site):
            responses = [await _open_silent(site)]
            site.stand_still()
            await asyncio.sleep(2 * _STANDSTILL_S)
            site.wake()
            statuses = [
                (await site.call(_RESUMABLE, attempt=f"b{number}"))[0]
                for number in range(4)
            ]
            rests = [await _rest(response) for response, _ in responses]
            return rests, statuses

        assert _on_site(scenario) == ([_REST], [200] * 4)

    # Guards against a first answer that is given up as its prefill waits for
    # engines that stand still.
    def test_requests_that_begin_meanwhile_are_served_once(self):
        async def scenario(site):
            site.stand_still()
            call = asyncio.create_task(site.call(_RESUMABLE))
            await asyncio.sleep(_STANDSTILL_S)
            site.wake()
            status, _, body = await call
            return status, body, _prefills(site), site.runs()

        status, body, prefills, runs = _on_site(scenario)
        assert (status, body) == (200, platform_site.stream())
        assert (prefills, runs) == (1, ["a1"])


class TestSecondSilence:
    """The engine that is to take over is silent, too, before any output."""

    # Guards against a first engine that is forgotten, with its connection open.
    def test_first_engine_goes_on(self):
        async def scenario(site):
            response, silent = await _open_silent(site)
            other = _DECODES[1 - _DECODES.index(silent)]
            site.engines[other].faults.headers_first = True
            await platform_site.until(
                lambda: not site.engines[other].awake.is_set()
            )
            await asyncio.sleep(2 * _STANDSTILL_S)
            site.wake(silent)
            rest = await _rest(response)
            await platform_site.until(lambda: site.engines[other].disconnects)
            return rest, site.engines[silent].disconnects

        assert _on_site(scenario) == (_REST, 0)

    # Guards against a stream without output that is taken for one that goes on.
    def test_stream_without_output_begins_elsewhere(self):
        async def scenario(site):
            for name in _DECODES:
                site.engines[name].faults.headers_first = True
            call = asyncio.create_task(site.call(_RESUMABLE))
            await platform_site.until(
                lambda: (
                    not all(site.engines[d].awake.is_set() for d in _DECODES)
                )
            )
            for name in _DECODES:
                site.engines[name].faults = platform_site.Faults()
            status, _, body = await call
            return status, body

        assert _on_site(scenario) == (200, platform_site.stream())


async def _open_one_per_engine(site, **faults):
    """Opens a stream at each decode engine that shows faults after events."""
    for name in _DECODES:
        site.engines[name].faults = platform_site.Faults(**faults, times=1)
    responses_by_engine = {}
    while len(responses_by_engine) < len(_DECODES):
        before = {name: len(site.engines[name].runs) for name in _DECODES}
        response = await site.open(
            _RESUMABLE, attempt=f"a{len(responses_by_engine)}"
        )
        await platform_site.read_until(
            response, platform_site.stream(_EVENTS_BEFORE, _EVENTS_BEFORE)
        )
        (name,) = [
            name
            for name in _DECODES
            if len(site.engines[name].runs) > before[name]
        ]
        assert name not in responses_by_engine
        responses_by_engine[name] = response
    for name in _DECODES:
        site.engines[name].faults = platform_site.Faults()
    return responses_by_engine


class TestHangingStreams:
    """Single streams hang at engines that answer probes."""

    # Guards against engines that are taken for silent for one stream each, so
    # that no stream may move and each ends with its connection.
    @pytest.mark.parametrize("breaks", [False, True])
    def test_streams_go_on_though_each_engine_has_one(self, breaks):
        async def scenario(site):
            responses = await _open_one_per_engine(
                site, pause_after_events=_EVENTS_BEFORE
            )
            rests = asyncio.gather(*map(_rest, responses.values()))
            if breaks:
                await asyncio.sleep(2 * _STANDSTILL_S)
                for name in _DECODES:
                    site.engines[name].cut.set()
            return await rests, sorted(site.runs())

        assert _on_site(scenario) == ([_REST] * 2, ["a0", "a0", "a1", "a1"])


def _decodes(site, attempt):
    return sum(
        request.headers["Attempt-Id"] == attempt
        and request.headers.get("Stage") != "prefill"
        for name in _DECODES
        for request in site.engines[name].requests
    )


class TestBreakAfterSilence:
    """The connection of a stream that was held ends."""

    # Guards against answers that end with a refusal from a time when all
    # engines were silent.
    def test_stream_is_asked_for_again(self):
        async def scenario(site):
            responses = await _open_one_per_engine(
                site, stand_still_after_events=_EVENTS_BEFORE
            )
            site.stand_still()
            log = site.logs[0]
            await platform_site.until(
                lambda: "event=stream_stays" in log.getvalue()
            )
            # The other stream may have had its second attempt already.
            (engine,) = re.findall(
                r"event=stream_stays .* endpoint=(\S+)", log.getvalue()
            )
            site.wake(*({"p0", "p1", *_DECODES} - {engine}))
            site.engines[engine].site.crash()
            attempt = site.engines[engine].runs[0]
            rest = await _rest(responses.pop(engine))
            for response in responses.values():
                response.close()
            return rest, _decodes(site, attempt)

        assert _on_site(scenario) == (_REST, 2)

    # Guards against a third engine for a request that may have two.
    @pytest.mark.parametrize("goes_on", [False, True])
    def test_attempts_before_count(self, goes_on):
        async def scenario(site):
            response, silent = await _open_silent(site)
            site.engines[silent].event_interval_s = 0.5
            other = _DECODES[1 - _DECODES.index(silent)]
            site.engines[other].faults = platform_site.Faults(
                refuse=503, times=1
            )
            log = site.logs[0]
            await platform_site.until(
                lambda: "event=stream_stays" in log.getvalue()
            )
            if goes_on:
                site.wake(silent)
                await platform_site.until(
                    lambda: "event=attempt_continues" in log.getvalue()
                )
            site.engines[silent].site.crash()
            with pytest.raises(errors.CallError):
                await _rest(response)
            return _decodes(site, "a1")

        assert _on_site(scenario) == 2


class TestGone:
    """Engines that don't come back."""

    # Guards against staying with an engine whose host has ended.
    def test_streams_leave_an_engine_whose_host_is_gone(self):
        async def scenario(site):
            response, silent = await _open_silent(site)
            engine = site.engines[silent]
            partition = partition_lib.Partition(
                site.routers[0]._entry._http,
                [(platform_site.HOST, engine.site.port)],
                silent=True,
            )
            rest = await _rest(response)
            partition.heal()
            return rest, _prefills(site)

        assert _on_site(scenario) == (_REST, 2)

    # Guards against staying with a process that hangs while its host lives.
    def test_streams_leave_an_engine_that_hangs(self):
        async def scenario(site):
            response, silent = await _open_silent(site)
            rest = await _rest(response)
            await platform_site.until(lambda: site.engines[silent].disconnects)
            return rest, sorted(site.runs())

        assert _on_site(scenario) == (_REST, ["a1", "a1"])


def _verdict(silent_s, liveness, patience_s=1.0):
    return engine_silence.judge(
        engine_silence.Evidence(
            silent_s=silent_s, liveness=liveness, patience_s=patience_s
        )
    )


class TestVerdicts:
    """What becomes of a silent call, by what a probe finds."""

    @pytest.mark.parametrize(
        ("liveness", "left_after_s", "verdict"),
        [
            (
                engine_silence.Liveness.UNREACHABLE,
                1.0,
                engine_silence.Gone(),
            ),
            (
                engine_silence.Liveness.STANDS_STILL,
                1.6,
                engine_silence.Leave(),
            ),
            (engine_silence.Liveness.ANSWERS, 1.0, engine_silence.Leave()),
        ],
    )
    def test_call_waits_until_the_limit(self, liveness, left_after_s, verdict):
        for silent_s in (0.0, 0.5, 0.7, 0.9, left_after_s - 0.01):
            wait = _verdict(silent_s, liveness)
            assert isinstance(wait, engine_silence.Wait), silent_s
            assert 0 < wait.check_in_s <= left_after_s - silent_s
        assert _verdict(left_after_s, liveness) == verdict

    def test_nothing_is_decided_without_a_probe(self):
        assert isinstance(_verdict(60.0, None), engine_silence.Wait)

    def test_call_waits_for_its_turn_at_an_engine_that_runs(self):
        answers = engine_silence.Liveness.ANSWERS
        assert isinstance(
            _verdict(1.9, answers, patience_s=2.0), engine_silence.Wait
        )
        assert _verdict(2.0, answers, patience_s=2.0) == engine_silence.Leave()


class TestActivity:
    """What a VM receives from one engine over all its calls."""

    # Guards against calls that are given up as the engine, which has just
    # woken, serves others first.
    def test_calls_get_their_time_anew_after_a_standstill(self):
        activity = engine_silence.EngineActivity()
        activity.begin_call(0.0)
        activity.record_probe(engine_silence.Liveness.STANDS_STILL, 0.9)
        activity.record_probe(engine_silence.Liveness.ANSWERS, 1.3)
        assert activity.spoke_again_at == 1.3

    # Guards against an engine that answers probes and keeps a call for ever.
    def test_engine_that_answers_each_probe_gives_no_time_anew(self):
        activity = engine_silence.EngineActivity()
        activity.begin_call(0.0)
        for now in (0.9, 1.3, 1.7):
            activity.record_probe(engine_silence.Liveness.ANSWERS, now)
        assert activity.spoke_again_at < 0

    # Guards against a call that hangs for ever beside calls that come seldom.
    def test_pause_between_calls_gives_no_time_anew(self):
        activity = engine_silence.EngineActivity()
        activity.begin_call(0.0)
        for now in (0.9, 1.8, 2.7):
            activity.hear(now)
        assert activity.spoke_again_at < 0

    def test_data_after_a_standstill_gives_time_anew(self):
        activity = engine_silence.EngineActivity()
        activity.begin_call(0.0)
        activity.record_probe(engine_silence.Liveness.STANDS_STILL, 0.9)
        activity.hear(1.2)
        assert activity.spoke_again_at == 1.2

    # Guards against engines that are taken for mute as a single call hangs.
    def test_only_an_engine_mute_to_a_probe_stands_still(self):
        activity = engine_silence.EngineActivity()
        activity.begin_call(0.0)
        activity.record_probe(engine_silence.Liveness.ANSWERS, 0.9)
        assert not activity.stands_still
        activity.record_probe(engine_silence.Liveness.STANDS_STILL, 1.3)
        assert activity.stands_still
        activity.hear(1.4)
        assert not activity.stands_still

    def test_old_probes_say_nothing(self):
        activity = engine_silence.EngineActivity()
        activity.record_probe(engine_silence.Liveness.ANSWERS, 1.0)
        assert activity.liveness(1.1) is engine_silence.Liveness.ANSWERS
        assert activity.liveness(1.5) is None
