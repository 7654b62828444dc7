"""Quarantine of requests that end the engines which begin to run them.

Does no I/O. A circuit breaker for each request: it opens after some ends of
engines that the request is blamed for, and lets the request through again after
an interval that doubles with each further end. While ends aren't confirmed, the
request is only held back for as long as the confirmation may take.
"""

import dataclasses
import enum
import math

from cowsliprill.decisions import crash_blame
from cowsliprill.decisions import crash_records

# Further ends needed for a request that was never the only suspect. Each is a
# chance to tell it from the requests in its company.
_FURTHER_CRASHES_IN_COMPANY = 2

_QUARANTINE_MAX_S = 86_400.0


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
      released: Fingerprints that are never restricted.
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
      records: The ends that the request is blamed for.
    """

    kind: RestrictionKind
    left_s: float
    records: tuple[crash_records.CrashRecord, ...]


class Quarantine:
    """Restrictions that follow from a table of crash records.

    Args:
      limits: Configured limits.

    Attributes:
      limits: Configured limits.
      table: Crash records; call `refresh` after each change.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.table = crash_records.CrashTable()
        self._blame_by_fingerprint: dict[str, crash_blame.Blame] = {}
        self._next_expiry = math.inf

    def refresh(self, now: float) -> None:
        """Assigns blame anew, after a change of the table or an expiry.

        Args:
          now: Current time in seconds.
        """
        self.table.expire(now)
        self._blame_by_fingerprint = crash_blame.assign(
            self.table, self.limits.crashes
        )
        self._next_expiry = min(
            (
                record.observed_at + crash_records.CONFIRMATION_TIMEOUT_S
                for record in self.table.unconfirmed()
            ),
            default=math.inf,
        )

    def restricted(self, now: float) -> dict[str, Restriction]:
        """Returns all restrictions by fingerprint.

        Args:
          now: Current time in seconds.
        """
        found = {
            fingerprint: self.restriction(fingerprint, now)
            for fingerprint in list(self._blame_by_fingerprint)
        }
        return {key: item for key, item in found.items() if item is not None}

    def restriction(self, fingerprint: str, now: float) -> Restriction | None:
        """Returns why a request must not be sent, None if it may be sent.

        Args:
          fingerprint: Fingerprint of the request.
          now: Current time in seconds.
        """
        if now >= self._next_expiry:
            self.refresh(now)
        blame = self._blame_by_fingerprint.get(fingerprint)
        if blame is None or fingerprint in self.limits.released:
            return None
        needed = self.limits.crashes
        if not blame.has_sole_suspect:
            needed += _FURTHER_CRASHES_IN_COMPANY
        if blame.separate_ends < needed:
            return None
        if blame.confirmed < needed:
            return _held(blame, now)
        return self._quarantined(blame, blame.confirmed - needed, now)

    def _quarantined(
        self, blame: crash_blame.Blame, further: int, now: float
    ) -> Restriction | None:
        duration_s = self.limits.quarantine_s * 2.0 ** min(further, 32)
        left_s = blame.latest_at + min(duration_s, _QUARANTINE_MAX_S) - now
        if left_s <= 0:
            return None
        return Restriction(
            kind=RestrictionKind.QUARANTINED,
            left_s=left_s,
            records=blame.records,
        )


def _held(blame: crash_blame.Blame, now: float) -> Restriction:
    waits_s = [
        record.observed_at + crash_records.CONFIRMATION_TIMEOUT_S - now
        for record in blame.records
        if not record.confirmed
    ]
    return Restriction(
        kind=RestrictionKind.HELD, left_s=max(waits_s), records=blame.records
    )
