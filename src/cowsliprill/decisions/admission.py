"""Backlog estimate of a pool, and retry-after times of refused requests."""

import dataclasses
import random

RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 10.0

_JITTER_FRACTION = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Backlog:
    """Work that is queued at a pool, and the capacity to drain it.

    Attributes:
      waiting: Decode slots that queued requests of all entry processes take.
      free_slots: Decode slots that no entry process uses.
      slots: Total number of decode slots.
      mean_hold_s: Mean time for which a request holds its decode slots.
      prefills: Number of engines that run prefills; one that limits its
        requests counts as the fraction of its time that these can fill.
      prefill_s: Mean duration of a prefill.
      slots_per_request: Mean number of decode slots of a request.
    """

    waiting: float
    free_slots: int
    slots: int
    mean_hold_s: float
    prefills: float
    prefill_s: float
    slots_per_request: float = 1.0

    def is_scarce(self) -> bool:
        """Returns whether queued requests need more than the free slots."""
        return self.waiting > self.free_slots

    def wait_s(self) -> float:
        """Returns the expected wait of the last queued request, in seconds.

        It is the longer of the waits for decode slots and for prefills, and
        infinite if there are no engines.
        """
        if not self.slots or not self.prefills:
            return float("inf")
        blocked = max(self.waiting - self.free_slots, 0)
        decode_wait = blocked * self.mean_hold_s / self.slots
        requests = self.waiting / self.slots_per_request
        prefill_wait = requests * self.prefill_s / self.prefills
        return max(decode_wait, prefill_wait)


class RetryAfterSchedule:
    """Assigns retry-after times to refused requests.

    Each request gets the next free time in a schedule, which advances by the
    time that the pool needs for one request. So no more clients retry than can
    be served. With the same retry-after for all, clients would return together
    and be refused together.

    Args:
      rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._next_at = 0.0

    def retry_after_s(
        self, now: float, wait_s: float, interval_s: float
    ) -> float:
        """Returns the retry-after of a request that is refused now.

        Args:
          now: Current time in seconds.
          wait_s: Expected wait of a request that joins the queue now.
          interval_s: Time that this process's share of the pool needs for one
            request.

        Returns:
          Retry-after in seconds from now, with jitter.
        """
        earliest = now + RETRY_AFTER_MIN_S + min(wait_s, RETRY_AFTER_MAX_S)
        latest = now + RETRY_AFTER_MAX_S
        retry_at = max(earliest, self._next_at)
        if retry_at >= latest:
            # The schedule is full: spread retries evenly over the second half
            # of its range.
            return self._random.uniform(0.5, 1.0) * RETRY_AFTER_MAX_S
        self._next_at = retry_at + interval_s
        jitter = 1 + self._random.uniform(-_JITTER_FRACTION, _JITTER_FRACTION)
        return max((retry_at - now) * jitter, RETRY_AFTER_MIN_S)
