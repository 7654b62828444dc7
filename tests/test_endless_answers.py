"""Endpoints whose bytes never end, and aren't an answer."""

import asyncio
import re

import pytest

import platform_site
import raw_endpoint
from cowsliprill.engines import errors
from cowsliprill.engines import event_stream
from cowsliprill.engines import http_client
from cowsliprill.engines import silence

_TIMEOUT_S = 0.4
_BODY_LIMIT = 1 << 20
# What a client and the kernel's buffers may take before the call ends.
_BYTES_MAX = 32 << 20
_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# What an endpoint sends first, and then again and again.
_ENDLESS = {
    "no HTTP": (b"", b"\x00\x17garbage"),
    "a status line": (b"HTTP/1.1 2", b"0" * 64),
    "a header line": (_HEAD + b"X-A: ", b"a" * 64),
    "header lines": (_HEAD, b"X-A: b\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"),
    "chunks": (_CHUNKED, b"4\r\nabcd\r\n"),
    "a chunk's size": (_CHUNKED, b"0"),
    "a chunk's extension": (_CHUNKED + b"4;x=", b"y" * 64),
    "a chunk": (_CHUNKED + b"ffffffff\r\n", b"z" * 64),
    "trailers": (_CHUNKED + b"4\r\nabcd\r\n0\r\n", b"X-A: b\r\n"),
    "a body without length": (_HEAD + b"\r\n", b"z" * 64),
    "a body of great length": (
        _HEAD + b"Content-Length: 99999999999\r\n\r\n",
        b"z" * 64,
    ),
}


async def _call(port: int) -> None:
    client = http_client.HttpClient()
    try:
        response = await client.call(
            "127.0.0.1",
            port,
            "GET",
            "/",
            {},
            timeout_s=_TIMEOUT_S,
            allow_close_delimited=True,
        )
        await response.read(_BODY_LIMIT)
    finally:
        client.close()


def _sent_until_closed(first: bytes, again: bytes, pause_s: float) -> int:
    """Returns how much an endpoint sent until the call ended in an error."""
    sent = 0

    async def script(connection: raw_endpoint.Connection) -> None:
        nonlocal sent
        await connection.run()
        await connection.send(first)
        while True:
            await connection.send(again)
            sent += len(again)
            await asyncio.sleep(pause_s)

    async def scenario() -> None:
        async with raw_endpoint.RawEndpoint(script) as endpoint:
            with pytest.raises(errors.CallError):
                await _call(endpoint.port)
            await endpoint.wait_for_disconnect()

    asyncio.run(scenario())
    return sent


class TestEndlessBytes:
    """Bytes that are no answer come until the caller closes."""

    # Guards against memory and time that bytes without end take.
    @pytest.mark.parametrize("kind", _ENDLESS)
    def test_fast_bytes_are_bounded(self, kind: str) -> None:
        first, again = _ENDLESS[kind]
        assert _sent_until_closed(first, again * 1_000, 0.0) < _BYTES_MAX

    # Guards against calls that each byte prolongs.
    @pytest.mark.parametrize("kind", _ENDLESS)
    def test_slow_bytes_end_with_the_time_limit(self, kind: str) -> None:
        first, again = _ENDLESS[kind]
        assert _sent_until_closed(first, again[:8], 0.02) < _BYTES_MAX


class _Endless:
    """A response whose body repeats the same bytes for ever."""

    status = 200
    is_close_delimited = False

    def __init__(self, again: bytes) -> None:
        self._again = again
        self.received = 0

    async def next_chunk(self) -> bytes:
        self.received += len(self._again)
        assert self.received < _BYTES_MAX
        return self._again

    def expect_progress(self) -> None:
        pass

    def report_progress(self) -> None:
        pass

    def close(self) -> None:
        pass


