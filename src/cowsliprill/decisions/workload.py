"""How a pool's work divides between prompts and answers. Pure."""

import math

# Work counts for about so long. Bursts are over sooner; an engine that changes
# for one is missing for half of it.
_MEMORY_S = 15.0

# Fewer requests say more of their own sizes than of the traffic.
_LEAST_REQUESTS = 20.0


class Workload:
    """What lately arriving requests ask of both kinds of engines."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._prompts_s = 0.0
        self._answers_s = 0.0
        self._at = -math.inf

    def add(self, prompt_s: float, answer_s: float, now: float) -> None:
        """Takes in a request that arrived.

        Args:
          prompt_s: Time that its prompt takes of one engine.
          answer_s: Time that its answer takes of one engine: how long it
            lasts, times the part of an engine that it fills.
          now: Time, seconds.
        """
        kept = math.exp((self._at - now) / _MEMORY_S)
        self._at = now
        self._requests = self._requests * kept + 1
        self._prompts_s = self._prompts_s * kept + prompt_s
        self._answers_s = self._answers_s * kept + answer_s

    def prompt_part(self) -> float | None:
        """Returns the part of the work that prompts are, None if unknown."""
        total_s = self._prompts_s + self._answers_s
        if self._requests < _LEAST_REQUESTS or total_s <= 0:
            return None
        return self._prompts_s / total_s
