"""Tests of what callers get when their connection ends, with real sockets."""

import asyncio
import dataclasses
import socket

import pytest
from tests import entry_site

from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import local_responses
from cowsliprill.entry import response_writer

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

    async def read_head(self) -> bytes:
        """Returns the headers that are left of a response."""
        return await asyncio.wait_for(self._reader.readuntil(b"\r\n\r\n"), 10)

    async def read_line(self) -> bytes:
        """Returns the next line, none once the connection has ended."""
        return await asyncio.wait_for(self._reader.readline(), 10)

    async def read_status(self) -> int:
        """Returns the status of the next response, 0 if there is none."""
        line = await self.read_line()
        return int(line.split()[1]) if line else 0


def _head(method: str, path: str, *lines: bytes) -> bytes:
    start = f"{method} {path} HTTP/1.1\r\nHost: entry\r\n".encode()
    fields = b"".join(line + b"\r\n" for line in lines)
    return start + _AUTHORIZATION + fields + b"\r\n"


_UPLOAD = _head("POST", "/services/lookup/a", b"Content-Length: 2") + b"a"


def _set_limits(site: entry_site.Site, **limits: int) -> None:
    snapshot = site.snapshot()
    changed = dataclasses.replace(snapshot.limits, **limits)
    site.publish(dataclasses.replace(snapshot, limits=changed))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _until_read(site: entry_site.Site, size: int) -> None:
    await entry_site.until(lambda: site.status()["buffered_bytes"] >= size)


def _ends(site: entry_site.Site) -> dict[str, int]:
    """Returns how many connections ended, by reason."""
    counter = site.entries[0].shell.metrics.caller_connections_closed
    return {labels["reason"]: int(count) for labels, count in counter.get_all()}


async def _until_ended(site: entry_site.Site) -> dict[str, int]:
    await entry_site.until(lambda: bool(_ends(site)))
    return _ends(site)


def _run(scenario):
    async def run():
        async with entry_site.running() as site:
            return await scenario(site, await _Caller.connect(site))

    return asyncio.run(run())


