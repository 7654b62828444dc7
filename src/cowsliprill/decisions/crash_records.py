"""Records of engines that ended, with the requests that may have caused it.

A request is suspected as a whole, and by each part of its prompt that other
requests may share. Both are features, which have digests of one form.

Each VM keeps a table and passes records on. Merging is commutative, associative
and idempotent, so that lost, repeated and reordered messages do no harm.
"""

import collections
import dataclasses
import enum
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
MAX_PARTS = 32
MAX_ACQUITTED_PARTS = MAX_SUSPECTS * MAX_PARTS
# A flood of ends that are never confirmed takes no more of the table than this.
_MAX_UNCONFIRMED = 128

_DIGEST_BYTES = 8

# VMs compare digests, so times are passed on as they are recorded.
_SENT_DIGITS = 6

# Output this long before an end still shows that engines survived others.
_CONTROL_S = 60.0

CrashKey = tuple[str, int]


class Control(enum.IntEnum):
    """When engines of the pool gave output for requests beside the suspects.

    Attributes:
      NONE: Not within a minute before the end, nor since.
      BEFORE: Within a minute before the end, but not since.
      SINCE: Since the end.
    """

    NONE = 0
    BEFORE = 1
    SINCE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashRecord:
    """One end of an engine.

    Attributes:
      endpoint_id: Id of the engine.
      number: Distinguishes ends of engines that start again under their id.
      life: `model.Endpoint.life` of the engine that ended.
      pool: Pool of the engine.
      version: Its software version, empty if unknown.
      sent_before_s: How long before the end the requests were sent that the
        engine had given no output for, in seconds by fingerprint; the latest
        send counts.
      acquitted: Fingerprints among the suspects for which an engine of the pool
        has given output.
      parts_by_fingerprint: Digests of the parts of the suspects' prompts that
        the reporting VM doesn't know engines to survive.
      acquitted_parts: Digests of parts on which an engine of the pool has given
        output.
      confirmed: Whether the engine is known to have ended, rather than only
        the connections to it.
      control: When engines of the pool gave output for requests without the
        features that remain suspected.
      observed_at: Time of the first report in seconds, on the local clock.
    """

    endpoint_id: str
    number: int
    life: str = ""
    pool: str = ""
    version: str = ""
    sent_before_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    acquitted: frozenset[str] = frozenset()
    parts_by_fingerprint: Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    acquitted_parts: frozenset[str] = frozenset()
    confirmed: bool = False
    control: Control = Control.NONE
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

    @property
    def parts(self) -> frozenset[str]:
        """Parts of the suspects' prompts."""
        return frozenset().union(*self.parts_by_fingerprint.values())

    @property
    def remaining_features(self) -> frozenset[str]:
        """Remaining suspects and the parts of theirs that remain suspected."""
        suspects = self.remaining_suspects
        return suspects.union(*map(self.remaining_parts, suspects))

    def remaining_parts(self, fingerprint: str) -> frozenset[str]:
        """Returns the parts of a suspect that haven't been acquitted."""
        parts = self.parts_by_fingerprint.get(fingerprint, frozenset())
        return parts - self.acquitted_parts

    def holders(self, feature: str) -> frozenset[str]:
        """Returns the remaining suspects that have a feature.

        Args:
          feature: Fingerprint of a request or digest of a part.
        """
        if feature in self.sent_before_s:
            return self.remaining_suspects & {feature}
        return frozenset(
            fingerprint
            for fingerprint in self.remaining_suspects
            if feature in self.remaining_parts(fingerprint)
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
        acquitted_parts = self.acquitted_parts | other.acquitted_parts
        return dataclasses.replace(
            self,
            life=max(self.life, other.life),
            pool=max(self.pool, other.pool),
            version=max(self.version, other.version),
            sent_before_s={
                fingerprint: min(
                    sent[fingerprint] for sent in both if fingerprint in sent
                )
                for fingerprint in suspects
            },
            acquitted=frozenset(acquitted),
            parts_by_fingerprint=self._merge_parts(other, suspects),
            acquitted_parts=frozenset(
                sorted(acquitted_parts)[:MAX_ACQUITTED_PARTS]
            ),
            confirmed=self.confirmed or other.confirmed,
            control=max(self.control, other.control),
            observed_at=min(self.observed_at, other.observed_at),
        )

    def _merge_parts(
        self, other: "CrashRecord", fingerprints: Iterable[str]
    ) -> dict[str, frozenset[str]]:
        merged = {
            fingerprint: self.parts_by_fingerprint.get(fingerprint, frozenset())
            | other.parts_by_fingerprint.get(fingerprint, frozenset())
            for fingerprint in fingerprints
        }
        return {
            fingerprint: frozenset(sorted(parts)[:MAX_PARTS])
            for fingerprint, parts in merged.items()
            if parts
        }

    def content(self) -> tuple:
        """Returns what all VMs agree on once they have exchanged records."""
        return (
            self.endpoint_id,
            self.number,
            sorted(self.sent_before_s.items()),
            sorted(self.acquitted),
            sorted(
                (fingerprint, sorted(parts))
                for fingerprint, parts in self.parts_by_fingerprint.items()
            ),
            sorted(self.acquitted_parts),
            self.confirmed,
            int(self.control),
            self.version,
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
        parts: Iterable[str] = (),
    ) -> CrashRecord | None:
        """Records that an engine seems to have ended while it had a request.

        Args:
          endpoint: The engine as listed.
          fingerprint: Fingerprint of the request.
          sent_at: When the request was sent to the engine, in seconds.
          lost_at: When the engine closed its connection, in seconds.
          parts: Digests of the parts of its prompt that may be the cause.

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
                version=endpoint.software_version,
                sent_before_s={fingerprint: sent_before_s},
                parts_by_fingerprint={fingerprint: frozenset(parts)},
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

    def acquit(
        self, fingerprint: str, pool: str, parts: Iterable[str] = ()
    ) -> list[CrashRecord]:
        """Clears a request that an engine has given output for, and its parts.

        Args:
          fingerprint: Fingerprint of the request.
          pool: Pool of the engine. Ends of engines of other pools still count,
            as these may run other software.
          parts: Digests of the parts of its prompt.

        Returns:
          The changed records.
        """
        survived = {fingerprint, *parts}
        return [
            self._replace(
                record,
                acquitted=record.acquitted | (survived & record.suspects),
                acquitted_parts=record.acquitted_parts
                | (survived & record.parts),
            )
            for record in list(self)
            if record.pool == pool
            and not survived.isdisjoint(record.remaining_features)
        ]

    def record_output(self, pool: str, output_at: float) -> list[CrashRecord]:
        """Records that an engine of a pool has given output for a request.

        Call `acquit` for that request first: what then remains suspected is
        what it doesn't have.

        Args:
          pool: Pool of the engine.
          output_at: Time of the output in seconds.

        Returns:
          The changed records.
        """
        return [
            self._replace(record, control=control)
            for record in list(self)
            if record.pool == pool
            and (control := _control(record, output_at)) > record.control
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
        ends_by_feature = collections.Counter(
            feature for record in self for feature in record.remaining_features
        )

        def rank(record: CrashRecord) -> tuple[int, float]:
            """Ranks by the ends that a feature of the record accounts for."""
            features = record.remaining_features
            ends = max((ends_by_feature[item] for item in features), default=0)
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


def _control(record: CrashRecord, output_at: float) -> Control:
    if output_at > record.observed_at:
        return Control.SINCE
    if output_at > record.observed_at - _CONTROL_S:
        return Control.BEFORE
    return Control.NONE


def endpoint_ids(records: Iterable[CrashRecord]) -> list[str]:
    """Returns the ids of the engines that ended, sorted."""
    return sorted({record.endpoint_id for record in records})
