"""Tests of idle connections of callers, with sockets in one event loop."""

import asyncio
import dataclasses
import socket
import time

import pytest
from tests import entry_site

_IDLE_TIMEOUT_S = 0.3
_REQUEST = b"GET /v1/models HTTP/1.1\r\nHost: entry\r\n%s\r\n" % (
    f"Authorization: Bearer {entry_site.KEYS['umurongo/amahoro']}\r\n".encode()
)
_POST = (
    b"POST /services/lookup/a HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n"
    + _REQUEST.partition(b"entry\r\n")[2]
    + b"ab"
)


class _Caller:
    """A kept connection of a caller, whose socket never blocks."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection((entry_site.HOST, port))
        self._socket.setblocking(False)

    def send(self, data: bytes) -> None:
        self._socket.sendall(data)

    async def receive(self) -> bytes:
        """Returns the next bytes, none once the connection is closed."""
        loop = asyncio.get_running_loop()
        return await loop.sock_recv(self._socket, 65_536)

    def close(self) -> None:
        self._socket.close()


def _set_idle_timeout(site: entry_site.Site, timeout_s: float) -> None:
    snapshot = site.snapshot()
    limits = dataclasses.replace(snapshot.limits, idle_timeout_s=timeout_s)
    site.publish(dataclasses.replace(snapshot, limits=limits))


def _block_event_loop() -> None:
    time.sleep(_IDLE_TIMEOUT_S * 2)


def _run(scenario) -> None:
    async def run():
        async with entry_site.running() as site:
            _set_idle_timeout(site, _IDLE_TIMEOUT_S)
            caller = _Caller(site.public_port())
            caller.send(_REQUEST)
            assert (await caller.receive()).startswith(b"HTTP/1.1 200")
            await scenario(site, caller)
            caller.close()

    asyncio.run(run())


class TestIdleConnections:
    """When an idle connection of a caller is closed."""

    def test_connection_is_closed_after_the_idle_timeout(self):
        async def scenario(_, caller):
            assert await caller.receive() == b""

        _run(scenario)

    # Guards against a whole request that gets no answer because its arrival
    # and the idle timeout are due together once the event loop goes on.
    @pytest.mark.parametrize("request_bytes", [_REQUEST, _POST])
    def test_request_received_while_the_loop_is_busy_is_answered(
        self, request_bytes
    ):
        async def scenario(_, caller):
            caller.send(request_bytes)
            _block_event_loop()
            assert (await caller.receive()).startswith(b"HTTP/1.1 200")

        _run(scenario)

    # Guards against a close at the old timeout, which crosses the requests of
    # callers that go by the new one.
    def test_longer_timeout_holds_for_connections_that_are_idle(self):
        async def scenario(site, caller):
            _set_idle_timeout(site, 600.0)
            await asyncio.sleep(_IDLE_TIMEOUT_S * 2)
            caller.send(_REQUEST)
            assert (await caller.receive()).startswith(b"HTTP/1.1 200")

        _run(scenario)

    # Guards against a close in the middle of a head that began to arrive before
    # the answer to the request before it had ended.
    def test_head_that_began_early_may_take_the_header_timeout(self):
        async def scenario(_, caller):
            caller.send(_REQUEST + _REQUEST[:20])
            assert (await caller.receive()).startswith(b"HTTP/1.1 200")
            await asyncio.sleep(_IDLE_TIMEOUT_S * 2)
            caller.send(_REQUEST[20:])
            assert (await caller.receive()).startswith(b"HTTP/1.1 200")

        _run(scenario)

    def test_connection_stays_open_while_a_request_is_served(self):
        async def scenario(_, caller):
            body = b'{"model": "brief", "prompt": "a", "max_tokens": 400}'
            caller.send(
                b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
                b"Content-Length: %d\r\n"
                % len(body)
                + _REQUEST.partition(b"entry\r\n")[2]
                + body
            )
            assert (await caller.receive()).startswith(b"HTTP/1.1 200")

        _run(scenario)