class TestEndlessEvents:
    """Streams that never get to their next event."""

    # Guards against memory that an event without end takes.
    def test_event_has_a_greatest_size(self) -> None:
        response = _Endless(b"data: " + b"x" * 4_096)
        stream = event_stream.EventStream(response, "", 8)
        with pytest.raises(errors.StreamBroken):
            asyncio.run(anext(stream))

    # Guards against staying with an engine that sends bytes and no output.
    @pytest.mark.parametrize("dribble", [b"x", b":\n\n", b"data: x\n\n"])
    def test_streams_leave_an_engine_that_sends_no_output(self, dribble):
        async def scenario():
            async with platform_site.running() as site:
                for name in ("d0", "d1"):
                    site.engines[name].faults = platform_site.Faults(
                        dribble=dribble, pause_after_events=4
                    )
                response = await site.open(platform_site.RESUMABLE_PATH)
                body = await response.read(1 << 20)
                await platform_site.until(
                    lambda: any(
                        site.engines[name].disconnects for name in ("d0", "d1")
                    )
                )
                return body, site.runs()

        body, runs = asyncio.run(scenario())
        assert re.findall(rb"id: (\d+)", body) == [
            b"%d" % n for n in range(1, 7)
        ]
        assert runs == ["a1", "a1"]


_ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{id}"
_CHUNKED_ANSWER = _ANSWER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_EVENT = b"id: 1\ndata: t1\n\n"
_CHUNKED_EVENT = b"%x\r\n%s\r\n" % (len(_EVENT), _EVENT)

