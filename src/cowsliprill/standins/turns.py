"""An asyncio lock that serves its waiters by priority."""

import asyncio
import heapq
import itertools


class PriorityLock:
    """Mutual exclusion lock that goes to the waiter of highest priority."""

    def __init__(self) -> None:
        self._locked = False
        self._arrivals = itertools.count()
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []

    async def acquire(self, priority: int) -> None:
        """Waits for the lock and takes it.

        Args:
          priority: Larger goes first; equals go in order of arrival.
        """
        if not self._locked:
            self._locked = True
            return
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        heapq.heappush(self._waiters, (-priority, next(self._arrivals), waiter))
        await waiter

    def release(self) -> None:
        """Hands the lock to the next waiter, or unlocks without any."""
        while self._waiters:
            waiter = heapq.heappop(self._waiters)[2]
            if not waiter.done():
                waiter.set_result(None)
                return
        self._locked = False
