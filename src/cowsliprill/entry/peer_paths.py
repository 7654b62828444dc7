"""What VMs tell each other about their network paths to pools."""

from collections.abc import Collection
from typing import Protocol


class PeerPaths(Protocol):
    """Exchange of lost paths with the peers.

    Notices may be missing, outdated or wrong, so that they only tell which
    peers to ask first.
    """

    def tell(self, lost_pools: Collection[str]) -> None:
        """Tells the peers which pools this VM can't reach.

        Args:
          lost_pools: Names of the pools.
        """

    def without_path(self, pool: str) -> Collection[str]:
        """Returns ids of the VMs that say that they can't reach a pool.

        Args:
          pool: Name of the pool.
        """


class NoPeerPaths:
    """For processes whose peers exchange no lost paths."""

    def tell(self, lost_pools: Collection[str]) -> None:
        """Does nothing."""

    def without_path(self, pool: str) -> Collection[str]:
        """Returns no VM."""
        del pool
        return ()