# What an engine sends in place of its stream, first and then again and again.
_ENDLESS_STREAMS = {
    "no HTTP": (b"", b"\x00\x17garbage"),
    "a status line": (b"HTTP/1.1 2", b"0" * 64),
    "a header line": (_ANSWER_HEAD + b"X-A: ", b"a" * 64),
    "header lines": (_ANSWER_HEAD, b"X-A: b\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a chunk's size": (_CHUNKED_ANSWER, b"0"),
    "a chunk's extension": (_CHUNKED_ANSWER + b"4;x=", b"y" * 64),
    "a chunk": (_CHUNKED_ANSWER + b"ffffffff\r\n", b"z" * 64),
    "chunks": (_CHUNKED_ANSWER, b"4\r\nabcd\r\n"),
    "trailers": (_CHUNKED_ANSWER + b"4\r\nabcd\r\n0\r\n", b"X-A: b\r\n"),
    "line breaks": (_CHUNKED_ANSWER, b"1\r\n\n\r\n"),
    "comments": (_CHUNKED_ANSWER, b"3\r\n:\n\n\r\n"),
    "a body without length": (_ANSWER_HEAD + b"\r\n", b"z" * 64),
    "a chunk's size after an event": (_CHUNKED_ANSWER + _CHUNKED_EVENT, b"0"),
    "chunks after an event": (
        _CHUNKED_ANSWER + _CHUNKED_EVENT,
        b"4\r\nabcd\r\n",
    ),
    "comments after an event": (
        _CHUNKED_ANSWER + _CHUNKED_EVENT,
        b"3\r\n:\n\n\r\n",
    ),
}
_LATER_CALLERS = 6
_ENDLESS_BODIES = {
    kind: _ENDLESS_STREAMS[kind]
    for kind in (
        "a chunk",
        "chunks",
        "line breaks",
        "comments",
        "a body without length",
    )
}


async def _call_to_the_end(site: platform_site.Site, number: int) -> bytes:
    """Returns what a caller of a stream gets until it ends or breaks."""
    got = b""
    try:
        response = await site.open(
            platform_site.MODEL_PATH,
            headers={"Deadline-Ms": "2000"},
            attempt=f"a{number}",
        )
        async for chunk in response.chunks():
            got += chunk
    except errors.CallError:
        pass
    return got


async def _meet(endless: tuple[bytes, bytes, float]) -> tuple[int, list[bytes]]:
    """Has callers meet a decode engine whose answers never end.

    Returns:
      How many callers met it after the first one, and what these later callers
      got.
    """
    async with platform_site.running() as site:
        engine = site.engines["d0"]
        engine.faults = platform_site.Faults(endless=endless)
        number = 0
        while not engine.runs:
            await _call_to_the_end(site, number)
            number += 1
            assert number < 20
        later = [
            await _call_to_the_end(site, number + n)
            for n in range(_LATER_CALLERS)
        ]
        runs = site.runs()
        assert len(runs) == len(set(runs))
        return len(engine.runs) - 1, later


class TestEndlessStreams:
    """Decode engines whose streams never end, without a way to resume them."""

    # Guards against sending caller after caller to an engine that fails.
    @pytest.mark.parametrize("pause_s", [0.0, 0.02])
    @pytest.mark.parametrize("kind", _ENDLESS_STREAMS)
    def test_later_callers_are_served_by_others(self, kind, pause_s):
        first, again = _ENDLESS_STREAMS[kind]
        again = again if pause_s else again * 1_000
        met, later = asyncio.run(_meet((first, again, pause_s)))
        assert met <= 1
        whole = [got for got in later if got == platform_site.stream()]
        assert len(whole) >= _LATER_CALLERS - met

    # Guards against taking engines that are slow or pause for failing ones.
    @pytest.mark.parametrize("interval_s", [0.5, 1.0])
    def test_slow_engine_is_not_blamed_at_the_time_limit(self, interval_s):
        async def scenario():
            async with platform_site.running() as site:
                for name in ("d0", "d1"):
                    site.engines[name].event_interval_s = interval_s
                got = await _call_to_the_end(site, 0)
                # The coordinator gets the end of the call a moment later.
                await asyncio.sleep(0.2)
                return got, platform_site.ejected_engines(site)

        got, ejected = asyncio.run(scenario())
        assert got.startswith(_EVENT)
        assert got != platform_site.stream()
        assert not ejected


async def _call_beside(
    endless: tuple[bytes, bytes, float],
) -> tuple[list[int], int]:
    """Calls a plain service of which one server's answers never end.

    Returns:
      The statuses of the first call that met the server and of two later ones,
      and how many calls met it.
    """
    document = platform_site.config(2)
    for route in document["routes"]:
        route["sloMs"] = 400
    async with platform_site.running() as site:
        await site.store.put("op/config", document)
        await platform_site.until(
            lambda: "settings_in_force version=2" in site.logs[0].getvalue()
        )
        server = site.engines["s0"]
        server.faults = platform_site.Faults(endless=endless)
        statuses = []
        number = 0
        while not server.runs:
            statuses = [await _call_plain(site, number)]
            number += 1
            assert number < 20
        statuses += [await _call_plain(site, number + n) for n in range(2)]
        return statuses, len(server.runs)


async def _call_plain(site: platform_site.Site, number: int) -> int:
    status, _, _ = await site.call(
        platform_site.SAFE_PATH,
        headers={"Deadline-Ms": "2000"},
        attempt=f"a{number}",
    )
    return status


class TestEndlessPlainAnswers:
    """Servers of plain services whose answers never end."""

    # Guards against idempotent calls that wait for an answer without end.
    @pytest.mark.parametrize("kind", _ENDLESS_BODIES)
    def test_idempotent_calls_go_to_another_server(self, kind):
        first, again = _ENDLESS_BODIES[kind]
        statuses, met = asyncio.run(_call_beside((first, again[:16], 0.02)))
        assert statuses == [200, 200, 200]
        assert met == 1

    # Guards against leaving a server whose long answer goes on.
    def test_long_answer_that_goes_on_is_read(self):
        part = b"x" * 512

        async def script(connection: raw_endpoint.Connection) -> None:
            await connection.run()
            await connection.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 10240\r\n\r\n"
            )
            for _ in range(20):
                await asyncio.sleep(0.05)
                await connection.send(part)

        async def scenario() -> bytes:
            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                response = await client.call(
                    "127.0.0.1",
                    endpoint.port,
                    "GET",
                    "/",
                    {},
                    silence=silence.FixedTimeout(0.6),
                )
                body = await response.read(_BODY_LIMIT)
            client.close()
            return body

        assert asyncio.run(scenario()) == part * 20
