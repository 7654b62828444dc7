"""Which VMs run our processes, learnt from messages between them.

Pure. A protocol of the SWIM family. Each process has a few others watch it: it
sends them a heartbeat at each beat, and one that misses some asks it, then says
that it suspects it. The suspected one hears of that, from whomever, and says
that it lives; if it doesn't in time, all hold it for dead. What changes is
passed on with every message for some rounds. Who differs all the same notices
by a digest in the messages and asks for the parts that differ. So neither a
message nor the work on one grows with the fleet.

Nothing is agreed on: two members may disagree for a while, and what is built
on this must bear it.
"""

import dataclasses
import itertools
import math
import random
from collections.abc import Iterable
from collections.abc import Iterator

from cowsliprill.decisions import leadership
from cowsliprill.decisions import member_records as records_lib
from cowsliprill.decisions import member_table
from cowsliprill.decisions import rumors as rumors_lib

BEAT_S = 1.0

# Time between two calls of `tick`.
TICK_S = 0.5

# Peers that watch one process. Up to seven processes all watch each other.
FANOUT = 6

# Silence of a watched member after which it is asked, and after which it is
# suspected: a heartbeat and the answers to one or two questions are lost then.
_ASK_AFTER_S = 1.3
_SUSPECT_AFTER_S = 2.1

# How long a suspected member has to say that it lives.
_SUSPICION_S = 1.4

# A process that hears nobody for so long is cut off, or alone.
_ALONE_AFTER_S = _SUSPECT_AFTER_S + _SUSPICION_S

# A longer gap between two ticks means that this process stood still, and not
# that the others were silent.
_STOOD_STILL_S = 1.2

# What is known may differ for so long before a peer is asked: most of it is
# on its way. Questions are apart by at least the second.
_DIFFERS_S = 0.2
_COMPARE_S = 0.4

# A process may be the only one to read the registry if it hears nobody for
# so long: of the several messages a second that it gets, all are missing.
_UNHEARD_S = 1.5

# Members that fell silent lately from which on others are asked as well, how
# many at each tick, and which of them: those not heard for some time. Where a
# zone or half of a fleet is lost, all who watched a lost one may be lost too.
_MANY_SILENT = 3
_SILENT_LATELY_S = 4.0
_QUESTIONS = 6
_UNSURE_S = 2.0

_Sends = list[records_lib.Outgoing]
_ALIVE = records_lib.Standing.ALIVE
_SUSPECTED = records_lib.Standing.SUSPECTED
_DEAD = records_lib.Standing.DEAD


