"""The events of an engine's stand-in."""

import json
import time
from typing import Any

import xxhash

from cowsliprill.engines import prompt_blocks
from cowsliprill.standins import engine_memory
from cowsliprill.standins import misbehaviour as misbehaviour_lib


class EventWriter:
    """Writes the events of one answer.

    Each token's text carries a digest of the prompt, so that a test can tell
    whose answer it reads.

    Args:
      request: The request.
      body: Its body.
      count: Tokens of the answer.
      conduct: What to do wrong.
    """

    def __init__(
        self,
        request: engine_memory.Request,
        body: dict[str, Any],
        count: int,
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> None:
        self._id = request.request_id
        self._model = str(body.get("model", ""))
        self._count = count
        self._chat = "messages" in body
        self._object = (
            "chat.completion.chunk" if self._chat else "text_completion"
        )
        self._counted = count + int(conduct.wrong_count)
        self._prompt_tokens = prompt_blocks.count_tokens(request.text)
        digest = xxhash.xxh3_64_hexdigest(request.text.encode())
        self._word = f" {digest[:8]}"

    def event(self, number: int) -> bytes:
        """Returns the event of one token."""
        last = number == self._count
        text = f"{self._word}-{number}"
        choice: dict[str, Any] = {"index": 0}
        if self._chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = "length" if last else None
        fields = {
            "id": self._id,
            "object": self._object,
            "created": int(time.time()),
            "model": self._model,
            "choices": [choice],
        }
        if last:
            fields["usage"] = {
                "prompt_tokens": self._prompt_tokens,
                "completion_tokens": self._counted,
                "total_tokens": self._prompt_tokens + self._counted,
            }
        data = json.dumps(fields)
        return f"id: {self._id}/{number}\ndata: {data}\n\n".encode()
