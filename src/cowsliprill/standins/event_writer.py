"""Server-sent events of a fake engine's token stream."""

import json
import time
from typing import Any

import xxhash

from cowsliprill.engines import prompt_blocks
from cowsliprill.standins import engine_memory
from cowsliprill.standins import fault_injection


class EventWriter:
    """Writes the events of one response, one for each output token.

    Each token's text carries a digest of the prompt, so that a test can check
    which request a response belongs to.

    Args:
      request: The request.
      body: The request's body.
      token_count: Number of output tokens.
      faults: Faults to inject.
    """

    def __init__(
        self,
        request: engine_memory.Request,
        body: dict[str, Any],
        token_count: int,
        faults: fault_injection.Faults,
    ) -> None:
        self._request_id = request.request_id
        self._model = str(body.get("model", ""))
        self._token_count = token_count
        self._is_chat = "messages" in body
        self._object_type = (
            "chat.completion.chunk" if self._is_chat else "text_completion"
        )
        self._reported_tokens = token_count + int(faults.wrong_count)
        self._prompt_tokens = prompt_blocks.count_tokens(request.prompt)
        digest = xxhash.xxh3_64_hexdigest(request.prompt.encode())
        self._token_prefix = f" {digest[:8]}"

    def event(self, token_number: int) -> bytes:
        """Returns the event of one token, counted from 1."""
        is_last = token_number == self._token_count
        text = f"{self._token_prefix}-{token_number}"
        choice: dict[str, Any] = {"index": 0}
        if self._is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = "length" if is_last else None
        fields = {
            "id": self._request_id,
            "object": self._object_type,
            "created": int(time.time()),
            "model": self._model,
            "choices": [choice],
        }
        if is_last:
            fields["usage"] = {
                "prompt_tokens": self._prompt_tokens,
                "completion_tokens": self._reported_tokens,
                "total_tokens": self._prompt_tokens + self._reported_tokens,
            }
        data = json.dumps(fields)
        return (
            f"id: {self._request_id}/{token_number}\ndata: {data}\n\n".encode()
        )
