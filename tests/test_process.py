"""Tests of `process`."""

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
    shell = process.Process(
        environment.Environment(
            vm="vm-0", availability_zone="gasabo", process="p"
        ),
        log.open_log("p"),
        metrics.Metrics(),
        unready_reason=str,
        status=dict,
        drain=drain,
    )
    shell.listen([])
    shell.stop()
    await shell.run_until_stopped()


asyncio.run(serve())
os.kill(os.getpid(), signal.SIGTERM)
"""


class TestShutdown:
    """The end of a process that was told to stop."""

    def test_a_signal_at_the_very_end_changes_nothing(self) -> None:
        """An operator repeats SIGTERM just as the process ends by itself.

        It was ended by the signal then, and its exit code -15 looked as if
        requests had been cut.
        """
        ended = subprocess.run(
            [sys.executable, "-c", _PROGRAM],
            capture_output=True,
            check=False,
            text=True,
            timeout=30,
        )
        assert ended.returncode == 0, ended.stderr
        assert "event=stopped" in ended.stderr
