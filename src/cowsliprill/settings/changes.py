"""Waiting for the next change of something that one task owns."""

import asyncio


class Changes:
    """Wakes all who wait, at each change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all who wait now."""
        event, self._event = self._event, asyncio.Event()
        event.set()

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the next change.

        Args:
          timeout_s: How long at most, seconds.

        Returns:
          Whether there was one.
        """
        try:
            await asyncio.wait_for(self._event.wait(), timeout_s)
        except TimeoutError:
            return False
        return True
