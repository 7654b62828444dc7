"""Tests of `engines.http_client` against endpoints on raw sockets."""

import asyncio
import socket

import pytest
from tests import raw_endpoint

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import messages
from cowsliprill.engines import errors
from cowsliprill.engines import http_client

_BODY = b"a booking"


async def _post(client, port, **options):
    response = await client.call(
        "127.0.0.1", port, "POST", "/book", {"A": "b"}, _BODY, **options
    )
    return await response.read(1_000_000)


async def _error(client, port, **options) -> errors.CallError:
    with pytest.raises(errors.CallError) as caught:
        await _post(client, port, **options)
    return caught.value


async def _turns_until(condition) -> None:
    for _ in range(100_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("it never came about")


async def _request_length() -> int:
    async def script(connection) -> None:
        await connection.run()
        await connection.send(raw_endpoint.answer(b""))

    async with raw_endpoint.RawEndpoint(script) as endpoint:
        await _post(http_client.HttpClient(), endpoint.port)
        return len(endpoint.ran[0])


class TestFaultAtEachByte:
    """Whether a call was run, when the connection is lost somewhere."""

    def test_no_listener(self) -> None:
        """The endpoint's process is gone; the caller may safely ask again."""

        async def scenario() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
            error = await _error(http_client.HttpClient(), port)
            assert error.run is messages.Executed.NO

        asyncio.run(scenario())

    def test_lost_at_each_byte_of_the_request(self) -> None:
        """The endpoint dies while the request comes in, or having run it.

        A caller that is told "not run" would book again, and a client would
        be booked twice.
        """

        async def scenario() -> None:
            length = await _request_length()
            client = http_client.HttpClient()
            for end in range(length + 1):

                async def script(connection, end=end) -> None:
                    if end == length:
                        await connection.run()
                    else:
                        await connection.reader.readexactly(end)

                async with raw_endpoint.RawEndpoint(script) as endpoint:
                    error = await _error(client, endpoint.port)
                    assert error.run is messages.Executed.UNKNOWN, end
                    assert len(endpoint.ran) == int(end == length)

        asyncio.run(scenario())

    @pytest.mark.parametrize("chunked", [False, True])
    def test_lost_at_each_byte_of_the_answer(self, chunked) -> None:
        """The endpoint has run the call and dies while it answers.

        The caller would take a part of the answer for the whole, or hear that
        its call was not run.
        """
        whole = raw_endpoint.answer(b'{"number": 1}')
        if chunked:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            whole = head + b"4\r\n{1:2\r\n1\r\n}\r\n0\r\n\r\n"

        async def scenario() -> None:
            client = http_client.HttpClient()
            for end in range(len(whole)):

                async def script(connection, end=end) -> None:
                    await connection.run()
                    await connection.send(whole[:end])

                async with raw_endpoint.RawEndpoint(script) as endpoint:
                    error = await _error(client, endpoint.port)
                    assert error.run is messages.Executed.UNKNOWN, end
                    assert len(endpoint.ran) == 1

        asyncio.run(scenario())

    def test_answer_whose_end_cannot_be_told(self) -> None:
        """An endpoint ends its answer by closing the connection.

        A cut answer looks the same as a whole one, so it isn't passed on.
        """

        async def script(connection) -> None:
            await connection.run()
            await connection.send(b"HTTP/1.1 200 OK\r\n\r\nhalf an ans")

        async def scenario() -> None:
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                error = await _error(http_client.HttpClient(), endpoint.port)
                assert error.run is messages.Executed.UNKNOWN

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        "garbage", [b"\0" * 70_000 + b"\r\n\r\n", b"HTTP/1.1 x\r\n\r\n"]
    )
    def test_answer_that_is_not_http(self, garbage) -> None:
        async def script(connection) -> None:
            await connection.run()
            await connection.send(garbage)
            await connection.wait_for_hang_up()

        async def scenario() -> None:
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                error = await _error(http_client.HttpClient(), endpoint.port)
                assert error.run is messages.Executed.UNKNOWN

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("method", "path", "headers"),
        [
            ("PO ST", "/", {}),
            ("POST", "/a b", {}),
            ("POST", "/", {"A": "b\r\nC: d"}),
            ("POST", "/", {"A\r\nB": "c"}),
        ],
    )
    def test_request_that_would_split(self, method, path, headers) -> None:
        """A caller puts a line end into what becomes a header.

        The endpoint would see a second request that nobody answers for.
        """

        async def script(connection) -> None:
            await connection.run()

        async def scenario() -> None:
            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                with pytest.raises(errors.CallError) as caught:
                    await client.call(
                        "127.0.0.1", endpoint.port, method, path, headers
                    )
                assert caught.value.run is messages.Executed.NO
                assert endpoint.ran == []

        asyncio.run(scenario())

    def test_two_headers_of_length(self) -> None:
        """A caller claims chunked coding for a body of known length.

        An endpoint would take the rest of the body for a second request.
        """

        async def script(connection) -> None:
            await connection.run()
            await connection.send(raw_endpoint.answer(b""))

        async def scenario() -> None:
            headers = {"Transfer-Encoding": "chunked", "Content-Length": "9"}
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                await http_client.HttpClient().call(
                    "127.0.0.1", endpoint.port, "POST", "/", headers, b"abc"
                )
                head = endpoint.ran[0].lower()
                assert b"transfer-encoding" not in head
                assert head.count(b"content-length: 3") == 1

        asyncio.run(scenario())