class Membership:
    """One process's view of the others.

    Args:
      own: Its own record.
      seeds: Addresses to greet while they aren't known as members.
      rng: Random numbers.

    Attributes:
      seeds: Addresses to greet while they aren't known as members.
      newest_heard: Newest registry change that any member said it knows, for
        each prefix.
    """

    def __init__(
        self,
        own: records_lib.Record,
        seeds: Iterable[records_lib.Address],
        rng: random.Random,
    ) -> None:
        self.seeds = tuple(seeds)
        self._table = member_table.MemberTable(own)
        self._rumors = rumors_lib.Rumors(FANOUT)
        self._random = rng
        self._newest: tuple[int, ...] = ()
        self._newest_told: tuple[int, ...] = ()
        self.newest_heard: tuple[int, ...] = ()
        self._watchers: list[str] = []
        self._ticked_at = -math.inf
        self._beat_at = -math.inf
        self._heard_at = -math.inf
        self._differs_since = math.inf
        self._differing = ""
        self._differing_known = 0
        self._alone = False
        self._compared_at = -math.inf

    # What is known.

    @property
    def own(self) -> records_lib.Record:
        """Its own record."""
        return self._table.own

    @property
    def revision(self) -> tuple[int, bool]:
        """Differs from what it was after each change of the live members."""
        return (self._table.revision, self._alone)

    @property
    def digest(self) -> int:
        """Digest of what is known of members; the same where all agree."""
        return self._table.digest()

    def alive(self) -> list[records_lib.Record]:
        """Returns the records of the live members, without its own."""
        return [member.record for member in self._alive()]

    def known(self) -> int:
        """Counts the members ever met in the last lifetimes, itself included.

        What is shared out by a count of members must not grow because some
        can't be heard: they may be alive and use their part.
        """
        return len(self._table.members_by_id) + 1

    def changing(self) -> frozenset[tuple[str, str]]:
        """Returns the engines that live members have ordered to change."""
        records = (self.own, *self.alive())
        return frozenset(pair for record in records for pair in record.changing)

    def ahead(self, prefix: int, newest: int) -> list[records_lib.Record]:
        """Returns the live members that said they know newer registry changes.

        Args:
          prefix: Index of the prefix.
          newest: Revision of the newest change known here.
        """
        return [
            member.record
            for member in self._alive()
            if member.newest[prefix : prefix + 1] > (newest,)
        ]

    def hears_somebody(self, now: float) -> bool:
        """Returns whether any member was heard just now."""
        return now - self._heard_at < _UNHEARD_S

    def electorate(self) -> leadership.Electorate:
        """Returns whom this process knows, for the choice of a leader."""
        members = self._table.members_by_id
        met = {member.record.address for member in members.values()}
        met.add(self.own.address)
        return leadership.Electorate(
            own=self.own.id,
            known=frozenset((self.own.id, *members)),
            heard=len(self._alive()) + 1,
            unmet=len(set(self.seeds) - met),
            patience_s=self.patience_s(),
        )

    @staticmethod
    def patience_s() -> float:
        """Returns how long a silent member may be held for alive."""
        return _ALONE_AFTER_S + 2 * TICK_S

    def _alive(self) -> list[member_table.Member]:
        # Who hears nobody at all is cut off from all. The table stays as it
        # is: told to the others later, so many deaths would be believed.
        return [] if self._alone else self._table.alive()

    # What this process says of itself.

    def tell_newest(self, newest: tuple[int, ...]) -> None:
        """Has the messages say which registry changes are known here."""
        self._newest = newest

    def tell(self, **changes: object) -> None:
        """Has the messages say something else of this process.

        Args:
          **changes: Fields of its record.
        """
        changed = dataclasses.replace(self.own, **changes)
        if changed == self.own:
            return
        self._set_own(
            dataclasses.replace(changed, version=self.own.version + 1)
        )

    # Time and messages.

    def tick(self, now: float) -> _Sends:
        """Lets time pass; to be called every `TICK_S`.

        Args:
          now: Time, seconds.

        Returns:
          Messages to send.
        """
        if now - self._ticked_at > _STOOD_STILL_S:
            self._excuse(now)
        self._ticked_at = now
        self._bury(now)
        self._doubt(now)
        sends = [*self._ask_silent(now), *self._compare(now)]
        beat_s = BEAT_S if self._watchers else TICK_S
        if now - self._beat_at >= beat_s - TICK_S / 2:
            self._beat_at = now
            sends += self._beat()
        return sends

    def is_urgent(self) -> bool:
        """Returns whether there is something that nobody was told yet."""
        return self._rumors.fresh() or self._newest != self._newest_told

    def flush(self) -> _Sends:
        """Tells the watchers at once what is new.

        Members that hear of it one after the other, beat by beat, act by
        different views meanwhile.

        Returns:
          Messages to send.
        """
        self._newest_told = self._newest
        return [*self._pass_on(self._rumors.next_round(self.known()))]

    def receive(self, message: records_lib.Message, now: float) -> _Sends:
        """Takes a message of a peer.

        Args:
          message: The message.
          now: Time, seconds.

        Returns:
          Messages to send at once.
        """
        sender = message.sender
        if sender.id == self.own.id:
            # A seed's address may be this process's own, or one of its earlier
            # life.
            self._defend(records_lib.News(record=sender))
            return []
        if self._alone:
            self._alone = False
            self._excuse(now)
        self._heard_at = now
        self._take(records_lib.News(record=sender), now)
        self._hear(message, now)
        defended = [self._take(news, now) for news in message.news]
        self._note_difference(message, now)
        sends = [*self._answers(message)]
        wanted = message.ping or any(defended) or self._knows_more(message)
        if wanted or self._misjudged(sender):
            sends.append(self._reply(sender))
        return sends

    # What others say.

    def _take(self, news: records_lib.News, now: float) -> bool:
        """Takes news; returns whether it was wrong of this process itself."""
        if news.record.id == self.own.id:
            return self._defend(news)
        if self._table.take(news, now):
            self._rumors.add(news.record.id)
            if news.standing is _ALIVE:
                member = self._table.members_by_id[news.record.id]
                member.watched = False
        return False

    def _defend(self, news: records_lib.News) -> bool:
        own = self.own
        if news.rank() <= (*own.age(), _ALIVE):
            if news.standing is not _ALIVE:
                # It was said before that this process lives, but not heard:
                # those it was said to may be out of reach.
                self._rumors.add(own.id)
            return news.standing is not _ALIVE
        if news.record.incarnation > own.incarnation:
            # The time of day may have been set back since the last start.
            # Peers would then take all that this process says for old news.
            incarnation = news.record.incarnation + 1
            self._set_own(dataclasses.replace(own, incarnation=incarnation))
        else:
            version = news.record.version + 1
            self._set_own(dataclasses.replace(own, version=version))
        return True

    def _hear(self, message: records_lib.Message, now: float) -> None:
        member = self._table.members_by_id[message.sender.id]
        member.heard_at = now
        member.newest = message.newest
        member.watched = message.watched
        self.newest_heard = tuple(
            max(pair)
            for pair in itertools.zip_longest(
                self.newest_heard, message.newest, fillvalue=0
            )
        )

    def _misjudged(self, sender: records_lib.Record) -> bool:
        # It lives, and must say so itself: only then do all the others
        # believe it again.
        member = self._table.members_by_id[sender.id]
        return member.standing is not _ALIVE

    def _knows_more(self, message: records_lib.Message) -> bool:
        # Members that few know yet hear from few; without an answer they
        # would be the last to learn of the others.
        return message.known < self.known()

    def _note_difference(
        self, message: records_lib.Message, now: float
    ) -> None:
        if message.digest == self.digest:
            self._differs_since = math.inf
            self._differing_known = 0
            return
        # Who knows more members is asked: while a fleet starts, that brings
        # all within a few questions.
        if message.known >= self._differing_known:
            self._differing = message.sender.id
            self._differing_known = message.known
        self._differs_since = min(self._differs_since, now)

    def _set_own(self, record: records_lib.Record) -> None:
        self._table.own = record
        self._rumors.add(record.id)

    # Silence.

    def _excuse(self, now: float) -> None:
        self._heard_at = max(self._heard_at, now)
        for member in self._table.members_by_id.values():
            if member.watched:
                member.heard_at = now
            if member.standing is _SUSPECTED:
                member.suspected_at = now

    def _ask_silent(self, now: float) -> Iterator[records_lib.Outgoing]:
        for member in self._table.alive():
            silent_s = now - member.heard_at
            if not member.watched or silent_s < _ASK_AFTER_S:
                continue
            may_suspect = member.standing is _ALIVE and not self._alone
            if may_suspect and silent_s >= _SUSPECT_AFTER_S:
                self._judge(member, _SUSPECTED, now)
            yield self._outgoing(member.record, (member.news,), ping=True)

    def _doubt(self, now: float) -> None:
        silent = [
            member
            for member in self._table.members_by_id.values()
            if member.standing is not _ALIVE
            and now - member.suspected_at < _SILENT_LATELY_S
        ]
        if len(silent) < _MANY_SILENT:
            return
        unsure = [
            member
            for member in self._table.alive()
            if not member.watched and now - member.heard_at > _UNSURE_S
        ]
        count = min(_QUESTIONS, len(unsure))
        for member in self._random.sample(unsure, count):
            # Asked at once and released by its answer, else suspected at the
            # next tick.
            member.watched = True
            member.heard_at = now - _SUSPECT_AFTER_S + TICK_S / 2

    def _bury(self, now: float) -> None:
        self._alone = now - self._heard_at > _ALONE_AFTER_S
        if self._alone:
            return
        for member in self._table.alive():
            if member.standing is not _SUSPECTED:
                continue
            silent_since = max(member.suspected_at, member.heard_at)
            # If nobody was heard since, the silence may be this process's own.
            hears = self._heard_at > silent_since
            if hears and now - silent_since > _SUSPICION_S:
                self._judge(member, _DEAD, now)

    def _judge(
        self,
        member: member_table.Member,
        standing: records_lib.Standing,
        now: float,
    ) -> None:
        record = member.record
        news = records_lib.News(record=record, standing=standing)
        if self._table.take(news, now):
            self._rumors.add(record.id)

    # What is sent.

    def _beat(self) -> Iterator[records_lib.Outgoing]:
        released = self._turn_watchers()
        chosen = self._rumors.next_round(self.known())
        news = self._news_of(chosen)
        yield from self._pass_on(chosen)
        for member in released:
            yield self._outgoing(member.record, news)
        yield from self._greetings(news)

    def _turn_watchers(self) -> list[member_table.Member]:
        """Draws the next watchers; returns one that is so no longer.

        One changes at each beat. While a fleet starts all know the seeds
        first, which would otherwise watch everyone for good.
        """
        alive_by_id = {
            member.record.id: member for member in self._table.alive()
        }
        watchers = [name for name in self._watchers if name in alive_by_id]
        released = []
        others = [name for name in alive_by_id if name not in watchers]
        if len(watchers) >= FANOUT and others:
            released.append(alive_by_id[watchers.pop(0)])
        missing = min(FANOUT - len(watchers), len(others))
        watchers += self._random.sample(others, missing)
        self._watchers = watchers
        return released

    def _greetings(
        self, news: tuple[records_lib.News, ...]
    ) -> Iterator[records_lib.Outgoing]:
        # The dead are greeted now and then as well: after a partition both
        # sides hold the other for dead, and nobody else would bring them
        # together again.
        dead = self._table.dead()
        if dead:
            member = self._random.choice(dead)
            yield self._outgoing(member.record, (member.news, *news))
        if len(self._watchers) >= FANOUT:
            return
        met = {
            self._table.members_by_id[name].record.address
            for name in self._watchers
        }
        met.add(self.own.address)
        for address in self.seeds:
            if address not in met:
                yield records_lib.Outgoing(
                    address, self._message(news, digests=self._asked())
                )

    def _asked(self) -> tuple[int, ...]:
        # Who knows nobody yet asks the seed for all; later only differences
        # are asked for, at their time.
        return () if self._watchers else tuple(self._table.digests)

    def _compare(self, now: float) -> Iterator[records_lib.Outgoing]:
        member = self._table.members_by_id.get(self._differing)
        if member is None or now - self._differs_since < _DIFFERS_S:
            return
        if now - self._compared_at < _COMPARE_S:
            return
        self._compared_at = now
        self._differs_since = math.inf
        self._differing_known = 0
        yield self._outgoing(
            member.record, (), digests=tuple(self._table.digests)
        )

    def _answers(
        self, message: records_lib.Message
    ) -> Iterator[records_lib.Outgoing]:
        if not message.digests:
            return
        news = self._table.differing(message.digests)
        for start in range(0, len(news), rumors_lib.NEWS_MAX):
            part = tuple(news[start : start + rumors_lib.NEWS_MAX])
            yield self._outgoing(message.sender, part)

    def _reply(self, sender: records_lib.Record) -> records_lib.Outgoing:
        member = self._table.members_by_id[sender.id]
        return self._outgoing(sender, (member.news,))

    def _pass_on(self, chosen: list[str]) -> Iterator[records_lib.Outgoing]:
        receivers = [*self._watchers]
        if self.own.id in chosen:
            receivers += self._others()
        news = self._news_of(chosen)
        for name in receivers:
            record = self._table.members_by_id[name].record
            yield self._outgoing(record, news)

    def _others(self) -> list[str]:
        """Draws some that don't watch this process.

        What it says of itself has nobody else to say it. If it can't reach
        those who watch it, all would hold it for dead.
        """
        others = [
            member.record.id
            for member in self._table.alive()
            if member.record.id not in self._watchers
        ]
        return self._random.sample(others, min(FANOUT, len(others)))

    def _outgoing(
        self,
        receiver: records_lib.Record,
        news: tuple[records_lib.News, ...],
        **fields: object,
    ) -> records_lib.Outgoing:
        watched = receiver.id in self._watchers
        message = self._message(news, watched=watched, **fields)
        return records_lib.Outgoing(receiver.address, message)

    def _message(
        self, news: tuple[records_lib.News, ...], **fields: object
    ) -> records_lib.Message:
        return records_lib.Message(
            sender=self.own,
            newest=self._newest,
            digest=self.digest,
            known=self.known(),
            news=news,
            **fields,
        )

    def _news_of(self, names: list[str]) -> tuple[records_lib.News, ...]:
        members = self._table.members_by_id
        return tuple(members[name].news for name in names if name in members)
