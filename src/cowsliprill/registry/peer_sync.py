"""Task that fetches registry updates from peers.

A process that doesn't watch the store fetches from any peer that announces a
newer revision. A designated reader does so while the store is unavailable.
"""

import asyncio
import random
from collections.abc import Sequence

from cowsliprill import clock
from cowsliprill.decisions import designated_readers
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import endpoints as endpoints_lib
from cowsliprill.registry import follower as follower_lib
from cowsliprill.registry import peer_exchange

# Interval at which a process queries a peer while the store is unavailable.
_POLL_INTERVAL_S = 0.4

# The same interval for a process without any data, which can't serve requests.
# When all VMs of an availability zone restart during a store outage, requests
# are rejected for this time in addition to the restart itself.
_POLL_INTERVAL_EMPTY_S = 0.1

# Delay before a pending watch is cancelled: its response may arrive a little
# after a peer's announcement of the same change.
_CATCH_UP_DELAY_S = 0.3

# Peers of other availability zones are queried only after this time, in which
# peers of the own zone can receive the change.
_OWN_ZONE_FIRST_S = 0.2

# A process that doesn't watch the store polls it after being behind for this
# time without an update from any peer.
_POLL_AFTER_BEHIND_S = 0.8


class PeerSync:
    """Fetches changes from peers that know newer revisions than this process.

    Args:
      followers: Follower of each prefix, in the order of the newest revisions
        in membership messages.
      members: Membership of the other processes.
      log: Log of the process.
      rng: Chooses the peer to query.
      disabled: Mechanisms disabled for an ablation experiment.
    """

    def __init__(
        self,
        followers: Sequence[follower_lib.Follower],
        members: membership.Membership,
        log: log_lib.Log,
        rng: random.Random,
        disabled: mechanisms.DisabledMechanisms = (),
    ) -> None:
        self._followers = followers
        self._members = members
        self._log = log
        self._random = rng
        self._is_disabled = mechanisms.Mechanism.PEER_UPDATES in disabled
        self._peer_client = peer_exchange.RegistryPeerClient(log)
        self._removal_grace_until = 0.0
        self._behind_since_by_prefix: dict[str, float] = {}
        self._wake_event = asyncio.Event()

    def peer_grace_left_s(self, now: float) -> float:
        """Returns the remaining removal grace period reported by peers.

        Args:
          now: Current time in seconds.

        Returns:
          Seconds, 0 if no grace period is running.
        """
        return max(self._removal_grace_until - now, 0.0)

    def extend_removal_grace(self, left_s: float, now: float) -> None:
        """Extends the removal grace period to the one reported by a peer.

        Args:
          left_s: Remaining grace period of the peer in seconds. If each process
            started a full period of its own instead, peers would extend each
            other's forever.
          now: Current time in seconds.
        """
        left_s = min(left_s, endpoints_lib.REMOVAL_GRACE_S)
        self._removal_grace_until = max(self._removal_grace_until, now + left_s)

    def check_for_updates(self, now: float) -> None:
        """Starts to catch up if members announce newer changes.

        Args:
          now: Current time in seconds.
        """
        loop = asyncio.get_running_loop()
        for follower, newest in zip(
            self._followers, self._members.newest_reported, strict=False
        ):
            prefix = follower.view.prefix
            if newest <= max(follower.view.newest, follower.view.position):
                self._behind_since_by_prefix.pop(prefix, None)
            elif follower.reading:
                loop.call_later(_CATCH_UP_DELAY_S, follower.catch_up, newest)
            else:
                since = self._behind_since_by_prefix.setdefault(prefix, now)
                if now - since > _POLL_AFTER_BEHIND_S:
                    follower.poll_once()
                self._wake_event.set()

    async def run(self) -> None:
        """Fetches updates until cancelled."""
        while True:
            is_empty = not all(
                follower.view.newest for follower in self._followers
            )
            try:
                async with asyncio.timeout(
                    _POLL_INTERVAL_EMPTY_S if is_empty else _POLL_INTERVAL_S
                ):
                    await self._wake_event.wait()
            except TimeoutError:
                pass
            self._wake_event.clear()
            for index, follower in enumerate(self._followers):
                if self.is_needed(follower):
                    await self._fetch(index, follower)

    async def fetch_from_reader(self, follower: follower_lib.Follower) -> None:
        """Fetches what a designated reader of the own zone knows, if any.

        Args:
          follower: Follower of the prefix.
        """
        readers = designated_readers.other_readers_in_zone(
            self._members.own, self._members.alive()
        )
        if self._is_disabled or not readers:
            return
        peer = self._random.choice(readers)
        fetched = await self._peer_client.fetch(peer, follower.view)
        if fetched is not None:
            self.extend_removal_grace(fetched.trouble_left_s, clock.now())
            follower.on_changes([*fetched.changes])

    def is_needed(self, follower: follower_lib.Follower) -> bool:
        """Returns whether updates of a prefix must come from peers now."""
        if self._is_disabled:
            return False
        if not follower.reading:
            return follower.view.prefix in self._behind_since_by_prefix
        is_empty = not follower.view.newest
        return bool(follower.unavailable_since) and (
            is_empty or follower.is_store_unavailable(clock.now())
        )

    async def _fetch(self, index: int, follower: follower_lib.Follower) -> None:
        view = follower.view
        members_ahead = self._members.members_ahead(index, view.newest)
        zone = self._members.own.availability_zone
        same_zone = [
            peer for peer in members_ahead if peer.availability_zone == zone
        ]
        if not members_ahead or (
            not same_zone and self._defer_for_own_zone(follower)
        ):
            return
        peer = self._random.choice(same_zone or members_ahead)
        fetched = await self._peer_client.fetch(peer, view)
        if fetched is None:
            return
        self.extend_removal_grace(fetched.trouble_left_s, clock.now())
        self._behind_since_by_prefix.pop(view.prefix, None)
        self._log_fetch(peer, follower, len(fetched.changes))
        follower.on_changes([*fetched.changes])
        if not follower.reading and view.newest:
            follower.stop_calls()

    def _defer_for_own_zone(self, follower: follower_lib.Follower) -> bool:
        # A process without any data rejects all requests, so it doesn't wait.
        since = self._behind_since_by_prefix.get(follower.view.prefix)
        if since is None or not follower.view.newest:
            return False
        if clock.now() - since >= _OWN_ZONE_FIRST_S:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(_OWN_ZONE_FIRST_S, self._wake_event.set)
        return True

    def _log_fetch(
        self,
        peer: member_records.Record,
        follower: follower_lib.Follower,
        changes: int,
    ) -> None:
        self._log.event(
            "registry_from_peer",
            peer=peer.id,
            prefix=follower.view.prefix,
            changes=changes,
            position=follower.view.position,
        )