class TestCancel:
    """The caller leaves while its call is somewhere on its way."""

    def test_before_the_connection_is_there(self) -> None:
        """The endpoint's host doesn't answer, and the caller leaves."""

        async def scenario() -> None:
            listener = socket.socket()
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            progress = call_lib.CallProgress()
            call = asyncio.create_task(
                _post(http_client.HttpClient(), address[1], progress=progress)
            )
            for _ in range(10):
                await asyncio.sleep(0)
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
            assert progress.run is messages.Executed.NO
            for filler in (*fillers, listener):
                filler.close()

        asyncio.run(scenario())

    def test_before_the_answer(self) -> None:
        """The caller leaves while the endpoint is at work.

        The endpoint must notice, or it would go on for nobody.
        """

        async def scenario() -> None:
            ran = asyncio.Event()

            async def script(connection) -> None:
                await connection.run()
                ran.set()
                await connection.wait_for_hang_up()

            progress = call_lib.CallProgress()
            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                call = asyncio.create_task(
                    _post(client, endpoint.port, progress=progress)
                )
                await ran.wait()
                call.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await call
                await endpoint.wait_for_hang_up()
                assert progress.run is messages.Executed.UNKNOWN
            client.close()

        asyncio.run(scenario())

    @pytest.mark.parametrize("part", [b"", b"0123"])
    def test_amid_the_answer(self, part) -> None:
        """The caller leaves while its answer comes in.

        The connection would stay open until the whole call's time is up, and
        sockets would pile up with each caller that leaves.
        """

        async def script(connection) -> None:
            await connection.run()
            await connection.send(raw_endpoint.answer(part, length=10))
            await connection.wait_for_hang_up()

        async def scenario() -> None:
            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                response = await client.call(
                    "127.0.0.1", endpoint.port, "POST", "/", {}
                )
                reading = asyncio.create_task(response.read(100))
                for _ in range(20):
                    await asyncio.sleep(0)
                reading.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await reading
                await endpoint.wait_for_hang_up()
            client.close()

        asyncio.run(scenario())


class TestTimeouts:
    """An endpoint that holds its answer back."""

    @pytest.mark.parametrize(
        "limits", [{"timeout_s": 0.05}, {"stall_s": 0.05, "timeout_s": 60}]
    )
    def test_answer_stands_still(self, limits) -> None:
        """An engine hangs amid its answer; the caller would wait for ever."""

        async def script(connection) -> None:
            await connection.run()
            await connection.send(raw_endpoint.answer(b"half", length=8))
            await connection.wait_for_hang_up()

        async def scenario() -> None:
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                error = await _error(
                    http_client.HttpClient(), endpoint.port, **limits
                )
                assert isinstance(error, errors.CallTimeout)
                await endpoint.wait_for_hang_up()

        asyncio.run(scenario())


