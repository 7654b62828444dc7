"""Task that keeps a view of one registry prefix up to date.

Lists the prefix at first and whenever the store has compacted its history, else
long-polls for changes after the last known revision, one call at a time. In a
process that isn't a designated reader the task lists once and then stops
calling the store.
"""

import asyncio
import math
import random
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import store as store_lib

# Timeout of a call that isn't held by the store. A slow store responds within
# a few hundred milliseconds; a call that takes longer was lost.
_CALL_TIMEOUT_S = 1.5

# Longest time for which the store may hold a watch. A watch whose request or
# response is lost looks like one without changes until its timeout. All VMs
# watch again right after a change, so all of them may lose it at once. Entries
# expire after three missed heartbeats; an outage is detected before that, so
# that an expiry isn't taken for a removal.
WATCH_MAX_S = 1.6

# Hold time of the first watch after an outage or after becoming a reader; only
# a response shows that the store is available.
_PROBE_WATCH_S = 0.1

# Added to a watch's hold time for the timeout of the call.
_WATCH_TIMEOUT_MARGIN_S = 0.9

# Delay before the next watch after a change. Changes come in bursts, as when
# engines are replaced, and each response costs a call, so the next watch
# returns the rest of a burst together.
_BATCH_DELAY_S = 0.15

# Exponential backoff after a failed call, so that the fleet doesn't overload a
# failing store. The maximum is short enough for a change to be in force within
# two seconds of the store's recovery.
_BACKOFF_MIN_S = 0.2
_BACKOFF_MAX_S = 0.8

# The store counts as unavailable after this time, not after one failed call.
_UNAVAILABLE_AFTER_S = 0.5

OnChanges = Callable[[list[registry_view.Change]], None]


