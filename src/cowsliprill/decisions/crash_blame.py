"""Decides which requests, or parts of prompts, caused the ends of engines.

Several requests may have been about to start when an engine ended, and each may
share parts of its prompt with others. The feature (a request or a part) that
accounts for most of the ends is blamed for all of them, and the others are
cleared of these: a feature in bad company shares some ends with the cause, but
hardly ever all of them.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from cowsliprill.decisions import crash_records

# Engines whose ends are less than this apart may have had one external cause,
# such as the loss of their rack.
_TOGETHER_S = 0.1

_RecordsByKey = dict[crash_records.CrashKey, crash_records.CrashRecord]
_FeaturesByKey = Mapping[crash_records.CrashKey, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Blame:
    """The ends of engines that a feature is blamed for.

    Attributes:
      feature: Fingerprint of the request, or digest of the part.
      records: The ends.
      together_by_key: Ends of other engines of the pool at about the time of
        each end.
    """

    feature: str
    records: tuple[crash_records.CrashRecord, ...]
    together_by_key: Mapping[
        crash_records.CrashKey, Sequence[crash_records.CrashRecord]
    ]

    @property
    def fingerprints(self) -> frozenset[str]:
        """Fingerprints of the requests by which the feature is suspected."""
        return frozenset(
            fingerprint
            for record in self.records
            for fingerprint in record.holders(self.feature)
        )

    @property
    def is_part(self) -> bool:
        """Whether the feature is a part of prompts."""
        return self.feature not in self.fingerprints

    @property
    def control(self) -> crash_records.Control:
        """When engines have survived requests without the feature.

        If they haven't, nothing tells the feature from a common cause, such as
        faulty engines that end whatever they run.
        """
        return max(record.control for record in self.records)

    @property
    def companions(self) -> frozenset[str]:
        """Parts that each suspected request has beside the feature.

        Any of them may be the cause instead.
        """
        common = [
            record.remaining_parts(fingerprint)
            for record in self.records
            for fingerprint in record.holders(self.feature)
        ]
        return frozenset.intersection(*common) - {self.feature}

    @property
    def sole_suspects(self) -> frozenset[str]:
        """Fingerprints of the requests that alone can explain some end."""
        return frozenset(
            fingerprint
            for record in self.records
            if self._is_sole_suspect(record)
            for fingerprint in record.holders(self.feature)
        )

    @property
    def is_only_sole_suspect(self) -> bool:
        """Whether only requests with the feature can explain each end."""
        return all(map(self._is_sole_suspect, self.records))

    @property
    def separate_ends(self) -> int:
        """Number of ends that can't have had one common cause."""
        return self.count_separate(self.records)

    @property
    def confirmed_records(self) -> tuple[crash_records.CrashRecord, ...]:
        """The ends that are certain."""
        return tuple(record for record in self.records if record.confirmed)

    @property
    def confirmed(self) -> int:
        """Number of separate ends among the confirmed ones."""
        return self.count_separate(self.confirmed_records)

    @property
    def latest_at(self) -> float:
        """Time of the latest end in seconds."""
        return max(record.observed_at for record in self.records)

    def count_separate(
        self, records: Iterable[crash_records.CrashRecord]
    ) -> int:
        """Returns how many ends can't have had one common cause.

        Engines may end together, for instance with their rack, while a request
        that many callers send runs at several of them. An end is counted if a
        request with the feature was sent only after the previous one that
        counts.

        Args:
          records: Some of the ends that the feature is blamed for.
        """
        count = 0
        previous_at = -math.inf
        for record in sorted(records, key=lambda item: item.observed_at):
            sent_at = max(map(record.sent_at, record.holders(self.feature)))
            if sent_at > previous_at:
                count += 1
                previous_at = record.observed_at
        return count

    def _is_sole_suspect(self, record: crash_records.CrashRecord) -> bool:
        return record.holders(
            self.feature
        ) == record.remaining_suspects and all(
            other.holders(self.feature)
            for other in self.together_by_key[record.key]
        )


def assign(
    records: Iterable[crash_records.CrashRecord], at_least: int = 1
) -> dict[str, Blame]:
    """Assigns each end to the feature that accounts for most of them.

    Args:
      records: The ends that count.
      at_least: Features that account for fewer ends are left out.

    Returns:
      The blame of each feature that is blamed for enough ends, by feature.
    """
    records = list(records)
    together_by_key = _index_together(records)
    features_by_key = {
        record.key: record.remaining_features for record in records
    }
    records_by_feature = _index_by_feature(records, features_by_key)
    blame_by_feature: dict[str, Blame] = {}
    while records_by_feature:
        highest = max(map(len, records_by_feature.values()))
        if highest < at_least:
            break
        leaders = [
            feature
            for feature, involved in records_by_feature.items()
            if len(involved) == highest
        ]
        for feature in leaders:
            blame_by_feature[feature] = Blame(
                feature=feature,
                records=tuple(records_by_feature[feature].values()),
                together_by_key=together_by_key,
            )
        explained = {
            key for feature in leaders for key in records_by_feature[feature]
        }
        _remove(explained, records_by_feature, features_by_key)
    return blame_by_feature


def _index_together(
    records: Iterable[crash_records.CrashRecord],
) -> dict[crash_records.CrashKey, list[crash_records.CrashRecord]]:
    """Returns the ends at about the time of each end, by its key."""
    together_by_key: dict[
        crash_records.CrashKey, list[crash_records.CrashRecord]
    ] = {}
    recent: collections.deque[crash_records.CrashRecord] = collections.deque()
    for record in sorted(records, key=lambda item: item.observed_at):
        since = record.observed_at - _TOGETHER_S
        while recent and recent[0].observed_at < since:
            recent.popleft()
        others = [item for item in recent if item.pool == record.pool]
        together_by_key[record.key] = others
        for other in others:
            together_by_key[other.key].append(record)
        recent.append(record)
    return together_by_key


def _index_by_feature(
    records: Iterable[crash_records.CrashRecord],
    features_by_key: _FeaturesByKey,
) -> dict[str, _RecordsByKey]:
    records_by_feature: dict[str, _RecordsByKey] = {}
    for record in records:
        for feature in features_by_key[record.key]:
            involved = records_by_feature.setdefault(feature, {})
            involved[record.key] = record
    return records_by_feature


def _remove(
    explained: Iterable[crash_records.CrashKey],
    records_by_feature: dict[str, _RecordsByKey],
    features_by_key: _FeaturesByKey,
) -> None:
    for key in explained:
        for feature in features_by_key[key]:
            involved = records_by_feature.get(feature, {})
            involved.pop(key, None)
            if not involved:
                records_by_feature.pop(feature, None)
