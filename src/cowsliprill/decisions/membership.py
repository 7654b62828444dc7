"""Which VMs run our processes, learnt from heartbeats that peers pass on.

Pure. Each process sends its own record, and a few that it heard of, to some
peers at each beat. A record is newer by incarnation first, then by heartbeat;
a member whose heartbeat stands still is taken for dead. Nothing is agreed on:
two members may disagree for a while, and what is built on this must bear it.
"""

import dataclasses
import random
from collections.abc import Iterable

from cowsliprill.decisions import leadership

BEAT_S = 1.0

# Peers that hear of one beat. Up to seven processes all hear each other.
FANOUT = 6

# Records of others in one message, so that its size doesn't grow with the
# fleet: some 400 bytes in all.
PASSED_ON = 3

# Beats that may be missed before a member is dead: one may be lost, one late.
_MISSED_BEATS = 3.5


Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What is said of one member.

    Attributes:
      id: Id of its VM.
      host: IP number.
      port: Port for peers, TCP and UDP.
      availability_zone: Where it is.
      incarnation: Rises with each start of the process.
      heartbeat: Rises with each beat of one incarnation.
      ready: Whether it knows settings and endpoints, and may be a home.
      leaving: Whether it takes no more work.
      newest: Revision of the newest registry change that it knows, for each
        prefix that is followed.
      changing: Engines that it has ordered to change, with what they will be.
    """

    id: str
    host: str
    port: int
    availability_zone: str
    incarnation: int
    heartbeat: int = 0
    ready: bool = False
    leaving: bool = False
    newest: tuple[int, ...] = ()
    changing: tuple[tuple[str, str], ...] = ()

    def age(self) -> tuple[int, int]:
        """Returns what makes one record newer than another."""
        return (self.incarnation, self.heartbeat)


@dataclasses.dataclass(slots=True)
class _Peer:
    record: Record
    heard_at: float
    dead: bool = False


class Membership:
    """One process's view of the others.

    Args:
      own: Its own record.
      seeds: Addresses to greet while they aren't known as members.
      rng: Random numbers.

    Attributes:
      own: Its own record.
    """

    def __init__(
        self,
        own: Record,
        seeds: Iterable[Address],
        rng: random.Random,
    ) -> None:
        self.own = own
        self.seeds = tuple(seeds)
        self._random = rng
        self._peers_by_id: dict[str, _Peer] = {}

    def beat(
        self, newest: tuple[int, ...], now: float
    ) -> tuple[list[Record], list[Address]]:
        """Begins the next beat.

        Args:
          newest: Revision of the newest registry change that it knows, for
            each prefix.
          now: Time, seconds.

        Returns:
          The records to send and the addresses to send them to.
        """
        self.own = dataclasses.replace(
            self.own, heartbeat=self.own.heartbeat + 1, newest=newest
        )
        self._bury(now)
        return self._message(), self._targets()

    def tell_changing(self, changing: Iterable[tuple[str, str]]) -> None:
        """Has the next beats tell which engines this process made change."""
        self.own = dataclasses.replace(self.own, changing=tuple(changing))

    def changing(self) -> frozenset[tuple[str, str]]:
        """Returns the engines that live members have ordered to change."""
        records = (self.own, *self.alive())
        return frozenset(pair for record in records for pair in record.changing)

    def announce(
        self, *, ready: bool = False, leaving: bool = False
    ) -> tuple[list[Record], list[Address]]:
        """Tells all at once in which state this process is.

        Members that hear of it one after the other, beat by beat, hold
        different VMs for a home meanwhile.

        Args:
          ready: Whether it may be a home.
          leaving: Whether it takes no more work.

        Returns:
          The record to send and the addresses to send it to.
        """
        self.own = dataclasses.replace(
            self.own,
            heartbeat=self.own.heartbeat + 1,
            ready=ready,
            leaving=leaving,
        )
        everyone = [(record.host, record.port) for record in self.alive()]
        return [self.own], everyone

    def receive(self, records: Iterable[Record], now: float) -> bool:
        """Takes what a peer says.

        Args:
          records: Its own record and others.
          now: Time, seconds.

        Returns:
          Whether the set of live members or one of their states changed.
        """
        changes = [self._take(record, now) for record in records]
        return any(changes)

    def alive(self) -> list[Record]:
        """Returns the records of the live members, without its own."""
        return [
            peer.record for peer in self._peers_by_id.values() if not peer.dead
        ]

    def known(self) -> int:
        """Counts the members ever met in the last lifetimes, itself included.

        What is shared out by a count of members must not grow because some
        can't be heard: they may be alive and use their part.
        """
        return len(self._peers_by_id) + 1

    def electorate(self) -> leadership.Electorate:
        """Returns whom this process knows, for the choice of a leader."""
        records = [peer.record for peer in self._peers_by_id.values()]
        records.append(self.own)
        met = {(record.host, record.port) for record in records}
        return leadership.Electorate(
            own=self.own.id,
            known=frozenset(record.id for record in records),
            heard=len(self.alive()) + 1,
            unmet=len(set(self.seeds) - met),
            patience_s=self.patience_s(),
        )

    def _take(self, record: Record, now: float) -> bool:
        if record.id == self.own.id:
            self._defend(record)
            return False
        peer = self._peers_by_id.get(record.id)
        if peer is None:
            self._peers_by_id[record.id] = _Peer(record, now)
            return True
        if record.age() <= peer.record.age():
            return False
        changed = (
            peer.dead
            or record.leaving != peer.record.leaving
            or record.ready != peer.record.ready
            or record.incarnation != peer.record.incarnation
        )
        peer.record = record
        peer.heard_at = now
        peer.dead = False
        return changed

    def _defend(self, record: Record) -> None:
        # The time of day may have been set back since the last start. Peers
        # would then take all that this process says for old news and bury it.
        if record.incarnation > self.own.incarnation:
            self.own = dataclasses.replace(
                self.own, incarnation=record.incarnation + 1
            )

    def _bury(self, now: float) -> None:
        for peer in self._peers_by_id.values():
            if now - peer.heard_at > self.patience_s():
                peer.dead = True

    def patience_s(self) -> float:
        """Returns how long a member's heartbeat may stand still.

        Where not everyone hears everyone, a heartbeat comes second hand, the
        later the more members there are for the records of each message.
        """
        others = len(self._peers_by_id)
        heard_a_beat = FANOUT * (1 + PASSED_ON)
        beats = _MISSED_BEATS
        if others > FANOUT:
            beats += 2 * others / heard_a_beat
        return beats * BEAT_S

    def _message(self) -> list[Record]:
        others = [
            peer.record for peer in self._peers_by_id.values() if not peer.dead
        ]
        if len(others) > PASSED_ON:
            others = self._random.sample(others, PASSED_ON)
        return [self.own, *others]

    def _targets(self) -> list[Address]:
        # The dead are greeted now and then as well: after a partition both
        # sides hold the other for dead, and nobody else would bring them
        # together again.
        peers = list(self._peers_by_id.values())
        chosen = [peer for peer in peers if not peer.dead]
        if len(chosen) > FANOUT:
            chosen = self._random.sample(chosen, FANOUT)
        dead = [peer for peer in peers if peer.dead]
        if dead:
            chosen.append(self._random.choice(dead))
        targets = {(peer.record.host, peer.record.port) for peer in chosen}
        if len(targets) < FANOUT:
            targets.update(self.seeds)
        targets.discard((self.own.host, self.own.port))
        return sorted(targets)