def _last_request(site: entry_site.Site) -> dict[str, str]:
    """Returns the fields of the newest line of a request that has ended."""
    lines = site.logs[0].getvalue().splitlines()
    line = [each for each in lines if "event=request_ended" in each][-1]
    return dict(pair.split("=", 1) for pair in line.split(" ") if "=" in pair)


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

    # Guards against requests that are left unread on kept connections, and
    # against resets, while the process exits.
    def test_idle_connections_are_closed_as_the_process_ends(self):
        async def scenario():
            async with entry_site.running() as site:
                caller = await _Caller.connect(site)
                await caller.send(_head("GET", "/v1/models"))
                assert await caller.read_status() == 200
            await caller.read_all()
            return _ends(site)

        assert asyncio.run(scenario()) == {"leaving": 1}

    def test_request_received_before_the_close_is_answered(self):
        async def scenario(site, caller):
            await caller.send(_head("GET", "/v1/models"))
            assert await caller.read_status() == 200
            caller.writer.write(_head("GET", "/v1/models"))
            server = site.entries[0]._public_server  # noqa: SLF001
            await server.close_connections(10.0)
            return await caller.read_all(), _ends(site)

        answers, ends = _run(scenario)
        assert answers.count(b"HTTP/1.1 200 ") == 1
        assert ends == {"leaving": 1}

    # Guards against a reset of connections that were waiting to be accepted,
    # with a whole request on them, while the event loop was busy.
    def test_connections_that_wait_as_listening_ends_are_served(self):
        async def scenario():
            async with entry_site.running() as site:
                address = (entry_site.HOST, site.public_port())
                waiting = [socket.create_connection(address) for _ in range(3)]
                for connection in waiting:
                    connection.sendall(_head("GET", "/v1/models"))
                site.entries[0]._public_server.stop()  # noqa: SLF001
                answers = []
                for connection in waiting:
                    reader, writer = await asyncio.open_connection(
                        sock=connection
                    )
                    caller = _Caller(reader, writer)
                    answers.append(await caller.read_status())
                return answers

        assert asyncio.run(scenario()) == [200, 200, 200]

    def test_request_after_the_notice_is_refused(self):
        async def scenario():
            async with entry_site.running() as site:
                kept = await _Caller.connect(site)
                await kept.send(_head("GET", "/v1/models"))
                assert await kept.read_status() == 200
                other = await _Caller.connect(site)
                await other.send(_UPLOAD)
                await _until_read(site, 1)
                gate = site.entries[0]._gate  # noqa: SLF001
                site.entries[0].shell.stop()
                await entry_site.until(lambda: gate.closed)
                await kept.send(_head("GET", "/v1/models", b"X-Last: 1"))
                await other.send(b"b")
                answers = await kept.read_all()
                return answers, _ends(site)

        answers, ends = asyncio.run(scenario())
        assert answers.count(b"HTTP/1.1 503 ") == 1
        assert b'"leaving"' in answers
        assert ends == {"leaving": 2}

    # Guards against a reset of a request that is still being received when no
    # other is in flight: the process took itself for idle.
    def test_drain_waits_for_requests_that_are_being_received(self):
        async def scenario():
            async with entry_site.running() as site:
                caller = await _Caller.connect(site)
                await caller.send(_UPLOAD)
                await _until_read(site, 1)
                site.entries[0].shell.stop()
                await entry_site.until(lambda: site.status()["draining"])
                await asyncio.sleep(0.05)
                assert "event=stopped" not in site.logs[0].getvalue()
                await caller.send(b"b")
                return await caller.read_status()

        assert asyncio.run(scenario()) == 200

    def test_request_not_received_by_the_drain_limit_is_refused(self):
        async def scenario():
            async with entry_site.running(drain_limit_s=0.05) as site:
                caller = await _Caller.connect(site)
                await caller.send(_UPLOAD)
                await _until_read(site, 1)
                site.entries[0].shell.stop()
                answer = await caller.read_all()
                return answer, _last_request(site)

        answer, fields = asyncio.run(scenario())
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert (fields["outcome"], fields["run"]) == ("leaving", "no")

    # Guards against a connection that is closed after `Connection: close`
    # while its caller's next request is under way.
    def test_connection_stays_readable_while_draining(self):
        async def scenario():
            async with entry_site.running(drain_notice_s=600.0) as site:
                caller = await _Caller.connect(site)
                entry = site.entries[0]
                entry.shell.stop()
                await entry_site.until(lambda: site.status()["draining"])
                for _ in range(3):
                    await caller.send(_head("HEAD", "/v1/models"))
                    assert await caller.read_status() == 405
                    head = await caller.read_head()
                    assert b"Connection: close" in head
                site.tasks[0].cancel()
                await asyncio.wait(site.tasks)
                site.tasks.clear()

        asyncio.run(scenario())


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

    # Guards against a bare close of a request whose limits became smaller while
    # its head was received: the new limits explain its answer.
    @pytest.mark.parametrize(
        ("limits", "status"),
        [({"header_bytes": 10}, 431), ({"body_bytes": 10}, 413)],
    )
    def test_limits_at_the_end_of_the_head_hold(self, limits, status):
        head = _head("POST", "/services/lookup/a", b"Content-Length: 25000")

        async def scenario(site, caller):
            await caller.send(head[:-4])
            await asyncio.sleep(0)
            _set_limits(site, **limits)
            await caller.send(head[-4:] + b"a" * 25_000)
            return await caller.read_status()

        assert _run(scenario) == status


