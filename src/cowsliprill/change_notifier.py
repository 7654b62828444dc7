"""Change notification between asyncio tasks."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class ChangeNotifier:
    """Wakes all waiting tasks at each change, like a condition variable."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all tasks that are waiting now."""
        event, self._event = self._event, asyncio.Event()
        event.set()

    def wait(self, timeout_s: float) -> Coroutine[Any, Any, bool]:
        """Waits for the next change after this call.

        The wait covers changes from this call on, not only from the first
        step of the returned coroutine. A change between the two would
        otherwise be missed and reach peers only with the next periodic gossip.

        Args:
          timeout_s: Timeout in seconds.

        Returns:
          A coroutine that returns True after a change, False on timeout.
        """
        return _wait(self._event, timeout_s)


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
