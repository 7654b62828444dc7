"""The task that gets news of the registry from peers.

A process that leaves the store to others asks whoever tells that it knows
more. One that reads the store itself asks where the store doesn't answer.
"""

import asyncio
import random
from collections.abc import Sequence

from cowsliprill import clock
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import endpoints as endpoints_lib
from cowsliprill.registry import follower as follower_lib
from cowsliprill.registry import peers

# How often a process that the store doesn't answer asks a peer instead.
_ASK_S = 0.4

# One that knows nothing yet can't serve until it has asked. Where all VMs of a
# zone start again while the store is away, callers are turned away for so much
# longer than the start itself takes.
_ASK_EMPTY_S = 0.1

# A watch's answer may come a little after a peer's word of the same change.
_BEHIND_S = 0.3

# Peers of the own zone are asked first; those of others only when these have
# had the time to get the news themselves.
_NEAR_FIRST_S = 0.2

# A process that leaves the store to others, and knows that there is news which
# no peer gives it, lists the store itself after this time.
_BEHIND_ALONE_S = 0.8


class PeerNews:
    """Asks peers for what they know beyond this process.

    Args:
      followers: What follows each prefix, in the order in which members tell
        of their newest changes.
      members: The other processes.
      log: The process's log.
      rng: Chooses whom to ask.
      disabled: Mechanisms that are switched off for an experiment.
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
        self._asker = peers.Asker(log)
        self._troubled_until = 0.0
        self._behind_since_by_prefix: dict[str, float] = {}
        self._behind = asyncio.Event()

    def trouble_left_s(self, now: float) -> float:
        """Returns for how long removals may be lapses, by what peers tell."""
        return max(self._troubled_until - now, 0.0)

    def note_trouble(self, left_s: float, now: float) -> None:
        """Takes for how long removals may be lapses, as a peer tells it.

        Args:
          left_s: The time that the peer has left, seconds. A time of its own
            would be passed back and forth and never end.
          now: Time, seconds.
        """
        left_s = min(left_s, endpoints_lib.DOUBT_S)
        self._troubled_until = max(self._troubled_until, now + left_s)

    def look(self, now: float) -> None:
        """Sees to it that news which others tell of are had here as well."""
        loop = asyncio.get_running_loop()
        for follower, newest in zip(
            self._followers, self._members.newest_reported, strict=False
        ):
            prefix = follower.view.prefix
            if newest <= max(follower.view.newest, follower.view.position):
                self._behind_since_by_prefix.pop(prefix, None)
            elif follower.reading:
                loop.call_later(_BEHIND_S, follower.overtake, newest)
            else:
                since = self._behind_since_by_prefix.setdefault(prefix, now)
                if now - since > _BEHIND_ALONE_S:
                    follower.list_once()
                self._behind.set()

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            empty = not all(
                follower.view.newest for follower in self._followers
            )
            try:
                async with asyncio.timeout(_ASK_EMPTY_S if empty else _ASK_S):
                    await self._behind.wait()
            except TimeoutError:
                pass
            self._behind.clear()
            for index, follower in enumerate(self._followers):
                if self.is_needed(follower):
                    await self._ask(index, follower)

    def is_needed(self, follower: follower_lib.Follower) -> bool:
        """Returns whether a prefix's news are to be had from peers now."""
        if self._is_disabled:
            return False
        if not follower.reading:
            return follower.view.prefix in self._behind_since_by_prefix
        empty = not follower.view.newest
        return bool(follower.away_since) and (
            empty or follower.is_away(clock.now())
        )

    async def _ask(self, index: int, follower: follower_lib.Follower) -> None:
        view = follower.view
        members_ahead = self._members.members_ahead(index, view.newest)
        zone = self._members.own.availability_zone
        near = [
            peer for peer in members_ahead if peer.availability_zone == zone
        ]
        if not members_ahead or (not near and self._may_wait(follower)):
            return
        peer = self._random.choice(near or members_ahead)
        answer = await self._asker.ask(peer, view)
        if answer is None:
            return
        self.note_trouble(answer.trouble_left_s, clock.now())
        self._behind_since_by_prefix.pop(view.prefix, None)
        self._note(peer, follower, len(answer.changes))
        follower.took([*answer.changes])
        if not follower.reading and view.newest:
            follower.leave_to_peers()

    def _may_wait(self, follower: follower_lib.Follower) -> bool:
        # Whoever knows nothing yet turns callers away meanwhile.
        since = self._behind_since_by_prefix.get(follower.view.prefix)
        if since is None or not follower.view.newest:
            return False
        if clock.now() - since >= _NEAR_FIRST_S:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(_NEAR_FIRST_S, self._behind.set)
        return True

    def _note(
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
