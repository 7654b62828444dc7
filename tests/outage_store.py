"""Fake registry store with simulated outages, in virtual time."""

import asyncio
import dataclasses

from cowsliprill.decisions import registry_view
from cowsliprill.registry import store as store_lib

_RESPONSE_DELAY_S = 0.004


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """A period in which the store is unavailable.

    Calls made in this period never get a response, or are rejected.

    Attributes:
      begins_at: Start in seconds of the event loop's clock.
      ends_at: End in seconds of the event loop's clock.
      refuses: Whether calls are rejected at once instead of never returning.
      drops_held_watches: Whether watches held at the start are lost; if not,
        they return after the outage.
      loses_history: Whether the store has compacted its history afterwards.
    """

    begins_at: float
    ends_at: float
    refuses: bool = False
    drops_held_watches: bool = False
    loses_history: bool = False


class OutageStore:
    """Implements `registry.store.Store` on a list of changes.

    Attributes:
      outages: Periods in which the store is unavailable.
    """

    def __init__(self) -> None:
        self.outages: list[Outage] = []
        self._changes: list[registry_view.Change] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._cut_futures: set[asyncio.Future[None]] = set()

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return len(self._changes)

    def put(self, key: str, value: bytes) -> None:
        """Writes an entry."""
        revision = self.revision + 1
        self._add(registry_view.Entry(key=key, value=value, revision=revision))

    def remove(self, key: str) -> None:
        """Removes an entry."""
        self._add(registry_view.Removal(key=key, revision=self.revision + 1))

    def compact(self, revision: int) -> None:
        """Discards the history up to a revision."""
        self._compacted_revision = revision

    def cut_watches(self) -> None:
        """Closes the connections of all held watches."""
        for cut in self._cut_futures:
            cut.set_result(None)

    async def run_outage(self, outage: Outage) -> None:
        """Adds an outage that begins now and waits for its end."""
        self.outages.append(outage)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(outage.ends_at - loop.time())
        if outage.loses_history:
            self._compacted_revision = self.revision

    async def page(
        self, prefix: str, after: str, timeout_s: float
    ) -> store_lib.ListingPage:
        """Lists all entries on one page; see `registry.store.Store`."""
        del after
        try:
            async with asyncio.timeout(timeout_s):
                await self._await_service()
        except TimeoutError as error:
            raise store_lib.StoreError("timed out") from error
        entries_by_key = {}
        for change in self._changes:
            entries_by_key.pop(change.key, None)
            if isinstance(change, registry_view.Entry):
                entries_by_key[change.key] = change
        return store_lib.ListingPage(
            entries=tuple(
                entry
                for key, entry in sorted(entries_by_key.items())
                if key.startswith(prefix)
            ),
            truncated=False,
            as_of=self.revision,
        )

    async def watch(
        self, prefix: str, after: int, wait_s: float, timeout_s: float
    ) -> store_lib.WatchResult:
        """Long-polls for changes; see `registry.store.Store`."""
        cut = asyncio.get_running_loop().create_future()
        self._cut_futures.add(cut)
        response = asyncio.ensure_future(self._respond(prefix, after, wait_s))
        try:
            await asyncio.wait(
                {cut, response},
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self._cut_futures.discard(cut)
            response.cancel()
        if cut.done():
            raise store_lib.StoreError("connection lost")
        if not response.done():
            raise store_lib.StoreError("timed out")
        return response.result()

    async def _respond(
        self, prefix: str, after: int, wait_s: float
    ) -> store_lib.WatchResult:
        await self._await_service()
        if after < self._compacted_revision:
            raise store_lib.HistoryLost("status 410")
        await self._hold_watch(prefix, after, wait_s)
        return store_lib.WatchResult(
            changes=self._changes_after(prefix, after), as_of=self.revision
        )

    def _add(self, change: registry_view.Change) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def _changes_after(
        self, prefix: str, after: int
    ) -> tuple[registry_view.Change, ...]:
        return tuple(
            change
            for change in self._changes
            if change.revision > after and change.key.startswith(prefix)
        )

    def _outage(self) -> Outage | None:
        now = asyncio.get_running_loop().time()
        for outage in self.outages:
            if outage.begins_at <= now < outage.ends_at:
                return outage
        return None

    async def _await_service(self) -> None:
        outage = self._outage()
        if outage is None:
            await asyncio.sleep(_RESPONSE_DELAY_S)
            return
        if outage.refuses:
            raise store_lib.StoreBusy("status 503")
        await asyncio.Event().wait()

    async def _hold_watch(self, prefix: str, after: int, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        until = began_at + wait_s
        while not self._changes_after(prefix, after) and loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        for outage in self.outages:
            if began_at < outage.begins_at <= loop.time():
                if outage.drops_held_watches:
                    await asyncio.Event().wait()
                await asyncio.sleep(outage.ends_at - loop.time())
