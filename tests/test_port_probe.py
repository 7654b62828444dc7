"""Tests of `dispatch.port_probe` on real sockets."""

import asyncio
import socket

from cowsliprill.decisions import orphans
from cowsliprill.dispatch import port_probe


def _reply_of(port: int) -> orphans.ProbeResult:
    return asyncio.run(port_probe.reply_of("127.0.0.1", port))


class TestReplyOf:
    """A port on which nothing listens is told from one that is silent."""

    def test_a_closed_port_refuses(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            assert _reply_of(taken.getsockname()[1]) == orphans.Refused()

    def test_a_listener_that_says_nothing_is_silent(self) -> None:
        """A paused owner's kernel still takes connections for it."""
        with socket.create_server(("127.0.0.1", 0)) as paused:
            assert _reply_of(paused.getsockname()[1]) == orphans.NoAnswer()
