"""Quarantine of requests that end the engines which begin to run them.

Does no I/O. A circuit breaker for each feature of requests, which is a request
itself or a part that prompts share: it opens after some ends of engines that
the feature is blamed for, and lets requests through again after an interval
that doubles with each further end. While ends aren't confirmed, requests are
only held back for as long as the confirmation may take.
"""

import dataclasses
import enum
import math
from collections.abc import Collection
from collections.abc import Mapping

from cowsliprill.decisions import crash_blame
from cowsliprill.decisions import crash_records

# Further ends needed for a request that was never the only suspect, and for a
# part by which fewer than two requests were. Each is a chance to tell it from
# what was in its company.
_FURTHER_CRASHES_IN_COMPANY = 2

# A part is blamed once this many different requests with it have ended engines;
# repeats of one request don't tell the part from the request.
_REQUESTS_TO_BLAME_PART = 2

# So many separate ends, and so many in all, are also enough for a part: its
# requests came together and ended several engines at the same time.
_SEPARATE_CRASHES_OF_MANY = 2
_MANY_CRASHES = 5

_QUARANTINE_MAX_S = 86_400.0

# First quarantine of a part while engines have given output for nothing else
# since its ends. All requests may have the part, and the engines that ended may
# have been faulty.
_QUARANTINE_WITHOUT_CONTROL_S = 10.0


class RestrictionKind(enum.StrEnum):
    """Why a request isn't sent to engines.

    Attributes:
      HELD: Engines seem to have ended; this isn't confirmed yet.
      QUARANTINED: Enough engines have ended for certain.
    """

    HELD = "held"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Configured limits.

    Attributes:
      crashes: Number of ends after which a request is quarantined.
      quarantine_s: Duration of the first quarantine in seconds.
      released: Fingerprints and digests of parts that never restrict requests.
    """

    crashes: int = 3
    quarantine_s: float = 600.0
    released: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Restriction:
    """A request must not be sent to any engine.

    Attributes:
      kind: Whether the ends are confirmed.
      left_s: Time after which the request may be sent again, in seconds.
      feature: Fingerprint of the request, or digest of the part of its prompt,
        that is blamed.
      is_part: Whether it is a part.
      records: The ends that the feature is blamed for.
    """

    kind: RestrictionKind
    left_s: float
    feature: str
    is_part: bool
    records: tuple[crash_records.CrashRecord, ...]


class Quarantine:
    """Restrictions that follow from a table of crash records.

    Args:
      limits: Configured limits.

    Attributes:
      limits: Configured limits.
      table: Crash records; call `refresh` after each change.
      versions_by_pool: Software versions that the engines of each pool have.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.table = crash_records.CrashTable()
        self.versions_by_pool: Mapping[str, Collection[str]] = {}
        self._blame_by_feature: dict[str, crash_blame.Blame] = {}
        self._next_expiry = math.inf

    def refresh(self, now: float) -> None:
        """Assigns blame anew, after a change of the table or an expiry.

        Args:
          now: Current time in seconds.
        """
        self.table.expire(now)
        self._blame_by_feature = crash_blame.assign(
            self.table, _fewest_crashes(self.limits)
        )
        self._next_expiry = min(
            (
                record.observed_at + crash_records.CONFIRMATION_TIMEOUT_S
                for record in self.table.unconfirmed()
            ),
            default=math.inf,
        )

    def restricted(self, now: float) -> dict[str, Restriction]:
        """Returns all restrictions by the feature that is blamed.

        Args:
          now: Current time in seconds.
        """
        found = {
            feature: self._restriction_by(feature, now)
            for feature in list(self._blame_by_feature)
        }
        return {key: item for key, item in found.items() if item is not None}

    def restriction(
        self, fingerprint: str, now: float, parts: Collection[str] = ()
    ) -> Restriction | None:
        """Returns why a request must not be sent, None if it may be sent.

        Args:
          fingerprint: Fingerprint of the request.
          now: Current time in seconds.
          parts: Digests of the parts of its prompt.
        """
        if now >= self._next_expiry:
            self.refresh(now)
        found = [
            self._restriction_by(feature, now)
            for feature in (fingerprint, *parts)
            if self._applies(feature, parts)
        ]
        restrictions = [item for item in found if item is not None]
        return max(restrictions, key=lambda item: item.left_s, default=None)

    def _applies(self, feature: str, parts: Collection[str]) -> bool:
        """Returns whether the blame of a feature concerns such a prompt.

        Parts that always came together are told apart by requests that have
        only some of them.
        """
        blame = self._blame_by_feature.get(feature)
        if blame is None:
            return False
        return not blame.is_part or blame.companions <= set(parts)

    def _restriction_by(self, feature: str, now: float) -> Restriction | None:
        blame = self._blame_by_feature.get(feature)
        if blame is None or feature in self.limits.released:
            return None
        if not any(map(self._concerns_engines, blame.records)):
            return None
        if blame.is_part and not _can_blame_part(blame):
            return None
        needed = self._crashes_needed(blame)
        if not _is_enough(blame, blame.records, needed):
            if _is_ambiguous(blame, _fewest_crashes(self.limits)):
                return _paused(blame, now)
            return None
        if not _is_enough(blame, blame.confirmed_records, needed):
            return _held(blame, now)
        further = max(blame.confirmed - needed, 0)
        return self._quarantined(blame, further, now)

    def _concerns_engines(self, record: crash_records.CrashRecord) -> bool:
        """Returns whether engines of the version that ended are left.

        Engines of another version may survive the request. The first one that
        ends makes all ends count again.
        """
        versions = self.versions_by_pool.get(record.pool)
        return not versions or record.version in ("", *versions)

    def _crashes_needed(self, blame: crash_blame.Blame) -> int:
        sole_suspects = _REQUESTS_TO_BLAME_PART if blame.is_part else 1
        if len(blame.sole_suspects) >= sole_suspects:
            return self.limits.crashes
        return self.limits.crashes + _FURTHER_CRASHES_IN_COMPANY

    def _quarantined(
        self, blame: crash_blame.Blame, further: int, now: float
    ) -> Restriction | None:
        first_s = self.limits.quarantine_s
        if blame.is_part and blame.control is not crash_records.Control.SINCE:
            first_s = min(first_s, _QUARANTINE_WITHOUT_CONTROL_S)
        duration_s = first_s * 2.0 ** min(further, 32)
        left_s = blame.latest_at + min(duration_s, _QUARANTINE_MAX_S) - now
        return _restriction(blame, RestrictionKind.QUARANTINED, left_s)


