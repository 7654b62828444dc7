"""Text that is held compressed in memory and decompressed on access."""

import zlib

# The fastest level: the index is compressed again at every change.
_COMPRESSION_LEVEL = 1


class CompressedText:
    """A zlib-compressed text; `str()` decompresses it.

    Args:
      text: The text to compress.
    """

    __slots__ = ("_compressed",)

    def __init__(self, text: str) -> None:
        self._compressed = zlib.compress(text.encode(), _COMPRESSION_LEVEL)

    def __len__(self) -> int:
        """Returns the compressed size in bytes."""
        return len(self._compressed)

    def __str__(self) -> str:
        return zlib.decompress(self._compressed).decode()
