"""Waiting for the next change of something that one task owns."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class Changes:
    """Wakes all who wait, at each change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all who wait now."""
        event, self._event = self._event, asyncio.Event()
        event.set()

    def wait(self, timeout_s: float) -> Coroutine[Any, Any, bool]:
        """Waits for the next change after this call.

        The call itself marks the moment, not the first step of the coroutine
        that it returns: a change between the two would otherwise be missed,
        and be told to peers only at the next regular exchange.

        Args:
          timeout_s: How long at most, seconds.

        Returns:
          A coroutine that tells whether there was one.
        """
        return _wait(self._event, timeout_s)


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return False
    return True
