"""Assigns the engines of a pool to the prefill and decode roles.

Prefill is bound by compute, decode by KV cache memory, and a pool's throughput
is limited by whichever role is short. The planner therefore splits the engines
in proportion to the recent load and orders role changes one at a time. Pools
are often provisioned with too many prefill engines: four engines served 74% of
the request value when split 2:2, because requests waited for decode memory, and
97% when split into one prefill and three decode engines.
"""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from cowsliprill.decisions import model

# Prefill's fraction of a pool's load, assumed until it has been estimated: a
# prompt of a few thousand tokens occupies a prefill engine for 0.1 s, and its
# output fills a tenth of a decode engine's memory for several seconds.
DEFAULT_PREFILL_FRACTION = 0.22

# Factor by which a new split must raise the pool's capacity. An engine is
# unavailable for seconds while it changes, and a smaller threshold makes
# engines alternate between roles with every fluctuation of the traffic.
MIN_CAPACITY_GAIN = 1.15

# How long a surplus of prefill engines must last. In a rolling restart, the
# replacement of a prefill engine is listed some seconds before the old one
# reports that it is draining.
MIN_SURPLUS_DURATION_S = 2.0

# Minimum time between two role changes of an engine. It drains its requests
# and changes, which takes seconds, and the registry lists the new role later.
ROLE_CHANGE_COOLDOWN_S = 20.0

_Kind = model.EndpointKind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoleOrder:
    """An order to an engine to change its role.

    Attributes:
      endpoint: The engine to change, in its current role.
      kind: Role that it should change to.
    """

    endpoint: model.Endpoint
    kind: model.EndpointKind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PendingOrder:
    sent_at: float
    kind: model.EndpointKind
    acknowledged: bool = False


class RolePlanner:
    """Plans the role changes of one pool and tracks those in progress."""

    def __init__(self) -> None:
        self._pending_by_incarnation: dict[tuple[str, str], _PendingOrder] = {}
        self._imbalance: tuple[model.EndpointKind, float] | None = None

    def next_order(
        self,
        endpoints: Iterable[model.Endpoint],
        now: float,
        prefill_fraction: float | None = None,
    ) -> RoleOrder | None:
        """Returns the next role change to order, None if none is due.

        Args:
          endpoints: The pool's engines, without those that are draining.
          now: Current time in seconds.
          prefill_fraction: Prefill's fraction of the pool's load, from 0 to 1;
            None while unknown.
        """
        self._expire_pending(now)
        if prefill_fraction is None:
            prefill_fraction = DEFAULT_PREFILL_FRACTION
        engines = [item for item in endpoints if item.kind is not _Kind.PLAIN]
        prefills, decodes = self._split_by_role(engines)
        kind = _kind_to_add(
            len(prefills),
            len(decodes),
            prefill_fraction,
            in_progress=any(self._is_changing(item) for item in engines),
        )
        if not self._is_sustained(kind, engines, now):
            return None
        if self._has_opposite_change(kind, engines):
            return None
        donors = prefills if kind is _Kind.DECODE else decodes
        decodes_by_version = collections.Counter(
            engine.software_version for engine in decodes
        )
        return _select(
            self._without_pending(donors), donors, kind, decodes_by_version
        )

    def order_sent(self, order: RoleOrder, now: float) -> None:
        """Records that an order is being sent.

        It counts as pending even if its delivery is never confirmed.

        Args:
          order: The order.
          now: Current time in seconds.
        """
        pending = _PendingOrder(sent_at=now, kind=order.kind)
        self._pending_by_incarnation[order.endpoint.incarnation] = pending

    def order_acknowledged(self, order: RoleOrder) -> None:
        """Records that the engine acknowledged an order."""
        incarnation = order.endpoint.incarnation
        pending = self._pending_by_incarnation[incarnation]
        self._pending_by_incarnation[incarnation] = dataclasses.replace(
            pending, acknowledged=True
        )

    def pending_role_changes(
        self, endpoints: Iterable[model.Endpoint]
    ) -> list[tuple[str, str]]:
        """Returns id and new role of each engine with an acknowledged order.

        Args:
          endpoints: The pool's engines. One that is listed in its new role
            already isn't returned.
        """
        found = []
        for item in endpoints:
            pending = self._pending_by_incarnation.get(item.incarnation)
            if (
                pending
                and pending.acknowledged
                and pending.kind is not item.kind
            ):
                found.append((item.id, pending.kind.value))
        return found

    def _split_by_role(
        self, engines: list[model.Endpoint]
    ) -> tuple[list[model.Endpoint], list[model.Endpoint]]:
        """Returns prefill and decode engines, pending orders included."""
        prefills: list[model.Endpoint] = []
        decodes: list[model.Endpoint] = []
        for engine in engines:
            is_prefill = self._planned_kind(engine) is _Kind.PREFILL
            (prefills if is_prefill else decodes).append(engine)
        return prefills, decodes

    def _planned_kind(self, endpoint: model.Endpoint) -> model.EndpointKind:
        pending = self._pending_by_incarnation.get(endpoint.incarnation)
        return pending.kind if pending else endpoint.kind

    def _is_sustained(
        self,
        kind: model.EndpointKind | None,
        engines: list[model.Endpoint],
        now: float,
    ) -> bool:
        """Returns whether an imbalance has lasted long enough to act on.

        A crashed prefill engine usually restarts in its old role after some
        seconds. A decode engine that replaces it is unavailable for the time of
        its own role change, so waiting that long first costs no more than the
        change back would. Decode engines run prefills themselves meanwhile.

        Args:
          kind: Role that is short of an engine, None if neither is.
          engines: The pool's engines.
          now: Current time in seconds.
        """
        if kind is None:
            self._imbalance = None
            return False
        if self._imbalance is None or self._imbalance[0] is not kind:
            self._imbalance = (kind, now)
        min_duration_s = MIN_SURPLUS_DURATION_S
        if kind is _Kind.PREFILL:
            min_duration_s = max(item.role_change_s for item in engines)
        return now - self._imbalance[1] >= min_duration_s

    def _has_opposite_change(
        self, kind: model.EndpointKind | None, engines: list[model.Endpoint]
    ) -> bool:
        """Returns whether an engine is still changing away from a role.

        Such an engine is counted in its new role. Replacing it in its old role
        before it has changed could leave a small pool without any prefill
        engine.
        """
        return any(
            self._is_changing(item) and item.kind is kind for item in engines
        )

    def _is_changing(self, endpoint: model.Endpoint) -> bool:
        return self._planned_kind(endpoint) is not endpoint.kind

    def _without_pending(
        self, endpoints: list[model.Endpoint]
    ) -> list[model.Endpoint]:
        return [
            item
            for item in endpoints
            if item.incarnation not in self._pending_by_incarnation
        ]

    def _expire_pending(self, now: float) -> None:
        self._pending_by_incarnation = {
            incarnation: pending
            for incarnation, pending in self._pending_by_incarnation.items()
            if now - pending.sent_at < ROLE_CHANGE_COOLDOWN_S
        }


