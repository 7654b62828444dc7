"""The task that keeps the settings confirmed as the store's newest.

A process that watches the store is confirmed by its own watches. The others ask
one that does, and the store itself when no peer's confirmation is recent.
"""

import asyncio
import random
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill.decisions import designated_readers
from cowsliprill.decisions import freshness as freshness_lib
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import follower as follower_lib
from cowsliprill.registry import peers
from cowsliprill.registry import store as store_lib

_CHECK_S = 0.2

# Pause after a store that gave no answer. It doubles, so that a store that is
# down isn't pressed by all VMs.
_PAUSE_MIN_S = 0.4
_PAUSE_MAX_S = 3.2


class Confirmation:
    """Keeps one follower's view confirmed.

    Args:
      follower: What follows the settings.
      freshness: How recent they have to be.
      note: Called after each confirmation of the view.
      members: The other processes.
      log: The process's log.
      rng: Chooses whom to ask.
    """

    def __init__(
        self,
        follower: follower_lib.Follower,
        freshness: freshness_lib.Freshness,
        note: Callable[[], None],
        members: membership.Membership,
        log: log_lib.Log,
        rng: random.Random,
    ) -> None:
        self._follower = follower
        self._freshness = freshness
        self._note = note
        self._members = members
        self._log = log
        self._random = rng
        self._asker = peers.Asker(log)
        self._pause_s = _PAUSE_MIN_S
        self._ask_store_at = 0.0

    async def run(self) -> None:
        """Asks until cancelled; returns at once if there is no bound."""
        while self._freshness.is_bounded:
            await asyncio.sleep(_CHECK_S * self._random.uniform(0.5, 1.0))
            now = clock.now()
            self._note()
            if not self._follower.view.newest:
                continue
            if self._freshness.must_query_peers(now):
                await self._ask_peer(now)
            if self._freshness.must_query_store(now):
                await self._ask_store(now)

    async def _ask_peer(self, now: float) -> None:
        peer = self._choose_peer(now)
        if peer is None:
            return
        answer = await self._asker.ask(peer, self._follower.view)
        if answer is None:
            return
        self._follower.took([*answer.changes])
        self._note()

    def _choose_peer(self, now: float) -> member_records.Record | None:
        """Draws a reader of the own zone, or any VM if those didn't help."""
        alive = self._members.alive()
        own = self._members.own
        if not self._freshness.must_query_store(now):
            chosen = designated_readers.readers_in_zone(own, alive)
            alive = [record for record in chosen if record.id != own.id]
        return self._random.choice(alive) if alive else None

    async def _ask_store(self, now: float) -> None:
        if now < self._ask_store_at:
            return
        try:
            await self._follower.confirm()
        except store_lib.StoreError as error:
            self._ask_store_at = clock.now() + self._pause_s
            self._pause_s = min(self._pause_s * 2, _PAUSE_MAX_S)
            self._log.warning(
                "settings_unconfirmed",
                age_s=round(self._freshness.age_s(now), 3),
                reason=error.message,
            )
            return
        self._pause_s = _PAUSE_MIN_S
        self._note()
