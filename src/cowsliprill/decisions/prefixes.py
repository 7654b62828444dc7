"""Which prompt blocks a prefill engine probably has cached.

Cache events come late and with gaps, and removals may never be heard of. What
is known here is a guess that saves time when right and costs little when
wrong; nothing relies on it.
"""

from collections.abc import Iterable

BLOCK_TOKENS = 256

# Blocks looked at per request. Longer matches change little and would make
# the cost of a decision depend on the prompt.
_DEPTH_MAX = 32

_BLOCKS_MAX = 4096


class CachedBlocks:
    """Blocks of one engine, the oldest news forgotten first."""

    def __init__(self) -> None:
        self._blocks: dict[int, None] = {}

    def add(self, blocks: Iterable[int]) -> None:
        """Notes blocks as cached, most recently."""
        for block in blocks:
            self._blocks.pop(block, None)
            self._blocks[block] = None
        while len(self._blocks) > _BLOCKS_MAX:
            del self._blocks[next(iter(self._blocks))]

    def remove(self, blocks: Iterable[int]) -> None:
        """Notes blocks as evicted."""
        for block in blocks:
            self._blocks.pop(block, None)

    def cached_tokens(self, prefix: tuple[int, ...]) -> int:
        """Returns how many leading tokens of a prompt are cached.

        Args:
          prefix: Hashes of the prompt's blocks.

        Returns:
          Tokens, a multiple of the block size.
        """
        count = 0
        for block in prefix[:_DEPTH_MAX]:
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_TOKENS
