"""Writes log lines without ever making the process wait.

Whoever reads a process's output may stop reading; the pipe fills up, and the
next write would block the event loop and with it all requests. Lines go
through a bounded queue to a thread of their own. What doesn't fit is dropped
and counted, and the count is written once there is room again.
"""

import collections
import io
import threading
from collections.abc import Callable
from typing import TextIO

# Lines that wait for the reader: some seconds of a busy process, about 300 kB.
LINES_MAX = 1_000


class Writer(io.TextIOBase):
    """A stream that takes lines at once and writes them when it can.

    Args:
      target: Where the lines go.
      note_dropped: Writes a line that tells how many lines were dropped.
      lines_max: Lines that may wait.

    Attributes:
      dropped: Lines dropped since the start.
    """

    def __init__(
        self,
        target: TextIO,
        note_dropped: Callable[[int], str],
        lines_max: int = LINES_MAX,
    ) -> None:
        self.dropped = 0
        self._target = target
        self._note_dropped = note_dropped
        self._lines_max = lines_max
        self._lines: collections.deque[str] = collections.deque()
        self._dropped_unsaid = 0
        self._writing = False
        self._news = threading.Condition()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Takes a line, or drops it."""
        with self._news:
            if len(self._lines) >= self._lines_max:
                self.dropped += 1
                self._dropped_unsaid += 1
            else:
                self._lines.append(text)
                self._news.notify()
        return len(text)

    def flush(self) -> None:
        """Does nothing: whoever logs must not wait."""

    def drain(self, timeout_s: float) -> None:
        """Waits until all is written, at the end of the process.

        Args:
          timeout_s: How long to wait for a reader that may not read.
        """
        with self._news:
            self._news.wait_for(self._is_written, timeout_s)

    def _is_written(self) -> bool:
        return not self._lines and not self._writing

    def _run(self) -> None:
        while True:
            with self._news:
                self._news.wait_for(lambda: self._lines)
                text = "".join(self._lines)
                self._lines.clear()
                self._writing = True
                said, self._dropped_unsaid = self._dropped_unsaid, 0
            if said:
                text += self._note_dropped(said)
            try:
                self._target.write(text)
                self._target.flush()
            except (OSError, ValueError):
                # The reader is gone for good; there is nobody left to tell.
                with self._news:
                    self._lines.clear()
                    self._writing = False
                return
            with self._news:
                self._writing = False
                self._news.notify_all()
