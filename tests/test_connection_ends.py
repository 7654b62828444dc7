"""Tests of what callers get when their connection ends, with real sockets."""

import asyncio
import dataclasses

import pytest
from tests import entry_site

from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib

_AUTHORIZATION = (
    f"Authorization: Bearer {entry_site.KEYS['umurongo/amahoro']}\r\n".encode()
)


class _Caller:
    """A connection of a caller to the entry process of a site."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, site: entry_site.Site) -> "_Caller":
        return cls(
            *await asyncio.open_connection(entry_site.HOST, site.public_port())
        )

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read_all(self) -> bytes:
        """Returns all bytes until the connection ends."""
        return await asyncio.wait_for(self._reader.read(), 10)

    async def read_status(self) -> int:
        """Returns the status of the next response, 0 if there is none."""
        line = await asyncio.wait_for(self._reader.readline(), 10)
        return int(line.split()[1]) if line else 0


def _head(method: str, path: str, *lines: bytes) -> bytes:
    start = f"{method} {path} HTTP/1.1\r\nHost: entry\r\n".encode()
    fields = b"".join(line + b"\r\n" for line in lines)
    return start + _AUTHORIZATION + fields + b"\r\n"


def _set_limits(site: entry_site.Site, **limits: int) -> None:
    snapshot = site.snapshot()
    changed = dataclasses.replace(snapshot.limits, **limits)
    site.publish(dataclasses.replace(snapshot, limits=changed))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _until_read(site: entry_site.Site, size: int) -> None:
    await entry_site.until(lambda: site.status()["buffered_bytes"] >= size)


class TestLimitsThatShrink:
    """The configuration gets smaller limits while a request is received."""

    # Guards against a connection that is closed without an answer because the
    # body has over four times the size that a newer configuration allows.
    @pytest.mark.parametrize("body_bytes", [10_000, 20_000, 30_000])
    @pytest.mark.parametrize("chunked", [False, True])
    def test_body_that_was_allowed_to_begin_is_served(
        self, body_bytes, chunked
    ):
        half = b"a" * 25_000

        async def scenario():
            async with entry_site.running() as site:
                _set_limits(site, body_bytes=100_000)
                caller = await _Caller.connect(site)
                length = (
                    b"Transfer-Encoding: chunked"
                    if chunked
                    else b"Content-Length: 50000"
                )
                await caller.send(_head("POST", "/services/lookup/a", length))
                await caller.send(_chunk(half) if chunked else half)
                await _until_read(site, len(half))
                _set_limits(site, body_bytes=body_bytes)
                await caller.send(_chunk(half) if chunked else half)
                await caller.send(b"0\r\n\r\n" if chunked else b"")
                return await caller.read_status()

        assert asyncio.run(scenario()) == 200


class TestProcessEnd:
    """A process ends while callers use its connections."""

    # Guards against a request that gets no answer, and has no line in the log,
    # because it is cancelled before its task has begun.
    def test_request_that_arrives_as_others_are_interrupted_is_refused(
        self, monkeypatch
    ):
        run = gate_lib.Gate.run

        def run_and_interrupt(gate, handle, ctx):
            task = run(gate, handle, ctx)
            gate.interrupt_all()
            return task

        async def scenario():
            async with entry_site.running() as site:
                monkeypatch.setattr(gate_lib.Gate, "run", run_and_interrupt)
                body = b'{"model": "brief", "prompt": "a", "max_tokens": 4}'
                response = await asyncio.wait_for(
                    site.call("POST", "/v1/completions", body), 10
                )
                return response, site.logs[0].getvalue()

        response, log = asyncio.run(scenario())
        assert response.status == 503
        assert response.json()["error"]["code"] == "leaving"
        assert log.count("event=request_ended") == 1


class TestUnexpectedEnd:
    """The filter chain of a request ends without a response."""

    # Guards against a caller that waits for ever, because the error that ended
    # the request couldn't be sent either.
    def test_request_whose_error_cannot_be_sent_is_answered(self, monkeypatch):
        def fail(*_):
            raise ValueError("not sendable")

        async def scenario():
            async with entry_site.running() as site:
                monkeypatch.setattr(
                    errors.JsonErrorFormatter, "error_response", fail
                )
                caller = await _Caller.connect(site)
                await caller.send(_head("GET", "/nowhere"))
                status = await caller.read_status()
                return status, site.logs[0].getvalue()

        status, log = asyncio.run(scenario())
        assert status == 500
        assert "event=internal_error" in log
        assert "event=request_ended" in log
