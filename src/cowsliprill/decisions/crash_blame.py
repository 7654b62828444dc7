"""Decides which requests caused the ends of engines.

Several requests may have been about to start when an engine ended. The request
that accounts for most of the ends is blamed for all of them, and the others are
cleared of these: a request in bad company shares some ends with the cause, but
hardly ever all of them.
"""

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


def assign(
    records: Iterable[crash_records.CrashRecord], at_least: int = 1
) -> dict[str, Blame]:
    """Assigns each end to the request that accounts for most of them.

    Args:
      records: The ends that count.
      at_least: Requests that account for fewer ends are left out.

    Returns:
      The blame of each request that is blamed for enough ends, by fingerprint.
    """
    records_by_fingerprint = _index_by_suspect(records)
    blame_by_fingerprint: dict[str, Blame] = {}
    while records_by_fingerprint:
        highest = max(map(len, records_by_fingerprint.values()))
        if highest < at_least:
            break
        leaders = [
            fingerprint
            for fingerprint, involved in records_by_fingerprint.items()
            if len(involved) == highest
        ]
        for fingerprint in leaders:
            blame_by_fingerprint[fingerprint] = Blame(
                fingerprint=fingerprint,
                records=tuple(records_by_fingerprint[fingerprint].values()),
            )
        explained = {
            key: record
            for fingerprint in leaders
            for key, record in records_by_fingerprint[fingerprint].items()
        }
        _remove(explained, records_by_fingerprint)
    return blame_by_fingerprint


_RecordsByKey = dict[crash_records.CrashKey, crash_records.CrashRecord]


def _index_by_suspect(
    records: Iterable[crash_records.CrashRecord],
) -> dict[str, _RecordsByKey]:
    records_by_fingerprint: dict[str, _RecordsByKey] = {}
    for record in records:
        for fingerprint in record.remaining_suspects:
            involved = records_by_fingerprint.setdefault(fingerprint, {})
            involved[record.key] = record
    return records_by_fingerprint


def _remove(
    explained: _RecordsByKey, records_by_fingerprint: dict[str, _RecordsByKey]
) -> None:
    for key, record in explained.items():
        for fingerprint in record.remaining_suspects:
            involved = records_by_fingerprint.get(fingerprint, {})
            involved.pop(key, None)
            if not involved:
                records_by_fingerprint.pop(fingerprint, None)
