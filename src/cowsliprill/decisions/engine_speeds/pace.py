"""Time that one engine takes for its work relative to its pool."""

import math

from cowsliprill.decisions.engine_speeds import fits

# Time constant of the exponential decay, in seconds. Engines have slow phases
# of 0.6 s, which must not move the estimate noticeably. An engine that gets no
# requests is taken for an average one again after about as long, and tried.
_DECAY_S = 20.0

# Interval between samples of full weight. Many streams of one engine report at
# once; without a limit, those of one slow phase would outweigh all before.
_SAMPLE_INTERVAL_S = 0.1

# Weight of the prior, an engine as fast as the pool, in samples.
_PRIOR_SAMPLES = 3.0

# Samples from which the estimate tells the engine's usual speed.
_LEARNT_SAMPLES = 5

# Engines whose times differ from the pool's by less than the first ratio count
# as equal to it, those that have differed until they differ by less than the
# second. Random variation of equal engines stays below the first.
_DIFFERENT_RATIO = 1.2
_EQUAL_RATIO = 1.1

# Smaller relative changes aren't published.
_MIN_RELATIVE_CHANGE = 0.1

# Bounds of a relative time. They limit the effect of one stalled request.
_RELATIVE_MAX = 10.0


class EnginePace:
    """Decayed sums of an engine's samples for one stage.

    Attributes:
      relative_time: Published time relative to the pool's, 1.0 if equal. It is
        a mean shrunk toward 1.0.
      weight: Decayed number of samples.
    """

    def __init__(self) -> None:
        self.relative_time = 1.0
        self.weight = 0.0
        self._samples = 0
        self._seconds = 0.0
        self._tokens = 0.0
        self._added_at = -math.inf
        self._decayed_at = -math.inf

    @property
    def is_learnt(self) -> bool:
        """Whether there have been enough samples to tell a usual speed."""
        return self._samples >= _LEARNT_SAMPLES

    def add(self, tokens: float, seconds: float, now: float) -> None:
        """Adds a sample; it counts for little just after another one.

        Args:
          tokens: Tokens processed.
          seconds: Time that they took, in seconds.
          now: Current time in seconds.
        """
        self.decay(now)
        weight = min((now - self._added_at) / _SAMPLE_INTERVAL_S, 1.0)
        self._added_at = now
        self._samples += 1
        self.weight += weight
        self._seconds += seconds * weight
        self._tokens += tokens * weight

    def decay(self, now: float) -> None:
        """Lowers the weight of earlier samples.

        Args:
          now: Current time in seconds.
        """
        factor = math.exp((self._decayed_at - now) / _DECAY_S)
        self._decayed_at = now
        self.weight *= factor
        self._seconds *= factor
        self._tokens *= factor

    def time_ratio(self, fit: fits.Fit) -> float | None:
        """Returns measured over expected time, None without samples.

        Args:
          fit: Expected time of the stage.
        """
        expected_s = fit.fixed_s * self.weight + fit.token_s * self._tokens
        return self._seconds / expected_s if expected_s > 0 else None

    def usual_ratio(self, fit: fits.Fit, center: float) -> float | None:
        """Returns the engine's usual time relative to the pool's, not shrunk.

        Args:
          fit: Expected time of the stage.
          center: Time ratio of a usual engine of the pool.

        Returns:
          The ratio, 1.0 where it counts as equal; None if too few samples show
          it.
        """
        ratio = self.time_ratio(fit)
        if ratio is None or not self.is_learnt:
            return None
        ratio /= center
        return 1.0 if _differs_less(ratio, _DIFFERENT_RATIO) else ratio

    def publish(self, fit: fits.Fit, center: float) -> bool:
        """Updates the published relative time if it has changed noticeably.

        Args:
          fit: Expected time of the stage.
          center: Time ratio of a usual engine of the pool.

        Returns:
          Whether it has changed.
        """
        relative_time = self._shrunk_time(fit, center)
        published = self.relative_time
        limit = _DIFFERENT_RATIO if published == 1.0 else _EQUAL_RATIO
        if _differs_less(relative_time, limit):
            relative_time = 1.0
        elif abs(relative_time - published) <= published * _MIN_RELATIVE_CHANGE:
            return False
        self.relative_time = relative_time
        return relative_time != published

    def _shrunk_time(self, fit: fits.Fit, center: float) -> float:
        ratio = self.time_ratio(fit)
        if ratio is None:
            return 1.0
        relative = min(max(ratio / center, 1 / _RELATIVE_MAX), _RELATIVE_MAX)
        total = _PRIOR_SAMPLES + self.weight
        return (_PRIOR_SAMPLES + self.weight * relative) / total


def _differs_less(ratio: float, limit: float) -> bool:
    return 1 / limit < ratio < limit
