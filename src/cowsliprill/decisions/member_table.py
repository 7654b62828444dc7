"""Member table of one process, with digests for anti-entropy.

Does no I/O. Two processes with the same knowledge have the same digest, in
whatever order they received it. The table is divided into buckets by a hash of
the member id, so that two processes with different digests can compare bucket
digests and exchange only the buckets that differ.
"""

import dataclasses
import math
from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import member_records as records_lib

# Sized so that all bucket digests fit into one datagram, and so does one
# bucket's content in a fleet of some hundred VMs.
BUCKETS = 32


@dataclasses.dataclass(slots=True)
class Member:
    """Local state about another member.

    Attributes:
      update: The newest update known: the member's record and status.
      status_changed_at: Time of the last status change in seconds; with status
        SUSPECT, the start of the suspicion timeout.
      last_received_at: Time of the last message from the member in seconds.
      monitored: Whether this process monitors the member's heartbeats.
      newest_revisions: Newest registry revisions that the member reported, one
        for each key prefix.
    """

    update: records_lib.GossipUpdate
    status_changed_at: float = 0.0
    last_received_at: float = -math.inf
    monitored: bool = False
    newest_revisions: tuple[int, ...] = ()

    @property
    def record(self) -> records_lib.Record:
        """The member's record."""
        return self.update.record

    @property
    def status(self) -> records_lib.MemberStatus:
        """The member's status."""
        return self.update.status


class MemberTable:
    """The other members by id, and the process's own record.

    Args:
      own: The process's own record.

    Attributes:
      members_by_id: The other members.
      digests: Digest of each bucket, the own record included.
      revision: Increases with each change of the table.
    """

    def __init__(self, own: records_lib.Record) -> None:
        self.members_by_id: dict[str, Member] = {}
        self.digests = [0] * BUCKETS
        self.revision = 0
        self._own = records_lib.GossipUpdate(record=own)
        self._toggle_digest(self._own)

    @property
    def own(self) -> records_lib.Record:
        """The process's own record."""
        return self._own.record

    @own.setter
    def own(self, record: records_lib.Record) -> None:
        self._toggle_digest(self._own)
        self._own = records_lib.GossipUpdate(record=record)
        self._toggle_digest(self._own)
        self.revision += 1

    def digest(self) -> int:
        """Returns the digest of the whole table."""
        whole = 0
        for bucket_digest in self.digests:
            whole ^= bucket_digest
        return whole

    def apply(self, update: records_lib.GossipUpdate, now: float) -> bool:
        """Applies an update about another member.

        Args:
          update: The update.
          now: Current time in seconds.

        Returns:
          Whether the update overrides what was known.
        """
        member_id = update.record.id
        member = self.members_by_id.get(member_id)
        if member is None:
            self.members_by_id[member_id] = Member(
                update, status_changed_at=now
            )
            self._toggle_digest(update)
            self.revision += 1
            return True
        if update.precedence() <= member.update.precedence():
            return False
        if update.status is not member.status:
            member.status_changed_at = now
        self._toggle_digest(member.update)
        member.update = update
        self._toggle_digest(update)
        self.revision += 1
        return True

    def alive(self) -> list[Member]:
        """Returns the other members that are alive or suspect."""
        dead = records_lib.MemberStatus.DEAD
        return [
            member
            for member in self.members_by_id.values()
            if member.status is not dead
        ]

    def dead(self) -> list[Member]:
        """Returns the other members that are considered dead."""
        dead = records_lib.MemberStatus.DEAD
        return [
            member
            for member in self.members_by_id.values()
            if member.status is dead
        ]

    def differing(
        self, digests: Iterable[int]
    ) -> list[records_lib.GossipUpdate]:
        """Returns the updates in buckets that differ from another table's.

        Args:
          digests: Bucket digests of the other table, in bucket order.
        """
        buckets = {
            bucket
            for bucket, (own, other) in enumerate(
                zip(self.digests, digests, strict=False)
            )
            if own != other
        }
        known = [member.update for member in self.members_by_id.values()]
        return [
            update
            for update in (self._own, *known)
            if _bucket(update.record.id) in buckets
        ]

    def _toggle_digest(self, update: records_lib.GossipUpdate) -> None:
        # XOR: the same call adds an update to the digest or removes it.
        self.digests[_bucket(update.record.id)] ^= _digest(update)


def _bucket(member_id: str) -> int:
    return xxhash.xxh3_64_intdigest(member_id.encode()) % BUCKETS


def _digest(update: records_lib.GossipUpdate) -> int:
    # SUSPECT is left out, since a suspicion ends by itself within seconds.
    record = update.record
    dead = update.status is records_lib.MemberStatus.DEAD
    text = f"{record.id}\0{record.incarnation}\0{record.version}\0{dead}"
    return xxhash.xxh32_intdigest(text.encode())
