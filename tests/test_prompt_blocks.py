"""Tests of `engines.prefix`."""

import hypothesis
from hypothesis import strategies

from cowsliprill.engines import prompt_blocks

_BLOCK = prompt_blocks.CHARACTERS_PER_TOKEN * prompt_blocks.BLOCK_TOKENS
_settings = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)


class TestBlockHashes:
    """Hashes of prefix-cache blocks."""

    @_settings
    @hypothesis.given(
        strategies.text(max_size=4 * _BLOCK), strategies.text(max_size=90)
    )
    def test_longer_prompt_keeps_earlier_hashes(self, text, more) -> None:
        hashes = prompt_blocks.block_hashes(text, "firm")
        assert len(hashes) == len(text) // _BLOCK
        assert (
            prompt_blocks.block_hashes(text + more, "firm")[: len(hashes)]
            == hashes
        )

    def test_hash_depends_on_preceding_blocks(self) -> None:
        """Two prompts have different first blocks and equal last blocks.

        If both last blocks had the same hash, the second prompt would be
        decoded with the KV cache of the first one.
        """
        ends = "e" * _BLOCK
        first = prompt_blocks.block_hashes("a" * _BLOCK + ends, "firm")
        second = prompt_blocks.block_hashes("b" * _BLOCK + ends, "firm")
        assert not set(first) & set(second)

    def test_customers_share_no_block(self) -> None:
        """Equal prompts of two customers have no block hash in common."""
        text = "p" * 3 * _BLOCK
        first = prompt_blocks.block_hashes(text, "umurongo/isoko")
        second = prompt_blocks.block_hashes(text, "umurongo/inkomoko")
        assert not set(first) & set(second)

    def test_hashes_fit_53_bits(self) -> None:
        hashes = prompt_blocks.block_hashes("x" * 50 * _BLOCK, "firm")
        assert all(0 <= value < 2**53 for value in hashes)


class TestPrompt:
    """Prompt text and token estimates."""

    def test_completion_and_chat_completion(self) -> None:
        messages = [
            {"role": "system", "content": "be short"},
            {"role": "user", "content": "where is bag 7"},
        ]
        chat = prompt_blocks.prompt_text({"messages": messages})
        assert chat == "system: be short\nuser: where is bag 7"
        assert prompt_blocks.prompt_text({"prompt": "a b"}) == "a b"

    def test_token_count_is_rounded_up_and_at_least_one(self) -> None:
        counts = [
            prompt_blocks.count_tokens("x" * size) for size in (0, 1, 4, 5)
        ]
        assert counts == [1, 1, 1, 2]


class TestSharedPartIds:
    """Parts of prompts that other requests may share."""

    def test_messages_but_the_last_are_shared_parts(self) -> None:
        first = {"role": "system", "content": "You sum up."}
        second = {"role": "user", "content": "My case"}
        body = {"messages": [first, second]}
        assert len(prompt_blocks.shared_part_ids(body, "firm")) == 1
        assert prompt_blocks.shared_part_ids({"prompt": "ask"}, "firm") == ()

    def test_customers_share_no_part(self) -> None:
        messages = [{"role": "system", "content": "a"}] * 2
        body = {"messages": messages}
        assert prompt_blocks.shared_part_ids(
            body, "firm"
        ) != prompt_blocks.shared_part_ids(body, "other")
