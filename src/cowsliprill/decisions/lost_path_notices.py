"""Decides which lost paths a VM tells its peers about."""

from collections.abc import Iterable

# A path counts as lost this long after it was last found lost, so that a path
# that fails again and again causes few messages.
_RESTORED_AFTER_S = 2.0


class LostPathNotices:
    """Pools that this VM can't reach, for its peers."""

    def __init__(self) -> None:
        self._lost_at_by_pool: dict[str, float] = {}

    def update(self, lost_pools: Iterable[str], now: float) -> frozenset[str]:
        """Returns the pools to name to the peers.

        Args:
          lost_pools: Pools that can't be reached now.
          now: Current time in seconds.
        """
        self._lost_at_by_pool.update(dict.fromkeys(lost_pools, now))
        self._lost_at_by_pool = {
            pool: lost_at
            for pool, lost_at in self._lost_at_by_pool.items()
            if now - lost_at < _RESTORED_AFTER_S
        }
        return frozenset(self._lost_at_by_pool)
