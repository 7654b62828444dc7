"""Maps API keys to the part of the settings that holds their customer.

The table consists of sorted arrays with the first 64 bits of each key's hash,
12 bytes per key. An update copies the arrays and changes only the affected
keys, so an older snapshot keeps its own table.
"""

import array
import bisect
from collections.abc import Mapping

from cowsliprill.settings import errors

_PREFIX_HEX_DIGITS = 16

# With more new keys, sorting the whole table is cheaper than inserting each.
_MAX_SINGLE_INSERTS = 1_000


def hash_prefix(key_hash: str) -> int:
    """Returns the first 64 bits of an API key's hash, given in hex digits."""
    return int(key_hash[:_PREFIX_HEX_DIGITS], 16)


class KeyTable:
    """Immutable mapping from the prefix of an API key's hash to a part name."""

    def __init__(self) -> None:
        self._prefixes = array.array("Q")
        self._part_numbers = array.array("I")
        self._part_names: list[str] = []
        self._number_by_part: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._prefixes)

    def find_part(self, prefix: int) -> str | None:
        """Returns the part that holds a key, or None if no part does."""
        position = bisect.bisect_left(self._prefixes, prefix)
        if (
            position == len(self._prefixes)
            or self._prefixes[position] != prefix
        ):
            return None
        return self._part_names[self._part_numbers[position]]

    def with_parts_replaced(
        self,
        old: Mapping[str, array.array],
        new: Mapping[str, array.array],
    ) -> "KeyTable":
        """Returns a copy of the table with the keys of some parts replaced.

        Args:
          old: Key prefixes that the changed parts held before, by part.
          new: Key prefixes that the changed parts hold now, by part.

        Returns:
          The new table.

        Raises:
          SettingsError: Two keys have the same prefix. With 64-bit prefixes
            and 42,000 keys, the probability that two different keys collide is
            about one in 10^10.
        """
        table = KeyTable()
        table._prefixes = self._prefixes[:]
        table._part_numbers = self._part_numbers[:]
        table._part_names = list(self._part_names)
        table._number_by_part = dict(self._number_by_part)
        # All old keys are removed before any new key is inserted, since a key
        # may move between parts.
        for prefixes in old.values():
            for prefix in prefixes:
                table._remove(prefix)
        if sum(map(len, new.values())) > _MAX_SINGLE_INSERTS:
            table._merge(new)
            return table
        for part, prefixes in new.items():
            number = table._part_number(part)
            for prefix in prefixes:
                table._insert(prefix, number)
        return table

    def _part_number(self, part: str) -> int:
        if part not in self._number_by_part:
            self._number_by_part[part] = len(self._part_names)
            self._part_names.append(part)
        return self._number_by_part[part]

    def _remove(self, prefix: int) -> None:
        position = bisect.bisect_left(self._prefixes, prefix)
        del self._prefixes[position]
        del self._part_numbers[position]

    def _insert(self, prefix: int, number: int) -> None:
        if self.find_part(prefix) is not None:
            raise _duplicate_key_error(prefix)
        position = bisect.bisect_left(self._prefixes, prefix)
        self._prefixes.insert(position, prefix)
        self._part_numbers.insert(position, number)

    def _merge(self, new: Mapping[str, array.array]) -> None:
        pairs = list(zip(self._prefixes, self._part_numbers, strict=True))
        for part, prefixes in new.items():
            number = self._part_number(part)
            pairs.extend((prefix, number) for prefix in prefixes)
        pairs.sort()
        self._prefixes = array.array("Q", (pair[0] for pair in pairs))
        self._part_numbers = array.array("I", (pair[1] for pair in pairs))
        for previous, current in zip(
            self._prefixes, self._prefixes[1:], strict=False
        ):
            if previous == current:
                raise _duplicate_key_error(previous)


def _duplicate_key_error(prefix: int) -> errors.SettingsError:
    # With the same key at two customers, one could get responses meant for the
    # other, depending on which of the two is found first.
    return errors.SettingsError(
        f"users: the API key hash {prefix:016x}... stands twice"
    )
