"""What the scheduler needs to know of a prompt.

Blocks are hashed in a chain, so that a block's hash stands for all of the
prompt up to its end, as prefix caches of engines do it.
"""

import dataclasses

import xxhash

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 256
_BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
_MAX_BLOCKS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as the scheduler sees it.

    Attributes:
      tokens: Estimated tokens, at least 1.
      block_hashes: Hashes of its whole blocks, first block first.
    """

    tokens: int
    block_hashes: tuple[int, ...]


def estimate_tokens(text: bytes) -> int:
    """Estimates the tokens of a text.

    Args:
      text: UTF-8 text.

    Returns:
      Tokens, at least 1.
    """
    return max(-(-len(text) // BYTES_PER_TOKEN), 1)


def describe(text: bytes, user: str) -> Prompt:
    """Describes a prompt.

    The chain starts from the user's id. Two rival firms that send the same
    prompt then never share a block: a firm could else tell by its time to
    first token that a rival has asked about the same client.

    Args:
      text: The prompt, UTF-8.
      user: Id of the calling user.

    Returns:
      Its size and its blocks; at most 256 blocks are hashed.
    """
    chained = xxhash.xxh3_64_intdigest(user.encode())
    hashes = []
    whole = len(text) - len(text) % _BLOCK_BYTES
    for start in range(0, min(whole, _MAX_BLOCKS * _BLOCK_BYTES), _BLOCK_BYTES):
        block = text[start : start + _BLOCK_BYTES]
        chained = xxhash.xxh3_64_intdigest(block, seed=chained)
        hashes.append(chained)
    return Prompt(estimate_tokens(text), tuple(hashes))
