"""How fast a pool's engines are, learnt from their own work.

Pure. Where the settings don't state speeds, a first guess holds until requests
have been watched. A guess that is twelve times too slow had a pool of fast
engines take its demand for twelve times what it was, and refuse callers while
half of its memory was free.
"""

import collections
import dataclasses
import statistics

from cowsliprill.decisions import model

# The median of so many is hardly moved by an engine that is slow for a while,
# and follows a change of all engines within some seconds of usual traffic.
_WATCHED = 31

# A smaller change than this isn't told to those who reckon with the speeds.
_MATTERS = 0.1

# Shorter prompts and answers say more of the fixed parts than of the speed.
_LEAST_PROMPT_TOKENS = 500
_LEAST_ANSWER_TOKENS = 20


@dataclasses.dataclass(slots=True)
class _Watched:
    """Measured times for one token, in seconds, and what is told of them."""

    seconds: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_WATCHED)
    )
    told_s: float = 0.0

    def add(self, seconds: float) -> bool:
        """Takes in a time; returns whether what is told has changed."""
        self.seconds.append(seconds)
        median = statistics.median(self.seconds)
        if abs(median - self.told_s) <= self.told_s * _MATTERS:
            return False
        self.told_s = median
        return True


class Speeds:
    """Speeds of one pool's engines."""

    def __init__(self) -> None:
        self._prompt = _Watched()
        self._answer = _Watched()

    def read(self, tokens: int, seconds: float) -> bool:
        """Takes in a prompt that a prefill engine read alone.

        Args:
          tokens: Tokens of the prompt that weren't cached.
          seconds: Time that it took.

        Returns:
          Whether engines have to be described anew.
        """
        if tokens < _LEAST_PROMPT_TOKENS or seconds <= 0:
            return False
        return self._prompt.add(seconds / tokens)

    def wrote(self, tokens: int, seconds: float) -> bool:
        """Takes in a part of an answer.

        Args:
          tokens: Its tokens without the first one.
          seconds: Time since the first one.

        Returns:
          Whether engines have to be described anew.
        """
        if tokens < _LEAST_ANSWER_TOKENS or seconds <= 0:
            return False
        return self._answer.add(seconds / tokens)

    def are_known(self) -> bool:
        """Returns whether both speeds were learnt."""
        return self._prompt.told_s > 0 and self._answer.told_s > 0

    def describe(self, endpoint: model.Endpoint) -> model.Endpoint:
        """Returns an engine with the learnt speeds in place of guesses."""
        if not endpoint.speeds_guessed:
            return endpoint
        learnt: dict[str, float] = {}
        if self._answer.told_s:
            learnt["seconds_per_token"] = self._answer.told_s
        if self._prompt.told_s:
            speed = 1 / self._prompt.told_s
            guess = endpoint.prefill_tokens_per_s
            learnt["prefill_tokens_per_s"] = speed
            learnt["own_prefill_tokens_per_s"] = (
                endpoint.own_prefill_tokens_per_s * speed / guess
            )
        return dataclasses.replace(endpoint, **learnt)
