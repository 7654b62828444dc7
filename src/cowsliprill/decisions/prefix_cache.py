"""Tracks which prompt blocks a prefill engine probably has in its prefix cache.

Cache events arrive late and with gaps, and evictions may never be reported. The
result is a hint for routing: a hit saves prefill time, a miss costs little, and
correctness doesn't depend on it.
"""

from collections.abc import Iterable

BLOCK_TOKENS = 256

# Blocks compared per request. Longer matches change the routing little and
# would make the cost of a decision grow with the prompt.
_MAX_MATCH_BLOCKS = 32

_MAX_BLOCKS = 4096


class CachedBlocks:
    """Cached blocks of one engine, evicted in order of their last report."""

    def __init__(self) -> None:
        self._blocks: dict[int, None] = {}

    def add(self, blocks: Iterable[int]) -> None:
        """Marks blocks as cached and most recently reported.

        Args:
          blocks: Hashes of the blocks.
        """
        for block in blocks:
            self._blocks.pop(block, None)
            self._blocks[block] = None
        while len(self._blocks) > _MAX_BLOCKS:
            del self._blocks[next(iter(self._blocks))]

    def remove(self, blocks: Iterable[int]) -> None:
        """Marks blocks as evicted.

        Args:
          blocks: Hashes of the blocks; unknown ones are ignored.
        """
        for block in blocks:
            self._blocks.pop(block, None)

    def cached_tokens(self, prefix: tuple[int, ...]) -> int:
        """Returns the length of a prompt's cached prefix.

        Args:
          prefix: Hashes of the prompt's blocks, first block first.

        Returns:
          Tokens, a multiple of the block size.
        """
        count = 0
        for block in prefix[:_MAX_MATCH_BLOCKS]:
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_TOKENS
