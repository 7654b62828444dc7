"""Tests of requests that reach a process just before it ends."""

import socket
import subprocess
import sys

import pytest

_PROGRAM = """
import asyncio
import sys

from tornado import web

from cowsliprill import environment
from cowsliprill import graceful_server
from cowsliprill import process
from cowsliprill.observability import log
from cowsliprill.observability import metrics


class Echo(web.RequestHandler):
    def post(self):
        self.finish(self.request.body)


async def drain():
    print("drained", flush=True)
    # Blocks the event loop, as a process that gets no processor time.
    sys.stdin.readline()


async def serve():
    server = process.Process(
        environment.Environment(
            vm="vm-0", availability_zone="gasabo", process="p"
        ),
        log.open_log("p"),
        metrics.Metrics(),
        unready_reason=str,
        status=dict,
        drain=drain,
    )
    server.listen([("/echo", Echo)])
    server.listen_public(
        graceful_server.GracefulServer(web.Application([("/echo", Echo)]))
    )
    print(server.port, server.public_port, flush=True)
    ended = asyncio.create_task(server.run_until_stopped())
    await asyncio.to_thread(sys.stdin.readline)
    server.stop()
    await ended


asyncio.run(serve())
"""

_BODY = b"Tuesday at nine"
_REQUEST = (
    b"POST /echo HTTP/1.1\r\nHost: vm-0\r\nContent-Length: 15\r\n\r\n" + _BODY
)
_HALF = len(_REQUEST) - 7


class _Program:
    """A process whose end a test controls."""

    def __init__(self) -> None:
        self._popen = subprocess.Popen(
            [sys.executable, "-c", _PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.ports = [int(port) for port in self.read_line().split()]

    def __enter__(self) -> "_Program":
        return self

    def __exit__(self, *unused: object) -> None:
        self._popen.kill()
        self._popen.communicate()

    def read_line(self) -> str:
        return self._popen.stdout.readline()

    def proceed(self) -> None:
        self._popen.stdin.write("\n")
        self._popen.stdin.flush()

    def drain(self) -> None:
        """Drains it; its event loop is blocked before it ends."""
        self.proceed()
        assert self.read_line() == "drained\n"

    def wait(self) -> int:
        return self._popen.wait(30)


def _connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=30)


def _receive_all(connection: socket.socket) -> bytes:
    answer = b""
    while chunk := connection.recv(65_536):
        answer += chunk
    return answer


@pytest.mark.parametrize("port_number", [0, 1], ids=["peer", "public"])
class TestRequestsBeforeTheEnd:
    """Each request that was sent before the process ended is answered."""

    # Guards against a reset connection that the process hadn't accepted yet.
    def test_request_on_a_connection_that_is_not_accepted(self, port_number):
        with _Program() as program:
            program.drain()
            connection = _connect(program.ports[port_number])
            connection.sendall(_REQUEST)
            program.proceed()
            answer = _receive_all(connection)
            assert program.wait() == 0
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(_BODY)

    # Guards against a reset kept connection whose request wasn't read.
    def test_request_on_a_kept_connection(self, port_number):
        with _Program() as program:
            connection = _connect(program.ports[port_number])
            connection.sendall(_REQUEST)
            assert connection.recv(65_536).endswith(_BODY)
            program.drain()
            connection.sendall(_REQUEST)
            program.proceed()
            answer = _receive_all(connection)
            assert program.wait() == 0
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(_BODY)

    # Guards against a request that is cut while its body arrives.
    def test_request_whose_body_is_on_its_way(self, port_number):
        with _Program() as program:
            program.drain()
            connection = _connect(program.ports[port_number])
            connection.sendall(_REQUEST[:_HALF])
            program.proceed()
            connection.sendall(_REQUEST[_HALF:])
            answer = _receive_all(connection)
            assert program.wait() == 0
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(_BODY)

    # Guards against a process that an idle or stuck caller keeps from ending.
    def test_callers_that_send_nothing_do_not_keep_the_process(
        self, port_number
    ):
        with _Program() as program:
            idle = _connect(program.ports[port_number])
            stuck = _connect(program.ports[port_number])
            stuck.sendall(_REQUEST[:_HALF])
            program.drain()
            program.proceed()
            assert program.wait() == 0
            assert idle.recv(1) == b""
