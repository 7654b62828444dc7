"""Tests for `decisions.endpoint_paths`."""

from cowsliprill.decisions import endpoint_paths
from cowsliprill.decisions import model


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


def _paths(endpoints: int) -> endpoint_paths.EndpointPaths:
    paths = endpoint_paths.EndpointPaths()
    paths.update(frozenset(f"e{number}" for number in range(endpoints)))
    return paths


class TestLoss:
    """When a VM counts as cut off."""

    def test_one_unreachable_endpoint_is_no_lost_path(self):
        paths = _paths(4)
        for now in range(10):
            assert paths.record_failed("e0", now) is None
        assert not paths.lost

    def test_path_is_lost_after_three_endpoints(self):
        paths = _paths(100)
        assert paths.record_failed("e0", 1.0) is None
        assert paths.record_failed("e7", 1.1) is None
        change = paths.record_failed("e9", 1.2)
        assert change == endpoint_paths.PathChange(
            lost=True, endpoint_ids=("e0", "e7", "e9")
        )
        assert paths.lost

    def test_of_two_endpoints_both_must_be_unreachable(self):
        paths = _paths(2)
        assert paths.record_failed("e0", 1.0) is None
        assert paths.record_failed("e1", 1.0) is not None

    # Guards against an ended engine that is taken for a lost path, so that
    # nobody learns of its end.
    def test_single_endpoint_is_never_a_lost_path(self):
        paths = _paths(1)
        assert paths.record_failed("e0", 1.0) is None
        assert not paths.lost

    def test_connection_in_between_starts_the_count_anew(self):
        paths = _paths(4)
        paths.record_failed("e0", 1.0)
        paths.record_failed("e1", 1.0)
        assert paths.has_failed("e0")
        paths.record_connected("e2", 1.0)
        assert not paths.has_failed("e0")
        assert paths.record_failed("e3", 1.1) is None

    def test_old_failures_do_not_count(self):
        paths = _paths(4)
        paths.record_failed("e0", 1.0)
        paths.record_failed("e1", 1.0)
        assert paths.record_failed("e2", 60.0) is None

    def test_loss_is_reported_once(self):
        paths = _paths(2)
        paths.record_failed("e0", 1.0)
        assert paths.record_failed("e1", 1.0) is not None
        assert paths.record_failed("e1", 1.1) is None

    def test_failures_of_removed_endpoints_do_not_count(self):
        paths = _paths(4)
        paths.record_failed("e0", 1.0)
        paths.record_failed("e1", 1.0)
        paths.update(frozenset({"e2", "e3"}))
        assert paths.record_failed("e2", 1.1) is None

    def test_unknown_endpoint_is_ignored(self):
        paths = _paths(2)
        paths.record_failed("e0", 1.0)
        assert paths.record_failed("stranger", 1.0) is None


class TestRestoration:
    """When a VM no longer counts as cut off."""

    def test_any_connection_restores_the_path(self):
        paths = _paths(2)
        paths.record_failed("e0", 1.0)
        paths.record_failed("e1", 1.0)
        change = paths.record_connected("e1", 1.0)
        assert change == endpoint_paths.PathChange(
            lost=False, endpoint_ids=("e1",)
        )
        assert not paths.lost
        assert paths.record_connected("e1", 1.0) is None


class TestConnections:
    """Connections that make a probe unnecessary."""

    def test_connection_after_a_call_was_sent(self):
        paths = _paths(2)
        paths.record_connected("e0", 2.0)
        assert paths.connected_since("e0", 1.0)
        assert not paths.connected_since("e0", 2.0)
        assert not paths.connected_since("e1", 1.0)

    def test_connections_of_removed_endpoints_are_forgotten(self):
        paths = _paths(2)
        paths.record_connected("e0", 2.0)
        paths.update(frozenset({"e1"}))
        assert not paths.connected_since("e0", 1.0)


class TestWitnesses:
    """Which endpoints tell an ended endpoint from a lost path."""

    def test_other_pools_go_first(self):
        desk = [_server(number) for number in range(3)]
        other = _server(0, "other")
        selected = endpoint_paths.witnesses(desk[0], [*desk, other], 2)
        assert selected == [other, desk[1]]

    def test_examined_endpoint_is_no_witness(self):
        assert not endpoint_paths.witnesses(_server(0), [_server(0)], 2)
