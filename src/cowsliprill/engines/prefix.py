"""Prompts as engines count and cache them.

Engines name a cached block by a hash of its tokens and all before it. The
router has no tokenizer, so both sides take a fixed number of characters for
a token. Blocks are salted by customer: rivals share engines, and must not learn
from the time to first token what another one has sent.
"""

from typing import Any

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 16
SALT_FIELD = "cache_salt"

_BLOCK_CHARACTERS = CHARACTERS_PER_TOKEN * BLOCK_TOKENS
# The answer to `GET /v1/cache_events` is JSON, whose numbers are only safe
# up to 53 bits in common libraries.
_HASH_MASK = 2**53 - 1


def prompt_text(body: dict[str, Any]) -> str:
    """Joins the prompt of a completion or a chat completion.

    Args:
      body: The caller's body, already checked.

    Returns:
      The prompt's text.
    """
    if "messages" not in body:
        return str(body.get("prompt", ""))
    lines = [
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in body["messages"]
    ]
    return "\n".join(lines)


def count_tokens(text: str) -> int:
    """Estimates the tokens of a prompt; at least one."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def block_hashes(text: str, salt: str) -> tuple[int, ...]:
    """Hashes the prompt's successive whole blocks, first block first.

    Args:
      text: The prompt.
      salt: Id of the customer, so that customers share no blocks.

    Returns:
      One hash a block; each depends on all before it.
    """
    hashes = []
    last = xxhash.xxh3_64_intdigest(salt.encode())
    whole = len(text) - len(text) % _BLOCK_CHARACTERS
    for start in range(0, whole, _BLOCK_CHARACTERS):
        block = text[start : start + _BLOCK_CHARACTERS].encode()
        last = xxhash.xxh3_64_intdigest(block, seed=last)
        hashes.append(last & _HASH_MASK)
    return tuple(hashes)
