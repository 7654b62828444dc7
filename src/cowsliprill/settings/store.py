"""Content-addressed store of settings parts, compressed in memory."""

from collections.abc import Iterable

from cowsliprill.settings import compressed_text
from cowsliprill.settings import parts

# Limit for parts of versions that aren't active yet. Keeping them lets a fetch
# that fails midway resume; the limit bounds the memory.
_MAX_PENDING_BYTES = 32_000_000


class PartStore:
    """Stores the parts of the active version and of versions being fetched.

    Attributes:
      index_hash: Hash of the active index, empty if none.
      hashes_by_part: The active index: hash by part name.
    """

    def __init__(self) -> None:
        self.index_hash = ""
        self.hashes_by_part: dict[str, str] = {}
        self._packed_by_hash: dict[str, compressed_text.CompressedText] = {}
        self._pending_bytes = 0

    def add(self, text: str) -> None:
        """Stores the text of a part or an index under its hash."""
        text_hash = parts.content_hash(text)
        if text_hash in self._packed_by_hash:
            return
        compressed = compressed_text.CompressedText(text)
        if self._pending_bytes + len(compressed) > _MAX_PENDING_BYTES:
            self.drop_unreferenced()
        self._packed_by_hash[text_hash] = compressed
        self._pending_bytes += len(compressed)

    def text(self, text_hash: str) -> str | None:
        """Returns the text with a hash, or None if the store lacks it."""
        compressed = self._packed_by_hash.get(text_hash)
        return None if compressed is None else str(compressed)

    def packed_text(self, text_hash: str) -> compressed_text.CompressedText:
        """Returns the compressed text with a hash; KeyError if missing."""
        return self._packed_by_hash[text_hash]

    def missing(self, hashes: Iterable[str]) -> list[str]:
        """Returns the hashes whose text isn't stored, sorted."""
        return sorted(set(hashes) - self._packed_by_hash.keys())

    def activate(self, index_hash: str, hashes_by_part: dict[str, str]) -> None:
        """Makes an index the active one and drops unreferenced texts.

        Args:
          index_hash: Hash of the index.
          hashes_by_part: The index; all its parts must be in the store.
        """
        self.index_hash = index_hash
        self.hashes_by_part = hashes_by_part
        self.add(parts.encode_index(hashes_by_part))
        self.drop_unreferenced()

    def drop_unreferenced(self) -> None:
        """Drops the texts that the active index doesn't reference."""
        referenced = {self.index_hash, *self.hashes_by_part.values()}
        for text_hash in self._packed_by_hash.keys() - referenced:
            del self._packed_by_hash[text_hash]
        self._pending_bytes = 0
