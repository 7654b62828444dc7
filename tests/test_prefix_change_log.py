"""Tests of the prefix change log and of the polling interval."""

import hypothesis
from hypothesis import strategies

from cowsliprill.dispatch import polling
from cowsliprill.dispatch import prefix_change_log
from cowsliprill.engines import model

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)
_ENTRY = "vm-a.e0.one"


class _EntryView:
    """Cached blocks as an entry process knows them from its updates."""

    def __init__(self) -> None:
        self.epoch = 0
        self.cached: set[int] = set()

    def read_all(self, log: prefix_change_log.PrefixChangeLog) -> None:
        while True:
            update = log.update_for(_ENTRY)
            if update.epoch != self.epoch:
                self.epoch = update.epoch
                self.cached.clear()
            self.cached |= set(update.stored)
            self.cached -= set(update.evicted)
            if not update.stored and not update.evicted:
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


class TestPrefixChangeLog:
    """The cached blocks that entry processes assume after updates."""

    @_SETTINGS
    @hypothesis.given(
        rounds=strategies.lists(
            strategies.tuples(_CHANGES, strategies.booleans()), max_size=6
        )
    )
    def test_blocks_from_before_a_gap_are_dropped(
        self, rounds: list[tuple[list[tuple[int, bool]], bool]]
    ) -> None:
        """Guards against stale blocks after lost cache events.

        A block that was evicted during the gap would attract requests to an
        engine that has to prefill the whole prompt, which delays the response.
        """
        log = prefix_change_log.PrefixChangeLog()
        view = _EntryView()
        stored_since_gap: set[int] = set()
        for changes, gap in rounds:
            if gap:
                stored_since_gap.clear()
            for block, stored in changes:
                if stored:
                    stored_since_gap.add(block)
                else:
                    stored_since_gap.discard(block)
            log.apply(_events(changes, log.last_seq, gap))
            view.read_all(log)
            assert view.cached == stored_since_gap

    def test_an_update_is_limited_in_size(self) -> None:
        log = prefix_change_log.PrefixChangeLog()
        changes = [(block, True) for block in range(100)]
        log.apply(_events(changes, 0, False))
        update = log.update_for(_ENTRY)
        assert len(update.stored) == prefix_change_log.MAX_BLOCKS_PER_UPDATE


class TestPollIntervalS:
    """Polling rounds stay within their byte-rate budget."""

    def test_interval_grows_with_the_bytes_of_a_round(self) -> None:
        intervals = [
            polling.poll_interval_s(
                size, bytes_per_s=1_000, min_interval_s=1.0, max_interval_s=60.0
            )
            for size in (10, 5_000, 10**9)
        ]
        assert intervals == [1.0, 5.0, 60.0]
