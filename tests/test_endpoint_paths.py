"""Tests for `decisions.endpoint_paths`."""

import dataclasses

from cowsliprill.decisions import endpoint_paths
from cowsliprill.decisions import model

_GROUP = endpoint_paths.PathGroup("desk", model.EndpointKind.PLAIN)


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


def _paths(servers: int) -> endpoint_paths.EndpointPaths:
    paths = endpoint_paths.EndpointPaths()
    paths.update([_server(number) for number in range(servers)])
    return paths


class TestLoss:
    """When the path to a pool counts as lost."""

    def test_one_unreachable_endpoint_of_several_is_no_lost_path(self):
        paths = _paths(4)
        for now in range(10):
            assert paths.record_failed(_server(0), now) is None
        assert not paths.is_lost("desk")

    def test_path_is_lost_after_three_endpoints(self):
        paths = _paths(100)
        assert paths.record_failed(_server(0), 1.0) is None
        assert paths.record_failed(_server(7), 1.1) is None
        change = paths.record_failed(_server(9), 1.2)
        assert change == endpoint_paths.PathChange(
            group=_GROUP, lost=True, endpoint_ids=("desk-0", "desk-7", "desk-9")
        )
        assert paths.is_lost("desk")
        assert paths.lost_groups() == [_GROUP]

    def test_small_pool_is_lost_once_all_endpoints_are(self):
        paths = _paths(2)
        assert paths.record_failed(_server(0), 1.0) is None
        assert paths.record_failed(_server(1), 1.0) is not None

    def test_connection_in_between_starts_the_count_anew(self):
        paths = _paths(4)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        paths.record_connected(_server(2))
        assert paths.record_failed(_server(3), 1.1) is None

    def test_old_failures_do_not_count(self):
        paths = _paths(4)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        assert paths.record_failed(_server(2), 60.0) is None

    def test_other_pools_are_not_affected(self):
        paths = endpoint_paths.EndpointPaths()
        paths.update([_server(0), _server(0, "other")])
        paths.record_failed(_server(0), 1.0)
        assert paths.is_lost("desk")
        assert not paths.is_lost("other")

    def test_loss_is_reported_once(self):
        paths = _paths(1)
        assert paths.record_failed(_server(0), 1.0) is not None
        assert paths.record_failed(_server(0), 1.1) is None


class TestRestoration:
    """When a lost path counts as restored."""

    def test_any_connection_restores_the_path(self):
        paths = _paths(2)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        change = paths.record_connected(_server(1))
        assert change == endpoint_paths.PathChange(
            group=_GROUP, lost=False, endpoint_ids=("desk-1",)
        )
        assert not paths.is_lost("desk")

    def test_removed_pool_is_forgotten(self):
        paths = _paths(1)
        paths.record_failed(_server(0), 1.0)
        paths.update([])
        assert paths.lost_groups() == []

    def test_failures_of_removed_endpoints_do_not_count(self):
        paths = _paths(4)
        paths.record_failed(_server(0), 1.0)
        paths.record_failed(_server(1), 1.0)
        paths.update([_server(2), _server(3)])
        assert paths.record_failed(_server(2), 1.1) is None

    def test_unknown_endpoint_is_ignored(self):
        paths = _paths(1)
        stranger = dataclasses.replace(_server(0), id="stranger")
        assert paths.record_failed(stranger, 1.0) is None