class Follower:
    """Lists and watches one key prefix and applies the results to a view.

    All times are in seconds of the process's clock.

    Args:
      store: Client of the store.
      view: View to which listings and watches are applied.
      on_changes: Called with the changes that are new to the view.
      log: Log of the process.
      rng: Adds jitter to the backoff.
      watch_timeout_s: Longest time for which a watch is held, in seconds.

    Attributes:
      view: The entries known for the prefix.
      on_changes: Called with the changes that are new to the view.
      reading: Whether this process watches the store itself.
      first_response_at: Time of the store's first response since `reading` last
        changed, infinity if there was none.
      unavailable_since: Time of the first failed call of the current outage, 0
        while the store responds.
      recovered_at: Time of the first response after the last outage.
      response_gap_s: Time without a response before `recovered_at`, in seconds.
      last_response_at: Time of the store's last response.
      answered_calls: Number of calls that succeeded.
      failed_calls: Number of calls that failed.
      last_call_at: Start time of the current or the last call.
    """

    def __init__(
        self,
        store: store_lib.Store,
        view: registry_view.View,
        on_changes: OnChanges,
        log: log_lib.Log,
        rng: random.Random,
        watch_timeout_s: float = WATCH_MAX_S,
    ) -> None:
        self.view = view
        self._watch_timeout_s = min(watch_timeout_s, WATCH_MAX_S)
        self.reading = False
        self.first_response_at = math.inf
        self.unavailable_since = 0.0
        self.recovered_at = 0.0
        self.response_gap_s = 0.0
        self.last_response_at = 0.0
        self.answered_calls = 0
        self.failed_calls = 0
        self.last_call_at = 0.0
        self._store = store
        self.on_changes = on_changes
        self._log = log
        self._random = rng
        self._backoff_s = _BACKOFF_MIN_S
        self._must_list = True
        self._must_poll = False
        self._call: asyncio.Task | None = None
        self._interrupted = False
        self._calls_allowed = asyncio.Event()
        self._calls_allowed.set()

    async def run(self) -> None:
        """Lists and watches the prefix until cancelled."""
        while True:
            await self._calls_allowed.wait()
            self.last_call_at = clock.now()
            self._call = asyncio.create_task(self._poll())
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
                self._record_failure(error)
                await self._back_off()
            except asyncio.CancelledError:
                # The call may be interrupted as the process ends.
                if not self._interrupted or _is_cancelled():
                    self._call.cancel()
                    raise
                self._interrupted = False

    def is_store_unavailable(self, now: float) -> bool:
        """Returns whether the store has been failing for some time."""
        return (
            bool(self.unavailable_since)
            and now - self.unavailable_since > _UNAVAILABLE_AFTER_S
        )

    def catch_up(self, newest: int) -> None:
        """Calls again at once if a peer knows a newer revision.

        A watch whose response is lost or whose connection is dead looks like
        one without changes. Until its timeout, requests would be sent to an
        engine that has left.

        Args:
          newest: Revision of the newest change known to the peer.
        """
        if newest <= self.view.position or self._must_list or self._must_poll:
            return
        if self._has_pending_call():
            self._must_poll = True
            self._interrupt()

    def set_reading(self, reading: bool) -> None:
        """Sets whether this process watches the store itself.

        Args:
          reading: True to watch the store, False to rely on peers.
        """
        if reading == self.reading:
            return
        self.reading = reading
        self.first_response_at = math.inf
        self._log.event(
            "registry_reading", prefix=self.view.prefix, reading=reading
        )
        if reading:
            self._calls_allowed.set()
            return
        if not (self._must_list or self._must_poll):
            self.stop_calls()

    def stop_calls(self) -> None:
        """Stops calling the store, even if the first listing is missing.

        An update from a peer replaces the first listing.
        """
        self.unavailable_since = 0.0
        self._backoff_s = _BACKOFF_MIN_S
        self._must_list = False
        self._must_poll = False
        self._calls_allowed.clear()
        if self._has_pending_call():
            self._interrupt()

    def poll_once(self) -> None:
        """Calls the store once in a process that doesn't watch it.

        Used when a newer change is known to exist and no peer delivers it.
        """
        if not self.reading:
            self._must_poll = True
            self._calls_allowed.set()

    def _has_pending_call(self) -> bool:
        return self._call is not None and not self._call.done()

    def _interrupt(self) -> None:
        self._interrupted = True
        self._call.cancel()

    async def _poll(self) -> None:
        if self._must_list or self._must_poll:
            # A listing hides what came and went since the last state, so it is
            # the last resort.
            await (self._list() if self._must_list else self._watch(0.0))
            self._must_list = self._must_poll = False
            if not self.reading:
                self._calls_allowed.clear()
            return
        # Only a response shows that the store is available. A long watch gets
        # none while nothing changes, and peers would be queried meanwhile.
        probing = self.unavailable_since or math.isinf(self.first_response_at)
        if await self._watch(
            _PROBE_WATCH_S if probing else self._watch_timeout_s
        ):
            await asyncio.sleep(_BATCH_DELAY_S)

    async def _watch(self, wait_s: float) -> bool:
        """Makes one watch call; returns whether there were changes."""
        sent_at = clock.now()
        watched = await self._store.watch(
            self.view.prefix,
            self.view.position,
            wait_s,
            wait_s + _WATCH_TIMEOUT_MARGIN_S,
        )
        self._record_response()
        changes = self.view.apply_watch(watched.changes, watched.as_of)
        # A response is no older than its request; one without changes isn't
        # sent before the hold time is over, unless it ends early.
        is_held = not watched.changes and clock.now() >= sent_at + wait_s
        self.view.confirm(sent_at + wait_s if is_held else sent_at)
        self.on_changes(changes)
        return bool(watched.changes)

    async def revalidate(self) -> None:
        """Polls the store once for changes, without a hold time.

        For a process that doesn't watch the store itself and whose view wasn't
        revalidated by peers recently enough.

        Raises:
          store.StoreError: The store failed or its response is unusable.
        """
        try:
            await self._watch(0.0)
        except store_lib.HistoryLost:
            await self._list()

    async def _list(self) -> None:
        sent_at = clock.now()
        first = await self._store.page(self.view.prefix, "", _CALL_TIMEOUT_S)
        self._record_response()
        entries = [*first.entries]
        page = first
        while page.truncated and page.entries:
            after = page.entries[-1].key
            page = await self._store.page(
                self.view.prefix, after, _CALL_TIMEOUT_S
            )
            entries.extend(page.entries)
        changes = self.view.apply_listing(entries, first.as_of)
        self.view.confirm(sent_at)
        self.on_changes(changes)

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * self._random.uniform(0.7, 1.0))
        self._backoff_s = min(self._backoff_s * 2, _BACKOFF_MAX_S)

    def _record_failure(self, error: store_lib.StoreError) -> None:
        self.failed_calls += 1
        # The response of an interrupted watch may be lost. The next watch
        # starts at the same revision, so no change is skipped.
        if not self.unavailable_since:
            now = clock.now()
            self.unavailable_since = now
            # A long time without a response may hide changes that peers know.
            self._log.warning(
                "registry_away",
                prefix=self.view.prefix,
                reason=error.message,
                waited_s=round(now - self.last_call_at, 3),
                view_age_s=round(now - self.view.confirmed_at, 3),
            )

    def _record_response(self) -> None:
        now = clock.now()
        self.answered_calls += 1
        self.first_response_at = min(self.first_response_at, now)
        self._backoff_s = _BACKOFF_MIN_S
        if self.unavailable_since:
            self.recovered_at = now
            self.response_gap_s = now - self.last_response_at
            self._log.event(
                "registry_back",
                prefix=self.view.prefix,
                away_s=round(self.recovered_at - self.unavailable_since, 3),
                position=self.view.position,
            )
        self.last_response_at = now
        self.unavailable_since = 0.0


def _is_cancelled() -> bool:
    """Returns whether the current task must end."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
