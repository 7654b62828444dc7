r"""Checks a token stream while it is relayed as bytes.

Pure. Each event is `id: <request id>/<token number>\ndata: <json>\n\n`. The
JSON of an event is not parsed, but for the last one: it carries
`usage.completion_tokens`, is held until `data: [DONE]` has come, and is
delivered only if its count is the number of the last token. So a client never
sees the end of an answer that isn't whole.
"""

import dataclasses
import enum
import json
from typing import Any

_EVENT_END = b"\n\n"
_END_MARKER = b"data: [DONE]"
_COMMENT = b":"
# A quote within a JSON string is escaped, so this can't be part of the text.
_USAGE_MARK = b'"completion_tokens":'
_DATA = b"data: "
_MAX_EVENT_BYTES = 1_048_576


class Reason(enum.StrEnum):
    """Why a stream is not whole."""

    CUT = "cut"
    STALLED = "stalled"
    FOREIGN = "foreign"
    OUT_OF_ORDER = "out_of_order"
    MALFORMED = "malformed"
    WRONG_COUNT = "wrong_count"

    @property
    def resumable(self) -> bool:
        """Whether the tokens after the last delivered one may be asked for.

        Not after a wrong count: the engine then contradicts itself, and what
        it would send next proves nothing.
        """
        return self is not Reason.WRONG_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Whole events of this stream, in order, each delivered once.

    Attributes:
      data: The events' bytes as they came, possibly empty.
      last_token: Number of the last token so far.
    """

    data: bytes
    last_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The stream is whole.

    Attributes:
      data: The last events' bytes, end marker included.
      last_token: Number of tokens of the answer.
    """

    data: bytes
    last_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The stream can't be trusted beyond what was delivered.

    Attributes:
      data: Whole events that came before the fault.
      last_token: Number of the last token delivered, `data` included.
      reason: What was wrong.
    """

    data: bytes
    last_token: int
    reason: Reason


Result = Events | Complete | Broken


class _FaultError(Exception):
    def __init__(self, reason: Reason) -> None:
        super().__init__(reason)
        self.reason = reason


class Checker:
    """Checks one answer, over all connections that it comes by.

    Args:
      request_id: The id that each event must carry.

    Attributes:
      last_token: Number of the last token delivered.
      complete: Whether the answer is whole.
    """

    def __init__(self, request_id: str) -> None:
        self.last_token = 0
        self.complete = False
        self._prefix = f"id: {request_id}/".encode()
        self._rest = b""
        self._final = b""
        self._resumed = False
        self._broken: Reason | None = None

    def feed(self, chunk: bytes) -> Result:
        """Takes the next bytes of the connection.

        Args:
          chunk: Bytes, cut anywhere.

        Returns:
          What may be delivered, and whether the stream has ended. After
          `Complete` or `Broken` nothing more is delivered.
        """
        if self._broken is not None:
            return Broken(b"", self.last_token, self._broken)
        if self.complete:
            return Complete(b"", self.last_token)
        delivered: list[bytes] = []
        parts = (self._rest + chunk).split(_EVENT_END)
        self._rest = parts.pop()
        try:
            for part in parts:
                self._take(part, delivered)
                if self.complete:
                    self._rest = b""
                    break
            if len(self._rest) > _MAX_EVENT_BYTES:
                raise _FaultError(Reason.MALFORMED)
        except _FaultError as fault:
            self._broken = fault.reason
        data = b"".join(delivered)
        if self._broken is not None:
            return Broken(data, self.last_token, self._broken)
        if self.complete:
            return Complete(data, self.last_token)
        return Events(data, self.last_token)

    def end(self, reason: Reason = Reason.CUT) -> Complete | Broken:
        """Takes the end of the connection.

        Args:
          reason: What to call it if the stream isn't whole.

        Returns:
          Whether the answer is whole.
        """
        if self.complete:
            return Complete(b"", self.last_token)
        if self._broken is None:
            self._broken = reason
        return Broken(b"", self.last_token, self._broken)

    def resume(self) -> None:
        """Prepares for a connection that goes on after `last_token`.

        Half an event and a held last event of the old connection are dropped,
        as the engine sends both again.
        """
        self._rest = b""
        self._final = b""
        self._broken = None
        self._resumed = True

    def _take(self, event: bytes, delivered: list[bytes]) -> None:
        if not event.startswith(self._prefix):
            self._take_other(event, delivered)
            return
        if self._final:
            raise _FaultError(Reason.OUT_OF_ORDER)
        number = self._number(event)
        if _USAGE_MARK in event:
            self._hold(event, number)
        elif number == self.last_token + 1:
            delivered.append(event + _EVENT_END)
            self.last_token = number
        elif not self._resumed or number > self.last_token:
            raise _FaultError(Reason.OUT_OF_ORDER)
        # Else a resumed stream begins before the point asked for: these
        # tokens were delivered already, and are left out here.

    def _take_other(self, event: bytes, delivered: list[bytes]) -> None:
        if event == _END_MARKER:
            self._finish(delivered)
        elif event.startswith(b"id: "):
            raise _FaultError(Reason.FOREIGN)
        elif not event.startswith(_COMMENT):
            raise _FaultError(Reason.MALFORMED)

    def _number(self, event: bytes) -> int:
        start = len(self._prefix)
        digits = event[start : event.find(b"\n", start)]
        if not digits.isdigit():
            raise _FaultError(Reason.MALFORMED)
        return int(digits)

    def _hold(self, event: bytes, number: int) -> None:
        # The last event carries the last token; an answer may have none at all.
        empty = number == self.last_token == 0
        if number != self.last_token + 1 and not empty:
            raise _FaultError(Reason.OUT_OF_ORDER)
        self._final = event

    def _finish(self, delivered: list[bytes]) -> None:
        if not self._final:
            raise _FaultError(Reason.WRONG_COUNT)
        number = self._number(self._final)
        if _completion_tokens(self._final) != number:
            raise _FaultError(Reason.WRONG_COUNT)
        delivered.append(self._final + _EVENT_END + _END_MARKER + _EVENT_END)
        self.last_token = number
        self.complete = True


def _payload(event: bytes) -> Any:
    try:
        return json.loads(event[event.index(_DATA) + len(_DATA) :])
    except ValueError as error:
        raise _FaultError(Reason.MALFORMED) from error


def _completion_tokens(event: bytes) -> Any:
    payload = _payload(event)
    usage = payload.get("usage") if isinstance(payload, dict) else None
    return usage.get("completion_tokens") if isinstance(usage, dict) else None


class Collector:
    """Joins the events of a whole stream into one answer.

    For callers who don't stream. Each event's JSON is parsed once.
    """

    def __init__(self) -> None:
        self._data: list[bytes] = []

    def add(self, data: bytes) -> None:
        """Takes checked events.

        Args:
          data: Bytes as delivered by `Checker`.
        """
        self._data.append(data)

    def answer(self) -> dict[str, Any]:
        """Joins what was added, to be called once the stream is complete.

        Returns:
          The last event's JSON, with the text of all and of the form that is
          usual without streaming.
        """
        events = b"".join(self._data).split(_EVENT_END)
        payloads = [
            _payload(event)
            for event in events
            if event and event != _END_MARKER
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
