"""The task that follows one prefix of the registry.

One waiting call at a time. It lists at first and whenever the store has lost
its history; else it watches from where it stands. A process that needn't read
for itself lists once and then leaves the store alone.
"""

import asyncio
import math
import random
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import store as store_lib

# Time for a call that needn't wait. A store that is slow answers in some
# hundred milliseconds; what takes longer was lost.
_CALL_S = 1.5

# A watch may be held this long. A watch that the store never got, or whose
# answer is lost, looks like one without news until its time is over. All VMs
# watch again right after a change, so it may be lost to all of them at once.
# Entries lapse after three heartbeats without one; a store that is away is
# noticed before, so that a lapse isn't taken for a removal.
WATCH_S = 1.6

# The first watch of a store that was away, or that others watched before.
_FIRST_WATCH_S = 0.1

# What a held watch may take beyond its time.
_WATCH_GRACE_S = 0.9

# Changes often come in groups: engines are replaced, settings follow others.
# Each answer costs a call, so the next one waits for the rest of its group.
_GROUP_S = 0.15

# Pause after a failed call. It doubles, so that a store that is down isn't
# pressed by the whole fleet, and ends soon enough after its return for a
# change to be in force within two seconds.
_PAUSE_MIN_S = 0.2
_PAUSE_MAX_S = 0.8

# A single failed call doesn't make a store that is away.
_AWAY_S = 0.5

Took = Callable[[list[registry_view.Change]], None]


