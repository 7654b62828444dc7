"""Tracks whether this VM can open connections to the endpoints of each pool.

A single endpoint that can't be reached has most likely ended. If this VM
reaches none of several endpoints of a pool, its own network path to the pool
is the more likely cause, and other VMs may still reach them.
"""

import dataclasses

from cowsliprill.decisions import model

# Endpoints of a pool that must be unreachable in a row before the path to the
# pool counts as lost. Pools with fewer endpoints need all of them.
_MIN_UNREACHABLE = 3

# Failed connections older than this say nothing about the path now.
_FAILURE_TTL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PathGroup:
    """Endpoints of one kind in one pool, which share a network path.

    Attributes:
      pool: Name of the pool.
      kind: Kind of the endpoints.
    """

    pool: str
    kind: model.EndpointKind


@dataclasses.dataclass(slots=True)
class _GroupState:
    endpoint_ids: set[str] = dataclasses.field(default_factory=set)
    failed_at_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PathChange:
    """A path that was lost or restored.

    Attributes:
      group: Endpoints at the other end of the path.
      lost: Whether the path was lost, else restored.
      endpoint_ids: Endpoints that decided it: those that couldn't be reached,
        or the one that a connection was opened to.
    """

    group: PathGroup
    lost: bool
    endpoint_ids: tuple[str, ...]


class EndpointPaths:
    """Outcomes of this VM's connection attempts, by pool."""

    def __init__(self) -> None:
        self._states_by_group: dict[PathGroup, _GroupState] = {}

    def update(self, endpoints: list[model.Endpoint]) -> None:
        """Replaces the known endpoints; state of removed ones is dropped.

        Args:
          endpoints: All endpoints of the settings.
        """
        endpoint_ids_by_group: dict[PathGroup, set[str]] = {}
        for endpoint in endpoints:
            group = group_of(endpoint)
            endpoint_ids_by_group.setdefault(group, set()).add(endpoint.id)
        for group in self._states_by_group.keys() - endpoint_ids_by_group:
            del self._states_by_group[group]
        for group, endpoint_ids in endpoint_ids_by_group.items():
            state = self._states_by_group.setdefault(group, _GroupState())
            state.endpoint_ids = endpoint_ids
            for endpoint_id in state.failed_at_by_id.keys() - endpoint_ids:
                del state.failed_at_by_id[endpoint_id]

    def record_connected(self, endpoint: model.Endpoint) -> PathChange | None:
        """Records an established connection.

        Args:
          endpoint: The endpoint.

        Returns:
          The change, if the path was lost before.
        """
        group = group_of(endpoint)
        state = self._states_by_group.get(group)
        if state is None:
            return None
        state.failed_at_by_id.clear()
        if not state.lost:
            return None
        state.lost = False
        return PathChange(group=group, lost=False, endpoint_ids=(endpoint.id,))

    def record_failed(
        self, endpoint: model.Endpoint, now: float
    ) -> PathChange | None:
        """Records a connection that couldn't be established.

        Args:
          endpoint: The endpoint.
          now: Current time in seconds.

        Returns:
          The change, if the path is lost from now on.
        """
        group = group_of(endpoint)
        state = self._states_by_group.get(group)
        if state is None or endpoint.id not in state.endpoint_ids:
            return None
        state.failed_at_by_id = {
            endpoint_id: failed_at
            for endpoint_id, failed_at in state.failed_at_by_id.items()
            if now - failed_at <= _FAILURE_TTL_S
        }
        state.failed_at_by_id[endpoint.id] = now
        required = min(len(state.endpoint_ids), _MIN_UNREACHABLE)
        if state.lost or len(state.failed_at_by_id) < required:
            return None
        state.lost = True
        return PathChange(
            group=group,
            lost=True,
            endpoint_ids=tuple(sorted(state.failed_at_by_id)),
        )

    def lost_groups(self) -> list[PathGroup]:
        """Returns the groups that no endpoint can be reached of."""
        return [
            group
            for group, state in self._states_by_group.items()
            if state.lost
        ]

    def is_lost(self, pool: str) -> bool:
        """Returns whether the path to a kind of endpoint of a pool is lost.

        Args:
          pool: Name of the pool.
        """
        return any(
            state.lost
            for group, state in self._states_by_group.items()
            if group.pool == pool
        )


def group_of(endpoint: model.Endpoint) -> PathGroup:
    """Returns the group that an endpoint belongs to."""
    return PathGroup(endpoint.pool, endpoint.kind)
