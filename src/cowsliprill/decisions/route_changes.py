"""Which routes may have led to several pools while a stream was open."""

import dataclasses
from collections.abc import Mapping

from cowsliprill.decisions import model
from cowsliprill.decisions import routing
from cowsliprill.decisions import stream_origins

_RouteKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    host: str
    path_prefix: str
    changed_at: float


class RouteChanges:
    """Remembers which routes have led to other pools lately.

    A pool's coordinator has no record of a stream that began in another pool,
    and would take its own engines for those that began it. What changed before
    this process had settings isn't known.

    Args:
      span_s: Time in seconds for which a stream can be resumed.

    Attributes:
      enabled: Whether routes are told apart; if not, all lead to one pool.
    """

    def __init__(self, span_s: float = stream_origins.STREAM_AGE_MIN_S) -> None:
        self.enabled = True
        self._span_s = span_s
        self._routes_by_host: routing.RoutesByHost | None = None
        self._pools_by_route: dict[_RouteKey, frozenset[str]] = {}
        self._changes: list[_Change] = []

    def update(self, snapshot: model.Snapshot, now: float) -> None:
        """Applies new settings.

        Args:
          snapshot: The settings.
          now: Current time in seconds.
        """
        routes_by_host = snapshot.routes_by_prefix_by_host
        if routes_by_host is self._routes_by_host:
            return
        pools_by_route = _pools_by_route(
            routes_by_host, snapshot.services_by_id
        )
        if self._pools_by_route:
            self._changes = [
                *self._recent(now),
                *(
                    _Change(*key, now)
                    for key in pools_by_route.keys()
                    | self._pools_by_route.keys()
                    if pools_by_route.get(key) != self._pools_by_route.get(key)
                ),
            ]
        self._routes_by_host = routes_by_host
        self._pools_by_route = pools_by_route

    def leads_to_one_pool(self, route: model.Route, now: float) -> bool:
        """Returns whether a stream of a route can have begun in one pool only.

        Args:
          route: The route.
          now: Current time in seconds.
        """
        if not self.enabled:
            return True
        key = (route.host.lower(), route.path_prefix)
        if len(self._pools_by_route.get(key, ())) > 1:
            return False
        # A longer or shorter prefix may have led the same paths elsewhere.
        return not any(
            change.host == key[0]
            and (
                change.path_prefix.startswith(route.path_prefix)
                or route.path_prefix.startswith(change.path_prefix)
            )
            for change in self._recent(now)
        )

    def _recent(self, now: float) -> list[_Change]:
        return [
            change
            for change in self._changes
            if change.changed_at > now - self._span_s
        ]


def _pools_by_route(
    routes_by_host: routing.RoutesByHost,
    services_by_id: Mapping[str, model.Service],
) -> dict[_RouteKey, frozenset[str]]:
    return {
        (host, path_prefix): frozenset(
            services_by_id[service_id].pool
            for service_id, _ in route.services
            if service_id in services_by_id
        )
        for host, routes_by_prefix in routes_by_host.items()
        for path_prefix, route in routes_by_prefix.items()
    }
