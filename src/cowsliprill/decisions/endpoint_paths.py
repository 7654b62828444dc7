"""Tells whether this VM has lost its network path to the endpoints of a pool.

A single endpoint that can't be reached has most likely ended. If this VM
reaches none of several endpoints in a row, its own network path is the more
likely cause, and other VMs may still reach them.
"""

import dataclasses

from cowsliprill.decisions import model

# Endpoints that must be unreachable in a row before the path to them counts as
# lost. If there are fewer, all of them must be.
_MIN_UNREACHABLE = 3

# A single endpoint can't tell its own end from a lost path, nor can those of a
# single pool tell an outage of the pool from a path that is lost to all pools.
_MIN_ENDPOINTS = 2
_MIN_POOLS = 2

# Failed connections older than this say nothing about the path now.
_FAILURE_TTL_S = 5.0

# Name of the path to the endpoints of all pools together.
ALL_POOLS = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PathChange:
    """The path to a pool was lost or restored.

    Attributes:
      pool: Name of the pool, `ALL_POOLS` for all together.
      lost: Whether the path was lost, else restored.
      endpoint_ids: Endpoints that decided it: those that couldn't be reached,
        or the one that a connection was opened to.
    """

    pool: str
    lost: bool
    endpoint_ids: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Path:
    min_pools: int = 1
    pools_by_id: dict[str, str] = dataclasses.field(default_factory=dict)
    failed_at_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    lost: bool = False

    def retain(self, pools_by_id: dict[str, str]) -> None:
        self.pools_by_id = pools_by_id
        for endpoint_id in self.failed_at_by_id.keys() - pools_by_id.keys():
            del self.failed_at_by_id[endpoint_id]

    def record_connected(self) -> bool:
        """Returns whether the path was lost before."""
        was_lost = self.lost
        self.lost = False
        self.failed_at_by_id.clear()
        return was_lost

    def record_failed(self, endpoint_id: str, now: float) -> bool:
        """Returns whether the path is lost from now on."""
        self.failed_at_by_id = {
            failed_id: failed_at
            for failed_id, failed_at in self.failed_at_by_id.items()
            if now - failed_at <= _FAILURE_TTL_S
        }
        self.failed_at_by_id[endpoint_id] = now
        known = len(self.pools_by_id)
        if self.lost or known < _MIN_ENDPOINTS:
            return False
        failed_pools = {self.pools_by_id[item] for item in self.failed_at_by_id}
        self.lost = (
            len(self.failed_at_by_id) >= min(known, _MIN_UNREACHABLE)
            and len(failed_pools) >= self.min_pools
        )
        return self.lost


class EndpointPaths:
    """Outcomes of this VM's attempts to connect to endpoints."""

    def __init__(self) -> None:
        self._paths_by_pool: dict[str, _Path] = {
            ALL_POOLS: _Path(min_pools=_MIN_POOLS)
        }
        self._connected_at_by_id: dict[str, float] = {}

    def update(self, endpoints: list[model.Endpoint]) -> None:
        """Replaces the known endpoints; state of removed ones is dropped.

        Args:
          endpoints: All endpoints in the settings.
        """
        members_by_pool: dict[str, dict[str, str]] = {ALL_POOLS: {}}
        for endpoint in endpoints:
            for pool in (endpoint.pool, ALL_POOLS):
                members = members_by_pool.setdefault(pool, {})
                members[endpoint.id] = endpoint.pool
        for pool in self._paths_by_pool.keys() - members_by_pool.keys():
            del self._paths_by_pool[pool]
        for pool, pools_by_id in members_by_pool.items():
            self._paths_by_pool.setdefault(pool, _Path()).retain(pools_by_id)
        known_ids = members_by_pool[ALL_POOLS].keys()
        for endpoint_id in self._connected_at_by_id.keys() - known_ids:
            del self._connected_at_by_id[endpoint_id]

    def record_connected(
        self, endpoint: model.Endpoint, now: float
    ) -> list[PathChange]:
        """Records an established connection.

        Args:
          endpoint: The endpoint.
          now: Current time in seconds.

        Returns:
          The paths that are restored.
        """
        self._connected_at_by_id[endpoint.id] = now
        return [
            PathChange(pool=pool, lost=False, endpoint_ids=(endpoint.id,))
            for pool, path in self._paths_of(endpoint)
            if path.record_connected()
        ]

    def record_failed(
        self, endpoint: model.Endpoint, now: float
    ) -> list[PathChange]:
        """Records a connection that couldn't be established.

        Args:
          endpoint: The endpoint.
          now: Current time in seconds.

        Returns:
          The paths that are lost from now on.
        """
        return [
            PathChange(
                pool=pool,
                lost=True,
                endpoint_ids=tuple(sorted(path.failed_at_by_id)),
            )
            for pool, path in self._paths_of(endpoint)
            if path.record_failed(endpoint.id, now)
        ]

    def is_lost(self, pool: str) -> bool:
        """Returns whether this VM can't reach the endpoints of a pool.

        Args:
          pool: Name of the pool, `ALL_POOLS` for all together.
        """
        path = self._paths_by_pool.get(pool)
        return path is not None and path.lost

    def lost_pools(self) -> list[str]:
        """Returns the names of the pools that this VM can't reach."""
        return [
            pool
            for pool, path in self._paths_by_pool.items()
            if path.lost and pool != ALL_POOLS
        ]

    def connected_since(self, endpoint_id: str, time_s: float) -> bool:
        """Returns whether a connection to an endpoint was opened after a time.

        Args:
          endpoint_id: The endpoint.
          time_s: The time in seconds.
        """
        return self._connected_at_by_id.get(endpoint_id, 0.0) > time_s

    def has_failed(self, endpoint: model.Endpoint) -> bool:
        """Returns whether the latest connection to an endpoint has failed.

        Failures before the latest connection to its pool don't count.
        """
        path = self._paths_by_pool.get(endpoint.pool)
        return path is not None and endpoint.id in path.failed_at_by_id

    def _paths_of(self, endpoint: model.Endpoint) -> list[tuple[str, _Path]]:
        path = self._paths_by_pool.get(endpoint.pool)
        if path is None or endpoint.id not in path.pools_by_id:
            return []
        return [
            (endpoint.pool, path),
            (ALL_POOLS, self._paths_by_pool[ALL_POOLS]),
        ]
