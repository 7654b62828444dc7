"""All orders in which two processes may hear of a few changes of a registry.

The walk is exhaustive to a depth: each state that the actions below can lead
to is visited, those that were seen before only once.
"""

import copy
import dataclasses

from cowsliprill.decisions import registry_view

_DEPTH = 8
_KEYS = ("k/a", "k/b")
_MOST_CHANGES = 3


@dataclasses.dataclass
class _World:
    """A store, two processes, and what is on its way to the first.

    Attributes:
      history: All changes, in order of their revisions.
      views: What each process knows.
      listing: A listing that was made for the first process, and its revision.
      news: What the second process told the first.
    """

    views: list[registry_view.View]
    history: tuple[registry_view.Change, ...] = ()
    listing: tuple[tuple[registry_view.Entry, ...], int] | None = None
    news: registry_view.RegistryUpdate | None = None

    def key(self):
        """Tells states apart by what later actions can depend on."""
        views = tuple(
            (
                tuple(sorted(view.entries_by_key.items())),
                tuple(view._tombstones_by_key.items()),
                view.position,
                view._tombstones_since,
            )
            for view in self.views
        )
        return self.history, views, self.listing, self.news

    def listed(self):
        """Returns the present entries and revision, as a listing does."""
        newest = {}
        for change in self.history:
            newest[change.key] = change
        entries = [
            change
            for change in newest.values()
            if isinstance(change, registry_view.Entry)
        ]
        return tuple(entries), len(self.history)


def _write(world, key):
    if len(world.history) == _MOST_CHANGES:
        return False
    revision = len(world.history) + 1
    entry = registry_view.Entry(key=key, value=b"", revision=revision)
    world.history += (entry,)
    return True


def _remove(world, key):
    present = {entry.key for entry in world.listed()[0]}
    if key not in present or len(world.history) == _MOST_CHANGES:
        return False
    revision = len(world.history) + 1
    world.history += (registry_view.Removal(key=key, revision=revision),)
    return True


def _list_now(world, number):
    world.views[number].apply_listing(*world.listed())
    return True


def _send_listing(world):
    world.listing = world.listed()
    return True


def _deliver_listing(world):
    if world.listing is None:
        return False
    world.views[0].apply_listing(*world.listing)
    return True


def _watch(world, number):
    view = world.views[number]
    # A process lists before it watches.
    if not view.position or view.position == len(world.history):
        return False
    changes = world.history[view.position : view.position + 1]
    view.apply_watch(changes, changes[-1].revision)
    return True


def _tell(world):
    world.news = world.views[1].update_since(world.views[0].position)
    return True


def _deliver_news(world):
    if world.news is None:
        return False
    world.views[0].apply_update(world.news)
    return True


_ACTIONS = (
    *((_write, key) for key in _KEYS),
    *((_remove, key) for key in _KEYS),
    *((_list_now, number) for number in (0, 1)),
    *((_watch, number) for number in (0, 1)),
    (_send_listing,),
    (_deliver_listing,),
    (_tell,),
    (_deliver_news,),
)


def _faults(before, after):
    """Says how a step broke what must hold of a process's knowledge."""
    for old, new in zip(before.views, after.views, strict=True):
        for key in _KEYS:
            if new._known_revision(key) < old._known_revision(key):
                yield f"{key} turned back"
            entry = new.entries_by_key.get(key)
            if entry is not None and after.history[entry.revision - 1] != entry:
                yield f"{key} is not what was written"
            newest = max(
                (
                    change.revision
                    for change in after.history[: new.position]
                    if change.key == key
                ),
                default=0,
            )
            if new._known_revision(key) < newest and entry is not None:
                yield f"{key} is older than the position says"


def _walk(view_class):
    """Visits all states; returns how many, and the first fault with its way."""
    first = _World([view_class("k/"), view_class("k/")])
    seen = {first.key()}
    frontier = [(first, ())]
    for _ in range(_DEPTH):
        found = []
        for world, way in frontier:
            for act, *arguments in _ACTIONS:
                after = copy.deepcopy(world)
                if not act(after, *arguments):
                    continue
                steps = (*way, (act.__name__, *arguments))
                for fault in _faults(world, after):
                    return len(seen), (fault, steps)
                state = after.key()
                if state not in seen:
                    seen.add(state)
                    found.append((after, steps))
        frontier = found
    return len(seen), None


class _TakesWhatever(registry_view.View):
    """Takes news without looking at its revision."""

    def _apply_change(self, change, absent_as_of):
        del absent_as_of
        if isinstance(change, registry_view.Entry):
            self.entries_by_key[change.key] = change
        else:
            self.entries_by_key.pop(change.key, None)
        return True


class _ForgetsWhatItRead(registry_view.View):
    """Takes news of a key that it doesn't know, however old."""

    def _apply_change(self, change, absent_as_of):
        del absent_as_of
        return super()._apply_change(change, 0)


class _TrustsListings(registry_view.View):
    """Takes whatever a listing lacks for gone, also what is newer."""

    def apply_listing(self, entries, as_of):
        listed = [*entries]
        present = {entry.key for entry in listed}
        for key in [key for key in self.entries_by_key if key not in present]:
            del self.entries_by_key[key]
        return super().apply_listing(listed, as_of)


class _KeepsItsPast(registry_view.View):
    """Tells of removals since its first listing, though it missed some."""

    def apply_listing(self, entries, as_of):
        before = self._tombstones_since
        changes = super().apply_listing(entries, as_of)
        self._tombstones_since = before or self._tombstones_since
        return changes


class TestAllOrders:
    """A process must never go back to an older state of an entry.

    It would send requests to an engine that has left, or by a route that the
    operator took away seconds ago.
    """

    def test_nothing_turns_back(self):
        states, fault = _walk(registry_view.View)
        assert fault is None
        assert states > 5_000

    def test_without_revisions_it_would(self):
        _, fault = _walk(_TakesWhatever)
        assert fault is not None

    def test_without_what_was_read_it_would(self):
        """A process starts and lists after an engine has left.

        The store turns it away, and a peer that was cut off before still
        names the engine. It came back for good.
        """
        _, fault = _walk(_ForgetsWhatItRead)
        assert fault is not None

    def test_with_listings_taken_for_the_present_it_would(self):
        _, fault = _walk(_TrustsListings)
        assert fault is not None

    def test_with_a_gap_taken_for_a_history_it_would(self):
        """A process lists anew; an entry came and went since it read last.

        Another process still has that entry and asks it what is new. Told
        nothing of the removal, it would believe that it knows all.
        """
        _, fault = _walk(_KeepsItsPast)
        assert fault is not None
