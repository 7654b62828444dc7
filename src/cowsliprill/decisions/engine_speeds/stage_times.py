"""Estimates of one stage, prefill or decode, for a pool and its engines."""

import collections
import math
import statistics
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

from cowsliprill.decisions.engine_speeds import fits
from cowsliprill.decisions.engine_speeds import pace

# Samples in the sliding window of the pool's estimate. It holds the samples of
# the last seconds, and at low rates the last ones whatever their age. A median
# over 31 samples swings by a third where engines have slow phases; over
# 127 samples it follows a change of all engines within some seconds.
_WINDOW_MAX_SAMPLES = 127
_WINDOW_MIN_SAMPLES = 31
_WINDOW_MAX_AGE_S = 10.0

# Minimum interval of samples in the window, so that at high rates it doesn't
# hold the samples of a moment only.
_WINDOW_INTERVAL_S = 0.05

# Minimum interval between two updates. Each may change all endpoints.
_UPDATE_INTERVAL_S = 0.5

# Smaller relative changes of the pool's estimate aren't published.
_MIN_RELATIVE_CHANGE = 0.1

# Decayed samples from which an engine counts for what is usual in the pool.
_MIN_WEIGHT = 1.0

# Upper bound of the usual time of an engine relative to its pool. Beyond it,
# an engine counts as slow however long it has been: its streams pause for too
# long to be of use. Until its usual time is known, any engine may be as slow.
_USUAL_RATIO_MAX = 2.5

Incarnation = tuple[str, str]
_Fit = Callable[[Sequence[fits.Point]], fits.Fit | None]
_Sample = tuple[float, Incarnation, float, float]


class StageTimes:
    """Times of one stage: a line for the pool, a relative time per engine.

    Args:
      fit: Fits the pool's expected time.

    Attributes:
      published_s: The pool's time per token in seconds, 0 if unknown.
    """

    def __init__(self, fit: _Fit) -> None:
        self.published_s = 0.0
        self._fit = fit
        self._line = fits.UNKNOWN
        self._center: float | None = None
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=_WINDOW_MAX_SAMPLES
        )
        self._paces_by_incarnation: dict[Incarnation, pace.EnginePace] = {}
        self._updated_at = -math.inf

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drops what is known of engines that were removed or restarted."""
        for gone in self._paces_by_incarnation.keys() - set(incarnations):
            del self._paces_by_incarnation[gone]

    def add(
        self,
        incarnation: Incarnation,
        tokens: float,
        seconds: float,
        now: float,
        *,
        estimated: bool,
    ) -> bool:
        """Adds a sample.

        Args:
          incarnation: The engine.
          tokens: Tokens processed.
          seconds: Time that they took, in seconds.
          now: Current time in seconds.
          estimated: Whether the engine gets an estimate of its own.

        Returns:
          Whether a published value changed.
        """
        if estimated:
            engine = self._paces_by_incarnation.setdefault(
                incarnation, pace.EnginePace()
            )
            engine.add(tokens, seconds, now)
        if not self._samples or (
            now - self._samples[-1][0] >= _WINDOW_INTERVAL_S
        ):
            self._samples.append((now, incarnation, tokens, seconds))
        if now - self._updated_at < _UPDATE_INTERVAL_S:
            return False
        self._updated_at = now
        return self._update(now)

    def relative_time(self, incarnation: Incarnation) -> float | None:
        """Returns an engine's time relative to the pool's, None if unknown."""
        engine = self._paces_by_incarnation.get(incarnation)
        return engine.relative_time if engine is not None else None

    def is_learnt(self, incarnation: Incarnation) -> bool:
        """Returns whether enough samples of an engine are known."""
        engine = self._paces_by_incarnation.get(incarnation)
        return engine is not None and engine.is_learnt

    def usual_s(self, incarnation: Incarnation) -> float:
        """Returns the time per token that is usual for an engine, in seconds.

        Unlike the published value it isn't shrunk: slowness is told from it.

        Args:
          incarnation: The engine.

        Returns:
          At least the pool's time; while too few samples are known, that of the
          slowest engine that may be in use. 0 if the pool's time is unknown.
        """
        ratio = None
        engine = self._paces_by_incarnation.get(incarnation)
        if engine is not None and self._center is not None:
            ratio = engine.usual_ratio(self._line, self._center)
        if ratio is None:
            ratio = _USUAL_RATIO_MAX
        return self.published_s * min(max(ratio, 1.0), _USUAL_RATIO_MAX)

    def _update(self, now: float) -> bool:
        engines = self._paces_by_incarnation.values()
        for engine in engines:
            engine.decay(now)
        self._center = self._usual_ratio()
        changed = False
        if self._center is not None:
            for engine in engines:
                changed |= engine.publish(self._line, self._center)
        changed |= self._update_pool(now)
        self._center = self._usual_ratio()
        return changed

    def _usual_ratio(self) -> float | None:
        """Returns the median time ratio of the engines, None if unknown.

        Relative times are taken from it, so that a change of all engines is one
        of the pool.
        """
        ratios = [
            ratio
            for engine in self._paces_by_incarnation.values()
            if engine.weight >= _MIN_WEIGHT
            and (ratio := engine.time_ratio(self._line)) is not None
        ]
        return statistics.median(ratios) if ratios else self._center

    def _update_pool(self, now: float) -> bool:
        samples = self._samples
        while (
            len(samples) > _WINDOW_MIN_SAMPLES
            and now - samples[0][0] > _WINDOW_MAX_AGE_S
        ):
            samples.popleft()
        line = self._fit(
            [
                (tokens, seconds / (self.relative_time(incarnation) or 1.0))
                for _, incarnation, tokens, seconds in samples
            ]
        )
        if line is None:
            return False
        self._line = line
        change_s = abs(line.token_s - self.published_s)
        if change_s <= self.published_s * _MIN_RELATIVE_CHANGE:
            return False
        self.published_s = line.token_s
        return True
