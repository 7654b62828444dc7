"""How fast a pool's engines are, learnt from their own work.

Pure. Where the settings don't state speeds, a first guess holds until requests
have been watched. A guess that is twelve times too slow had a pool of fast
engines take its demand for twelve times what it was, and refuse callers while
half of its memory was free.
"""

import collections
import dataclasses
import itertools
import statistics

from cowsliprill.decisions import model

# The median of so many is hardly moved by an engine that is slow for a while,
# and follows a change of all engines within some seconds of usual traffic.
_WATCHED = 31

# A smaller change than this isn't told to those who reckon with the speeds.
_MATTERS = 0.1

# Shorter answers say more of the fixed parts than of the speed.
_LEAST_ANSWER_TOKENS = 20

# Two prompts whose lengths differ by less say more of chance than of the speed,
# and of fewer pairs than this the median is chance as well.
_LEAST_DIFFERENCE = 500
_LEAST_PAIRS = 30


class _Told:
    """The time for one token, in seconds, as others reckon with it."""

    def __init__(self) -> None:
        self.told_s = 0.0

    def tell(self, seconds: float) -> bool:
        """Takes the newest estimate; returns whether what is told changes."""
        if abs(seconds - self.told_s) <= self.told_s * _MATTERS:
            return False
        self.told_s = seconds
        return True


class _Answers(_Told):
    """Times for one token of an answer."""

    def __init__(self) -> None:
        super().__init__()
        self._times: collections.deque[float] = collections.deque(
            maxlen=_WATCHED
        )

    def add(self, seconds: float) -> bool:
        """Takes in a time; returns whether what is told has changed."""
        self._times.append(seconds)
        return self.tell(statistics.median(self._times))


class _Prompts(_Told):
    """Times of prompts, told apart by their lengths.

    A prompt takes some time however short it is, 0.02 to 0.12 s, in which its
    engine reads others. Taken for reading, it had a pool seem to need half of
    its engines for prompts. So the speed is how much longer a longer prompt
    takes: the median over all pairs, which a few slow ones hardly move.
    """

    def __init__(self) -> None:
        super().__init__()
        self._times: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_WATCHED
        )

    def add(self, tokens: int, seconds: float) -> bool:
        """Takes in a time; returns whether what is told has changed."""
        self._times.append((tokens, seconds))
        slopes = [
            (later_s - earlier_s) / (later - earlier)
            for (earlier, earlier_s), (
                later,
                later_s,
            ) in itertools.combinations(self._times, 2)
            if abs(later - earlier) >= _LEAST_DIFFERENCE
        ]
        if len(slopes) < _LEAST_PAIRS:
            return False
        median = statistics.median(slopes)
        return median > 0 and self.tell(median)


class Speeds:
    """Speeds of one pool's engines."""

    def __init__(self) -> None:
        self._prompt = _Prompts()
        self._answer = _Answers()

    def read(self, tokens: int, seconds: float) -> bool:
        """Takes in a prompt that a prefill engine read alone.

        Args:
          tokens: Tokens of the prompt that weren't cached.
          seconds: Time that it took.

        Returns:
          Whether engines have to be described anew.
        """
        return self._prompt.add(tokens, seconds)

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
