"""Maps the host and path of a call to a service."""

import random
from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill.decisions import model

RoutesByHost = Mapping[str, Mapping[str, model.Route]]


def index_routes(routes: Iterable[model.Route]) -> RoutesByHost:
    """Indexes routes for `find_route`.

    Args:
      routes: The routes. Of two with the same host and prefix, the later wins.

    Returns:
      Routes by path prefix, by host.
    """
    routes_by_host: dict[str, dict[str, model.Route]] = {}
    for route in routes:
        routes_by_prefix = routes_by_host.setdefault(route.host.lower(), {})
        routes_by_prefix[route.path_prefix] = route
    return routes_by_host


def find_route(
    routes_by_host: RoutesByHost, host: str, path: str
) -> model.Route | None:
    """Finds the route with the longest matching path prefix.

    The time depends on the number of path segments and not on the number of
    routes, of which there may be tens of thousands.

    Args:
      routes_by_host: Result of `index_routes`.
      host: Host as given by the caller, with or without a port.
      path: Path without the query.

    Returns:
      The route, None if none matches.
    """
    routes_by_prefix = routes_by_host.get(host.partition(":")[0].lower())
    if not routes_by_prefix:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = routes_by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def pick_service(route: model.Route, rng: random.Random) -> str:
    """Draws the service for one call, by the weights of its route.

    Args:
      route: The route.
      rng: Source of random numbers.

    Returns:
      Id of the service.
    """
    if len(route.services) == 1:
        return route.services[0][0]
    ids = [service_id for service_id, _ in route.services]
    weights = [weight for _, weight in route.services]
    return rng.choices(ids, weights)[0]
