"""A store in virtual time that stands still for a while, as `Store`."""

import asyncio
import dataclasses

from cowsliprill.decisions import registry_view
from cowsliprill.registry import store as store_lib

_ANSWER_S = 0.004


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """A time in which the store gives no answer.

    A call that comes meanwhile is never answered, or refused.

    Attributes:
      begins_at: Its start, seconds of the event loop.
      ends_at: Its end.
      refuses: Whether calls are refused at once instead.
      drops_held: Whether watches that were held before are lost. Else they are
        answered afterwards.
      forgets: Whether the history is gone afterwards.
    """

    begins_at: float
    ends_at: float
    refuses: bool = False
    drops_held: bool = False
    forgets: bool = False


class OutageStore:
    """Keeps changes of entries, and answers unless it stands still.

    Attributes:
      outages: When it stands still.
    """

    def __init__(self) -> None:
        self.outages: list[Outage] = []
        self._changes: list[registry_view.Change] = []
        self._forgotten = 0
        self._changed = asyncio.Event()
        self._cuts: set[asyncio.Future[None]] = set()

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

    def cut_watches(self) -> None:
        """Cuts the connections of all watches that are held."""
        for cut in self._cuts:
            cut.set_result(None)

    async def play(self, outage: Outage) -> None:
        """Adds an outage and waits for its end."""
        self.outages.append(outage)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(outage.ends_at - loop.time())
        if outage.forgets:
            self._forgotten = self.revision

    async def page(
        self, prefix: str, after: str, timeout_s: float
    ) -> store_lib.Page:
        """Lists all entries; see `registry.store.Store`."""
        del after
        try:
            async with asyncio.timeout(timeout_s):
                await self._arrive()
        except TimeoutError as error:
            raise store_lib.StoreError("timed out") from error
        entries_by_key = {}
        for change in self._changes:
            entries_by_key.pop(change.key, None)
            if isinstance(change, registry_view.Entry):
                entries_by_key[change.key] = change
        return store_lib.Page(
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
    ) -> store_lib.Watched:
        """Waits for changes; see `registry.store.Store`."""
        cut = asyncio.get_running_loop().create_future()
        self._cuts.add(cut)
        answering = asyncio.ensure_future(self._answer(prefix, after, wait_s))
        try:
            await asyncio.wait(
                {cut, answering},
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self._cuts.discard(cut)
            answering.cancel()
        if cut.done():
            raise store_lib.StoreError("connection lost")
        if not answering.done():
            raise store_lib.StoreError("timed out")
        return answering.result()

    async def _answer(
        self, prefix: str, after: int, wait_s: float
    ) -> store_lib.Watched:
        await self._arrive()
        if after < self._forgotten:
            raise store_lib.HistoryLost("status 410")
        await self._wait(prefix, after, wait_s)
        return store_lib.Watched(
            changes=self._after(prefix, after), as_of=self.revision
        )

    def _add(self, change: registry_view.Change) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def _after(
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

    async def _arrive(self) -> None:
        outage = self._outage()
        if outage is None:
            await asyncio.sleep(_ANSWER_S)
            return
        if outage.refuses:
            raise store_lib.StoreBusy("status 503")
        await asyncio.Event().wait()

    async def _wait(self, prefix: str, after: int, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        until = began_at + wait_s
        while not self._after(prefix, after) and loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        for outage in self.outages:
            if began_at < outage.begins_at <= loop.time():
                if outage.drops_held:
                    await asyncio.Event().wait()
                await asyncio.sleep(outage.ends_at - loop.time())
