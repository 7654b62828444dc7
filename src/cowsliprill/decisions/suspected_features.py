"""Features of requests that may end engines, and the starts this restricts.

A feature is the fingerprint of a request or the digest of a part of its prompt.
Each copy of a request, or different requests that share a part, may end the
engine that begins to write an answer. From the first loss of a request until an
engine gives output for it, requests with one of its features start one by one,
so that one engine at a time is at risk.
"""

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import survived_requests

# A feature on which engines were lost twice in a row is tried again after this
# time, doubled with each further loss. By then VMs know of the losses, and
# refuse its requests if they blame the feature.
_RETRY_DELAY_S = 0.5
_MAX_DOUBLINGS = 3
_LOSSES_BEFORE_DELAY = 2

# Range of the pseudo-random factors of these delays. Features that were lost
# with one engine are tried again at different times, which tells them apart.
_DELAY_SPREAD = 1.0

_MAX_SUSPECTED = 8_192

_FeatureKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """Engines lost on a feature since engines last gave output on it.

    Attributes:
      lost_at: Time of the latest loss in seconds.
      losses: Losses that the entry processes have told this scheduler.
      crashes: Keys of the crash records. Losses and crashes are the same ends,
        but for what one of the two doesn't know.
    """

    lost_at: float
    losses: int = 0
    crashes: frozenset[crash_records.CrashKey] = frozenset()

    def retry_at(self, feature: str) -> float:
        losses = max(self.losses, len(self.crashes))
        further = losses - _LOSSES_BEFORE_DELAY
        if further < 0:
            return self.lost_at
        delay_s = _RETRY_DELAY_S * 2.0 ** min(further, _MAX_DOUBLINGS)
        return self.lost_at + delay_s * _delay_factor(feature)


def _delay_factor(feature: str) -> float:
    """Returns a factor that all VMs agree on."""
    digest = xxhash.xxh32_intdigest(feature.encode())
    return 1.0 + _DELAY_SPREAD * digest / 2**32


class SuspectedFeatures:
    """Tells which requests of a scheduler have to wait for the start of others.

    A request starts when it is placed on engines, and has started once there is
    output.
    """

    def __init__(self) -> None:
        self._survived = survived_requests.SurvivedRequests()
        self._suspicions_by_feature: dict[_FeatureKey, _Suspicion] = {}
        self._starting_by_id: dict[int, tuple[str, Collection[str]]] = {}
        self._starts_by_feature: collections.Counter[_FeatureKey] = (
            collections.Counter()
        )

    def start(
        self, request_id: int, pool: str, features: Collection[str]
    ) -> None:
        """Records that a request has been placed.

        Args:
          request_id: The request.
          pool: Its pool.
          features: Its features.
        """
        self.end(request_id)
        if features:
            self._starting_by_id[request_id] = (pool, features)
            self._starts_by_feature.update((item, pool) for item in features)

    def end(self, request_id: int) -> None:
        """Records that a placement has ended, for whatever reason."""
        pool, features = self._starting_by_id.pop(request_id, ("", ()))
        for key in ((item, pool) for item in features):
            self._starts_by_feature[key] -= 1
            if not self._starts_by_feature[key]:
                del self._starts_by_feature[key]

    def lose(self, request_id: int, now: float) -> None:
        """Records that an engine closed the connection before any output.

        Args:
          request_id: The request.
          now: Current time in seconds.
        """
        pool, features = self._starting_by_id.get(request_id, ("", ()))
        for feature in features:
            if not self._survived.contains(feature, pool, now):
                self._suspect((feature, pool), now, losses=1)

    def learn(
        self, records: Iterable[crash_records.CrashRecord], now: float
    ) -> None:
        """Adds ends of engines that other schedulers had placed requests on.

        A new coordinator hasn't seen the losses before it began.

        Args:
          records: New or changed crash records.
          now: Current time in seconds.
        """
        for record in records:
            for feature in record.remaining_features:
                if not self._survived.contains(feature, record.pool, now):
                    key = (feature, record.pool)
                    self._suspect(key, record.observed_at, crash=record.key)

    def survive(self, request_id: int, now: float) -> None:
        """Records that an engine gave output for a request.

        Args:
          request_id: The request.
          now: Current time in seconds.
        """
        pool, features = self._starting_by_id.get(request_id, ("", ()))
        self.end(request_id)
        for feature in features:
            self._survived.add(feature, pool, now)
            self._suspicions_by_feature.pop((feature, pool), None)

    def must_wait(
        self, pool: str, features: Collection[str], now: float
    ) -> bool:
        """Returns whether a request must not start yet.

        Another request with one of its suspected features is starting, or has
        ended an engine lately.

        Args:
          pool: Pool of the request.
          features: Its features.
          now: Current time in seconds.
        """
        for feature in features:
            key = (feature, pool)
            suspicion = self._suspicions_by_feature.get(key)
            if suspicion is not None and (
                key in self._starts_by_feature
                or now < suspicion.retry_at(feature)
            ):
                return True
        return False

    def _suspect(
        self,
        key: _FeatureKey,
        lost_at: float,
        losses: int = 0,
        crash: crash_records.CrashKey | None = None,
    ) -> None:
        # The dictionary is kept in order of change, oldest first.
        known = self._suspicions_by_feature.pop(key, _Suspicion(lost_at))
        crashes = known.crashes if crash is None else known.crashes | {crash}
        self._suspicions_by_feature[key] = _Suspicion(
            lost_at=max(known.lost_at, lost_at),
            losses=known.losses + losses,
            crashes=crashes,
        )
        if len(self._suspicions_by_feature) > _MAX_SUSPECTED:
            oldest = next(iter(self._suspicions_by_feature))
            del self._suspicions_by_feature[oldest]
