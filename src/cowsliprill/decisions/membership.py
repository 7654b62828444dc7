"""Cluster membership: which VMs run this software, by a SWIM-style protocol.

Does no I/O. Each process asks a few members to monitor it and sends them
heartbeats. A monitor that misses heartbeats probes the process and then spreads
a suspicion. The suspect process receives it from any member and refutes it; if
it doesn't in time, all members declare it dead. Updates are piggybacked on
every message for some gossip rounds. Remaining differences show by a digest in
each message, and the parts that differ are then requested (anti-entropy). So
neither the size of a message nor the cost of handling it grows with the fleet.

There is no consensus: views of two members may differ for a while, and users of
this module must tolerate that.
"""

import dataclasses
import itertools
import math
import random
from collections.abc import Iterable
from collections.abc import Iterator

from cowsliprill.decisions import anti_entropy
from cowsliprill.decisions import failure_detector as detector_lib
from cowsliprill.decisions import gossip as gossip_lib
from cowsliprill.decisions import leadership
from cowsliprill.decisions import member_records as records_lib
from cowsliprill.decisions import member_table
from cowsliprill.decisions import monitors as monitors_lib
from cowsliprill.decisions import pool_bitmap

HEARTBEAT_S = 1.0

# Time between two calls of `tick`.
TICK_S = 0.5

# Without a message for this long, a process may be the only one that can read
# the registry: it normally receives several messages a second.
_CONTACT_TIMEOUT_S = 1.5

_Messages = list[records_lib.Outgoing]
_ALIVE = records_lib.MemberStatus.ALIVE


