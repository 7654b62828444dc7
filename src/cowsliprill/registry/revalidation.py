"""Task that revalidates the settings against the registry store.

The settings of a process that watches the store are revalidated by its own
watches. Other processes query a designated reader, and the store itself when no
peer's settings were revalidated recently enough.
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
from cowsliprill.registry import peer_exchange
from cowsliprill.registry import store as store_lib

_CHECK_INTERVAL_S = 0.2

# Exponential backoff after a failed query, so that all VMs together don't
# overload a failing store.
_BACKOFF_MIN_S = 0.4
_BACKOFF_MAX_S = 3.2


class SettingsRevalidator:
    """Keeps the view of one follower revalidated.

    Args:
      follower: Follower of the settings prefix.
      freshness: Maximum staleness of the settings.
      on_revalidated: Called when the view may have been revalidated.
      members: Membership of the other processes.
      log: Log of the process.
      rng: Chooses the peer to query and adds jitter to the interval.
    """

    def __init__(
        self,
        follower: follower_lib.Follower,
        freshness: freshness_lib.Freshness,
        on_revalidated: Callable[[], None],
        members: membership.Membership,
        log: log_lib.Log,
        rng: random.Random,
    ) -> None:
        self._follower = follower
        self._freshness = freshness
        self._on_revalidated = on_revalidated
        self._members = members
        self._log = log
        self._random = rng
        self._peer_client = peer_exchange.RegistryPeerClient(log)
        self._backoff_s = _BACKOFF_MIN_S
        self._next_store_query_at = 0.0

    async def run(self) -> None:
        """Revalidates until cancelled; returns if staleness is unlimited."""
        while self._freshness.is_bounded:
            await asyncio.sleep(
                _CHECK_INTERVAL_S * self._random.uniform(0.5, 1.0)
            )
            now = clock.now()
            self._on_revalidated()
            if not self._follower.view.newest:
                continue
            if self._freshness.must_query_peers(now):
                await self._query_peer(now)
            if self._freshness.must_query_store(now):
                await self._query_store(now)

    async def _query_peer(self, now: float) -> None:
        peer = self._choose_peer(now)
        if peer is None:
            return
        fetched = await self._peer_client.fetch(peer, self._follower.view)
        if fetched is None:
            return
        self._follower.on_changes([*fetched.changes])
        self._on_revalidated()

    def _choose_peer(self, now: float) -> member_records.Record | None:
        """Draws a designated reader of the own availability zone.

        Draws from all live VMs once the settings are stale enough to query the
        store, because the readers of the zone didn't revalidate them.
        """
        alive = self._members.alive()
        own = self._members.own
        if not self._freshness.must_query_store(now):
            alive = designated_readers.other_readers_in_zone(own, alive)
        return self._random.choice(alive) if alive else None

    async def _query_store(self, now: float) -> None:
        if now < self._next_store_query_at:
            return
        try:
            await self._follower.revalidate()
        except store_lib.StoreError as error:
            self._next_store_query_at = clock.now() + self._backoff_s
            self._backoff_s = min(self._backoff_s * 2, _BACKOFF_MAX_S)
            self._log.warning(
                "settings_unconfirmed",
                age_s=round(self._freshness.age_s(now), 3),
                reason=error.message,
            )
            return
        self._backoff_s = _BACKOFF_MIN_S
        self._on_revalidated()
