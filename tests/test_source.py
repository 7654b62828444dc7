"""Tests of `registry.peer_sync`: queries to peers during a store outage."""

import types

import pytest
from tests import lone_source

from cowsliprill import clock
from cowsliprill.decisions import mechanisms
from cowsliprill.registry import endpoints as endpoints_lib


def _follower(newest, away_s):
    return types.SimpleNamespace(
        reading=True,
        unavailable_since=clock.now() - away_s if away_s else 0.0,
        is_store_unavailable=lambda now: bool(away_s) and away_s > 0.5,
        view=types.SimpleNamespace(newest=newest),
    )


class TestRemovalGracePeriod:
    """Peers report the remaining grace period of deferred removals."""

    def test_mutual_reports_dont_extend_the_grace_period(self, monkeypatch):
        """Guards against peers extending each other's grace period forever.

        The removal of an engine that has left would never take effect.
        """
        now = 1_000.0
        monkeypatch.setattr(clock, "now", lambda: now)
        first, second = lone_source.make(), lone_source.make()
        first._peer_sync.extend_removal_grace(
            endpoints_lib.REMOVAL_GRACE_S, now
        )
        for _ in range(10):
            now += endpoints_lib.REMOVAL_GRACE_S / 2
            second._peer_sync.extend_removal_grace(
                first.removal_grace_left_s(), now
            )
            first._peer_sync.extend_removal_grace(
                second.removal_grace_left_s(), now
            )
        assert (
            first.removal_grace_left_s() == second.removal_grace_left_s() == 0.0
        )


class TestQueryingPeers:
    """The store is unavailable to a reader."""

    @pytest.mark.parametrize(
        ("newest", "away_s", "expected"),
        [(7, 0.0, False), (7, 0.01, False), (7, 60.0, True), (0, 0.01, True)],
    )
    def test_first_failure_queries_peers_only_without_data(
        self, newest, away_s, expected
    ):
        """Guards against slow restarts of an availability zone in an outage.

        A single failed call is no reason to query peers. But a process without
        any data rejects all requests until a peer has responded.
        """
        is_needed = lone_source.make()._peer_sync.is_needed(
            _follower(newest, away_s)
        )
        assert is_needed is expected

    def test_disabled_mechanism_queries_no_peers(self):
        source = lone_source.make(disabled={mechanisms.Mechanism.PEER_UPDATES})
        assert not source._peer_sync.is_needed(_follower(0, 60.0))
