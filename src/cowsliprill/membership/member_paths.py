"""Lost paths of VMs, in their member records."""

from collections.abc import Callable
from collections.abc import Collection

from cowsliprill.decisions import membership
from cowsliprill.decisions import pool_bitmap


class MemberPaths:
    """Implements `entry.peer_paths.PeerPaths` by gossip between members.

    Args:
      members: Membership of the other processes.
      publish: Changes fields of this process's member record.
    """

    def __init__(
        self, members: membership.Membership, publish: Callable[..., None]
    ) -> None:
        self._members = members
        self._publish = publish

    def tell(self, lost_pools: Collection[str]) -> None:
        """Tells the peers which pools this VM can't reach."""
        self._publish(lost_pools=pool_bitmap.encode(lost_pools))

    def without_path(self, pool: str) -> Collection[str]:
        """Returns ids of the VMs that say that they can't reach a pool."""
        return self._members.without_path(pool)
