"""Tests of `decisions.routing`."""

import collections
import random

from cowsliprill.decisions import model
from cowsliprill.decisions import routing


def _route(prefix: str, host: str = "a.example", **changes) -> model.Route:
    fields = {
        "name": prefix,
        "host": host,
        "path_prefix": prefix,
        "services": (("s", 1.0),),
        **changes,
    }
    return model.Route(**fields)


class TestFind:
    """The route with the longest prefix among those of the host."""

    def test_longest_prefix_wins(self):
        routes = routing.index_routes(
            [_route("/"), _route("/x/"), _route("/x/y/")]
        )
        assert routing.find_route(
            routes, "a.example", "/x/y/z"
        ).path_prefix == ("/x/y/")
        assert (
            routing.find_route(routes, "a.example", "/x/yz").path_prefix
            == "/x/"
        )
        assert routing.find_route(routes, "a.example", "/z").path_prefix == "/"

    def test_prefix_itself_and_port_and_case(self):
        routes = routing.index_routes([_route("/x/")])
        assert routing.find_route(routes, "A.example:8080", "/x/") is not None

    def test_no_match(self):
        routes = routing.index_routes([_route("/x/")])
        assert routing.find_route(routes, "a.example", "/x") is None
        assert routing.find_route(routes, "b.example", "/x/") is None
        assert routing.find_route(routes, "a.example", "") is None


class TestPickService:
    """Calls are split among the services of a route by weight."""

    def test_weights(self):
        route = _route("/", services=(("a", 90.0), ("b", 10.0)))
        rng = random.Random(1)
        counts = collections.Counter(
            routing.pick_service(route, rng) for _ in range(2_000)
        )
        assert 0.07 < counts["b"] / 2_000 < 0.13

    def test_weight_zero_gets_no_calls(self):
        route = _route("/", services=(("a", 1.0), ("b", 0.0)))
        rng = random.Random(1)
        assert {routing.pick_service(route, rng) for _ in range(500)} == {"a"}
