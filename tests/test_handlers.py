"""Tests of the request handlers of the entry process over real connections."""

import asyncio
import socket

from tornado import httpserver
from tornado import netutil
from tornado import web

from cowsliprill.decisions import identity
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import handlers

_REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


def _read_all(port: int) -> bytes:
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.sendall(_REQUEST)
        connection.settimeout(10)
        parts = []
        while part := connection.recv(65_536):
            parts.append(part)
    return b"".join(parts)


class _Site:
    """A server whose responses are streams that never end."""

    def __init__(self) -> None:
        self.gate = gate_lib.Gate(
            identity.Incarnation("vm", "e0", "0"),
            cluster_state_lib.ClusterState(),
        )
        self.started = asyncio.Event()
        handler_arguments = {"gate": self.gate, "handle": self._handle}
        application = web.Application(
            [(".*", handlers.CallHandler, handler_arguments)]
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(sockets)

    async def _handle(self, ctx: context.Context) -> None:
        await ctx.response_writer.start(
            200, [("Content-Type", "text/event-stream")]
        )
        await ctx.response_writer.write(b"id: 1\ndata: a\n\n")
        self.started.set()
        await asyncio.Event().wait()


class TestProcessExit:
    """A process ends during a stream, after its drain timeout."""

    def test_cancelled_stream_is_not_properly_ended(self):
        """Guards against truncated streams that look complete.

        The event loop cancels all tasks when it closes. tornado would then
        properly end the response: the caller would take half of it for the
        complete response and not request the rest.
        """

        async def scenario():
            site = _Site()
            reading = asyncio.create_task(
                asyncio.to_thread(_read_all, site.port)
            )
            await site.started.wait()
            unaffected = {asyncio.current_task(), reading}
            for task in asyncio.all_tasks() - unaffected:
                task.cancel()
            return await asyncio.wait_for(reading, 10)

        answer = asyncio.run(scenario())
        assert b"data: a" in answer
        assert not answer.endswith(_LAST_CHUNK)

    def test_requests_left_after_the_drain_timeout_are_aborted(self):
        async def scenario():
            site = _Site()
            reading = asyncio.create_task(
                asyncio.to_thread(_read_all, site.port)
            )
            await site.started.wait()
            assert await site.gate.wait_until_idle(0.01) == 1
            site.gate.abort_all()
            return await asyncio.wait_for(reading, 10)

        answer = asyncio.run(scenario())
        assert b"data: a" in answer
        assert not answer.endswith(_LAST_CHUNK)
