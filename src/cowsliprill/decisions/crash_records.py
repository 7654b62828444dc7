"""Records of engines that ended, with the requests that may have caused it.

Each VM keeps a table and passes records on. Merging is commutative, associative
and idempotent, so that lost, repeated and reordered messages do no harm.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from cowsliprill.decisions import model

# An unconfirmed record is dropped after this time. The registry removes the
# entry of an engine that has ended after three missed heartbeats.
CONFIRMATION_TIMEOUT_S = 8.0

RECORD_TTL_S = 86_400.0

# Connections to an engine that ended are lost within this time.
_SAME_CRASH_S = 2.0

# Bounds of memory. An engine starts few requests at the same time.
MAX_RECORDS = 512
MAX_SUSPECTS = 32
# A flood of ends that are never confirmed takes no more of the table than this.
_MAX_UNCONFIRMED = 128

_DIGEST_BYTES = 8

# VMs compare digests, so times are passed on as they are recorded.
_SENT_DIGITS = 6

CrashKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashRecord:
    """One end of an engine.

    Attributes:
      endpoint_id: Id of the engine.
      number: Distinguishes ends of engines that start again under their id.
      life: `model.Endpoint.life` of the engine that ended.
      pool: Pool of the engine.
      sent_before_s: How long before the end the requests were sent that the
        engine had given no output for, in seconds by fingerprint; the latest
        send counts.
      acquitted: Fingerprints among the suspects for which an engine of the pool
        has given output.
      confirmed: Whether the engine is known to have ended, rather than only
        the connections to it.
      observed_at: Time of the first report in seconds, on the local clock.
    """

    endpoint_id: str
    number: int
    life: str = ""
    pool: str = ""
    sent_before_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    acquitted: frozenset[str] = frozenset()
    confirmed: bool = False
    observed_at: float = 0.0

    @property
    def key(self) -> CrashKey:
        """Identifies the record in the tables of all VMs."""
        return (self.endpoint_id, self.number)

    @property
    def suspects(self) -> frozenset[str]:
        """Fingerprints of the requests that may have caused the end."""
        return frozenset(self.sent_before_s)

    @property
    def remaining_suspects(self) -> frozenset[str]:
        """Suspects that haven't been acquitted."""
        return self.suspects - self.acquitted

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request is among the remaining suspects."""
        return (
            fingerprint in self.sent_before_s
            and fingerprint not in self.acquitted
        )

    def sent_at(self, fingerprint: str) -> float:
        """Returns when a suspect was sent, in seconds on the local clock."""
        return self.observed_at - self.sent_before_s[fingerprint]

    def is_expired(self, now: float) -> bool:
        """Returns whether the record no longer counts.

        Args:
          now: Current time in seconds.
        """
        ttl_s = RECORD_TTL_S if self.confirmed else CONFIRMATION_TIMEOUT_S
        return now - self.observed_at >= ttl_s

    def merge(self, other: "CrashRecord") -> "CrashRecord":
        """Returns the union of two records of the same end."""
        both = (self.sent_before_s, other.sent_before_s)
        suspects = sorted(self.suspects | other.suspects)[:MAX_SUSPECTS]
        acquitted = sorted(self.acquitted | other.acquitted)[:MAX_SUSPECTS]
        return dataclasses.replace(
            self,
            life=max(self.life, other.life),
            pool=max(self.pool, other.pool),
            sent_before_s={
                fingerprint: min(
                    sent[fingerprint] for sent in both if fingerprint in sent
                )
                for fingerprint in suspects
            },
            acquitted=frozenset(acquitted),
            confirmed=self.confirmed or other.confirmed,
            observed_at=min(self.observed_at, other.observed_at),
        )

    def content(self) -> tuple:
        """Returns what all VMs agree on once they have exchanged records."""
        return (
            self.endpoint_id,
            self.number,
            sorted(self.sent_before_s.items()),
            sorted(self.acquitted),
            self.confirmed,
        )


class CrashTable:
    """The crash records known to one VM."""

    def __init__(self) -> None:
        self._records_by_key: dict[CrashKey, CrashRecord] = {}

    def __len__(self) -> int:
        return len(self._records_by_key)

    def __iter__(self) -> Iterator[CrashRecord]:
        return iter(self._records_by_key.values())

    def observe(
        self,
        endpoint: model.Endpoint,
        fingerprint: str,
        sent_at: float,
        lost_at: float,
    ) -> CrashRecord | None:
        """Records that an engine seems to have ended while it had a request.

        Args:
          endpoint: The engine as listed.
          fingerprint: Fingerprint of the request.
          sent_at: When the request was sent to the engine, in seconds.
          lost_at: When the engine closed its connection, in seconds.

        Returns:
          The new or changed record, None if nothing changed.
        """
        sent_before_s = round(max(lost_at - sent_at, 0.0), _SENT_DIGITS)
        return self.merge(
            CrashRecord(
                endpoint_id=endpoint.id,
                number=self._number(endpoint.id, endpoint.life, lost_at),
                life=endpoint.life,
                pool=endpoint.pool,
                sent_before_s={fingerprint: sent_before_s},
                observed_at=lost_at,
            ),
            lost_at,
        )

    def confirm(self, key: CrashKey) -> CrashRecord | None:
        """Marks an end as certain.

        Args:
          key: Key of the record.

        Returns:
          The changed record, None if nothing changed.
        """
        record = self._records_by_key.get(key)
        if record is None or record.confirmed:
            return None
        return self._replace(record, confirmed=True)

    def acquit(self, fingerprint: str, pool: str) -> list[CrashRecord]:
        """Clears a request that an engine has given output for.

        Args:
          fingerprint: Fingerprint of the request.
          pool: Pool of the engine. Ends of engines of other pools still count,
            as these may run other software.

        Returns:
          The changed records.
        """
        return [
            self._replace(record, acquitted=record.acquitted | {fingerprint})
            for record in list(self)
            if record.is_suspect(fingerprint) and record.pool == pool
        ]

    def merge(self, record: CrashRecord, now: float) -> CrashRecord | None:
        """Adds a record, of this VM or of another one.

        Args:
          record: The record.
          now: Current time in seconds.

        Returns:
          The new or changed record, None if nothing changed.
        """
        if record.is_expired(now):
            return None
        known = self._records_by_key.get(record.key)
        merged = record.merge(record if known is None else known)
        if known is not None and merged.content() == known.content():
            return None
        self._records_by_key[record.key] = merged
        self._limit_size()
        return merged

    def expire(self, now: float) -> list[CrashRecord]:
        """Removes and returns the records that no longer count.

        Args:
          now: Current time in seconds.
        """
        expired = [record for record in self if record.is_expired(now)]
        for record in expired:
            del self._records_by_key[record.key]
        return expired

    def unconfirmed(self) -> list[CrashRecord]:
        """Returns the records whose engines may still run."""
        return [record for record in self if not record.confirmed]

    def digest(self) -> str:
        """Returns a digest that is equal for tables with equal records."""
        contents = sorted(record.content() for record in self)
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        digest.update(repr(contents).encode())
        return digest.hexdigest()

    def _number(self, endpoint_id: str, life: str, now: float) -> int:
        earlier = [item for item in self if item.endpoint_id == endpoint_id]
        if not earlier:
            return 0
        last = max(earlier, key=lambda record: record.number)
        is_recent = now - last.observed_at < _SAME_CRASH_S
        # Once confirmed, the engine has started again.
        if last.life == life and is_recent and not last.confirmed:
            return last.number
        return last.number + 1

    def _replace(self, record: CrashRecord, **changes: object) -> CrashRecord:
        changed = dataclasses.replace(record, **changes)
        self._records_by_key[record.key] = changed
        return changed

    def _limit_size(self) -> None:
        if len(self) <= MAX_RECORDS:
            return
        ends_by_suspect = collections.Counter(
            fingerprint
            for record in self
            for fingerprint in record.remaining_suspects
        )

        def rank(record: CrashRecord) -> tuple[int, float]:
            """Ranks by the ends that a suspect of the record accounts for."""
            suspects = record.remaining_suspects
            ends = max((ends_by_suspect[item] for item in suspects), default=0)
            return (ends, record.observed_at)

        del self._records_by_key[min(self._evictable(), key=rank).key]

    def _evictable(self) -> list[CrashRecord]:
        """Returns the records of which one makes room for another."""
        cleared = [item for item in self if not item.remaining_suspects]
        if cleared:
            return cleared
        unconfirmed = self.unconfirmed()
        if len(unconfirmed) > _MAX_UNCONFIRMED:
            return unconfirmed
        return [record for record in self if record.confirmed]


def endpoint_ids(records: Iterable[CrashRecord]) -> list[str]:
    """Returns the ids of the engines that ended, sorted."""
    return sorted({record.endpoint_id for record in records})
