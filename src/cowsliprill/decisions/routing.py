"""Which service answers a call that names only a host and a path."""

import random
from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill.decisions import model

RoutesByHost = Mapping[str, Mapping[str, model.Route]]


def index(routes: Iterable[model.Route]) -> RoutesByHost:
    """Orders routes for `find`.

    Args:
      routes: The routes; of two with the same host and prefix the later wins.

    Returns:
      Routes by path prefix, by host.
    """
    routes_by_host: dict[str, dict[str, model.Route]] = {}
    for route in routes:
        of_host = routes_by_host.setdefault(route.host.lower(), {})
        of_host[route.path_prefix] = route
    return routes_by_host


def find(
    routes_by_host: RoutesByHost, host: str, path: str
) -> model.Route | None:
    """Finds the route with the longest prefix of a path.

    The time grows with the segments of the path, not with the routes: there
    may be tens of thousands.

    Args:
      routes_by_host: What `index` returned.
      host: Host as the caller names it, with or without a port.
      path: Path without the query.

    Returns:
      The route, None if there is none.
    """
    of_host = routes_by_host.get(host.partition(":")[0].lower())
    if not of_host:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = of_host.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def pick_service(route: model.Route, rng: random.Random) -> str:
    """Draws the service of one call by the route's weights.

    Args:
      route: The route.
      rng: Random numbers.

    Returns:
      Id of the service.
    """
    if len(route.services) == 1:
        return route.services[0][0]
    ids = [service_id for service_id, _ in route.services]
    weights = [weight for _, weight in route.services]
    return rng.choices(ids, weights)[0]
