"""Tests of how long API keys are accepted without confirmed settings."""

import math

from cowsliprill.decisions import freshness

_MAX_STALENESS_S = 5.0


class TestFreshness:
    """Keys are accepted only while the settings were confirmed recently."""

    def test_keys_are_always_accepted_without_a_bound(self):
        unbounded = freshness.Freshness(None)
        assert unbounded.accepts_api_keys(1e9)
        assert not unbounded.must_query_peers(1e9)
        assert unbounded.watch_timeout_s == math.inf

    def test_no_key_is_accepted_before_the_first_confirmation(self):
        assert not freshness.Freshness(_MAX_STALENESS_S).accepts_api_keys(0.0)

    def test_a_disconnected_vm_stops_before_the_bound(self):
        """Guards against a revoked key that a disconnected VM accepts."""
        recent = freshness.Freshness(_MAX_STALENESS_S)
        recent.confirm(100.0)
        assert recent.accepts_api_keys(103.0)
        assert not recent.accepts_api_keys(100.0 + _MAX_STALENESS_S)

    def test_an_older_confirmation_changes_nothing(self):
        recent = freshness.Freshness(_MAX_STALENESS_S)
        recent.confirm(100.0)
        recent.confirm(98.0)
        assert recent.age_s(101.0) == 1.0

    def test_peers_and_store_are_queried_long_before_keys_are_refused(self):
        recent = freshness.Freshness(_MAX_STALENESS_S)
        recent.confirm(100.0)
        peers_at = next(
            100 + step / 10
            for step in range(100)
            if recent.must_query_peers(100 + step / 10)
        )
        store_at = next(
            100 + step / 10
            for step in range(100)
            if recent.must_query_store(100 + step / 10)
        )
        assert peers_at < store_at
        assert recent.accepts_api_keys(store_at + 1.0)
