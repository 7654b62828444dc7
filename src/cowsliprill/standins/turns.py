"""Turns at something that only one may use at a time."""

import asyncio
import heapq
import itertools


class Turns:
    """Grants turns one at a time, those of high priority first."""

    def __init__(self) -> None:
        self._busy = False
        self._count = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    async def acquire(self, priority: int) -> None:
        """Waits for a turn.

        Args:
          priority: Larger goes first; equals go in order of arrival.
        """
        if not self._busy:
            self._busy = True
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (-priority, next(self._count), turn))
        await turn

    def release(self) -> None:
        """Ends a turn."""
        while self._waiting:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self._busy = False
