"""Local view of a registry's entries that never replaces a newer state.

Does no I/O. A registry is a key-value store that this system only reads.
Changes of a key arrive from listings, watches and peers, in any order and
repeatedly; the revision of each change decides which is newest. Removals are
kept as tombstones so that an outdated update from a peer can't restore a
removed entry.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

# Peers that ask for changes since a revision whose tombstones were evicted get
# a complete listing instead.
_TOMBSTONES_MAX = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """An entry as it was written.

    Attributes:
      key: The entry's key.
      value: The entry's content.
      revision: Revision of the entry's last change.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Removal:
    """The removal of an entry.

    Attributes:
      key: The entry's key.
      revision: Revision of the removal.
    """

    key: str
    revision: int


Change = Entry | Removal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegistryUpdate:
    """Changes that one process sends to another.

    Attributes:
      changes: Entries and removals after the requested revision.
      position: Revision up to which the sender's view is complete.
      whole: Whether `changes` is a complete listing, so that other keys don't
        exist as of `position`.
      trouble_left_s: Remaining time in seconds in which removals may be due to
        an outage of the store, which is unreachable or has just come back.
      age_s: Time in seconds since the sender's view was last confirmed as
        complete; infinity if it never was.
    """

    changes: tuple[Change, ...]
    position: int
    whole: bool = False
    trouble_left_s: float = 0.0
    age_s: float = math.inf


class View:
    """The entries below one key prefix, as one process knows them.

    Args:
      prefix: Key prefix.

    Attributes:
      entries_by_key: The entries.
      position: Revision up to which the view is complete; watches start here.
      newest: Revision of the newest change known.
      gaps: Number of times at which entries may have been written and removed
        unseen, since the first state was applied.
      unreadable_keys: Keys that a listing has shown without a readable entry.
      confirmed_at: Time in seconds at which the store was last known to have
        nothing newer.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.entries_by_key: dict[str, Entry] = {}
        self.position = 0
        self.newest = 0
        self.gaps = 0
        self.unreadable_keys: set[str] = set()
        self.confirmed_at = -math.inf
        # All removals after this revision are in `_tombstones_by_key`.
        self._tombstones_since = 0
        self._tombstones_by_key: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def apply_listing(
        self, entries: Iterable[Entry], as_of: int
    ) -> list[Change]:
        """Applies a complete listing.

        Pages of a listing are read one after the other, so later pages may show
        later states. `as_of` must be the revision of the first page; changes
        made while the pages were read arrive again through the watch.

        Args:
          entries: Entries of all pages.
          as_of: Revision of the store at the first page.

        Returns:
          The changes that were new.
        """
        listed = [*entries]
        present = {entry.key for entry in listed}
        self.unreadable_keys = {
            entry.key
            for entry in listed
            if not entry.revision and entry.key not in self.entries_by_key
        }
        removed = [
            Removal(key=key, revision=as_of)
            for key, entry in self.entries_by_key.items()
            if key not in present and entry.revision <= as_of
        ]
        # A listing as new as the view decides on its own which keys exist. An
        # older one must not restore keys that the view knows to be absent.
        absent_as_of = 0 if as_of >= self.position else self.position
        changes = self._apply_changes([*listed, *removed], absent_as_of)
        if as_of > self.position:
            # Keys that were written and removed between the view's position
            # and the listing left no tombstone here.
            self._record_gap()
            self._tombstones_since = as_of
            self.position = as_of
        return changes

    def apply_watch(
        self, changes: Iterable[Change], as_of: int
    ) -> list[Change]:
        """Applies the result of a watch that started at `position`.

        Args:
          changes: Entries and removals, in the store's order.
          as_of: Revision from which the next watch starts.

        Returns:
          The changes that were new.
        """
        new = self._apply_changes(changes, self.position)
        self.position = max(self.position, as_of)
        return new

    def apply_update(self, update: RegistryUpdate) -> list[Change]:
        """Applies an update from a peer.

        The update must have been requested since `position` or an earlier
        revision, so that the view is then complete up to the peer's position.

        Args:
          update: The peer's update.

        Returns:
          The changes that were new.
        """
        changes = [*update.changes]
        if update.position > self.position and (
            update.whole or self._has_unknown_removal(changes)
        ):
            self._record_gap()
        if update.whole:
            listed_keys = {change.key for change in changes}
            changes += [
                Removal(key=key, revision=update.position)
                for key, entry in self.entries_by_key.items()
                if key not in listed_keys and entry.revision <= update.position
            ]
        new = self._apply_changes(changes, self.position)
        if update.position > self.position:
            self.position = update.position
            if update.whole:
                self._tombstones_since = update.position
        return new

    def _record_gap(self) -> None:
        if self.position:
            self.gaps += 1

    def _has_unknown_removal(self, changes: Iterable[Change]) -> bool:
        """Returns whether an entry was removed that was never known here."""
        return any(
            isinstance(change, Removal)
            and change.revision > self.position
            and change.key not in self.entries_by_key
            for change in changes
        )

    def confirm(self, as_of: float) -> None:
        """Records that the store had nothing newer than this view.

        Args:
          as_of: Time in seconds at which that was true.
        """
        self.confirmed_at = max(self.confirmed_at, as_of)

    def update_since(self, revision: int) -> RegistryUpdate:
        """Returns the update for a peer whose view ends at a revision.

        Args:
          revision: Revision up to which the peer's view is complete.
        """
        if revision < self._tombstones_since:
            entries = tuple(self.entries_by_key.values())
            return RegistryUpdate(
                changes=entries, position=self.position, whole=True
            )
        entries = [
            entry
            for entry in self.entries_by_key.values()
            if entry.revision > revision
        ]
        removals = [
            Removal(key=key, revision=removed_at)
            for key, removed_at in self._tombstones_by_key.items()
            if removed_at > revision
        ]
        return RegistryUpdate(
            changes=(*entries, *removals), position=self.position
        )

    def _apply_changes(
        self, changes: Iterable[Change], absent_as_of: int
    ) -> list[Change]:
        return [
            change
            for change in changes
            if self._apply_change(change, absent_as_of)
        ]

    def _apply_change(self, change: Change, absent_as_of: int) -> bool:
        if not change.key.startswith(self.prefix):
            return False
        # A key removed before this process first read the store has no
        # tombstone. A peer that still has the key would restore it for good,
        # since no watch reports that removal again, and requests would go to
        # an engine that has left. So unknown keys count as absent as of the
        # revision `absent_as_of`.
        if change.revision <= self._known_revision(change.key, absent_as_of):
            return False
        self.newest = max(self.newest, change.revision)
        self.unreadable_keys.discard(change.key)
        match change:
            case Entry():
                self.entries_by_key[change.key] = change
                self._tombstones_by_key.pop(change.key, None)
                return True
            case Removal():
                known = self.entries_by_key.pop(change.key, None)
                self._add_tombstone(change)
                return known is not None

    def _known_revision(self, key: str, absent_as_of: int = 0) -> int:
        entry = self.entries_by_key.get(key)
        if entry is not None:
            return entry.revision
        return self._tombstones_by_key.get(key, absent_as_of)

    def _add_tombstone(self, removal: Removal) -> None:
        self._tombstones_by_key[removal.key] = removal.revision
        self._tombstones_by_key.move_to_end(removal.key)
        while len(self._tombstones_by_key) > _TOMBSTONES_MAX:
            _, revision = self._tombstones_by_key.popitem(last=False)
            self._tombstones_since = max(self._tombstones_since, revision)
