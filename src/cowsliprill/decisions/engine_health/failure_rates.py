"""Estimates of the rate at which each engine loses responses."""

import dataclasses
import math
from collections.abc import Collection

# Time constant of the exponential decay, in seconds. Engines lose responses
# for some seconds at a time.
_DECAY_S = 8.0

# Calls without a loss that are assumed of each engine. One loss of one call
# then means a rate of a fifth, and three of three a rate of three sevenths.
_PRIOR_CALLS = 4.0

# Rate from which an engine may be ejected. An engine that loses half of its
# responses reaches it after 16 calls.
_OUTLIER_RATE = 0.4

# An outlier loses at least this many times as much as its peers' mean. If all
# engines lose as much, the cause is common, and no engine is better.
_OUTLIER_PEER_RATIO = 2.0

# Losses since the last readmission without which a rate ejects no engine.
_OUTLIER_LOSSES_MIN = 3

# Losses without an answer between them that eject an engine by themselves. They
# show a crash before the rate does, as many answers came before it.
_LOSSES_IN_A_ROW = 3

# Decayed losses below this are dropped: placement is then as without any.
_LOSSES_MIN = 0.01


@dataclasses.dataclass(slots=True)
class _Counts:
    calls: float = 0.0
    losses: float = 0.0
    updated_at: float = -math.inf
    losses_in_a_row: int = 0
    losses_since_readmission: int = 0

    def decay(self, now: float) -> None:
        if now <= self.updated_at:
            return
        factor = math.exp((self.updated_at - now) / _DECAY_S)
        self.calls *= factor
        self.losses *= factor
        self.updated_at = now


class FailureRates:
    """Decayed counts of the answers and lost responses of each engine.

    The counts of an engine that restarts under its id are dropped by `forget`.
    """

    def __init__(self) -> None:
        self._counts_by_engine: dict[str, _Counts] = {}
        self._lossy_ids: set[str] = set()

    def record_answer(self, engine_id: str, now: float) -> None:
        """Records an answer, at `now` in seconds."""
        counts = self._updated(engine_id, now)
        counts.calls += 1
        counts.losses_in_a_row = 0
        if counts.losses < _LOSSES_MIN:
            counts.losses = 0.0
            self._lossy_ids.discard(engine_id)

    def record_loss(self, engine_id: str, now: float) -> None:
        """Records a call whose connection was lost, at `now` in seconds."""
        counts = self._updated(engine_id, now)
        counts.calls += 1
        counts.losses += 1
        counts.losses_in_a_row += 1
        counts.losses_since_readmission += 1
        self._lossy_ids.add(engine_id)

    def record_readmission(self, engine_id: str) -> None:
        """Records that an engine was readmitted after an ejection.

        Its rate stays, so that it is chosen after others. A new ejection takes
        new losses, as a probe has shown that the engine answers.
        """
        counts = self._counts_by_engine.get(engine_id)
        if counts is not None:
            counts.losses_in_a_row = 0
            counts.losses_since_readmission = 0

    def rate(self, engine_id: str, now: float | None = None) -> float:
        """Returns the fraction of calls whose response is lost.

        Args:
          engine_id: Id of the engine.
          now: Current time in seconds; None for the rate at the last outcome.

        Returns:
          The fraction from 0 to 1, exactly 0 for an engine without losses.
        """
        if engine_id not in self._lossy_ids:
            return 0.0
        counts = self._counts_by_engine[engine_id]
        factor = 1.0
        if now is not None and now > counts.updated_at:
            factor = math.exp((counts.updated_at - now) / _DECAY_S)
        return counts.losses * factor / (counts.calls * factor + _PRIOR_CALLS)

    def has_losses(self) -> bool:
        """Returns whether the rate of any engine exceeds 0."""
        return bool(self._lossy_ids)

    def mean_rate(
        self, engine_ids: Collection[str], now: float | None = None
    ) -> float:
        """Returns the mean rate of some engines, 0 without any."""
        if not engine_ids:
            return 0.0
        return sum(self.rate(item, now) for item in engine_ids) / len(
            engine_ids
        )

    def is_outlier(
        self, engine_id: str, peer_ids: Collection[str], now: float
    ) -> bool:
        """Returns whether an engine is to be ejected for lost responses.

        Args:
          engine_id: Id of an engine that has just lost a response.
          peer_ids: Ids of the other engines of its kind.
          now: Current time in seconds.
        """
        counts = self._counts_by_engine[engine_id]
        if counts.losses_in_a_row >= _LOSSES_IN_A_ROW:
            return True
        if counts.losses_since_readmission < _OUTLIER_LOSSES_MIN:
            return False
        limit = self.mean_rate(peer_ids, now) * _OUTLIER_PEER_RATIO
        return self.rate(engine_id, now) >= max(limit, _OUTLIER_RATE)

    def forget(self, engine_id: str) -> None:
        """Drops the counts of an engine that has restarted."""
        self._counts_by_engine.pop(engine_id, None)
        self._lossy_ids.discard(engine_id)

    def retain(self, engine_ids: set[str]) -> None:
        """Drops the counts of all engines but these."""
        for engine_id in self._counts_by_engine.keys() - engine_ids:
            self.forget(engine_id)

    def _updated(self, engine_id: str, now: float) -> _Counts:
        counts = self._counts_by_engine.setdefault(engine_id, _Counts())
        counts.decay(now)
        return counts
