"""Outlier ejection for the servers of plain services.

Some services answer a fraction of all calls with an error by design, such as
a lookup that finds nothing or a request that a rule forbids. Such errors say
nothing about the server, so its failure rate is compared with those of its
peers. A call that gets no response ejects the server at once.
"""

import dataclasses
from collections.abc import Collection

# Weight of the newest call in the moving average of a server's failure rate.
# Twenty calls distinguish a failure rate of a half from one of a seventh.
_NEWEST_WEIGHT = 0.05

# Excess over the mean failure rate of the peers that is unlikely to be chance,
# even if all servers fail many of their calls.
_EXCESS_TO_EJECT = 0.2

# A server is ejected for a time between these bounds that grows with the excess
# of its failure rate. Its peers have spare capacity, so ejecting a healthy
# server costs little.
_EJECTION_MIN_S = 1.0
_EJECTION_MAX_S = 8.0


@dataclasses.dataclass(slots=True)
class _ServerState:
    failure_rate: float = 0.0
    ejected_until: float = 0.0


class OutlierDetector:
    """Tracks the failure rates of servers, as seen by one process."""

    def __init__(self) -> None:
        self._servers_by_id: dict[str, _ServerState] = {}

    def is_ejected(self, server_id: str, now: float) -> bool:
        """Returns whether a server is ejected now."""
        server = self._servers_by_id.get(server_id)
        return server is not None and now < server.ejected_until

    def record_success(self, server_id: str) -> None:
        """Records a response that is not an error."""
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.failure_rate -= server.failure_rate * _NEWEST_WEIGHT

    def record_error_response(
        self, server_id: str, peer_ids: Collection[str], now: float
    ) -> None:
        """Records an error response.

        Ejects the server if its failure rate clearly exceeds that of its peers.

        Args:
          server_id: Id of the server.
          peer_ids: Ids of the other servers of its service.
          now: Current time in seconds.
        """
        excess = self._record_failure(server_id, peer_ids)
        if excess > _EXCESS_TO_EJECT:
            self._eject(server_id, excess, now)

    def record_no_response(
        self, server_id: str, peer_ids: Collection[str], now: float
    ) -> None:
        """Records a call without a response and ejects the server.

        Args:
          server_id: Id of the server.
          peer_ids: Ids of the other servers of its service.
          now: Current time in seconds.
        """
        excess = self._record_failure(server_id, peer_ids)
        self._eject(server_id, excess, now)

    def retain(self, server_ids: Collection[str]) -> None:
        """Drops the state of servers that were removed."""
        gone = [
            server_id
            for server_id in self._servers_by_id
            if server_id not in server_ids
        ]
        for server_id in gone:
            del self._servers_by_id[server_id]

    def _record_failure(
        self, server_id: str, peer_ids: Collection[str]
    ) -> float:
        """Records a failure; returns the excess over the peers' mean rate."""
        server = self._servers_by_id.setdefault(server_id, _ServerState())
        server.failure_rate += (1.0 - server.failure_rate) * _NEWEST_WEIGHT
        peer_rates = [
            peer.failure_rate
            for peer_id in peer_ids
            if (peer := self._servers_by_id.get(peer_id)) is not None
        ]
        mean_peer_rate = (
            sum(peer_rates) / len(peer_rates) if peer_rates else 0.0
        )
        return max(server.failure_rate - mean_peer_rate, 0.0)

    def _eject(self, server_id: str, excess: float, now: float) -> None:
        ejection_s = _EJECTION_MIN_S + _EJECTION_MAX_S * excess
        server = self._servers_by_id[server_id]
        server.ejected_until = now + min(ejection_s, _EJECTION_MAX_S)


class FixedEjectionDetector(OutlierDetector):
    """Ejects a server for the same short time after any failure."""

    def _record_failure(
        self, server_id: str, peer_ids: Collection[str]
    ) -> float:
        del peer_ids
        self._servers_by_id.setdefault(server_id, _ServerState())
        return 0.0

    def record_error_response(
        self, server_id: str, peer_ids: Collection[str], now: float
    ) -> None:
        """Records an error response like a call without a response."""
        self.record_no_response(server_id, peer_ids, now)
