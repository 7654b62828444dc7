"""In which part of the settings the customer of an API key stands.

Sorted arrays of the first 64 bits of each key's hash, twelve bytes a key. A
change copies the arrays and moves only its own keys, so an older snapshot
keeps its table.
"""

import array
import bisect
from collections.abc import Mapping

from cowsliprill.settings import errors

_PREFIX_DIGITS = 16

# Above so many new keys, sorting all anew is cheaper than inserting each.
_SORT_ABOVE = 1_000


def prefix_of(key_hash: str) -> int:
    """Returns the first 64 bits of an API key's hash in hex digits."""
    return int(key_hash[:_PREFIX_DIGITS], 16)


class KeyTable:
    """Part names by key; not changed once made."""

    def __init__(self) -> None:
        self._prefixes = array.array("Q")
        self._numbers = array.array("I")
        self._part_names: list[str] = []
        self._numbers_by_part: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._prefixes)

    def part_of(self, prefix: int) -> str | None:
        """Returns the part that holds a key, None if no part does."""
        place = bisect.bisect_left(self._prefixes, prefix)
        if place == len(self._prefixes) or self._prefixes[place] != prefix:
            return None
        return self._part_names[self._numbers[place]]

    def replaced(
        self,
        old: Mapping[str, array.array],
        new: Mapping[str, array.array],
    ) -> "KeyTable":
        """Makes a table with other keys in some parts.

        Args:
          old: Keys that changed parts held before, by part.
          new: Keys that they hold now, by part.

        Returns:
          The new table.

        Raises:
          SettingsError: A key stands twice. Told apart are 64 bits; that two
            different keys agree in them has a chance of about one in 10^10
            at 42,000 keys.
        """
        table = KeyTable()
        table._prefixes = self._prefixes[:]
        table._numbers = self._numbers[:]
        table._part_names = list(self._part_names)
        table._numbers_by_part = dict(self._numbers_by_part)
        # All old keys go before the first new one comes: a key may move.
        for prefixes in old.values():
            for prefix in prefixes:
                table._remove(prefix)
        if sum(map(len, new.values())) > _SORT_ABOVE:
            table._merge(new)
            return table
        for part, prefixes in new.items():
            number = table._number(part)
            for prefix in prefixes:
                table._insert(prefix, number)
        return table

    def _number(self, part: str) -> int:
        if part not in self._numbers_by_part:
            self._numbers_by_part[part] = len(self._part_names)
            self._part_names.append(part)
        return self._numbers_by_part[part]

    def _remove(self, prefix: int) -> None:
        place = bisect.bisect_left(self._prefixes, prefix)
        del self._prefixes[place]
        del self._numbers[place]

    def _insert(self, prefix: int, number: int) -> None:
        if self.part_of(prefix) is not None:
            raise _repeated(prefix)
        place = bisect.bisect_left(self._prefixes, prefix)
        self._prefixes.insert(place, prefix)
        self._numbers.insert(place, number)

    def _merge(self, new: Mapping[str, array.array]) -> None:
        pairs = list(zip(self._prefixes, self._numbers, strict=True))
        for part, prefixes in new.items():
            number = self._number(part)
            pairs.extend((prefix, number) for prefix in prefixes)
        pairs.sort()
        self._prefixes = array.array("Q", (pair[0] for pair in pairs))
        self._numbers = array.array("I", (pair[1] for pair in pairs))
        for left, right in zip(
            self._prefixes, self._prefixes[1:], strict=False
        ):
            if left == right:
                raise _repeated(left)


def _repeated(prefix: int) -> errors.SettingsError:
    # A key at two users would give one firm the other's answers, depending on
    # which of the two happened to be found first.
    return errors.SettingsError(
        f"users: the API key hash {prefix:016x}... stands twice"
    )
