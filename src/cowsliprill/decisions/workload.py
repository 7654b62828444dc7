"""Tracks how a pool's load divides between prefill and decode."""

import math

# Time constant of the exponential decay, in seconds. Bursts are shorter; an
# engine that changed its role for one would be unavailable for half of it.
_DECAY_S = 15.0

# Below this decayed count, the fraction reflects the sizes of single requests
# rather than the traffic.
_MIN_REQUESTS = 20.0


class Workload:
    """Exponentially decayed prefill and decode time of arriving requests."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._prefill_s = 0.0
        self._decode_s = 0.0
        self._updated_at = -math.inf

    def add(self, prefill_s: float, decode_s: float, now: float) -> None:
        """Adds a request that arrived.

        Args:
          prefill_s: Time of its prefill on one engine, in seconds.
          decode_s: Time of its decode in seconds, times the fraction of a
            decode engine that it occupies.
          now: Current time in seconds.
        """
        decay = math.exp((self._updated_at - now) / _DECAY_S)
        self._updated_at = now
        self._requests = self._requests * decay + 1
        self._prefill_s = self._prefill_s * decay + prefill_s
        self._decode_s = self._decode_s * decay + decode_s

    def prompt_part(self) -> float | None:
        """Returns prefill's fraction of the load, from 0 to 1.

        Returns:
          The fraction, or None if too few requests arrived recently.
        """
        total_s = self._prefill_s + self._decode_s
        if self._requests < _MIN_REQUESTS or total_s <= 0:
            return None
        return self._prefill_s / total_s
