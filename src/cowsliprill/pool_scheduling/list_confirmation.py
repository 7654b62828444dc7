"""Confirms, when asked, that the list of engines is complete."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill import errors
from cowsliprill.observability import log as log_lib

# After a failure, those who wait are told so, and the registry isn't called
# again before this time.
_RETRY_INTERVAL_S = 0.3

# Many callers resume their streams at one moment. After a call, the next one
# waits for this time and serves all who have asked meanwhile.
_CALL_INTERVAL_S = 0.05


class ListConfirmation:
    """Asks the registry for engines that aren't listed here yet.

    A VM that stood still or was cut off is back in contact before its list of
    engines is. One call serves all who asked before it was sent.

    Args:
      call: Reads from the registry what the list lacks.
      confirmed_at: Returns the time in seconds at which the list was last known
        to be complete.
      log: Log of the process.

    Attributes:
      on_end: Called after each call, whether it failed or not.
    """

    def __init__(
        self,
        call: Callable[[], Awaitable[None]],
        confirmed_at: Callable[[], float],
        log: log_lib.Log,
    ) -> None:
        self.on_end: Callable[[], None] = lambda: None
        self._call = call
        self._confirmed_at = confirmed_at
        self._log = log
        self._task: asyncio.Task[None] | None = None
        self._next_at = 0.0
        self._called_at = 0.0

    def begin(self) -> None:
        """Calls the registry, unless a call is under way or has just failed."""
        if self._task is None and clock.now() >= self._next_at:
            self._task = asyncio.create_task(self._run())

    def is_under_way(self) -> bool:
        """Returns whether a call is under way."""
        return self._task is not None

    async def wait(self, since: float) -> bool:
        """Waits until the list is confirmed.

        Args:
          since: Time in seconds by which all listed engines must be known.

        Returns:
          Whether it is; if not, the registry didn't answer.
        """
        while self._confirmed_at() < since:
            self.begin()
            if self._task is None:
                return False
            await asyncio.wait([self._task])
        return True

    async def _run(self) -> None:
        try:
            wait_s = self._called_at + _CALL_INTERVAL_S - clock.now()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self._called_at = clock.now()
            await self._call()
        except errors.CowsliprillError as error:
            self._next_at = clock.now() + _RETRY_INTERVAL_S
            self._log.event("endpoints_unconfirmed", reason=error.message)
        finally:
            self._task = None
        self.on_end()
