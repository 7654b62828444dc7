"""Tests of `decisions.registry`: never an older state after a newer."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cowsliprill.decisions import registry

_KEYS = ("servers/a", "servers/b", "servers/c")


def _entry(key: str, revision: int, value: bytes = b"x") -> registry.Entry:
    return registry.Entry(key=key, value=value, revision=revision)


class TestView:
    """What one process knows of the entries below a prefix."""

    def test_takes_a_listing_and_goes_on_from_its_first_page(self):
        view = registry.View("servers/")
        changes = view.take_listing([_entry("servers/a", 3)], 7)
        assert [change.key for change in changes] == ["servers/a"]
        assert view.position == 7

    def test_old_news_of_a_peer_brings_nothing_back(self):
        """A peer that was cut off still names an engine that has left.

        Requests would go to an address that another service may have now.
        """
        view = registry.View("servers/")
        view.take_listing([_entry("servers/a", 3)], 3)
        view.take_watched([registry.Removal(key="servers/a", revision=5)], 5)
        news = registry.News(changes=(_entry("servers/a", 3),), position=4)
        assert view.take_news(news) == []
        assert view.entries_by_key == {}

    def test_a_listing_shows_what_was_removed_unseen(self):
        """The store forgot its history while an engine left."""
        view = registry.View("servers/")
        view.take_listing([_entry("servers/a", 3), _entry("servers/b", 4)], 4)
        changes = view.take_listing([_entry("servers/b", 4)], 9)
        assert changes == [registry.Removal(key="servers/a", revision=9)]

    def test_a_listing_keeps_what_is_newer_than_its_first_page(self):
        """An engine registered while the pages were read one by one."""
        view = registry.View("servers/")
        view.take_news(
            registry.News(changes=(_entry("servers/a", 8),), position=8)
        )
        assert view.take_listing([], 7) == []
        assert "servers/a" in view.entries_by_key

    def test_a_peer_that_missed_nothing_tells_differences(self):
        view = registry.View("servers/")
        view.take_listing([_entry("servers/a", 3)], 3)
        view.take_watched(
            [
                _entry("servers/b", 4),
                registry.Removal(key="servers/a", revision=6),
            ],
            6,
        )
        news = view.news_since(4)
        assert not news.whole
        assert news.changes == (registry.Removal(key="servers/a", revision=6),)

    def test_an_asker_from_before_the_first_listing_gets_all(self):
        """The peer can't know what was removed before it began."""
        view = registry.View("servers/")
        view.take_listing([_entry("servers/a", 7)], 10)
        asker = registry.View("servers/")
        asker.take_listing([_entry("servers/b", 2)], 5)
        changes = asker.take_news(view.news_since(asker.position))
        assert {change.key for change in changes} == {"servers/a", "servers/b"}
        assert set(asker.entries_by_key) == {"servers/a"}

    def test_keys_of_other_prefixes_are_passed_over(self):
        view = registry.View("servers/")
        assert view.take_listing([_entry("op/config", 3)], 3) == []


@hypothesis.settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
class Processes(stateful.RuleBasedStateMachine):
    """A store and two processes that hear of it in every order.

    The rule: what a process holds of a key never becomes older, and a process
    that has read everything knows exactly what the store holds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0
        self.history: list[registry.Change] = []
        self.held: dict[str, registry.Entry] = {}
        self.views = [registry.View("servers/") for _ in range(2)]
        self.seen: list[dict[str, int]] = [{}, {}]
        self.late: list[tuple[int, registry.News]] = []

    @stateful.rule(key=strategies.sampled_from(_KEYS))
    def write(self, key: str) -> None:
        self.revision += 1
        entry = _entry(key, self.revision)
        self.held[key] = entry
        self.history.append(entry)

    @stateful.rule(key=strategies.sampled_from(_KEYS))
    def remove(self, key: str) -> None:
        if key in self.held:
            self.revision += 1
            del self.held[key]
            self.history.append(
                registry.Removal(key=key, revision=self.revision)
            )

    @stateful.rule(number=strategies.integers(0, 1))
    def list_all(self, number: int) -> None:
        view = self.views[number]
        view.take_listing(self.held.values(), self.revision)
        assert view.entries_by_key == self.held

    @stateful.rule(
        number=strategies.integers(0, 1), count=strategies.integers(1, 4)
    )
    def watch(self, number: int, count: int) -> None:
        view = self.views[number]
        if not view.position:
            return
        missed = [
            change for change in self.history if change.revision > view.position
        ][:count]
        as_of = missed[-1].revision if missed else self.revision
        view.take_watched(missed, as_of)

    @stateful.rule(number=strategies.integers(0, 1))
    def ask_peer(self, number: int) -> None:
        asker, teller = self.views[number], self.views[1 - number]
        self.late.append((number, teller.news_since(asker.position)))

    @stateful.rule(index=strategies.integers(0, 9))
    def news_arrive(self, index: int) -> None:
        if self.late:
            number, news = self.late[index % len(self.late)]
            self.views[number].take_news(news)

    @stateful.invariant()
    def nothing_turns_back(self) -> None:
        for view, seen in zip(self.views, self.seen, strict=True):
            for key, entry in view.entries_by_key.items():
                assert entry.revision >= seen.get(key, 0)
                seen[key] = entry.revision

    @stateful.invariant()
    def whoever_has_read_all_knows_all(self) -> None:
        for view in self.views:
            if view.position == self.revision:
                assert view.entries_by_key == self.held


TestProcesses = Processes.TestCase
