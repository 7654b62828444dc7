"""When a process asks its peers instead of the registry's store."""

import types

import pytest
from tests import lone_source

from cowsliprill import clock
from cowsliprill.decisions import mechanisms
from cowsliprill.registry import endpoints as endpoints_lib


def _follower(newest, away_s):
    return types.SimpleNamespace(
        reading=True,
        away_since=clock.now() - away_s if away_s else 0.0,
        is_away=lambda now: bool(away_s) and away_s > 0.5,
        view=types.SimpleNamespace(newest=newest),
    )


class TestTroubleHeard:
    """Peers tell that removals may be lapses."""

    def test_it_ends_though_two_tell_each_other(self, monkeypatch):
        """Guards against engines that left and are doubted again and again."""
        now = 1_000.0
        monkeypatch.setattr(clock, "now", lambda: now)
        first, second = lone_source.make(), lone_source.make()
        first._peer_news.note_trouble(endpoints_lib.DOUBT_S, now)
        for _ in range(10):
            now += endpoints_lib.DOUBT_S / 2
            second._peer_news.note_trouble(first.trouble_left_s(), now)
            first._peer_news.note_trouble(second.trouble_left_s(), now)
        assert first.trouble_left_s() == second.trouble_left_s() == 0.0


class TestAskingPeers:
    """The store doesn't answer this process."""

    @pytest.mark.parametrize(
        ("newest", "away_s", "asks"),
        [(7, 0.0, False), (7, 0.01, False), (7, 60.0, True), (0, 0.01, True)],
    )
    def test_at_once_only_where_nothing_is_known(self, newest, away_s, asks):
        """A zone's VMs lose power and start again while the store is away.

        A single failed call is no reason to ask. But one that knows nothing
        turns every caller away until it has asked.
        """
        found = lone_source.make()._peer_news.is_needed(
            _follower(newest, away_s)
        )
        assert found is asks

    def test_never_where_that_is_switched_off(self):
        source = lone_source.make(disabled={mechanisms.Mechanism.PEER_UPDATES})
        assert not source._peer_news.is_needed(_follower(0, 60.0))
