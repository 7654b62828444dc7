"""Decides which requests caused the ends of engines.

Several requests may have been about to start when an engine ended. The request
that accounts for most of the ends is blamed for all of them, and the others are
cleared of these: a request in bad company shares some ends with the cause, but
hardly ever all of them.
"""

import collections
import dataclasses
from collections.abc import Iterable

from cowsliprill.decisions import crash_records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Blame:
    """The ends of engines that a request is blamed for.

    Attributes:
      fingerprint: The request.
      records: The ends.
    """

    fingerprint: str
    records: tuple[crash_records.CrashRecord, ...]

    @property
    def has_sole_suspect(self) -> bool:
        """Whether the request was the only suspect of at least one end."""
        return any(
            len(record.remaining_suspects) == 1 for record in self.records
        )

    @property
    def separate_ends(self) -> int:
        """Number of ends that can't have had one common cause.

        Engines may end together, for instance with their rack, while a request
        that many callers send runs at several of them. An end is counted if the
        request was sent only after the previous one that counts.
        """
        return len(self._separate(self.records))

    @property
    def confirmed(self) -> int:
        """Number of separate ends among the confirmed ones."""
        return len(self._separate(r for r in self.records if r.confirmed))

    def _separate(
        self, records: Iterable[crash_records.CrashRecord]
    ) -> list[crash_records.CrashRecord]:
        separate: list[crash_records.CrashRecord] = []
        for record in sorted(records, key=lambda item: item.observed_at):
            sent_at = record.sent_at(self.fingerprint)
            if not separate or sent_at > separate[-1].observed_at:
                separate.append(record)
        return separate

    @property
    def latest_at(self) -> float:
        """Time of the latest end in seconds."""
        return max(record.observed_at for record in self.records)


def assign(records: Iterable[crash_records.CrashRecord]) -> dict[str, Blame]:
    """Assigns each end to the request that accounts for most of them.

    Args:
      records: The ends that count.

    Returns:
      The blame of each request that is blamed for at least one end, by
      fingerprint.
    """
    unexplained = {
        record.key: record for record in records if record.remaining_suspects
    }
    blame_by_fingerprint: dict[str, Blame] = {}
    while unexplained:
        leaders = _leading_suspects(unexplained.values())
        for fingerprint in leaders:
            involved = [
                record
                for record in unexplained.values()
                if fingerprint in record.remaining_suspects
            ]
            blame_by_fingerprint[fingerprint] = Blame(
                fingerprint=fingerprint, records=tuple(involved)
            )
        unexplained = {
            key: record
            for key, record in unexplained.items()
            if not record.remaining_suspects & leaders
        }
    return blame_by_fingerprint


def _leading_suspects(
    records: Iterable[crash_records.CrashRecord],
) -> frozenset[str]:
    counts = collections.Counter(
        fingerprint
        for record in records
        for fingerprint in record.remaining_suspects
    )
    highest = max(counts.values())
    return frozenset(
        fingerprint for fingerprint, count in counts.items() if count == highest
    )
