"""Tests for `decisions.endpoint_paths`."""

from cowsliprill.decisions import endpoint_paths
from cowsliprill.decisions import model

_ALL = endpoint_paths.ALL_POOLS


def _server(number: int, pool: str = "desk") -> model.Endpoint:
    return model.Endpoint(
        id=f"{pool}-{number}",
        kind=model.EndpointKind.PLAIN,
        host="10.0.0.1",
        port=8_000 + number,
        availability_zone="gasabo",
        pool=pool,
        slots=4,
    )


def _paths(desk: int, other: int = 3) -> endpoint_paths.EndpointPaths:
    paths = endpoint_paths.EndpointPaths()
    paths.update(
        [_server(number) for number in range(desk)]
        + [_server(number, "other") for number in range(other)]
    )
    return paths


class TestLoss:
    """When the path to a pool counts as lost."""

    def test_one_unreachable_endpoint_is_no_lost_path(self):
        paths = _paths(4)
        for now in range(10):
            assert not paths.record_failed(_server(0), now)
        assert not paths.is_lost("desk")

    def test_path_is_lost_after_three_endpoints(self):
        paths = _paths(100)
        assert not paths.record_failed(_server(0), 1.0)
        assert not paths.record_failed(_server(7), 1.1)
        change = paths.record_failed(_server(9), 1.2)[0]
        assert change == endpoint_paths.PathChange(
            pool="desk",
            lost=True,
            endpoint_ids=("desk-0", "desk-7", "desk-9"),
        )
        assert paths.is_lost("desk")
        assert paths.lost_pools() == ["desk"]

    def test_of_two_endpoints_both_must_be_unreachable(self):
        paths = _paths(2)
        assert not paths.record_failed(_server(0), 1.0)
        assert paths.record_failed(_server(1), 1.0)

    # Guards against an ended engine that is taken for a lost path.
    def test_single_endpoint_is_never_a_lost_path(self):
        paths = _paths(1)
        assert not paths.record_failed(_server(0), 1.0)
        assert not paths.is_lost("desk")

    def test_connection_in_between_starts_the_count_anew(self):
        paths = _paths(4)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        assert paths.has_failed(_server(0))
        paths.record_connected(_server(2), 1.0)
        assert not paths.has_failed(_server(0))
        assert not paths.record_failed(_server(3), 1.1)

    def test_connection_to_another_pool_changes_nothing(self):
        paths = _paths(2)
        paths.record_failed(_server(0), 1.0)
        paths.record_connected(_server(0, "other"), 1.0)
        paths.record_failed(_server(1), 1.0)
        assert paths.is_lost("desk")
        assert not paths.is_lost("other")

    def test_old_failures_do_not_count(self):
        paths = _paths(4)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        assert not paths.record_failed(_server(2), 60.0)

    def test_loss_is_reported_once(self):
        paths = _paths(2)
        paths.record_failed(_server(0), 1.0)
        assert paths.record_failed(_server(1), 1.0)
        assert not paths.record_failed(_server(1), 1.1)

    def test_failures_of_removed_endpoints_do_not_count(self):
        paths = _paths(4)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        paths.update([_server(2), _server(3)])
        assert not paths.record_failed(_server(2), 1.1)

    def test_unknown_endpoint_is_ignored(self):
        paths = _paths(2)
        paths.record_failed(_server(0), 1.0)
        assert not paths.record_failed(_server(7), 1.0)


class TestCutOff:
    """When a VM counts as cut off from the endpoints of all pools."""

    # Guards against an outage of one pool that hides which engines ended.
    def test_outage_of_one_pool_is_not_enough(self):
        paths = _paths(4)
        for number in range(4):
            paths.record_failed(_server(number), 1.0)
        assert paths.is_lost("desk")
        assert not paths.is_lost(_ALL)

    def test_unreachable_endpoints_of_several_pools(self):
        paths = _paths(2)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        assert not paths.is_lost(_ALL)
        change = paths.record_failed(_server(0, "other"), 1.0)[0]
        assert change.pool == _ALL
        assert paths.is_lost(_ALL)
        assert not paths.is_lost("other")


class TestRestoration:
    """When a lost path counts as restored."""

    def test_any_connection_to_the_pool_restores_the_path(self):
        paths = _paths(2)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        change = paths.record_connected(_server(1), 1.0)[0]
        assert change == endpoint_paths.PathChange(
            pool="desk", lost=False, endpoint_ids=("desk-1",)
        )
        assert not paths.is_lost("desk")
        assert not paths.record_connected(_server(1), 1.0)

    def test_removed_pool_is_forgotten(self):
        paths = _paths(2)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        paths.update([])
        assert not paths.lost_pools()


class TestConnections:
    """Connections that make a probe unnecessary."""

    def test_connection_after_a_time(self):
        paths = _paths(2)
        paths.record_connected(_server(0), 2.0)
        assert paths.connected_since("desk-0", 1.0)
        assert not paths.connected_since("desk-0", 2.0)
        assert not paths.connected_since("desk-1", 1.0)

    def test_connections_of_removed_endpoints_are_forgotten(self):
        paths = _paths(2)
        paths.record_connected(_server(0), 2.0)
        paths.update([_server(1)])
        assert not paths.connected_since("desk-0", 1.0)
