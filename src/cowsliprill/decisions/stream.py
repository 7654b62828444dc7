r"""Validates a stream of server-sent events while relaying its bytes.

Each event is `id: <request id>/<token number>\ndata: <json>\n\n`. Only the JSON
of the final event is parsed: it carries `usage.completion_tokens`, is held back
until `data: [DONE]` arrives, and is delivered only if its count equals the
number of the last token. A client therefore never sees the end of an incomplete
output.
"""

import dataclasses
import enum
import json
from typing import Any

_EVENT_SEPARATOR = b"\n\n"
_DONE_EVENT = b"data: [DONE]"
_COMMENT_PREFIX = b":"
# Generated text can't contain this: quotes in a JSON string are escaped.
_USAGE_KEY = b'"completion_tokens":'
_DATA_PREFIX = b"data: "
_MAX_EVENT_BYTES = 1_048_576


class StreamFault(enum.StrEnum):
    """Why a stream is incomplete or invalid."""

    TRUNCATED = "cut"
    STALLED = "stalled"
    FOREIGN = "foreign"
    OUT_OF_ORDER = "out_of_order"
    MALFORMED = "malformed"
    WRONG_COUNT = "wrong_count"

    @property
    def resumable(self) -> bool:
        """Whether the stream may be resumed after the last delivered token.

        After a wrong token count it may not: the engine contradicts itself, so
        its further events can't be validated either.
        """
        return self is not StreamFault.WRONG_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Valid events of a stream that continues.

    Attributes:
      data: Bytes of complete events, in order and without repeats; may be
        empty.
      last_token: Number of the last token so far.
    """

    data: bytes
    last_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The stream is complete.

    Attributes:
      data: Bytes of the last events, `[DONE]` included.
      last_token: Number of tokens in the output.
    """

    data: bytes
    last_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The stream was truncated or is invalid from here on.

    Attributes:
      data: Bytes of the valid events before the fault.
      last_token: Number of the last token delivered, `data` included.
      reason: The fault.
    """

    data: bytes
    last_token: int
    reason: StreamFault


Result = Events | Complete | Broken


class _InvalidEventError(Exception):
    def __init__(self, reason: StreamFault) -> None:
        super().__init__(reason)
        self.reason = reason


class StreamValidator:
    """Validates the stream of one request, across reconnections.

    Args:
      request_id: Request id that each event must carry.

    Attributes:
      last_token: Number of the last token delivered.
      complete: Whether the stream is complete.
    """

    def __init__(self, request_id: str) -> None:
        self.last_token = 0
        self.complete = False
        self._id_prefix = f"id: {request_id}/".encode()
        self._buffer = b""
        self._final_event = b""
        self._resumed = False
        self._fault: StreamFault | None = None

    def feed(self, chunk: bytes) -> Result:
        """Processes the next bytes received on the connection.

        Args:
          chunk: Bytes, split at arbitrary positions.

        Returns:
          The bytes to deliver and whether the stream continues. After
          `Complete` or `Broken` there is nothing more to deliver.
        """
        if self._fault is not None:
            return Broken(b"", self.last_token, self._fault)
        if self.complete:
            return Complete(b"", self.last_token)
        delivered: list[bytes] = []
        events = (self._buffer + chunk).split(_EVENT_SEPARATOR)
        self._buffer = events.pop()
        try:
            for event in events:
                self._process_event(event, delivered)
                if self.complete:
                    self._buffer = b""
                    break
            if len(self._buffer) > _MAX_EVENT_BYTES:
                raise _InvalidEventError(StreamFault.MALFORMED)
        except _InvalidEventError as error:
            self._fault = error.reason
        data = b"".join(delivered)
        if self._fault is not None:
            return Broken(data, self.last_token, self._fault)
        if self.complete:
            return Complete(data, self.last_token)
        return Events(data, self.last_token)

    def end(
        self, reason: StreamFault = StreamFault.TRUNCATED
    ) -> Complete | Broken:
        """Processes the end of the connection.

        Args:
          reason: Fault to report if the stream is incomplete.

        Returns:
          Whether the stream is complete, without further data.
        """
        if self.complete:
            return Complete(b"", self.last_token)
        if self._fault is None:
            self._fault = reason
        return Broken(b"", self.last_token, self._fault)

    def resume(self) -> None:
        """Prepares for a new connection that continues after `last_token`.

        A partial event and a held final event of the old connection are
        discarded, because the engine sends both again.
        """
        self._buffer = b""
        self._final_event = b""
        self._fault = None
        self._resumed = True

    def _process_event(self, event: bytes, delivered: list[bytes]) -> None:
        if not event.startswith(self._id_prefix):
            self._process_other_event(event, delivered)
            return
        if self._final_event:
            raise _InvalidEventError(StreamFault.OUT_OF_ORDER)
        number = self._token_number(event)
        if _USAGE_KEY in event:
            self._hold_final_event(event, number)
        elif number == self.last_token + 1:
            delivered.append(event + _EVENT_SEPARATOR)
            self.last_token = number
        elif not self._resumed or number > self.last_token:
            raise _InvalidEventError(StreamFault.OUT_OF_ORDER)
        # Otherwise a resumed stream starts before the requested token; the
        # tokens that were delivered already are skipped.

    def _process_other_event(
        self, event: bytes, delivered: list[bytes]
    ) -> None:
        if event == _DONE_EVENT:
            self._release_final_event(delivered)
        elif event.startswith(b"id: "):
            raise _InvalidEventError(StreamFault.FOREIGN)
        elif not event.startswith(_COMMENT_PREFIX):
            raise _InvalidEventError(StreamFault.MALFORMED)

    def _token_number(self, event: bytes) -> int:
        start = len(self._id_prefix)
        digits = event[start : event.find(b"\n", start)]
        if not digits.isdigit():
            raise _InvalidEventError(StreamFault.MALFORMED)
        return int(digits)

    def _hold_final_event(self, event: bytes, number: int) -> None:
        # The final event carries the last token. An output may have no tokens;
        # its only event is then numbered 0.
        empty = number == self.last_token == 0
        if number != self.last_token + 1 and not empty:
            raise _InvalidEventError(StreamFault.OUT_OF_ORDER)
        self._final_event = event

    def _release_final_event(self, delivered: list[bytes]) -> None:
        if not self._final_event:
            raise _InvalidEventError(StreamFault.WRONG_COUNT)
        number = self._token_number(self._final_event)
        if _completion_tokens(self._final_event) != number:
            raise _InvalidEventError(StreamFault.WRONG_COUNT)
        delivered.append(
            self._final_event
            + _EVENT_SEPARATOR
            + _DONE_EVENT
            + _EVENT_SEPARATOR
        )
        self.last_token = number
        self.complete = True


def _parse_payload(event: bytes) -> Any:
    try:
        return json.loads(
            event[event.index(_DATA_PREFIX) + len(_DATA_PREFIX) :]
        )
    except ValueError as error:
        raise _InvalidEventError(StreamFault.MALFORMED) from error


def _completion_tokens(event: bytes) -> Any:
    payload = _parse_payload(event)
    usage = payload.get("usage") if isinstance(payload, dict) else None
    return usage.get("completion_tokens") if isinstance(usage, dict) else None


class ResponseBuilder:
    """Joins a complete stream into the response of a non-streaming call.

    Each event's JSON is parsed once, in `answer`.
    """

    def __init__(self) -> None:
        self._chunks: list[bytes] = []

    def add(self, data: bytes) -> None:
        """Adds validated events.

        Args:
          data: Bytes as delivered by `StreamValidator`.
        """
        self._chunks.append(data)

    def answer(self) -> dict[str, Any]:
        """Joins the added events; to be called once the stream is complete.

        Returns:
          JSON of a non-streaming response: that of the last event, with the
          concatenated text of all events.
        """
        events = b"".join(self._chunks).split(_EVENT_SEPARATOR)
        payloads = [
            _parse_payload(event)
            for event in events
            if event and event != _DONE_EVENT
        ]
        answer = payloads[-1]
        choice = answer["choices"][0]
        pieces = [payload["choices"][0] for payload in payloads]
        if "delta" in choice:
            content = "".join(
                piece["delta"].get("content") or "" for piece in pieces
            )
            del choice["delta"]
            choice["message"] = {"role": "assistant", "content": content}
            answer["object"] = "chat.completion"
        else:
            choice["text"] = "".join(piece["text"] for piece in pieces)
            answer["object"] = "text_completion"
        return answer