def _can_blame_part(blame: crash_blame.Blame) -> bool:
    """Returns whether the part can be told from its requests and the engines.

    While engines give output for nothing else, the requests with it start one
    after the other, but aren't refused: that would refuse the whole pool.
    """
    has_requests = len(blame.fingerprints) >= _REQUESTS_TO_BLAME_PART
    return has_requests and blame.control is not crash_records.Control.NONE


def _fewest_crashes(limits: Limits) -> int:
    """Returns the number of ends below which nothing is restricted."""
    return max(limits.crashes - 1, 2)


def _is_enough(
    blame: crash_blame.Blame,
    records: tuple[crash_records.CrashRecord, ...],
    needed: int,
) -> bool:
    separate = blame.count_separate(records)
    if separate >= needed:
        return True
    return (
        blame.is_part
        and separate >= _SEPARATE_CRASHES_OF_MANY
        and len(records) >= max(_MANY_CRASHES, needed)
    )


def _is_ambiguous(blame: crash_blame.Blame, crashes: int) -> bool:
    """Returns whether a repeat would end an engine and tell nothing new.

    A request alone has ended engines, but a part of its prompt may be the cause
    as well. Only another request with that part can tell them apart.
    """
    return (
        not blame.is_part
        and blame.control is not crash_records.Control.NONE
        and any(
            record.remaining_parts(blame.feature) for record in blame.records
        )
        and blame.is_only_sole_suspect
        and blame.separate_ends >= crashes
    )


def _paused(blame: crash_blame.Blame, now: float) -> Restriction | None:
    left_s = blame.latest_at + crash_records.CONFIRMATION_TIMEOUT_S - now
    return _restriction(blame, RestrictionKind.HELD, left_s)


def _held(blame: crash_blame.Blame, now: float) -> Restriction | None:
    waits_s = [
        record.observed_at + crash_records.CONFIRMATION_TIMEOUT_S - now
        for record in blame.records
        if not record.confirmed
    ]
    return _restriction(blame, RestrictionKind.HELD, max(waits_s))


def _restriction(
    blame: crash_blame.Blame, kind: RestrictionKind, left_s: float
) -> Restriction | None:
    if left_s <= 0:
        return None
    return Restriction(
        kind=kind,
        left_s=left_s,
        feature=blame.feature,
        is_part=blame.is_part,
        records=blame.records,
    )
