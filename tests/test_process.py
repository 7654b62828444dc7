"""Tests of the process lifecycle in `cowsliprill.process`."""

import subprocess
import sys

_PROGRAM = """
import asyncio
import os
import signal

from cowsliprill import environment
from cowsliprill import process
from cowsliprill.observability import log
from cowsliprill.observability import metrics


async def drain():
    pass


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
    server.listen([])
    server.stop()
    await server.run_until_stopped()


asyncio.run(serve())
os.kill(os.getpid(), signal.SIGTERM)
"""


class TestShutdown:
    """Tests of the shutdown of a process after a stop request."""

    def test_sigterm_after_shutdown_does_not_change_the_exit_code(self) -> None:
        """Guards against exit code -15 after a graceful shutdown.

        An operator repeats SIGTERM just as the process exits by itself. When
        the signal terminated the process, its exit code of -15 looked as if
        requests had been cut.
        """
        completed = subprocess.run(
            [sys.executable, "-c", _PROGRAM],
            capture_output=True,
            check=False,
            text=True,
            timeout=30,
        )
        assert completed.returncode == 0, completed.stderr
        assert "event=stopped" in completed.stderr
