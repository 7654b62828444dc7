"""Robust fits of the time of a prefill or decode over its number of tokens."""

import dataclasses
import statistics
from collections.abc import Sequence

# For prompts closer in length, the difference in time is mostly noise.
_MIN_LENGTH_DIFFERENCE_TOKENS = 500

# The median slope of fewer pairs of prompts is mostly noise.
_MIN_PAIRS = 30

# Up to this many samples, all pairs are compared, beyond it only those of the
# shortest third with the longest third. They have the largest differences in
# length, so that a fit of 127 samples takes a fifth of the time and loses
# little accuracy.
_ALL_PAIRS_SAMPLES = 31


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Expected time of a stage on an engine as fast as the pool.

    Attributes:
      fixed_s: Part of the time that doesn't depend on the length, in seconds.
      token_s: Time per token in seconds.
    """

    fixed_s: float
    token_s: float


# Without a fit, times are compared by token. The scale doesn't matter, as
# engines are only compared with each other.
UNKNOWN = Fit(0.0, 1.0)

# Tokens and seconds of one sample.
Point = tuple[float, float]


def fit_decode(points: Sequence[Point]) -> Fit | None:
    """Returns the median time per token of recent outputs.

    Args:
      points: Tokens and seconds of each output.
    """
    if not points:
        return None
    return Fit(
        0.0, statistics.median(seconds / tokens for tokens, seconds in points)
    )


def fit_prefill(points: Sequence[Point]) -> Fit | None:
    """Returns the prefill time as a line over the length of the prompt.

    Each prompt has a fixed overhead of 0.02 to 0.12 s regardless of its length,
    during which the engine processes other prompts. Counted as prefill time, it
    makes a pool appear to need half of its engines for prefill. The Theil-Sen
    estimator (median slope over pairs) excludes it and is robust to a few slow
    prompts.

    Args:
      points: Tokens and seconds of each prompt.

    Returns:
      The line, None if the prompts are too few or too similar in length.
    """
    slopes = [
        (longer_s - shorter_s) / (longer - shorter)
        for (shorter, shorter_s), (longer, longer_s) in _pairs(sorted(points))
        if longer - shorter >= _MIN_LENGTH_DIFFERENCE_TOKENS
    ]
    if len(slopes) < _MIN_PAIRS:
        return None
    token_s = statistics.median(slopes)
    if token_s <= 0:
        return None
    fixed_s = statistics.median(
        seconds - tokens * token_s for tokens, seconds in points
    )
    return Fit(max(fixed_s, 0.0), token_s)


def _pairs(by_length: list[Point]) -> list[tuple[Point, Point]]:
    if len(by_length) <= _ALL_PAIRS_SAMPLES:
        return [
            (shorter, longer)
            for index, shorter in enumerate(by_length)
            for longer in by_length[index + 1 :]
        ]
    third = len(by_length) // 3
    return [
        (shorter, longer)
        for shorter in by_length[:third]
        for longer in by_length[-third:]
    ]