class TestRequestsNotReadToTheirEnd:
    """A request is refused before it has been received."""

    # Guards against a bare close in place of the refusal.
    def test_head_above_the_parsers_bound_is_refused(self):
        async def scenario(site, caller):
            large = b"X-Large: " + b"a" * 400_000
            await caller.send(_head("GET", "/v1/models", large))
            answer = await caller.read_all()
            return answer, await _until_ended(site)

        answer, ends = _run(scenario)
        assert answer.startswith(b"HTTP/1.1 431 ")
        assert ends == {"malformed": 1}

    # Guards against a bare close, or a reset that destroys the refusal while
    # its caller still sends.
    @pytest.mark.parametrize("chunked", [False, True])
    def test_body_far_above_the_limit_is_refused(self, chunked):
        size = 200_000

        async def scenario(site, caller):
            _set_limits(site, body_bytes=1_000)
            length = (
                b"Transfer-Encoding: chunked"
                if chunked
                else b"Content-Length: %d" % size
            )
            await caller.send(_head("POST", "/services/lookup/a", length))
            for _ in range(20):
                part = b"a" * (size // 20)
                await caller.send(_chunk(part) if chunked else part)
                await asyncio.sleep(0)
            answer = await caller.read_all()
            return answer, await _until_ended(site), _last_request(site)

        answer, ends, fields = _run(scenario)
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert answer.endswith(b"}")
        assert ends == {"unread": 1}
        assert fields["outcome"] == "body_too_large"

    # Guards against a bare close of a chunked body whose framing is wrong.
    def test_overlong_size_of_a_chunk_is_refused(self):
        async def scenario(site, caller):
            length = b"Transfer-Encoding: chunked"
            await caller.send(_head("POST", "/services/lookup/a", length))
            await caller.send(b"1" * 1_000)
            return await caller.read_all(), await _until_ended(site)

        answer, ends = _run(scenario)
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert ends == {"malformed": 1}

    @pytest.mark.parametrize(
        "head",
        [
            b"nonsense\r\n\r\n",
            b"GET /v1/models HTTP/1.1\r\n\r\n",
            b"GET /v1/models HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
        ],
        ids=["start-line", "no-host", "header"],
    )
    def test_malformed_head_is_refused(self, head):
        async def scenario(site, caller):
            await caller.send(head)
            return await caller.read_all(), await _until_ended(site)

        answer, ends = _run(scenario)
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert ends == {"malformed": 1}


class TestOtherCallers:
    """Callers that use less common parts of HTTP."""

    def test_caller_that_waits_for_continue(self):
        async def scenario(_, caller):
            await caller.send(
                _head(
                    "POST",
                    "/services/lookup/a",
                    b"Content-Length: 1",
                    b"Expect: 100-continue",
                )
            )
            interim = await caller.read_status()
            await caller.read_line()
            await caller.send(b"a")
            return interim, await caller.read_status()

        assert _run(scenario) == (100, 200)

    def test_unknown_method(self):
        async def scenario(_, caller):
            await caller.send(_head("BREW", "/services/lookup/a"))
            return await caller.read_status()

        assert _run(scenario) == 405

    # Guards against an answer that is logged as completed although its caller
    # closed the connection before all of it was sent.
    def test_caller_that_leaves_before_the_last_bytes(self, monkeypatch):
        async def send(ctx):
            await response_writer.send(
                ctx.response_writer, 200, (), b"a" * 50_000_000
            )

        async def scenario():
            monkeypatch.setattr(local_responses, "list_models", send)
            async with entry_site.running() as site:
                caller = await _Caller.connect(site)
                await caller.send(_head("GET", "/v1/models"))
                assert await caller.read_status() == 200
                caller.writer.transport.abort()
                ends = await _until_ended(site)
                await entry_site.until(lambda: site.status()["requests"] == 0)
                return ends, _last_request(site)

        ends, fields = asyncio.run(scenario())
        assert ends == {"caller_left_answer": 1}
        assert fields["outcome"] == "caller_gone"
        assert fields["closed_by"] == "caller"


class TestOldCallers:
    """Callers that speak HTTP/1.0."""

    # Guards against a stream whose end a caller can't see: it has neither a
    # length nor chunks, and the connection stays open.
    @pytest.mark.parametrize("connection", [b"keep-alive", b"close"])
    def test_stream_ends_with_its_connection(self, connection):
        body = (
            b'{"model": "brief", "prompt": "a", "max_tokens": 3,'
            b' "stream": true}'
        )
        head = _head(
            "POST",
            "/v1/completions",
            b"Connection: " + connection,
            b"Content-Length: %d" % len(body),
        ).replace(b"HTTP/1.1", b"HTTP/1.0")

        async def scenario(_, caller):
            await caller.send(head + body)
            return await caller.read_all()

        answer = _run(scenario)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.endswith(b"data: [DONE]\n\n")


class TestReasons:
    """The metric and the log tell who has closed a connection, and why."""

    def test_caller_that_leaves_between_requests_is_not_counted(self):
        async def scenario(site, caller):
            await caller.send(_head("GET", "/v1/models"))
            await caller.read_status()
            caller.writer.close()
            other = await _Caller.connect(site)
            await other.send(_head("GET", "/a", b"Connection: close"))
            await other.read_all()
            return await _until_ended(site)

        assert _run(scenario) == {"answered": 1}

    @pytest.mark.parametrize(
        ("limit", "sent"),
        [("idle_timeout_s", b""), ("header_timeout_s", b"GET /v1/mod")],
    )
    def test_connection_that_is_idle_for_too_long(self, limit, sent):
        async def scenario(site, caller):
            snapshot = site.snapshot()
            limits = dataclasses.replace(snapshot.limits, **{limit: 0.01})
            site.publish(dataclasses.replace(snapshot, limits=limits))
            other = await _Caller.connect(site)
            await other.send(sent)
            assert await other.read_all() == b""
            return await _until_ended(site)

        assert _run(scenario) == {"idle": 1}

    def test_caller_that_leaves_during_its_request(self):
        async def scenario(site, caller):
            await caller.send(
                _head("POST", "/services/lookup/a", b"Content-Length: 9") + b"a"
            )
            await _until_read(site, 1)
            caller.writer.close()
            return await _until_ended(site)

        assert _run(scenario) == {"caller_left_request": 1}

    # Guards against a request that ends without an answer and isn't named. A
    # caller that ends only its sending half looks like one that has left.
    @pytest.mark.parametrize("leave", ["close", "write_eof"])
    def test_caller_that_leaves_before_its_answer(self, leave):
        async def scenario(site, caller):
            for service in site.services.values():
                service.faults.set({"delay_s": 600.0})
            await caller.send(_head("GET", "/services/lookup/a"))
            await entry_site.until(lambda: site.status()["requests"] == 1)
            getattr(caller.writer, leave)()
            ends = await _until_ended(site)
            await entry_site.until(lambda: site.status()["requests"] == 0)
            return ends, _last_request(site)

        ends, fields = _run(scenario)
        assert ends == {"caller_left_answer": 1}
        assert fields["outcome"] == "caller_gone"
        assert (fields["closed_by"], fields["read"]) == ("caller", "whole")

    # Guards against a connection that this process has closed and that the log
    # blames on the caller.
    def test_answer_that_this_process_cuts(self):
        async def scenario(site, caller):
            for engine in site.engines.values():
                engine.faults.set({"stall_at_token": 3})
            body = (
                b'{"model": "brief", "prompt": "a", "max_tokens": 9,'
                b' "stream": true}'
            )
            length = b"Content-Length: %d" % len(body)
            await caller.send(_head("POST", "/v1/completions", length) + body)
            assert await caller.read_status() == 200
            gate = site.entries[0]._gate  # noqa: SLF001
            gate.abort_all()
            await caller.read_all()
            await entry_site.until(lambda: site.status()["requests"] == 0)
            return _ends(site), _last_request(site)

        ends, fields = _run(scenario)
        assert ends == {"cut": 1}
        assert fields["outcome"] == "interrupted"
        assert (fields["closed_by"], fields["read"]) == ("router", "whole")

    def test_pipelined_requests_are_all_answered(self):
        async def scenario(site, caller):
            last = _head("GET", "/v1/models", b"Connection: close")
            await caller.send(_head("GET", "/v1/models") * 2 + last)
            return await caller.read_all(), await _until_ended(site)

        answers, ends = _run(scenario)
        assert answers.count(b"HTTP/1.1 200 ") == 3
        assert ends == {"answered": 1}
