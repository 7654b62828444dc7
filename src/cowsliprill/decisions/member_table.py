"""All members that one process knows of, with digests to compare tables by.

Pure. Two processes that know the same have the same digest, whatever order
they learnt it in. The table is divided into parts by members' ids; two that
differ compare the digests of the parts and exchange only those that differ.
"""

import dataclasses
import math
from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import member_records as records_lib

# Parts of the table. Their digests fit into one datagram, and a part of a
# fleet of some hundred VMs does as well.
PARTS = 32


@dataclasses.dataclass(slots=True)
class Member:
    """One member.

    Attributes:
      news: Its record and standing.
      suspected_at: When it came to be suspected, seconds.
      heard_at: When it was last heard itself, seconds.
      watched: Whether its heartbeats are to be missed here.
      newest: Newest registry changes that it said it knows.
    """

    news: records_lib.News
    suspected_at: float = 0.0
    heard_at: float = -math.inf
    watched: bool = False
    newest: tuple[int, ...] = ()

    @property
    def record(self) -> records_lib.Record:
        """Its record."""
        return self.news.record

    @property
    def standing(self) -> records_lib.Standing:
        """Its standing."""
        return self.news.standing


class MemberTable:
    """The other members, by id, and the process's own record.

    Args:
      own: The process's own record.

    Attributes:
      members_by_id: The others.
      digests: Digest of each part, its own record included.
      revision: Rises with each change.
    """

    def __init__(self, own: records_lib.Record) -> None:
        self.members_by_id: dict[str, Member] = {}
        self.digests = [0] * PARTS
        self.revision = 0
        self._own = records_lib.News(record=own)
        self._count(self._own)

    @property
    def own(self) -> records_lib.Record:
        """The process's own record."""
        return self._own.record

    @own.setter
    def own(self, record: records_lib.Record) -> None:
        self._count(self._own)
        self._own = records_lib.News(record=record)
        self._count(self._own)
        self.revision += 1

    def digest(self) -> int:
        """Returns the digest of the whole table."""
        whole = 0
        for part in self.digests:
            whole ^= part
        return whole

    def take(self, news: records_lib.News, now: float) -> bool:
        """Takes news of another member.

        Args:
          news: The news.
          now: Time, seconds.

        Returns:
          Whether it prevails over what was known.
        """
        name = news.record.id
        member = self.members_by_id.get(name)
        if member is None:
            self.members_by_id[name] = Member(news, suspected_at=now)
            self._count(news)
            self.revision += 1
            return True
        if news.rank() <= member.news.rank():
            return False
        if news.standing is not member.standing:
            member.suspected_at = now
        self._count(member.news)
        member.news = news
        self._count(news)
        self.revision += 1
        return True

    def alive(self) -> list[Member]:
        """Returns the others that aren't held for dead."""
        dead = records_lib.Standing.DEAD
        return [
            member
            for member in self.members_by_id.values()
            if member.standing is not dead
        ]

    def dead(self) -> list[Member]:
        """Returns the others that are held for dead."""
        dead = records_lib.Standing.DEAD
        return [
            member
            for member in self.members_by_id.values()
            if member.standing is dead
        ]

    def differing(self, digests: Iterable[int]) -> list[records_lib.News]:
        """Returns what is known in the parts that differ from another's.

        Args:
          digests: The other's digests, one a part.
        """
        parts = {
            part
            for part, (own, other) in enumerate(
                zip(self.digests, digests, strict=False)
            )
            if own != other
        }
        known = [member.news for member in self.members_by_id.values()]
        return [
            news
            for news in (self._own, *known)
            if _part(news.record.id) in parts
        ]

    def _count(self, news: records_lib.News) -> None:
        # Counted once more, news is out of the digest again.
        self.digests[_part(news.record.id)] ^= _digest(news)


def _part(member_id: str) -> int:
    return xxhash.xxh3_64_intdigest(member_id.encode()) % PARTS


def _digest(news: records_lib.News) -> int:
    # A suspicion ends within seconds by itself, so it isn't compared.
    record = news.record
    dead = news.standing is records_lib.Standing.DEAD
    text = f"{record.id}\0{record.incarnation}\0{record.version}\0{dead}"
    return xxhash.xxh32_intdigest(text.encode())