def optimal_prefill_count(engines: int, prefill_fraction: float) -> int:
    """Returns the number of prefill engines that maximizes pool capacity.

    Args:
      engines: Number of engines in the pool.
      prefill_fraction: Prefill's fraction of the pool's load, from 0 to 1.

    Returns:
      At least 1, and at least one less than `engines`; 0 for fewer than two
      engines.
    """
    return max(
        range(1, engines),
        key=lambda prefills: _capacity(
            prefills, engines - prefills, prefill_fraction
        ),
        default=0,
    )


def _capacity(prefills: int, decodes: int, prefill_fraction: float) -> float:
    """Returns a split's capacity as an equivalent number of mixed engines."""
    return min(
        prefills / prefill_fraction if prefill_fraction > 0 else float("inf"),
        decodes / (1 - prefill_fraction)
        if prefill_fraction < 1
        else float("inf"),
    )


def _kind_to_add(
    prefills: int, decodes: int, prefill_fraction: float, *, in_progress: bool
) -> model.EndpointKind | None:
    """Returns the role that needs one more engine, None if neither does.

    Args:
      prefills: Number of prefill engines, pending orders included.
      decodes: Number of decode engines, pending orders included.
      prefill_fraction: Prefill's fraction of the pool's load, from 0 to 1.
      in_progress: Whether engines are changing already. A rebalancing that
        passed the minimum gain is completed at any gain.
    """
    engines = prefills + decodes
    target = optimal_prefill_count(engines, prefill_fraction)
    if target in (0, prefills):
        return None
    capacity = _capacity(prefills, decodes, prefill_fraction)
    target_capacity = _capacity(target, engines - target, prefill_fraction)
    if target_capacity <= capacity * (
        1.0 if in_progress else MIN_CAPACITY_GAIN
    ):
        return None
    return _Kind.PREFILL if target > prefills else _Kind.DECODE


def _select(
    candidates: Sequence[model.Endpoint],
    same_kind: Sequence[model.Endpoint],
    kind: model.EndpointKind,
    decodes_by_version: Mapping[str, int],
) -> RoleOrder | None:
    # Streams can be resumed only at decode engines of the software version that
    # began them, so each version keeps one, or gets one, where possible. Then
    # takes an engine from the availability zone with most engines of the role,
    # so that the remaining ones stay spread over zones.
    count_by_zone: dict[str, int] = {}
    for item in same_kind:
        zone = item.availability_zone
        count_by_zone[zone] = count_by_zone.get(zone, 0) + 1
    if not candidates:
        return None

    def serves_versions(item: model.Endpoint) -> bool:
        decodes = decodes_by_version.get(item.software_version, 0)
        return decodes == 0 if kind is _Kind.DECODE else decodes > 1

    endpoint = max(
        candidates,
        key=lambda item: (
            serves_versions(item),
            count_by_zone[item.availability_zone],
            item.id,
        ),
    )
    return RoleOrder(endpoint=endpoint, kind=kind)
