"""Task that learns which versions served before all VMs have ended.

Peers tell a process that starts. After all processes have ended together, only
the registry's history can.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill import errors
from cowsliprill.decisions import stream_origins
from cowsliprill.decisions import version_history
from cowsliprill.observability import log as log_lib

# Peers answer within this time, so that a VM that starts alone doesn't read.
_PEERS_FIRST_S = 0.5

# The registry's history reaches back some seconds only.
_READ_FOR_S = 5.0

_INTERVAL_S = 0.3


class VersionRecovery:
    """Reads the registry's history if no peer has told the versions.

    Args:
      history: Software versions listed so far.
      read: Reads the versions listed shortly before.
      log: Log of the process.
    """

    def __init__(
        self,
        history: version_history.VersionHistory,
        read: Callable[[], Awaitable[version_history.RecentVersions]],
        log: log_lib.Log,
    ) -> None:
        self._history = history
        self._read = read
        self._log = log

    async def run(self) -> None:
        """Reads the history once, soon after the first listing."""
        await self._await_listing()
        await asyncio.sleep(_PEERS_FIRST_S)
        until = clock.now() + _READ_FOR_S
        while self._lacks_past() and clock.now() < until:
            await self._recover()
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.Event().wait()

    async def _await_listing(self) -> None:
        while True:
            if self._history.is_observed():
                return
            await asyncio.sleep(_INTERVAL_S)

    def _lacks_past(self) -> bool:
        return self._history.lacks_past(
            stream_origins.STREAM_AGE_MIN_S, clock.now()
        )

    async def _recover(self) -> None:
        try:
            recent = await self._read()
        except errors.CowsliprillError as error:
            self._log.event("recent_versions_unknown", reason=error.message)
            return
        self._log.event(
            "recent_versions_read",
            pools=len(recent.versions_by_pool),
            complete=recent.complete,
        )
        self._history.add_recent(recent)
