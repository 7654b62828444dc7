"""Estimates the prefill and decode speeds of a pool's engines from requests.

The configured speeds are used until enough requests have been observed. They
can be far off: with a configured speed twelve times too low, a pool computes
twelve times its real load and rejects requests while half of its KV cache
memory is free.
"""

import collections
import dataclasses
import itertools
import statistics

from cowsliprill.decisions import model

# Samples in the sliding window. A median over this many is hardly moved by one
# engine that is slow for a while, yet follows a change of all engines within
# some seconds of usual traffic.
_WINDOW_SAMPLES = 31

# Smaller relative changes of an estimate aren't published.
_MIN_RELATIVE_CHANGE = 0.1

# The time of a shorter output is dominated by its fixed overhead.
_MIN_DECODE_TOKENS = 20

# For prompts closer in length, the difference in time is mostly noise.
_MIN_LENGTH_DIFFERENCE_TOKENS = 500

# The median slope of fewer pairs of prompts is mostly noise.
_MIN_PAIRS = 30


class _PublishedEstimate:
    """Time per token in seconds, published only if it changes noticeably."""

    def __init__(self) -> None:
        self.published_s = 0.0

    def update(self, seconds: float) -> bool:
        """Updates the estimate; returns whether the published value changed."""
        if (
            abs(seconds - self.published_s)
            <= self.published_s * _MIN_RELATIVE_CHANGE
        ):
            return False
        self.published_s = seconds
        return True


class _DecodeTime(_PublishedEstimate):
    """Decode time per token: the median of recent outputs."""

    def __init__(self) -> None:
        super().__init__()
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )

    def add(self, seconds: float) -> bool:
        """Adds a sample; returns whether the published value changed.

        Args:
          seconds: Time per token in seconds.
        """
        self._samples.append(seconds)
        return self.update(statistics.median(self._samples))


class _PrefillTime(_PublishedEstimate):
    """Prefill time per token, estimated as the slope of time over length.

    Each prompt has a fixed overhead of 0.02 to 0.12 s regardless of its length,
    during which the engine processes other prompts. Counted as prefill time, it
    makes a pool appear to need half of its engines for prefill. The Theil-Sen
    estimator (median slope over all pairs) excludes it and is robust to a few
    slow prompts.
    """

    def __init__(self) -> None:
        super().__init__()
        self._samples: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )

    def add(self, tokens: int, seconds: float) -> bool:
        """Adds a sample; returns whether the published value changed.

        Args:
          tokens: Length of the prompt.
          seconds: Time of its prefill in seconds.
        """
        self._samples.append((tokens, seconds))
        slopes = [
            (later_s - earlier_s) / (later - earlier)
            for (earlier, earlier_s), (
                later,
                later_s,
            ) in itertools.combinations(self._samples, 2)
            if abs(later - earlier) >= _MIN_LENGTH_DIFFERENCE_TOKENS
        ]
        if len(slopes) < _MIN_PAIRS:
            return False
        median = statistics.median(slopes)
        return median > 0 and self.update(median)


class SpeedEstimator:
    """Estimates the prefill and decode speeds of one pool's engines."""

    def __init__(self) -> None:
        self._prefill = _PrefillTime()
        self._decode = _DecodeTime()

    def add_prefill(self, tokens: int, seconds: float) -> bool:
        """Adds the prefill of a prompt that ran alone on a prefill engine.

        Args:
          tokens: Tokens of the prompt that weren't cached.
          seconds: Time of the prefill in seconds.

        Returns:
          Whether a published speed changed, so that `apply_to` must be applied
          to the engines again.
        """
        return self._prefill.add(tokens, seconds)

    def add_decode(self, tokens: int, seconds: float) -> bool:
        """Adds the decode of an output or a part of one.

        Args:
          tokens: Tokens decoded after the first one.
          seconds: Time since the first token, in seconds.

        Returns:
          Whether a published speed changed, so that `apply_to` must be applied
          to the engines again.
        """
        if tokens < _MIN_DECODE_TOKENS or seconds <= 0:
            return False
        return self._decode.add(seconds / tokens)

    def has_estimates(self) -> bool:
        """Returns whether both speeds have been estimated."""
        return self._prefill.published_s > 0 and self._decode.published_s > 0

    def apply_to(self, endpoint: model.Endpoint) -> model.Endpoint:
        """Returns an engine with its default speeds replaced by measured ones.

        Args:
          endpoint: The engine. If its speeds were configured explicitly, it is
            returned unchanged.
        """
        if not endpoint.speeds_guessed:
            return endpoint
        measured: dict[str, float] = {}
        if self._decode.published_s:
            measured["seconds_per_token"] = self._decode.published_s
        if self._prefill.published_s:
            speed = 1 / self._prefill.published_s
            default_speed = endpoint.prefill_tokens_per_s
            measured["prefill_tokens_per_s"] = speed
            measured["own_prefill_tokens_per_s"] = (
                endpoint.own_prefill_tokens_per_s * speed / default_speed
            )
        return dataclasses.replace(endpoint, **measured)
