"""A token bucket whose rate and size may change."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Cost units that may be used at once.

    Attributes:
      level: Cost units left; negative if more were used than there were.
      updated_at: When units were last added, in seconds.
    """

    level: float
    updated_at: float

    def refill(self, per_s: float, burst: float, now: float) -> None:
        """Adds the units earned since the last refill, up to the bucket's size.

        Args:
          per_s: Cost units added per second.
          burst: Size of the bucket in cost units.
          now: Current time in seconds.
        """
        self.level = min(self.level + per_s * (now - self.updated_at), burst)
        self.updated_at = now
