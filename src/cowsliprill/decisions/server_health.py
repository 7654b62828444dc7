"""Which servers of a plain service are better left alone for a while.

Pure. Some services answer a part of all calls with a failure of their own: a
lookup finds nothing, a rule forbids it. That says nothing of the server, so it
is compared with its peers. What does say something at once is a call without
any answer.
"""

import dataclasses
from collections.abc import Collection

# Weight of the newest call in a server's share of failures: twenty calls tell a
# server that fails half of them from one that fails a seventh.
_NEWEST = 0.05

# A share so far above that of the peers is hardly chance, even where all of
# them fail a good part of their calls.
_WORSE = 0.2

# A server that lost a call is left alone for so long, and the longer the more
# it fails beside its peers. Others have room; a healthy one is missed little.
_ALONE_S = 1.0
_ALONE_MAX_S = 8.0


@dataclasses.dataclass(slots=True)
class _Server:
    failures: float = 0.0
    alone_until: float = 0.0


class ServerHealth:
    """What one process has seen of the servers of plain services."""

    def __init__(self) -> None:
        self._servers_by_id: dict[str, _Server] = {}

    def is_alone(self, server_id: str, now: float) -> bool:
        """Returns whether a server is better left alone now."""
        server = self._servers_by_id.get(server_id)
        return server is not None and now < server.alone_until

    def answered(self, server_id: str) -> None:
        """Takes in an answer that is no failure."""
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.failures -= server.failures * _NEWEST

    def answered_with_failure(
        self, server_id: str, peer_ids: Collection[str], now: float
    ) -> None:
        """Takes in a server's own failure.

        Args:
          server_id: The server.
          peer_ids: The others of its service.
          now: Time, seconds.
        """
        excess = self._count(server_id, peer_ids)
        if excess > _WORSE:
            self._leave_alone(server_id, excess, now)

    def lost(
        self, server_id: str, peer_ids: Collection[str], now: float
    ) -> None:
        """Takes in a call without an answer; arguments as above."""
        excess = self._count(server_id, peer_ids)
        self._leave_alone(server_id, excess, now)

    def forget_except(self, server_ids: Collection[str]) -> None:
        """Forgets servers that are gone."""
        gone = [
            server_id
            for server_id in self._servers_by_id
            if server_id not in server_ids
        ]
        for server_id in gone:
            del self._servers_by_id[server_id]

    def _count(self, server_id: str, peer_ids: Collection[str]) -> float:
        """Counts a failure; returns the excess over the peers' share."""
        server = self._servers_by_id.setdefault(server_id, _Server())
        server.failures += (1.0 - server.failures) * _NEWEST
        peers = [
            known.failures
            for peer_id in peer_ids
            if (known := self._servers_by_id.get(peer_id)) is not None
        ]
        usual = sum(peers) / len(peers) if peers else 0.0
        return max(server.failures - usual, 0.0)

    def _leave_alone(self, server_id: str, excess: float, now: float) -> None:
        alone_s = _ALONE_S + _ALONE_MAX_S * excess
        server = self._servers_by_id[server_id]
        server.alone_until = now + min(alone_s, _ALONE_MAX_S)


class Uncompared(ServerHealth):
    """Leaves a server alone for the same short time after any failure."""

    def _count(self, server_id: str, peer_ids: Collection[str]) -> float:
        del peer_ids
        self._servers_by_id.setdefault(server_id, _Server())
        return 0.0

    def answered_with_failure(
        self, server_id: str, peer_ids: Collection[str], now: float
    ) -> None:
        """Takes in a server's own failure as if it said something of it."""
        self.lost(server_id, peer_ids, now)
