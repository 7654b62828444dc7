"""Texts of the parts that this process holds, compressed, by hash."""

from collections.abc import Iterable

from cowsliprill.settings import packed
from cowsliprill.settings import parts

# Parts fetched for a revision that isn't complete yet. They are kept, so that
# a fetch which fails midway goes on where it stopped, but not without end.
_MAX_PENDING_BYTES = 32_000_000


class PartStore:
    """Holds the parts of the version in force and of one being fetched.

    Attributes:
      index_hash: Hash of the index in force, empty if none.
      hashes_by_part: The index in force.
    """

    def __init__(self) -> None:
        self.index_hash = ""
        self.hashes_by_part: dict[str, str] = {}
        self._packed_by_hash: dict[str, packed.PackedText] = {}
        self._pending_bytes = 0

    def add(self, text: str) -> None:
        """Keeps the text of a part or an index."""
        text_hash = parts.hash_of(text)
        if text_hash in self._packed_by_hash:
            return
        kept = packed.PackedText(text)
        if self._pending_bytes + len(kept) > _MAX_PENDING_BYTES:
            self.drop_pending()
        self._packed_by_hash[text_hash] = kept
        self._pending_bytes += len(kept)

    def text(self, text_hash: str) -> str | None:
        """Returns the text of a hash, or None if it isn't held."""
        kept = self._packed_by_hash.get(text_hash)
        return None if kept is None else str(kept)

    def held(self, text_hash: str) -> packed.PackedText:
        """Returns what is kept of a hash that is known to be held."""
        return self._packed_by_hash[text_hash]

    def missing(self, hashes: Iterable[str]) -> list[str]:
        """Returns those of the hashes whose text isn't held."""
        return sorted(set(hashes) - self._packed_by_hash.keys())

    def put_in_force(
        self, index_hash: str, hashes_by_part: dict[str, str]
    ) -> None:
        """Makes an index the one in force and drops what it doesn't name.

        Args:
          index_hash: Hash of the index.
          hashes_by_part: The index; all its parts are held.
        """
        self.index_hash = index_hash
        self.hashes_by_part = hashes_by_part
        self.add(parts.index_text(hashes_by_part))
        self.drop_pending()

    def drop_pending(self) -> None:
        """Drops the parts that the index in force doesn't name."""
        wanted = {self.index_hash, *self.hashes_by_part.values()}
        for text_hash in self._packed_by_hash.keys() - wanted:
            del self._packed_by_hash[text_hash]
        self._pending_bytes = 0
