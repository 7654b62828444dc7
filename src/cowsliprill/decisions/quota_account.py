"""The account of one customer's quota at its owner, and what it rests on.

A new owner wasn't told what was used before. It learns the level from the VMs:
each report carries the level that the VM was told last, and its age. The lowest
one counts, since a VM that was told earlier doesn't know of later usage. Where
no VM knows a level, the account begins with the customer's own burst, without
the tolerance: what was used before can then have been granted once in excess.
"""

import dataclasses
import enum
import math

from cowsliprill.decisions import model
from cowsliprill.decisions import token_bucket

# VMs go over to a new owner within this many seconds, each with what it knows.
_TAKEOVER_S = 3.0

# No account is overdrawn by the quota of more than this many seconds.
_OVERDRAWN_MAX_S = 60.0


class LevelBasis(enum.StrEnum):
    """What the level of an account rests on."""

    REPORTED = "reported"
    ASSUMED = "assumed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLevel:
    """The level of an account that a VM was told last.

    Attributes:
      level: Cost units that were left; negative if the quota was exceeded.
      age_s: Seconds since the VM was told.
      assumed: Whether the owner didn't know what was used before it began.
    """

    level: float
    age_s: float = 0.0
    assumed: bool = False


class Account:
    """What is left of a customer's quota.

    While the owner reaches only a part of the fleet, a second bucket bounds
    what it gives out to that part.

    Args:
      quota: The quota that is enforced, which includes the tolerance.
      assumed_level: Cost units to begin with if no VM knows a level.
      reported: The level that the first reporting VM knows, if any.
      now: Current time in seconds.

    Attributes:
      basis: What the level rests on.
      lost_refill: Cost units so far that the full bucket couldn't take.
    """

    def __init__(
        self,
        quota: model.Quota,
        assumed_level: float,
        reported: ReportedLevel | None,
        now: float,
    ) -> None:
        self.basis = LevelBasis.ASSUMED
        level = assumed_level
        if reported is not None:
            level = _present_level(reported, quota)
            if not reported.assumed:
                self.basis = LevelBasis.REPORTED
        self._bucket = token_bucket.TokenBucket(level, now)
        # The level without the usage that was reported to this owner.
        self._inherited = token_bucket.TokenBucket(level, now)
        self._part: token_bucket.TokenBucket | None = None
        self._opened_at = now
        self.lost_refill = 0.0

    @property
    def level(self) -> float:
        """Cost units left; negative if more were used than there were."""
        return self._bucket.level

    @property
    def usable_level(self) -> float:
        """Cost units left for the VMs that the owner reaches."""
        if self._part is None:
            return self.level
        return min(self.level, self._part.level)

    def refill(self, quota: model.Quota, fraction: float, now: float) -> None:
        """Adds what the customer has earned since the last refill.

        Args:
          quota: The quota that is enforced.
          fraction: Fraction of it that the owner may give out.
          now: Current time in seconds.
        """
        earned = quota.per_s * (now - self._bucket.updated_at)
        full = self._bucket.level + earned
        self._bucket.refill(quota.per_s, quota.burst, now)
        self.lost_refill += min(full - self._bucket.level, earned)
        self._inherited.refill(quota.per_s, quota.burst, now)
        if now - self._opened_at > _TAKEOVER_S:
            # No VM has reported a level that contradicts the assumption.
            self.basis = LevelBasis.REPORTED
        if fraction >= 1:
            self._part = None
            return
        per_s, burst = quota.per_s * fraction, quota.burst * fraction
        if self._part is None:
            self._part = token_bucket.TokenBucket(min(self.level, burst), now)
        self._part.refill(per_s, burst, now)

    def charge(self, cost: float) -> None:
        """Takes off the cost of admitted requests; negative for refunds."""
        self._bucket.level -= cost
        if self._part is not None:
            self._part.level -= cost

    def charge_elsewhere(self, cost: float, lost_refill_before: float) -> None:
        """Takes off what was admitted while another owner kept an account.

        It was spread over the time since this owner's last report of the VM.
        What the bucket couldn't take in that time pays for it first.

        Args:
          cost: Cost of the requests.
          lost_refill_before: Value of `lost_refill` at the VM's last report.
        """
        available = max(self.lost_refill - lost_refill_before, 0.0)
        paid = min(cost, available)
        self.lost_refill -= paid
        self.charge(cost - paid)

    def take_over(
        self, reported: ReportedLevel, quota: model.Quota, now: float
    ) -> bool:
        """Corrects the level by what a VM was told before its first report.

        The VMs come over from an earlier owner one after the other. What it had
        counted isn't counted here, and the other way round.

        Args:
          reported: The level that the VM was told.
          quota: The quota that is enforced.
          now: Current time in seconds, not before the last refill.

        Returns:
          Whether the level rests on this report now.
        """
        if now - self._opened_at > _TAKEOVER_S:
            return self.limit_to(reported, quota)
        level = _present_level(reported, quota)
        if reported.assumed:
            is_known = self.basis is LevelBasis.REPORTED
            if is_known or level >= self._inherited.level:
                return False
        elif self.basis is LevelBasis.ASSUMED:
            self.basis = LevelBasis.REPORTED
        elif level >= self._inherited.level:
            return False
        self._bucket.level += level - self._inherited.level
        self._inherited.level = level
        return True

    def limit_to(self, reported: ReportedLevel, quota: model.Quota) -> bool:
        """Lowers the level to one that another owner knows.

        Args:
          reported: The level that a VM was told by that owner.
          quota: The quota that is enforced.

        Returns:
          Whether the level was lowered.
        """
        level = _present_level(reported, quota)
        if reported.assumed or level >= self._bucket.level:
            return False
        self._bucket.level = level
        return True


def find_problem(reported: ReportedLevel, quota: model.Quota) -> str:
    """Returns why a reported level can't be true, empty if it can.

    Args:
      reported: The level that a VM reported.
      quota: The quota that is enforced.
    """
    if not (math.isfinite(reported.level) and math.isfinite(reported.age_s)):
        return "the level is not a finite number"
    if reported.age_s < 0:
        return "the level is from the future"
    if reported.level < -(quota.burst + quota.per_s * _OVERDRAWN_MAX_S):
        return "the level is too low"
    return ""


def _present_level(reported: ReportedLevel, quota: model.Quota) -> float:
    return min(reported.level + quota.per_s * reported.age_s, quota.burst)
