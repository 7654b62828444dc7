"""A token bucket whose rate and size may change. Pure."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """What may be used at once; below zero it is a debt.

    Attributes:
      level: Cost units that are left.
      at: Time up to which units were added, seconds.
    """

    level: float
    at: float

    def refill(self, per_s: float, burst: float, now: float) -> None:
        """Adds what has come since, up to the size of the bucket.

        Args:
          per_s: Cost units that are added each second.
          burst: Cost units that the bucket holds.
          now: Time, seconds.
        """
        self.level = min(self.level + per_s * (now - self.at), burst)
        self.at = now
