"""Tests of `engines.prefix`."""

import hypothesis
from hypothesis import strategies

from cowsliprill.engines import prefix

_BLOCK = prefix.CHARACTERS_PER_TOKEN * prefix.BLOCK_TOKENS
_settings = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)


class TestBlockHashes:
    """Hashes that name cached blocks."""

    @_settings
    @hypothesis.given(
        strategies.text(max_size=4 * _BLOCK), strategies.text(max_size=90)
    )
    def test_longer_prompt_keeps_the_blocks_before(self, text, more) -> None:
        hashes = prefix.block_hashes(text, "firm")
        assert len(hashes) == len(text) // _BLOCK
        assert prefix.block_hashes(text + more, "firm")[: len(hashes)] == hashes

    def test_a_block_is_named_by_all_before_it(self) -> None:
        """Two prompts differ at the start and end alike.

        Taken for cached, the second would be answered from the first's start.
        """
        ends = "e" * _BLOCK
        first = prefix.block_hashes("a" * _BLOCK + ends, "firm")
        second = prefix.block_hashes("b" * _BLOCK + ends, "firm")
        assert not set(first) & set(second)

    def test_users_share_no_block(self) -> None:
        """Rival firms send the same prompt; neither must learn of it."""
        text = "p" * 3 * _BLOCK
        first = prefix.block_hashes(text, "umurongo/isoko")
        second = prefix.block_hashes(text, "umurongo/inkomoko")
        assert not set(first) & set(second)

    def test_hashes_survive_json_of_any_library(self) -> None:
        hashes = prefix.block_hashes("x" * 50 * _BLOCK, "firm")
        assert all(0 <= value < 2**53 for value in hashes)


class TestPrompt:
    """Text and tokens of a prompt."""

    def test_completion_and_chat(self) -> None:
        messages = [
            {"role": "system", "content": "be short"},
            {"role": "user", "content": "where is bag 7"},
        ]
        chat = prefix.prompt_text({"messages": messages})
        assert chat == "system: be short\nuser: where is bag 7"
        assert prefix.prompt_text({"prompt": "a b"}) == "a b"

    def test_tokens_are_rounded_up_and_never_none(self) -> None:
        counts = [prefix.count_tokens("x" * size) for size in (0, 1, 4, 5)]
        assert counts == [1, 1, 1, 2]