class Follower:
    """Follows one prefix.

    Args:
      store: Reads the store.
      view: Where what is read goes.
      took: Called with what is new.
      log: The process's log.
      rng: Spreads the retries.
      watch_timeout_s: How long a watch may be held, seconds.

    Attributes:
      view: What is known.
      reading: Whether this process watches the store itself.
      began_at: When the store first answered since it does so, seconds;
        infinity if it hasn't yet.
      away_since: When the store stopped answering, 0 while it answers.
      back_at: When it last answered again after it had been away.
      silent_s: For how long it had given no answer then, seconds.
      answered_at: When it last answered.
      answered: Calls that the store has answered.
      failed: Calls that it hasn't.
      called_at: When the current call, or the last one, was sent.
    """

    def __init__(
        self,
        store: store_lib.Store,
        view: registry_view.View,
        took: Took,
        log: log_lib.Log,
        rng: random.Random,
        watch_timeout_s: float = WATCH_S,
    ) -> None:
        self.view = view
        self._watch_timeout_s = min(watch_timeout_s, WATCH_S)
        self.reading = False
        self.began_at = math.inf
        self.away_since = 0.0
        self.back_at = 0.0
        self.silent_s = 0.0
        self.answered_at = 0.0
        self.answered = 0
        self.failed = 0
        self.called_at = 0.0
        self._store = store
        self.took = took
        self._log = log
        self._random = rng
        self._pause_s = _PAUSE_MIN_S
        self._must_list = True
        self._call: asyncio.Task | None = None
        self._interrupted = False
        self._may_call = asyncio.Event()
        self._may_call.set()

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            await self._may_call.wait()
            self.called_at = clock.now()
            self._call = asyncio.create_task(self._step())
            try:
                await self._call
            except store_lib.HistoryLost as error:
                self._log.event(
                    "registry_history_lost",
                    prefix=self.view.prefix,
                    position=self.view.position,
                    reason=error.message,
                )
                self._must_list = True
            except store_lib.StoreError as error:
                self._note_away(error)
                await self._pause()
            except asyncio.CancelledError:
                if not self._interrupted:
                    self._call.cancel()
                    raise
                self._interrupted = False

    def is_away(self, now: float) -> bool:
        """Returns whether the store hasn't answered for some time."""
        return bool(self.away_since) and now - self.away_since > _AWAY_S

    def overtake(self, newest: int) -> None:
        """Ends a wait when a peer has read further than this process.

        A watch whose answer is lost, or whose connection has fallen silent,
        looks like one without news. One would notice requests that go to an
        engine which has left, until the watch's time is over.

        Args:
          newest: Revision of the newest change that the peer knows.
        """
        if newest <= self.view.position or self._must_list:
            return
        if self._is_calling():
            self._must_list = True
            self._interrupt()

    def set_reading(self, reading: bool) -> None:
        """Has this process watch the store itself, or leave that to others.

        Args:
          reading: Whether it does.
        """
        if reading == self.reading:
            return
        self.reading = reading
        self.began_at = math.inf
        self._log.event(
            "registry_reading", prefix=self.view.prefix, reading=reading
        )
        if reading:
            self._may_call.set()
            return
        if not self._must_list:
            self.leave_to_peers()

    def leave_to_peers(self) -> None:
        """Ends all calls; a peer's news have made a first listing needless."""
        self.away_since = 0.0
        self._pause_s = _PAUSE_MIN_S
        self._must_list = False
        self._may_call.clear()
        if self._is_calling():
            self._interrupt()

    def list_once(self) -> None:
        """Has this process list the store, though it doesn't watch it.

        It knows that there is news and no peer gives them.
        """
        if not self.reading:
            self._must_list = True
            self._may_call.set()

    def _is_calling(self) -> bool:
        return self._call is not None and not self._call.done()

    def _interrupt(self) -> None:
        self._interrupted = True
        self._call.cancel()

    async def _step(self) -> None:
        if self._must_list:
            await self._list()
            self._must_list = False
            if not self.reading:
                self._may_call.clear()
            return
        # Only an answer shows that the store is there. A long watch has none
        # while nothing changes, and peers would be asked all the while.
        unsure = self.away_since or math.isinf(self.began_at)
        if await self._watch(
            _FIRST_WATCH_S if unsure else self._watch_timeout_s
        ):
            await asyncio.sleep(_GROUP_S)

    async def _watch(self, wait_s: float) -> bool:
        """Watches once; returns whether there were changes."""
        sent_at = clock.now()
        watched = await self._store.watch(
            self.view.prefix,
            self.view.position,
            wait_s,
            wait_s + _WATCH_GRACE_S,
        )
        self._note_back()
        changes = self.view.apply_watch(watched.changes, watched.as_of)
        # The store answers no sooner than it is asked, and without changes not
        # before the wait is over.
        as_of = sent_at if watched.changes else sent_at + wait_s
        self.view.confirm(min(as_of, clock.now()))
        self.took(changes)
        return bool(watched.changes)

    async def confirm(self) -> None:
        """Asks the store once whether anything has changed, without waiting.

        For a process that doesn't watch the store itself, when its peers'
        confirmations are too old.

        Raises:
          store.StoreError: The store gave no usable answer.
        """
        try:
            await self._watch(0.0)
        except store_lib.HistoryLost:
            await self._list()

    async def _list(self) -> None:
        sent_at = clock.now()
        first = await self._store.page(self.view.prefix, "", _CALL_S)
        self._note_back()
        entries = [*first.entries]
        page = first
        while page.truncated and page.entries:
            after = page.entries[-1].key
            page = await self._store.page(self.view.prefix, after, _CALL_S)
            entries.extend(page.entries)
        changes = self.view.apply_listing(entries, first.as_of)
        self.view.confirm(sent_at)
        self.took(changes)

    async def _pause(self) -> None:
        await asyncio.sleep(self._pause_s * self._random.uniform(0.7, 1.0))
        self._pause_s = min(self._pause_s * 2, _PAUSE_MAX_S)

    def _note_away(self, error: store_lib.StoreError) -> None:
        self.failed += 1
        # A watch that was cut may have missed its answer; the next one goes
        # on from the same revision, so nothing is skipped.
        if not self.away_since:
            now = clock.now()
            self.away_since = now
            # A long wait without an answer may hide changes that others have.
            self._log.warning(
                "registry_away",
                prefix=self.view.prefix,
                reason=error.message,
                waited_s=round(now - self.called_at, 3),
                view_age_s=round(now - self.view.confirmed_at, 3),
            )

    def _note_back(self) -> None:
        now = clock.now()
        self.answered += 1
        self.began_at = min(self.began_at, now)
        self._pause_s = _PAUSE_MIN_S
        if self.away_since:
            self.back_at = now
            self.silent_s = now - self.answered_at
            self._log.event(
                "registry_back",
                prefix=self.view.prefix,
                away_s=round(self.back_at - self.away_since, 3),
                position=self.view.position,
            )
        self.answered_at = now
        self.away_since = 0.0
