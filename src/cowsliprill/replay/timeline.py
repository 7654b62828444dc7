"""Virtual time: a heap of callbacks."""

import heapq
from collections.abc import Callable


class VirtualClock:
    """Runs callbacks in order of time, and of insertion at the same time.

    Attributes:
      now: The virtual time, seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._inserted = 0

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Calls back at a time, or now if that has passed."""
        self._inserted += 1
        entry = (max(time, self.now), self._inserted, callback)
        heapq.heappush(self._heap, entry)

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Calls back after a delay in seconds."""
        self.call_at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Runs everything due before `end`."""
        while self._heap and self._heap[0][0] < end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = end
