"""Virtual clock: an event queue of scheduled callbacks."""

import heapq
from collections.abc import Callable


class VirtualClock:
    """Runs callbacks in order of time; ties run in order of insertion.

    Attributes:
      now: Virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._inserted = 0

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a time, or now if the time has passed."""
        self._inserted += 1
        entry = (max(time, self.now), self._inserted, callback)
        heapq.heappush(self._heap, entry)

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in seconds."""
        self.call_at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Runs all callbacks due before `end` and advances `now` to `end`."""
        while self._heap and self._heap[0][0] < end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = end
