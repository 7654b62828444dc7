"""How many engines of one kind the recent load needs.

The rules are upper bounds from few figures: an engine that loses one response
in ten still serves nine, so it is better to keep one too many.
"""

import math

# Time constant of the decay of the prompt rate, in seconds. Bursts last for a
# few seconds.
_DECAY_S = 4.0

# Needed capacity over the mean load. Prompts arrive unevenly, and engines that
# are busy all the time have queues.
_PREFILL_MARGIN = 1.5
_DECODE_MARGIN = 1.2

# Fraction of the prefill engines that are needed while their speed is unknown.
_UNKNOWN_SPEED_FRACTION = 0.5


class PromptLoad:
    """Exponentially decayed rate of arriving prompt tokens."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._updated_at = -math.inf

    def add(self, tokens: int, now: float) -> None:
        """Adds the prompt of a request that arrived at `now`, in seconds."""
        if now > self._updated_at:
            self._tokens *= math.exp((self._updated_at - now) / _DECAY_S)
            self._updated_at = now
        self._tokens += tokens

    def tokens_per_s(self) -> float:
        """Returns the prompt tokens per second when the last one arrived."""
        return self._tokens / _DECAY_S


def prefill_engines(
    tokens_per_s: float, engine_tokens_per_s: float, engines: int
) -> float:
    """Returns how many prefill engines are needed.

    Args:
      tokens_per_s: Recent prompt tokens per second.
      engine_tokens_per_s: Mean speed of the prefill engines, 0 if unknown.
      engines: Number of prefill engines.
    """
    if engine_tokens_per_s <= 0:
        return engines * _UNKNOWN_SPEED_FRACTION
    return tokens_per_s / engine_tokens_per_s * _PREFILL_MARGIN


def decode_engines(
    used_slots: float, waiting_slots: float, engine_slots: float
) -> float:
    """Returns how many decode engines are needed.

    Args:
      used_slots: Slots in use at all decode engines.
      waiting_slots: Slots that the queued requests take.
      engine_slots: Mean number of slots of an engine.
    """
    if engine_slots <= 0:
        return 0.0
    return (used_slots + waiting_slots) / engine_slots * _DECODE_MARGIN
