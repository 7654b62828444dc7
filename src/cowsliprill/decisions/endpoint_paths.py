"""Tells whether this VM is cut off from the endpoints of all pools.

A single endpoint that can't be reached has most likely ended. If this VM
reaches none of several endpoints in a row, its own network path is the more
likely cause, and other VMs may still reach them.
"""

import dataclasses

from cowsliprill.decisions import model

# Endpoints that must be unreachable in a row before this VM counts as cut off.
# If there are fewer, all of them must be.
_MIN_UNREACHABLE = 3

# A single endpoint can't tell its own end from a lost path.
_MIN_ENDPOINTS = 2

# Failed connections older than this say nothing about the path now.
_FAILURE_TTL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PathChange:
    """The path to the endpoints was lost or restored.

    Attributes:
      lost: Whether it was lost, else restored.
      endpoint_ids: Endpoints that decided it: those that couldn't be reached,
        or the one that a connection was opened to.
    """

    lost: bool
    endpoint_ids: tuple[str, ...]


class EndpointPaths:
    """Outcomes of this VM's attempts to connect to endpoints.

    Attributes:
      lost: Whether this VM is cut off from the endpoints.
    """

    def __init__(self) -> None:
        self.lost = False
        self._endpoint_ids: frozenset[str] = frozenset()
        self._failed_at_by_id: dict[str, float] = {}
        self._connected_at_by_id: dict[str, float] = {}

    def update(self, endpoint_ids: frozenset[str]) -> None:
        """Replaces the known endpoints; state of removed ones is dropped.

        Args:
          endpoint_ids: Ids of all endpoints in the settings.
        """
        self._endpoint_ids = endpoint_ids
        for endpoint_id in self._failed_at_by_id.keys() - endpoint_ids:
            del self._failed_at_by_id[endpoint_id]
        for endpoint_id in self._connected_at_by_id.keys() - endpoint_ids:
            del self._connected_at_by_id[endpoint_id]

    def record_connected(
        self, endpoint_id: str, now: float
    ) -> PathChange | None:
        """Records an established connection.

        Args:
          endpoint_id: The endpoint.
          now: Current time in seconds.

        Returns:
          The change, if the path was lost before.
        """
        if endpoint_id in self._endpoint_ids:
            self._connected_at_by_id[endpoint_id] = now
        self._failed_at_by_id.clear()
        if not self.lost:
            return None
        self.lost = False
        return PathChange(lost=False, endpoint_ids=(endpoint_id,))

    def record_failed(self, endpoint_id: str, now: float) -> PathChange | None:
        """Records a connection that couldn't be established.

        Args:
          endpoint_id: The endpoint.
          now: Current time in seconds.

        Returns:
          The change, if the path is lost from now on.
        """
        if endpoint_id not in self._endpoint_ids:
            return None
        self._failed_at_by_id = {
            failed_id: failed_at
            for failed_id, failed_at in self._failed_at_by_id.items()
            if now - failed_at <= _FAILURE_TTL_S
        }
        self._failed_at_by_id[endpoint_id] = now
        known = len(self._endpoint_ids)
        unreachable = len(self._failed_at_by_id)
        if (
            self.lost
            or known < _MIN_ENDPOINTS
            or unreachable < min(known, _MIN_UNREACHABLE)
        ):
            return None
        self.lost = True
        return PathChange(
            lost=True, endpoint_ids=tuple(sorted(self._failed_at_by_id))
        )

    def connected_since(self, endpoint_id: str, time_s: float) -> bool:
        """Returns whether a connection to an endpoint was opened after a time.

        Args:
          endpoint_id: The endpoint.
          time_s: The time in seconds.
        """
        return self._connected_at_by_id.get(endpoint_id, 0.0) > time_s

    def has_failed(self, endpoint_id: str) -> bool:
        """Returns whether the latest connection to an endpoint has failed.

        Failures before the latest connection to any endpoint don't count.
        """
        return endpoint_id in self._failed_at_by_id


def witnesses(
    examined: model.Endpoint, endpoints: list[model.Endpoint], limit: int
) -> list[model.Endpoint]:
    """Selects endpoints that tell an ended endpoint from a lost path.

    Endpoints of other pools go first: those of one pool may end together.

    Args:
      examined: Endpoint that can't be reached.
      endpoints: All endpoints, in random order.
      limit: Maximum number of endpoints to select.
    """
    others = [item for item in endpoints if item.id != examined.id]
    others.sort(key=lambda item: item.pool == examined.pool)
    return others[:limit]
