"""One child process of a tool or test, with its log read line by line.

The product's processes start no others; starting them is the platform's work,
and on a developer's machine that of the tools.
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
    """Raised when a child process ends or stays silent against expectation."""


def parse_line(line: str) -> dict[str, str]:
    """Reads one key=value log line.

    Args:
      line: The line.

    Returns:
      Values by key, without quotes.
    """
    return {
        key: value.strip('"') for key, value in _KEY_VALUE_PAIR.findall(line)
    }


class Child:
    """A running child process.

    Args:
      name: Name for messages.
      module: Python module to run.
      arguments: Its command line.
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
        """Process id."""
        return self._popen.pid

    @property
    def lines(self) -> list[str]:
        """The newest lines that the process has logged."""
        with self._output_changed:
            return list(self._lines)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
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

        Args:
          event: Value of the key `event`.
          timeout_s: How long to wait at most.
          **pairs: Further pairs that the line must hold.

        Returns:
          The line's pairs.

        Raises:
          ChildError: The process ended, or the event didn't come in time.
        """
        expected_pairs = {"event": event, **pairs}
        end = time.monotonic() + timeout_s
        with self._output_changed:
            while True:
                for line in self._lines:
                    line_pairs = parse_line(line)
                    if expected_pairs.items() <= line_pairs.items():
                        return line_pairs
                remaining_s = end - time.monotonic()
                if self._output_closed or remaining_s <= 0:
                    tail = "\n".join(list(self._lines)[-20:])
                    raise ChildError(
                        f"{self.name}: no {expected_pairs}\n{tail}"
                    )
                self._output_changed.wait(remaining_s)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process still runs."""
        if self.running:
            self._popen.send_signal(number)

    def wait(self, timeout_s: float = 30.0) -> int:
        """Waits for the end.

        Args:
          timeout_s: How long to wait at most.

        Returns:
          The exit code.

        Raises:
          ChildError: The process still runs after that time.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            tail = "\n".join(self.lines[-20:])
            raise ChildError(f"{self.name} didn't end\n{tail}") from error

    def end(self) -> None:
        """Kills the process, also when it is stopped, and reaps it."""
        if self.running:
            self._popen.kill()
        self._popen.wait()
        self._reader.join()
