"""How often a reader may call the platform."""

import dataclasses
import random

# Calls a second that the platform answers to all its readers together.
PLATFORM_CALLS_PER_S = 2_000.0

# The part of it that our VMs use at most; the rest is for other readers.
_OUR_PART = 0.5
_BURST_S = 10.0
_LEAST_BURST = 20.0


@dataclasses.dataclass(slots=True)
class CallBudget:
    """This VM's share of the platform's calls, a token bucket.

    Attributes:
      readers: Number of VMs that share the budget.
      tokens: Calls that may be made at once.
      updated_at: Time up to which tokens were earned, seconds.
    """

    readers: int = 1
    tokens: float = _LEAST_BURST
    updated_at: float = 0.0

    @property
    def rate(self) -> float:
        """Calls a second that this VM may make in the long run."""
        return PLATFORM_CALLS_PER_S * _OUR_PART / max(1, self.readers)

    def take(self, now: float) -> float:
        """Takes one call.

        Args:
          now: Time, seconds.

        Returns:
          Seconds to wait first; 0 if the call may be made at once. Either way
          the call is counted.
        """
        burst = max(_LEAST_BURST, self.rate * _BURST_S)
        earned = max(0.0, now - self.updated_at) * self.rate
        self.tokens = min(burst, self.tokens + earned) - 1
        self.updated_at = now
        return max(0.0, -self.tokens / self.rate)


@dataclasses.dataclass(slots=True)
class Backoff:
    """Waiting times after failures: exponential, with full jitter.

    Without jitter all VMs that lost the platform at one moment would come back
    to it at one moment, and overload it each time.

    Attributes:
      random_source: Source of the jitter.
      first_s: Longest wait after the first failure, seconds.
      longest_s: Longest wait ever, seconds.
      failures: Failures since the last success.
    """

    random_source: random.Random
    first_s: float = 0.1
    longest_s: float = 2.0
    failures: int = 0

    def failed(self) -> float:
        """Counts a failure and returns how long to wait, seconds."""
        ceiling = min(self.longest_s, self.first_s * 2**self.failures)
        self.failures = min(self.failures + 1, 30)
        return self.random_source.uniform(ceiling / 4, ceiling)

    def succeeded(self) -> None:
        """Counts a success: the next failure waits shortly again."""
        self.failures = 0
