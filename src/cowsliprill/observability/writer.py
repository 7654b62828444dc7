"""Non-blocking writer of log lines.

If the reader of a process's output stops reading, the pipe fills up and the
next write would block the event loop and all requests. Lines therefore pass
through a bounded queue to a writer thread. Lines that don't fit are dropped and
counted, and the count is logged with the next lines written.
"""

import collections
import io
import signal
import threading
from collections.abc import Callable
from typing import TextIO

# Several seconds of output of a busy process, about 300 kB.
MAX_QUEUED_LINES = 1_000

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class NonBlockingWriter(io.TextIOBase):
    """A text stream that queues lines and writes them from a thread.

    Args:
      target: Stream that the lines are written to.
      format_drop_notice: Returns the line that reports a number of dropped
        lines.
      max_queued_lines: Maximum number of lines in the queue.

    Attributes:
      dropped: Number of lines dropped since the start.
    """

    def __init__(
        self,
        target: TextIO,
        format_drop_notice: Callable[[int], str],
        max_queued_lines: int = MAX_QUEUED_LINES,
    ) -> None:
        self.dropped = 0
        self._target = target
        self._format_drop_notice = format_drop_notice
        self._max_queued_lines = max_queued_lines
        self._lines: collections.deque[str] = collections.deque()
        self._unreported_drops = 0
        self._writing = False
        self._state_changed = threading.Condition()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queues a line, or drops the line if the queue is full."""
        with self._state_changed:
            if len(self._lines) >= self._max_queued_lines:
                self.dropped += 1
                self._unreported_drops += 1
            else:
                self._lines.append(text)
                self._state_changed.notify()
        return len(text)

    def flush(self) -> None:
        """Does nothing, as logging must not block."""

    def drain(self, timeout_s: float) -> None:
        """Blocks until all queued lines are written; called at process exit.

        Args:
          timeout_s: Maximum time to wait, as the reader may have stopped.
        """
        with self._state_changed:
            self._state_changed.wait_for(self._is_drained, timeout_s)

    def _is_drained(self) -> bool:
        return not self._lines and not self._writing

    def _run(self) -> None:
        # Left to the main thread, which handles them.
        signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
        while True:
            with self._state_changed:
                self._state_changed.wait_for(lambda: self._lines)
                text = "".join(self._lines)
                self._lines.clear()
                self._writing = True
                unreported_drops, self._unreported_drops = (
                    self._unreported_drops,
                    0,
                )
            if unreported_drops:
                text += self._format_drop_notice(unreported_drops)
            try:
                self._target.write(text)
                self._target.flush()
            except (OSError, ValueError):
                # The reader has closed the pipe: later lines can't be written.
                with self._state_changed:
                    self._lines.clear()
                    self._writing = False
                return
            with self._state_changed:
                self._writing = False
                self._state_changed.notify_all()
