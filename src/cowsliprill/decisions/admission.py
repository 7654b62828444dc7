"""When to refuse, and when to tell callers to come back."""

import dataclasses
import random

RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 10.0

_JITTER = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Backlog:
    """What stands between a pool and the next request.

    Attributes:
      waiting: Slots that waiting requests take, at all entries.
      free_slots: Decode slots that no entry uses.
      slots: Decode slots in all.
      hold_s: Mean time that a request holds a decode slot.
      prefills: Prefill engines.
      prefill_s: Mean time of a prefill.
      slots_a_request: Slots that one request usually takes.
    """

    waiting: float
    free_slots: int
    slots: int
    hold_s: float
    prefills: int
    prefill_s: float
    slots_a_request: float = 1.0

    def is_scarce(self) -> bool:
        """Returns whether more requests wait than there are free slots."""
        return self.waiting > self.free_slots

    def wait_s(self) -> float:
        """Returns how long the last waiting request will wait."""
        if not self.slots or not self.prefills:
            return float("inf")
        blocked = max(self.waiting - self.free_slots, 0)
        decode_wait = blocked * self.hold_s / self.slots
        requests = self.waiting / self.slots_a_request
        prefill_wait = requests * self.prefill_s / self.prefills
        return max(decode_wait, prefill_wait)


class ReturnTimes:
    """Hands out times at which refused callers should come back.

    Each gets the next opening in a calendar that advances by the time the
    pool needs for one request, so that as many come back as can be served.
    Were all told the same time, they would return together and be refused
    together.

    Args:
      rng: Random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._next_at = 0.0

    def retry_after_s(self, now: float, wait_s: float, step_s: float) -> float:
        """Returns when a caller refused now should come back.

        Args:
          now: Time, seconds.
          wait_s: Expected wait of a request that joins the queue now.
          step_s: Time this entry's share of the pool needs for one request.

        Returns:
          Seconds from now.
        """
        earliest = now + RETRY_AFTER_MIN_S + min(wait_s, RETRY_AFTER_MAX_S)
        latest = now + RETRY_AFTER_MAX_S
        at = max(earliest, self._next_at)
        if at >= latest:
            # The calendar is full: spread evenly over its second half.
            return self._random.uniform(0.5, 1.0) * RETRY_AFTER_MAX_S
        self._next_at = at + step_s
        jitter = 1 + self._random.uniform(-_JITTER, _JITTER)
        return max((at - now) * jitter, RETRY_AFTER_MIN_S)
