"""Tests of callers that read slowly or not at all, with real sockets."""

import asyncio
import contextlib
import socket
import struct

import pytest
from tests import platform_site
from tests import raw_caller
from tests import raw_endpoint

from cowsliprill import buffer_budget
from cowsliprill.engines import errors
from cowsliprill.engines import exchange
from cowsliprill.engines import http_client
from cowsliprill.entry import caller_stream

_HEAD = b"HTTP/1.1 200 OK\r\n{id}Content-Type: text/event-stream\r\n\r\n"
# More than the kernel's buffers of both connections take.
_STREAM = b"".join(
    b"id: %d\ndata: %s\n\n" % (number, b"x" * 4_000)
    for number in range(1, 6_000)
)
_STALL_S = 0.6


class _Scene:
    """A router with engines that send a long stream, and its callers."""

    def __init__(self, site: platform_site.Site) -> None:
        self.site = site
        for name in ("d0", "d1"):
            site.engines[name].faults = platform_site.Faults(
                endless=(_HEAD + _STREAM, b":\n\n", 10.0)
            )

    @property
    def budget(self) -> buffer_budget.BufferBudget:
        return self.site.routers[0]._entry._buffer_budget

    async def call(self, attempt: str, path: str) -> raw_caller.Caller:
        caller = raw_caller.Caller(
            platform_site.ROUTER_HOSTS[0], self.site.routers[0].public_port
        )
        await caller.send(raw_caller.request(path, attempt))
        return caller

    def engine_streams(self) -> list:
        return [
            connection.stream
            for name in ("d0", "d1")
            for connection in self.site.engines[name].site.server._connections
            if not connection.stream.closed() and connection.stream.writing()
        ]

    async def until_full(self, streams: int = 1) -> None:
        """Waits until the router has stopped reading from engines."""
        sent = None
        while (now := self._sent()) != sent or len(now) < streams:
            sent = now
            await asyncio.sleep(0.1)

    def _sent(self) -> list[int]:
        return [s._total_write_done_index for s in self.engine_streams()]

    async def until_ended(self, count: int = 1) -> str:
        log = self.site.logs[0]
        await platform_site.until(
            lambda: log.getvalue().count("event=request_ended") == count
        )
        return log.getvalue()


@contextlib.asynccontextmanager
async def _scene(**node_fields):
    async with platform_site.running(**node_fields) as site:
        yield _Scene(site)


def _reset(stream) -> None:
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    stream.close()


class TestCallerThatReadsNothing:
    """A caller that stops to read its stream."""

    # Guards against memory filled by a fast engine, against a truncated stream
    # that looks complete, and against an engine blamed for its slow caller.
    @pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
    def test_is_cut_before_its_engine_cuts(self, version, monkeypatch):
        monkeypatch.setattr(caller_stream, "_STALL_S", _STALL_S)

        async def scenario():
            async with _scene() as scene:
                data = raw_caller.request(platform_site.MODEL_PATH, "a1")
                caller = raw_caller.Caller(
                    platform_site.ROUTER_HOSTS[0],
                    scene.site.routers[0].public_port,
                )
                await caller.send(data.replace(b"HTTP/1.1", version))
                await scene.until_full()
                held = scene.budget.held_bytes
                log = await scene.until_ended()
                await platform_site.until(lambda: not scene.engine_streams())
                answer = await caller.receive()
                ejected = platform_site.ejected_engines(scene.site)
                return held, scene.budget.held_bytes, log, answer, ejected

        held, held_after, log, answer, ejected = asyncio.run(scenario())
        assert 0 < held < 262_144
        assert held_after == 0
        assert "closed_by=router" in log
        assert "cut=stalled" in log
        if version == b"HTTP/1.1":
            assert answer.ending == "reset"
            assert not answer.whole
        assert not ejected
        assert "attempt_lost" not in log

    # Guards against an engine ejected because of its caller, and against a cut
    # stream that ends as a complete one.
    @pytest.mark.parametrize("cut", ["reset", "close"])
    def test_engine_that_cuts_first_is_not_blamed(self, cut, monkeypatch):
        monkeypatch.setattr(exchange, "_UNREAD_MIN_S", 0.1)

        async def scenario():
            async with _scene() as scene:
                path = platform_site.RESUMABLE_PATH
                caller = await scene.call("a1", path)
                await scene.until_full()
                await asyncio.sleep(0.2)
                for stream in scene.engine_streams():
                    _reset(stream) if cut == "reset" else stream.close()
                answer = await caller.receive()
                log = await scene.until_ended()
                await asyncio.sleep(0.2)
                return answer, log, platform_site.ejected_engines(scene.site)

        answer, log, ejected = asyncio.run(scenario())
        assert not answer.whole
        assert "event=stream_unread" in log
        assert "outcome=stream_broken" in log
        assert not ejected


class TestCallerThatReadsSlowly:
    """A caller that reads far less than its engine sends."""

    def test_is_not_cut(self, monkeypatch):
        """Guards against callers cut as the kernel reports progress rarely."""
        monkeypatch.setattr(caller_stream, "_STALL_S", 1.5)

        async def scenario():
            async with _scene() as scene:
                slow = await scene.call("slow", platform_site.MODEL_PATH)
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(_read_slowly(slow, 2_048), 4)
                return scene.site.logs[0].getvalue()

        assert "event=request_ended" not in asyncio.run(scenario())


class TestSumOfAllConnections:
    """Many callers that don't read, beside one that reads a little."""

    def test_the_caller_that_reads_is_served(self, monkeypatch):
        """Guards against memory filled by many callers that don't read."""
        monkeypatch.setattr(caller_stream, "_STALL_S", 2.0)

        async def scenario():
            async with _scene(memory_mb=1.3) as scene:
                path = platform_site.MODEL_PATH
                slow = await scene.call("slow", path)
                reader = asyncio.create_task(_read_slowly(slow))
                callers = []
                for number in range(4):
                    callers.append(await scene.call(f"a{number}", path))
                    await asyncio.sleep(0.3)
                await platform_site.until(lambda: scene.budget.cuts)
                held = scene.budget.held_bytes
                log = await scene.until_ended(len(callers))
                served = not reader.done()
                reader.cancel()
                answers = [await caller.receive() for caller in callers]
                return held, log, answers, served

        held, log, answers, served = asyncio.run(scenario())
        assert "caller=slow" not in log.partition("event=request_ended")[2]
        assert held <= buffer_budget.response_bytes(1.3)
        assert not any(answer.whole for answer in answers)
        assert served


async def _read_slowly(caller: raw_caller.Caller, size: int = 16_384) -> None:
    loop = asyncio.get_running_loop()
    while True:
        assert await loop.sock_recv(caller._socket, size)
        await asyncio.sleep(0.02)


class TestEngineThatReadsNothing:
    """An engine that doesn't read a request body."""

    def test_call_ends_at_its_time_limit(self):
        """Guards against bodies held for good by engines that don't read."""

        async def script(connection: raw_endpoint.Connection) -> None:
            await asyncio.sleep(3)

        async def scenario():
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                call = http_client.HttpClient().call(
                    "127.0.0.1",
                    endpoint.port,
                    "POST",
                    "/",
                    {},
                    b"x" * 16_777_216,
                    timeout_s=0.5,
                )
                with pytest.raises(errors.CallTimeout):
                    await call

        asyncio.run(scenario())
