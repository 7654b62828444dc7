"""Token estimates, shared parts and prefix-cache block hashes of prompts.

Engines identify a cached block by a hash of its tokens and all preceding ones.
The router has no tokenizer, so the router and the engines count a fixed number
of characters as a token. The hashes are salted by customer: competitors share
engines, and must not find out from the time to first token which prompts
another customer has sent.
"""

from typing import Any

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 16
SALT_FIELD = "cache_salt"

_BLOCK_CHARACTERS = CHARACTERS_PER_TOKEN * BLOCK_TOKENS
# `GET /v1/cache_events` returns the hashes as JSON numbers, which common
# libraries represent exactly only up to 53 bits.
_HASH_MASK = 2**53 - 1


def prompt_text(body: dict[str, Any]) -> str:
    """Returns the prompt text of a completion or a chat completion.

    Args:
      body: Validated JSON fields of the caller's request.

    Returns:
      The prompt text; chat messages are joined by line breaks.
    """
    if "messages" not in body:
        return str(body.get("prompt", ""))
    lines = [
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in body["messages"]
    ]
    return "\n".join(lines)


def shared_part_ids(body: dict[str, Any], salt: str) -> tuple[str, ...]:
    """Identifies the parts of a prompt that other requests may share.

    Args:
      body: Validated JSON fields of the caller's request.
      salt: Customer id, so that customers share no parts.

    Returns:
      One id for each message of a chat but the last, none for a completion.
    """
    messages = body.get("messages", [])[:-1]
    return tuple(
        f"{salt}\n{message.get('role', '')}: {message.get('content', '')}"
        for message in messages
    )


def count_tokens(text: str) -> int:
    """Estimates the number of tokens in a prompt, at least one."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def block_hashes(text: str, salt: str) -> tuple[int, ...]:
    """Hashes the full blocks of a prompt, in order.

    Args:
      text: The prompt text.
      salt: Customer id, so that customers share no blocks.

    Returns:
      One hash per block, which also depends on all preceding blocks.
    """
    hashes = []
    previous = xxhash.xxh3_64_intdigest(salt.encode())
    full_blocks_length = len(text) - len(text) % _BLOCK_CHARACTERS
    for start in range(0, full_blocks_length, _BLOCK_CHARACTERS):
        block = text[start : start + _BLOCK_CHARACTERS].encode()
        previous = xxhash.xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous & _HASH_MASK)
    return tuple(hashes)
