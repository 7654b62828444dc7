"""Client-side rate limiting and backoff for calls to the platform API."""

import dataclasses
import random

# Calls per second that the platform accepts from all its clients together.
PLATFORM_CALLS_PER_S = 2_000.0

# Fraction of the platform's rate for the VMs of this fleet. The rest is left to
# other clients.
_OWN_FRACTION = 0.5
_BURST_S = 10.0
_MIN_BURST_CALLS = 20.0


@dataclasses.dataclass(slots=True)
class CallRateLimiter:
    """This VM's share of the platform's call rate, as a token bucket.

    Attributes:
      vm_count: Number of VMs that share the rate.
      tokens: Calls that may be made at once; negative while calls wait.
      updated_at: When tokens were last added, in seconds.
    """

    vm_count: int = 1
    tokens: float = _MIN_BURST_CALLS
    updated_at: float = 0.0

    @property
    def calls_per_s(self) -> float:
        """Sustained number of calls per second that this VM may make."""
        return PLATFORM_CALLS_PER_S * _OWN_FRACTION / max(1, self.vm_count)

    def reserve(self, now: float) -> float:
        """Reserves one call.

        The call is counted even if the caller has to wait first.

        Args:
          now: Current time in seconds.

        Returns:
          Seconds to wait before the call, 0 if it may be made at once.
        """
        burst = max(_MIN_BURST_CALLS, self.calls_per_s * _BURST_S)
        earned = max(0.0, now - self.updated_at) * self.calls_per_s
        self.tokens = min(burst, self.tokens + earned) - 1
        self.updated_at = now
        return max(0.0, -self.tokens / self.calls_per_s)


@dataclasses.dataclass(slots=True)
class Backoff:
    """Delays after failures: exponential, with jitter.

    Each delay is drawn between a quarter of the current ceiling and the full
    ceiling. Without jitter, all VMs that lost the platform at the same moment
    would retry at the same moment and overload it each time.

    Attributes:
      rng: Source of the jitter.
      base_s: Ceiling of the first delay, in seconds.
      max_s: Highest ceiling, in seconds.
      failures: Consecutive failures.
    """

    rng: random.Random
    base_s: float = 0.1
    max_s: float = 2.0
    failures: int = 0

    def next_delay_s(self) -> float:
        """Counts a failure and returns the delay before a retry, in seconds."""
        ceiling = min(self.max_s, self.base_s * 2**self.failures)
        self.failures = min(self.failures + 1, 30)
        return self.rng.uniform(ceiling / 4, ceiling)

    def reset(self) -> None:
        """Resets the delay after a success."""
        self.failures = 0
