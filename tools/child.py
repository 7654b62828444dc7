"""Child process of a tool or test, with its log output captured by line.

The router's own processes never start other processes: the platform starts them
in production, and these tools do on a developer's machine.
"""

import collections
import os
import re
import signal
import subprocess
import sys
import threading
import time

_MAX_KEPT_LINES = 5_000
_KEY_VALUE_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')


class ChildError(Exception):
    """Raised when a child process ends early or misses an expected event."""


def parse_line(line: str) -> dict[str, str]:
    """Parses a log line of key=value pairs.

    Args:
      line: The log line.

    Returns:
      The values by key, without surrounding quotes.
    """
    return {
        key: value.strip('"') for key, value in _KEY_VALUE_PAIR.findall(line)
    }


class Child:
    """Starts a Python module as a child process and captures its output.

    Args:
      name: Name of the process in error messages.
      module: Python module to run.
      arguments: Command-line arguments of the module.
    """

    def __init__(self, name: str, module: str, arguments: list[str]) -> None:
        self.name = name
        self._lines: collections.deque[str] = collections.deque(
            maxlen=_MAX_KEPT_LINES
        )
        self._output_changed = threading.Condition()
        self._output_closed = False
        self._popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env=os.environ,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def pid(self) -> int:
        """Process ID of the child."""
        return self._popen.pid

    @property
    def lines(self) -> list[str]:
        """The latest output lines; older lines are discarded."""
        with self._output_changed:
            return list(self._lines)

    @property
    def running(self) -> bool:
        """Whether the process is still running."""
        return self._popen.poll() is None

    def _read(self) -> None:
        assert self._popen.stdout is not None
        for line in self._popen.stdout:
            with self._output_changed:
                self._lines.append(line.rstrip("\n"))
                self._output_changed.notify_all()
        with self._output_changed:
            self._output_closed = True
            self._output_changed.notify_all()

    def wait_for_event(
        self, event: str, timeout_s: float = 20.0, **pairs: str
    ) -> dict[str, str]:
        """Waits until the process has logged an event.

        Lines that were logged before the call count too.

        Args:
          event: Value of the key `event`.
          timeout_s: Timeout in seconds.
          **pairs: Other key=value pairs that the line must contain.

        Returns:
          All pairs of the first matching line.

        Raises:
          ChildError: The process ended or the timeout expired before the event
            was logged.
        """
        expected_pairs = {"event": event, **pairs}
        deadline = time.monotonic() + timeout_s
        with self._output_changed:
            while True:
                for line in self._lines:
                    line_pairs = parse_line(line)
                    if expected_pairs.items() <= line_pairs.items():
                        return line_pairs
                remaining_s = deadline - time.monotonic()
                if self._output_closed or remaining_s <= 0:
                    tail = "\n".join(list(self._lines)[-20:])
                    raise ChildError(
                        f"{self.name}: no {expected_pairs}\n{tail}"
                    )
                self._output_changed.wait(remaining_s)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.running:
            self._popen.send_signal(number)

    def wait(self, timeout_s: float = 30.0) -> int:
        """Waits until the process exits.

        Args:
          timeout_s: Timeout in seconds.

        Returns:
          The exit code.

        Raises:
          ChildError: The process is still running when the timeout expires.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            tail = "\n".join(self.lines[-20:])
            raise ChildError(f"{self.name} didn't end\n{tail}") from error

    def end(self) -> None:
        """Kills the process with SIGKILL, even if suspended, and reaps it."""
        if self.running:
            self._popen.kill()
        self._popen.wait()
        self._reader.join()
