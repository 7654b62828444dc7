"""Tests of the process lifecycle in `cowsliprill.process`."""

import subprocess
import sys

_PROGRAM = """
import asyncio
import os
import signal
import sys
import threading

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


for _ in range(int(sys.argv[1])):
    threading.Thread(target=threading.Event().wait, daemon=True).start()
asyncio.run(serve())
os.kill(os.getpid(), signal.SIGTERM)
"""


def _run_program(threads: int) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", _PROGRAM, str(threads)],
        capture_output=True,
        check=False,
        text=True,
        timeout=30,
    )


class TestShutdown:
    """Tests of the shutdown of a process after a stop request."""

    def test_sigterm_after_shutdown_does_not_change_the_exit_code(self) -> None:
        """Guards against exit code -15 after a graceful shutdown.

        An operator repeats SIGTERM just as the process exits by itself. When
        the signal terminated the process, its exit code of -15 looked as if
        requests had been cut.
        """
        completed = _run_program(threads=0)
        assert completed.returncode == 0, completed.stderr
        assert "event=stopped" in completed.stderr

    def test_sigterm_after_shutdown_with_other_threads(self) -> None:
        """Guards against exit code -15 where a thread gets the signal.

        Only the main thread has blocked it.
        """
        completed = _run_program(threads=1)
        assert completed.returncode == 0, completed.stderr
