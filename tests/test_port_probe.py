"""Tests of `dispatch.port_probe` on real sockets."""

import asyncio
import socket

from cowsliprill.decisions import orphans
from cowsliprill.dispatch import port_probe


def _probe(port: int) -> orphans.ProbeResult:
    return asyncio.run(port_probe.probe("127.0.0.1", port))


class TestProbe:
    """Distinguishes a closed port from one that gives no answer."""

    def test_closed_port_is_refused(self) -> None:
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            assert _probe(bound.getsockname()[1]) == orphans.Refused()

    def test_listener_without_response_is_silent(self) -> None:
        """The kernel accepts connections for a process that is paused.

        Such an owner must not count as ended.
        """
        with socket.create_server(("127.0.0.1", 0)) as paused:
            assert _probe(paused.getsockname()[1]) == orphans.NoAnswer()
