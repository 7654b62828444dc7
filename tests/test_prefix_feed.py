"""Tests of `dispatch.prefix_feed` and `dispatch.pace`."""

import hypothesis
from hypothesis import strategies

from cowsliprill.dispatch import pace
from cowsliprill.dispatch import prefix_feed
from cowsliprill.engines import model

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)
_ENTRY = "vm-a.e0.one"


class _Reader:
    """An entry that believes what it is told."""

    def __init__(self) -> None:
        self.epoch = 0
        self.believed: set[int] = set()

    def read_all(self, feed: prefix_feed.PrefixFeed) -> None:
        while True:
            news = feed.news_for(_ENTRY)
            if news.epoch != self.epoch:
                self.epoch = news.epoch
                self.believed.clear()
            self.believed |= set(news.stored)
            self.believed -= set(news.gone)
            if not news.stored and not news.gone:
                return


def _events(
    changes: list[tuple[int, bool]], after: int, gap: bool
) -> model.CacheEvents:
    kinds = {
        True: model.CacheEventKind.STORED,
        False: model.CacheEventKind.REMOVED,
    }
    events = tuple(
        model.CacheEvent(seq=after + n, kind=kinds[stored], block=block)
        for n, (block, stored) in enumerate(changes, start=1)
    )
    return model.CacheEvents(
        events=events, last_seq=after + len(events), gap=gap
    )


_CHANGES = strategies.lists(
    strategies.tuples(strategies.integers(1, 40), strategies.booleans()),
    max_size=50,
)


class TestPrefixFeed:
    """What entries come to believe of an engine's cache."""

    @_SETTINGS
    @hypothesis.given(
        rounds=strategies.lists(
            strategies.tuples(_CHANGES, strategies.booleans()), max_size=6
        )
    )
    def test_no_block_is_believed_in_beyond_a_gap(
        self, rounds: list[tuple[list[tuple[int, bool]], bool]]
    ) -> None:
        """Cache events come late and some are lost.

        A block that was evicted in the gap would draw requests to an engine
        that has to compute its prompt anew, and the family waits longer.
        """
        feed = prefix_feed.PrefixFeed()
        reader = _Reader()
        since_gap: set[int] = set()
        for changes, gap in rounds:
            if gap:
                since_gap.clear()
            for block, stored in changes:
                if stored:
                    since_gap.add(block)
                else:
                    since_gap.discard(block)
            feed.take(_events(changes, feed.last_seq, gap))
            reader.read_all(feed)
            assert reader.believed == since_gap

    def test_news_come_a_little_at_a_time(self) -> None:
        feed = prefix_feed.PrefixFeed()
        changes = [(block, True) for block in range(100)]
        feed.take(_events(changes, 0, False))
        news = feed.news_for(_ENTRY)
        assert len(news.stored) == prefix_feed.NEWS_MAX


class TestIntervalS:
    """Rounds of questions stay within their bytes a second."""

    def test_a_small_round_comes_often_and_a_large_one_seldom(self) -> None:
        intervals = [
            pace.interval_s(
                size, bytes_per_s=1_000, shortest_s=1.0, longest_s=60.0
            )
            for size in (10, 5_000, 10**9)
        ]
        assert intervals == [1.0, 5.0, 60.0]
