"""Model check of `decisions.registry_view`: all orders of delivery of changes.

Explores every state that two processes and a store can reach by the actions
below up to a depth, each state once.
"""

import copy
import dataclasses

from cowsliprill.decisions import registry_view

_DEPTH_MAX = 8
_KEYS = ("k/a", "k/b")
_CHANGES_MAX = 3


@dataclasses.dataclass
class _SystemState:
    """State of a store, two processes and the messages to the first of them.

    Attributes:
      views: Registry view of each process.
      history: All changes in revision order.
      listing: Undelivered listing for the first process and its revision.
      update: Undelivered update from the second process to the first.
    """

    views: list[registry_view.View]
    history: tuple[registry_view.Change, ...] = ()
    listing: tuple[tuple[registry_view.Entry, ...], int] | None = None
    update: registry_view.RegistryUpdate | None = None

    def key(self):
        """Returns everything that later actions can depend on."""
        views = tuple(
            (
                tuple(sorted(view.entries_by_key.items())),
                tuple(view._tombstones_by_key.items()),
                view.position,
                view._tombstones_since,
            )
            for view in self.views
        )
        return self.history, views, self.listing, self.update

    def current_listing(self):
        """Returns the current entries and revision, as a listing does."""
        last_change_by_key = {}
        for change in self.history:
            last_change_by_key[change.key] = change
        entries = [
            change
            for change in last_change_by_key.values()
            if isinstance(change, registry_view.Entry)
        ]
        return tuple(entries), len(self.history)


def _write(system, key):
    if len(system.history) == _CHANGES_MAX:
        return False
    revision = len(system.history) + 1
    entry = registry_view.Entry(key=key, value=b"", revision=revision)
    system.history += (entry,)
    return True


def _remove(system, key):
    listed_keys = {entry.key for entry in system.current_listing()[0]}
    if key not in listed_keys or len(system.history) == _CHANGES_MAX:
        return False
    revision = len(system.history) + 1
    system.history += (registry_view.Removal(key=key, revision=revision),)
    return True


def _apply_listing(system, index):
    system.views[index].apply_listing(*system.current_listing())
    return True


def _send_listing(system):
    system.listing = system.current_listing()
    return True


def _deliver_listing(system):
    if system.listing is None:
        return False
    system.views[0].apply_listing(*system.listing)
    return True


def _apply_watch(system, index):
    view = system.views[index]
    # A process lists before it watches.
    if not view.position or view.position == len(system.history):
        return False
    changes = system.history[view.position : view.position + 1]
    view.apply_watch(changes, changes[-1].revision)
    return True


def _send_update(system):
    system.update = system.views[1].update_since(system.views[0].position)
    return True


def _deliver_update(system):
    if system.update is None:
        return False
    system.views[0].apply_update(system.update)
    return True


_ACTIONS = (
    *((_write, key) for key in _KEYS),
    *((_remove, key) for key in _KEYS),
    *((_apply_listing, index) for index in (0, 1)),
    *((_apply_watch, index) for index in (0, 1)),
    (_send_listing,),
    (_deliver_listing,),
    (_send_update,),
    (_deliver_update,),
)


def _violations(before, after):
    """Yields the invariants that a step violated in the processes' views."""
    for previous, current in zip(before.views, after.views, strict=True):
        for key in _KEYS:
            if current._known_revision(key) < previous._known_revision(key):
                yield f"{key} went back to an older revision"
            entry = current.entries_by_key.get(key)
            if entry is not None and after.history[entry.revision - 1] != entry:
                yield f"{key} differs from the stored entry"
            newest_revision = max(
                (
                    change.revision
                    for change in after.history[: current.position]
                    if change.key == key
                ),
                default=0,
            )
            if (
                current._known_revision(key) < newest_revision
                and entry is not None
            ):
                yield f"{key} is older than the view's position"


def _explore(view_class):
    """Returns the number of states and the first violation with its path."""
    first = _SystemState([view_class("k/"), view_class("k/")])
    seen = {first.key()}
    frontier = [(first, ())]
    for _ in range(_DEPTH_MAX):
        next_frontier = []
        for system, path in frontier:
            for action, *arguments in _ACTIONS:
                after = copy.deepcopy(system)
                if not action(after, *arguments):
                    continue
                next_path = (*path, (action.__name__, *arguments))
                for violation in _violations(system, after):
                    return len(seen), (violation, next_path)
                state = after.key()
                if state not in seen:
                    seen.add(state)
                    next_frontier.append((after, next_path))
        frontier = next_frontier
    return len(seen), None


class _IgnoresRevisions(registry_view.View):
    """Applies changes regardless of their revision."""

    def _apply_change(self, change, absent_as_of):
        del absent_as_of
        if isinstance(change, registry_view.Entry):
            self.entries_by_key[change.key] = change
        else:
            self.entries_by_key.pop(change.key, None)
        return True


class _AcceptsOldRevisionsOfUnknownKeys(registry_view.View):
    """Applies changes of unknown keys, however old the revision is."""

    def _apply_change(self, change, absent_as_of):
        del absent_as_of
        return super()._apply_change(change, 0)


class _TrustsStaleListings(registry_view.View):
    """Removes all keys missing from a listing, also newer entries."""

    def apply_listing(self, entries, as_of):
        listed = [*entries]
        listed_keys = {entry.key for entry in listed}
        for key in [
            key for key in self.entries_by_key if key not in listed_keys
        ]:
            del self.entries_by_key[key]
        return super().apply_listing(listed, as_of)


class _KeepsTombstonesAcrossGap(registry_view.View):
    """Reports tombstones since its first listing although some are missing."""

    def apply_listing(self, entries, as_of):
        before = self._tombstones_since
        changes = super().apply_listing(entries, as_of)
        self._tombstones_since = before or self._tombstones_since
        return changes


class TestAllOrders:
    """A view must never go back to an older state of an entry.

    Requests would be sent to an engine that has left, or by a route that the
    operator removed seconds ago. The variants of `View` below lack one rule
    each and show that the exploration detects its absence.
    """

    def test_no_entry_goes_back(self):
        states, violation = _explore(registry_view.View)
        assert violation is None
        assert states > 5_000

    def test_ignoring_revisions_is_detected(self):
        _, violation = _explore(_IgnoresRevisions)
        assert violation is not None

    def test_accepting_old_changes_of_unknown_keys_is_detected(self):
        """Guards against a removed engine coming back permanently.

        A process starts and lists after an engine has left, so it has no
        tombstone. The store then rejects it, and a peer that was partitioned
        before the removal still reports the engine.
        """
        _, violation = _explore(_AcceptsOldRevisionsOfUnknownKeys)
        assert violation is not None

    def test_trusting_stale_listings_is_detected(self):
        _, violation = _explore(_TrustsStaleListings)
        assert violation is not None

    def test_keeping_tombstones_across_a_gap_is_detected(self):
        """Guards against a missed removal that is never corrected.

        An entry is created and removed between two listings of a process.
        Another process still has the entry and fetches an update from it.
        Without the removal in the update, it would consider its view complete.
        """
        _, violation = _explore(_KeepsTombstonesAcrossGap)
        assert violation is not None