class Membership:
    """One process's view of the cluster.

    Args:
      own: The process's own record.
      seeds: Addresses to contact while they aren't known as members.
      rng: Random number generator.

    Attributes:
      seeds: Addresses to contact while they aren't known as members.
      newest_reported: Highest registry revision that any member reported, one
        for each key prefix.
    """

    def __init__(
        self,
        own: records_lib.Record,
        seeds: Iterable[records_lib.Address],
        rng: random.Random,
    ) -> None:
        self.seeds = tuple(seeds)
        self._table = member_table.MemberTable(own)
        self._gossip = gossip_lib.GossipUpdates(
            monitors_lib.MONITORS_PER_MEMBER
        )
        self._random = rng
        self._newest_revisions: tuple[int, ...] = ()
        self._newest_revisions_sent: tuple[int, ...] = ()
        self.newest_reported: tuple[int, ...] = ()
        self._monitors = monitors_lib.Monitors(self._table, rng)
        self._last_heartbeat_at = -math.inf
        self._detector = detector_lib.FailureDetector(
            self._table, self._gossip, rng, TICK_S
        )
        self._anti_entropy = anti_entropy.AntiEntropy()

    # Queries.

    @property
    def own(self) -> records_lib.Record:
        """The process's own record."""
        return self._table.own

    @property
    def revision(self) -> tuple[int, bool]:
        """A value that changes whenever the live members change."""
        return (self._table.revision, self._detector.isolated)

    @property
    def digest(self) -> int:
        """Digest of the member table; equal on all members that agree."""
        return self._table.digest()

    def alive(self) -> list[records_lib.Record]:
        """Returns the records of the live members, without the own one."""
        return [member.record for member in self._alive()]

    def member_count(self) -> int:
        """Returns the number of members ever seen, this process included.

        Dead members count: shares that are divided by the number of members
        must not grow because some are unreachable, since these may be alive
        and still use their shares.
        """
        return len(self._table.members_by_id) + 1

    def newest_incarnation(self) -> int:
        """Returns the highest incarnation of all members ever seen."""
        members = self._table.members_by_id.values()
        records = [self.own, *(member.record for member in members)]
        return max(record.incarnation for record in records)

    def reachable_fraction(self) -> float:
        """Returns the fraction of all members ever seen that are alive."""
        return (len(self._alive()) + 1) / self.member_count()

    def pending_role_changes(self) -> frozenset[tuple[str, str]]:
        """Returns role changes that live members have ordered from engines."""
        records = (self.own, *self.alive())
        return frozenset(
            pair for record in records for pair in record.pending_role_changes
        )

    def without_path(self, pool: str) -> frozenset[str]:
        """Returns ids of the live members that can't reach a pool.

        Args:
          pool: Name of the pool.
        """
        return frozenset(
            member.record.id
            for member in self._alive()
            if pool_bitmap.may_contain(member.record.lost_pools, pool)
        )

    def members_ahead(
        self, prefix: int, revision: int
    ) -> list[records_lib.Record]:
        """Returns the live members that reported newer registry changes.

        Args:
          prefix: Index of the key prefix.
          revision: Revision of the newest change known to this process.
        """
        return [
            member.record
            for member in self._alive()
            if member.newest_revisions[prefix : prefix + 1] > (revision,)
        ]

    def has_recent_contact(self, now: float) -> bool:
        """Returns whether a message of any member arrived recently.

        Args:
          now: Current time in seconds.
        """
        return self._detector.received_within(_CONTACT_TIMEOUT_S, now)

    def membership_view(self) -> leadership.MembershipView:
        """Returns the membership as the leader selection needs it."""
        members = self._table.members_by_id
        known_addresses = {member.record.address for member in members.values()}
        known_addresses.add(self.own.address)
        return leadership.MembershipView(
            own=self.own.id,
            known_ids=frozenset((self.own.id, *members)),
            alive_count=len(self._alive()) + 1,
            undiscovered_seeds=len(set(self.seeds) - known_addresses),
            failure_timeout_s=self.failure_timeout_s(),
        )

    @staticmethod
    def failure_timeout_s() -> float:
        """Returns how long a silent member may count as alive, in seconds."""
        return detector_lib.ISOLATED_AFTER_S + 2 * TICK_S

    def _alive(self) -> list[member_table.Member]:
        # An isolated process is itself cut off, so it reports nobody as alive
        # but keeps the table. If it declared all members dead, others would
        # accept these updates once it is connected again.
        return [] if self._detector.isolated else self._table.alive()

    # Changes of this process's own state.

    def publish_newest(self, revisions: tuple[int, ...]) -> None:
        """Sets the registry revisions to report in messages.

        Args:
          revisions: Newest revision known to this process, one for each key
            prefix.
        """
        self._newest_revisions = revisions

    def publish(self, **changes: object) -> None:
        """Changes the own record; the change is spread by gossip.

        Args:
          **changes: New values by field of the record.
        """
        changed = dataclasses.replace(self.own, **changes)
        if changed == self.own:
            return
        self._set_own(
            dataclasses.replace(changed, version=self.own.version + 1)
        )

    # Time and messages.

    def tick(self, now: float) -> _Messages:
        """Advances timeouts; must be called every `TICK_S`.

        Args:
          now: Current time in seconds.

        Returns:
          Messages to send.
        """
        self._detector.check(now)
        messages = [*self._probe_silent(now), *self._synchronize(now)]
        interval_s = HEARTBEAT_S if self._monitors.ids else TICK_S
        if now - self._last_heartbeat_at >= interval_s - TICK_S / 2:
            self._last_heartbeat_at = now
            messages += self._heartbeat()
        return messages

    def has_unsent_updates(self) -> bool:
        """Returns whether there is an update that was never sent."""
        return (
            self._gossip.has_unsent()
            or self._newest_revisions != self._newest_revisions_sent
        )

    def flush(self) -> _Messages:
        """Sends new updates to the monitors without waiting for a heartbeat.

        If updates spread at the pace of heartbeats, members would act on
        different views meanwhile.

        Returns:
          Messages to send.
        """
        self._newest_revisions_sent = self._newest_revisions
        return [
            *self._gossip_round(self._gossip.next_round(self.member_count()))
        ]

    def receive(self, message: records_lib.Message, now: float) -> _Messages:
        """Handles a message of a member.

        Args:
          message: The message.
          now: Current time in seconds.

        Returns:
          Messages to send at once.
        """
        sender = message.sender
        if sender.id == self.own.id:
            # A seed address may be this process's own, and a message may come
            # from an earlier incarnation of it.
            self._refute(records_lib.GossipUpdate(record=sender))
            return []
        self._detector.record_received(now)
        self._apply_update(records_lib.GossipUpdate(record=sender), now)
        self._record_sender(message, now)
        refuted = [
            self._apply_update(update, now) for update in message.updates
        ]
        self._anti_entropy.compare(message, self.digest, now)
        messages = [*self._sync_replies(message)]
        reply_wanted = (
            message.ping or any(refuted) or self._knows_more_members(message)
        )
        if reply_wanted or self._considered_failed(sender):
            messages.append(self._reply(sender))
        return messages

    # Handling of updates.

    def _apply_update(
        self, update: records_lib.GossipUpdate, now: float
    ) -> bool:
        """Applies an update; returns whether it was wrong about this process.

        Args:
          update: The update.
          now: Current time in seconds.
        """
        if update.record.id == self.own.id:
            return self._refute(update)
        if self._table.apply(update, now):
            self._gossip.add(update.record.id)
            if update.status is _ALIVE:
                member = self._table.members_by_id[update.record.id]
                member.monitored = False
        return False

    def _refute(self, update: records_lib.GossipUpdate) -> bool:
        own = self.own
        if update.precedence() <= (*own.version_key(), _ALIVE):
            if update.status is not _ALIVE:
                # It was refuted before, but the refutation didn't arrive: its
                # receivers may be unreachable.
                self._gossip.add(own.id)
            return update.status is not _ALIVE
        if update.record.incarnation > own.incarnation:
            # The wall clock may have been set back since the last start. The
            # others would then ignore this process's updates as outdated.
            incarnation = update.record.incarnation + 1
            self._set_own(dataclasses.replace(own, incarnation=incarnation))
        else:
            version = update.record.version + 1
            self._set_own(dataclasses.replace(own, version=version))
        return True

    def _record_sender(self, message: records_lib.Message, now: float) -> None:
        member = self._table.members_by_id[message.sender.id]
        member.last_received_at = now
        member.newest_revisions = message.newest_revisions
        member.monitored = message.monitored
        self.newest_reported = tuple(
            max(pair)
            for pair in itertools.zip_longest(
                self.newest_reported, message.newest_revisions, fillvalue=0
            )
        )

    def _considered_failed(self, sender: records_lib.Record) -> bool:
        # The sender is alive but suspect or dead here. Only its own
        # refutation makes all the other members accept that it is alive.
        member = self._table.members_by_id[sender.id]
        return member.status is not _ALIVE

    def _knows_more_members(self, message: records_lib.Message) -> bool:
        # A member that few others know receives few messages. Without a reply
        # it would be the last one to learn of the others.
        return message.member_count < self.member_count()

    def _set_own(self, record: records_lib.Record) -> None:
        self._table.own = record
        self._gossip.add(record.id)

    # Outgoing messages.

    def _probe_silent(self, now: float) -> Iterator[records_lib.Outgoing]:
        for member in self._detector.members_to_probe(now):
            yield self._outgoing(member.record, (member.update,), ping=True)

    def _heartbeat(self) -> Iterator[records_lib.Outgoing]:
        released = self._monitors.rotate()
        chosen = self._gossip.next_round(self.member_count())
        updates = self._updates_of(chosen)
        yield from self._gossip_round(chosen)
        for member in released:
            yield self._outgoing(member.record, updates)
        yield from self._contact_dead_and_seeds(updates)

    def _contact_dead_and_seeds(
        self, updates: tuple[records_lib.GossipUpdate, ...]
    ) -> Iterator[records_lib.Outgoing]:
        # A dead member is contacted at each heartbeat as well. After a network
        # partition each side considers the other dead, and nothing else would
        # rejoin them.
        dead = self._table.dead()
        if dead:
            member = self._random.choice(dead)
            yield self._outgoing(member.record, (member.update, *updates))
        if len(self._monitors.ids) >= monitors_lib.MONITORS_PER_MEMBER:
            return
        monitor_addresses = {
            self._table.members_by_id[member_id].record.address
            for member_id in self._monitors.ids
        }
        monitor_addresses.add(self.own.address)
        for address in self.seeds:
            if address not in monitor_addresses:
                yield records_lib.Outgoing(
                    address,
                    self._message(updates, digests=self._join_digests()),
                )

    def _join_digests(self) -> tuple[int, ...]:
        # A process that knows nobody yet requests the whole table from a seed.
        # Later on, anti-entropy decides when to request differences.
        return () if self._monitors.ids else tuple(self._table.digests)

    def _synchronize(self, now: float) -> Iterator[records_lib.Outgoing]:
        peer = self._anti_entropy.next_peer(now)
        member = self._table.members_by_id.get(peer)
        if member is not None:
            yield self._outgoing(
                member.record, (), digests=tuple(self._table.digests)
            )

    def _sync_replies(
        self, message: records_lib.Message
    ) -> Iterator[records_lib.Outgoing]:
        if not message.digests:
            return
        updates = self._table.differing(message.digests)
        for start in range(0, len(updates), gossip_lib.MESSAGE_UPDATES_MAX):
            chunk = tuple(
                updates[start : start + gossip_lib.MESSAGE_UPDATES_MAX]
            )
            yield self._outgoing(message.sender, chunk)

    def _reply(self, sender: records_lib.Record) -> records_lib.Outgoing:
        member = self._table.members_by_id[sender.id]
        return self._outgoing(sender, (member.update,))

    def _gossip_round(
        self, chosen: list[str]
    ) -> Iterator[records_lib.Outgoing]:
        receivers = [*self._monitors.ids]
        if self.own.id in chosen:
            receivers += self._monitors.sample_others()
        updates = self._updates_of(chosen)
        for member_id in receivers:
            record = self._table.members_by_id[member_id].record
            yield self._outgoing(record, updates)

    def _outgoing(
        self,
        receiver: records_lib.Record,
        updates: tuple[records_lib.GossipUpdate, ...],
        **fields: object,
    ) -> records_lib.Outgoing:
        is_monitor = receiver.id in self._monitors.ids
        message = self._message(updates, monitored=is_monitor, **fields)
        return records_lib.Outgoing(receiver.address, message)

    def _message(
        self, updates: tuple[records_lib.GossipUpdate, ...], **fields: object
    ) -> records_lib.Message:
        return records_lib.Message(
            sender=self.own,
            newest_revisions=self._newest_revisions,
            digest=self.digest,
            member_count=self.member_count(),
            updates=updates,
            **fields,
        )

    def _updates_of(
        self, member_ids: list[str]
    ) -> tuple[records_lib.GossipUpdate, ...]:
        members = self._table.members_by_id
        return tuple(
            members[member_id].update
            for member_id in member_ids
            if member_id in members
        )
