"""Text kept compressed, and shared by all who need it now and then."""

import zlib

# The fastest: the index is packed anew with every change.
_LEVEL = 1


class PackedText:
    """One text.

    Args:
      text: The text.
    """

    __slots__ = ("_packed",)

    def __init__(self, text: str) -> None:
        self._packed = zlib.compress(text.encode(), _LEVEL)

    def __len__(self) -> int:
        """Returns the bytes that it takes."""
        return len(self._packed)

    def __str__(self) -> str:
        return zlib.decompress(self._packed).decode()