class TestReuse:
    """Idle connections are kept, but only clean ones."""

    @staticmethod
    def _connections_after_two_calls(answers, **options) -> int:
        async def scenario() -> int:
            async def script(connection) -> None:
                while True:
                    await connection.run()
                    await connection.send(answers)

            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                first = await _post(client, endpoint.port)
                second = await _post(client, endpoint.port, **options)
                assert first == second == b"one"
                return endpoint.connections

        return asyncio.run(scenario())

    def test_clean_connection_is_reused(self) -> None:
        answer = raw_endpoint.answer(b"one")
        assert self._connections_after_two_calls(answer) == 1

    def test_a_fresh_connection_is_made_where_asked_for(self) -> None:
        answer = raw_endpoint.answer(b"one")
        assert self._connections_after_two_calls(answer, fresh=True) == 2

    def test_connection_that_is_to_be_closed(self) -> None:
        answer = raw_endpoint.answer(b"one", headers="Connection: close\r\n")
        assert self._connections_after_two_calls(answer) == 2

    def test_bytes_that_nobody_asked_for(self) -> None:
        """An endpoint sends a second answer to the same request.

        The next caller on this connection would read it as its own.
        """
        answer = raw_endpoint.answer(b"one") + raw_endpoint.answer(b"two")
        assert self._connections_after_two_calls(answer) == 2

    def test_endpoint_closes_an_idle_connection(self) -> None:
        """The next call must not fail for that."""

        async def scenario() -> None:
            async def script(connection) -> None:
                await connection.run()
                await connection.send(raw_endpoint.answer(b"one"))

            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                for _ in range(5):
                    assert await _post(client, endpoint.port) == b"one"
                    await _turns_until(lambda: client.idle_count() == 0)
                assert endpoint.connections == 5

        asyncio.run(scenario())

    @pytest.mark.parametrize("ends", [True, False])
    def test_released_before_the_end_has_come(self, ends) -> None:
        """A reader knows by the content that it has the whole answer.

        Its connection serves another call once the answer has ended, and is
        closed if that never comes: sockets of a faulty engine would pile up.
        """
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

        async def scenario() -> None:
            released = asyncio.Event()

            async def script(connection) -> None:
                await connection.run()
                await connection.send(head + b"3\r\none\r\n")
                await released.wait()
                if ends:
                    await connection.send(b"0\r\n\r\n")
                await connection.wait_for_hang_up()

            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                response = await client.call(
                    "127.0.0.1", endpoint.port, "POST", "/", {}
                )
                async for chunk in response.chunks():
                    assert chunk == b"one"
                    break
                response.release()
                released.set()
                if ends:
                    await _turns_until(lambda: client.idle_count() == 1)
                else:
                    await endpoint.wait_for_hang_up()
                    assert client.idle_count() == 0

        asyncio.run(scenario())

    def test_answer_before_the_whole_request_was_read(self) -> None:
        """An endpoint refuses a large body without reading it.

        The rest of the body would be read as the start of the next request.
        """
        size = 30_000_000

        async def scenario() -> None:
            answered = asyncio.Event()
            arrived = asyncio.get_running_loop().create_future()

            async def script(connection) -> None:
                await connection.reader.readuntil(b"\r\n\r\n")
                await connection.send(raw_endpoint.answer(b"too large"))
                await answered.wait()
                arrived.set_result(len(await connection.reader.read()))

            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                response = await client.call(
                    "127.0.0.1", endpoint.port, "POST", "/", {}, bytes(size)
                )
                assert await response.read(100) == b"too large"
                answered.set()
                assert await arrived < size
                assert client.idle_count() == 0

        asyncio.run(scenario())


class TestSlowReader:
    """A caller reads slower than the engine sends."""

    def test_memory_stays_bounded(self) -> None:
        """A caller on a bad line reads a long answer, byte by byte.

        The process would hold the whole answer, and die with many such.
        """
        total = 48_000_000
        # What kernels may hold of a connection on both sides, at most.
        bound = 16_000_000

        async def scenario() -> None:
            sent = 0

            async def script(connection) -> None:
                nonlocal sent
                await connection.run()
                await connection.send(raw_endpoint.answer(b"", length=total))
                while sent < total:
                    await connection.send(bytes(100_000))
                    sent += 100_000

            client = http_client.HttpClient()
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                response = await client.call(
                    "127.0.0.1", endpoint.port, "POST", "/", {}
                )
                read = 0
                async for chunk in response.chunks():
                    for _ in range(4):
                        await asyncio.sleep(0)
                    assert response.buffered() <= 200_000
                    assert sent - read <= bound
                    read += len(chunk)
                assert read == total

        asyncio.run(scenario())

    def test_answer_larger_than_allowed(self) -> None:
        async def script(connection) -> None:
            await connection.run()
            await connection.send(raw_endpoint.answer(bytes(2_000_000)))

        async def scenario() -> None:
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                error = await _error(http_client.HttpClient(), endpoint.port)
                assert isinstance(error, errors.AnswerTooLarge)

        asyncio.run(scenario())
