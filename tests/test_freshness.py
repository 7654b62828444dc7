"""Tests of how long API keys are honoured without the store's word."""

import math

from cowsliprill.decisions import freshness

_BOUND_S = 5.0


class TestFreshness:
    """Keys hold only while the settings were lately the newest."""

    def test_without_a_bound_keys_always_hold(self):
        unbounded = freshness.Freshness(None)
        assert unbounded.honours_keys(1e9)
        assert not unbounded.must_ask_peers(1e9)
        assert unbounded.watch_s == math.inf

    def test_nothing_is_honoured_before_the_first_word(self):
        assert not freshness.Freshness(_BOUND_S).honours_keys(0.0)

    def test_a_vm_out_of_touch_stops_before_the_bound(self):
        """Guards against a revoked key that works at a VM that is cut off."""
        recent = freshness.Freshness(_BOUND_S)
        recent.confirm(100.0)
        assert recent.honours_keys(103.0)
        assert not recent.honours_keys(100.0 + _BOUND_S)

    def test_an_older_word_takes_nothing_back(self):
        recent = freshness.Freshness(_BOUND_S)
        recent.confirm(100.0)
        recent.confirm(98.0)
        assert recent.age_s(101.0) == 1.0

    def test_others_are_asked_long_before_keys_are_refused(self):
        recent = freshness.Freshness(_BOUND_S)
        recent.confirm(100.0)
        asked_at = next(
            100 + step / 10
            for step in range(100)
            if recent.must_ask_peers(100 + step / 10)
        )
        store_at = next(
            100 + step / 10
            for step in range(100)
            if recent.must_ask_store(100 + step / 10)
        )
        assert asked_at < store_at
        assert recent.honours_keys(store_at + 1.0)
