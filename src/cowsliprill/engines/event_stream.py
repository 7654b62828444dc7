"""Relay of server-sent events without parsing their data.

Only complete events are passed on, each once and in the order of their ids,
because an engine may stop in the middle of an event or send one twice.
"""

import re

from tornado import httputil

from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib

_EVENT_END = b"\n\n"
_MAX_EVENT_BYTES = 1_048_576
_MALFORMED_FAULTS = frozenset(
    {stream_lib.StreamFault.MALFORMED, stream_lib.StreamFault.OUT_OF_ORDER}
)
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventStream:
    """A stream of server-sent events from one engine.

    Args:
      response: Response of the engine.
      after_id: Id of the event after which the stream continues, empty for a
        stream from its start.
      tokens_per_event: Number of tokens per event.

    Attributes:
      tokens: Number of tokens delivered so far.
      last_id: Id of the last event delivered.
      status: HTTP status of the response.
      headers: HTTP headers of the response.
    """

    def __init__(
        self,
        response: exchange_lib.Response,
        after_id: str,
        tokens_per_event: int,
    ) -> None:
        self.tokens = 0
        self.last_id = after_id
        self._response = response
        self._tokens_per_event = tokens_per_event
        self._pending = b""
        response.expect_progress()

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._response.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """HTTP headers of the response."""
        return self._response.headers

    def __aiter__(self) -> "EventStream":
        """Iterates over the rest of the stream."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next complete events, several if received together.

        Raises:
          errors.EngineSilent: The engine has sent nothing for a while. The
            iteration may go on.
          errors.StreamBroken: The stream ended early or is out of order.
          StopAsyncIteration: The stream is complete.
        """
        try:
            return await self._next_events()
        except errors.EngineSilent:
            raise
        except BaseException:
            self.close()
            raise

    async def _next_events(self) -> bytes:
        while (chunk := await self._next_chunk()) is not None:
            events = self._extract_complete_events(chunk)
            if events:
                return events
        if self._pending or self._ended_before_first_event():
            raise self._stream_error(stream_lib.StreamFault.TRUNCATED)
        raise StopAsyncIteration

    async def _next_chunk(self) -> bytes | None:
        try:
            return await self._response.next_chunk()
        except errors.EngineSilent:
            raise
        except errors.CallTimeout as error:
            raise self._stream_error(
                stream_lib.StreamFault.STALLED, error
            ) from error
        except errors.CallError as error:
            raise self._stream_error(
                stream_lib.StreamFault.TRUNCATED, error
            ) from error

    def watch_silence(self) -> None:
        """Has silence reported again; to be called after `EngineSilent`."""
        self._response.watch_silence()

    def close(self) -> None:
        """Stops reading; an engine drops a stream that isn't read fully."""
        self._response.close()

    def _ended_before_first_event(self) -> bool:
        # An engine that ends closes its connections as one that has sent all.
        return self._response.is_close_delimited and not self.tokens

    def _extract_complete_events(self, chunk: bytes) -> bytes:
        data = self._pending + chunk
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            if len(data) > _MAX_EVENT_BYTES:
                raise self._stream_error(stream_lib.StreamFault.MALFORMED)
            self._pending = data
            return b""
        events, self._pending = data[:end], data[end:]
        self._check_order(events)
        return events

    def _check_order(self, events: bytes) -> None:
        for event_id in _ID.findall(events):
            text = event_id.decode("latin1").strip()
            if not _follows(text, self.last_id):
                raise self._stream_error(stream_lib.StreamFault.OUT_OF_ORDER)
            self.last_id = text
            self.tokens += self._tokens_per_event
            self._response.report_progress()

    def _is_lost_at_clean_close(
        self, reason: stream_lib.StreamFault, error: Exception | None
    ) -> bool:
        return (
            reason is stream_lib.StreamFault.TRUNCATED
            and error is None
            and self._response.is_close_delimited
        )

    def _stream_error(
        self, reason: stream_lib.StreamFault, error: Exception | None = None
    ) -> errors.StreamBroken:
        return errors.StreamBroken(
            f"stream is {reason} after event {self.last_id!r}: {error}",
            reason=reason,
            last_token=self.tokens,
            connection_lost=isinstance(error, errors.ConnectionLost)
            or self._is_lost_at_clean_close(reason, error),
            malformed=reason in _MALFORMED_FAULTS
            or isinstance(error, errors.MalformedResponse),
            unread=isinstance(error, errors.ResponseUnread),
        )


def _follows(event_id: str, last_id: str) -> bool:
    if not _is_number(last_id):
        return event_id != last_id
    # An id that can't be compared would hide a repeat of the events before it.
    return _is_number(event_id) and _order(event_id) > _order(last_id)


def _is_number(event_id: str) -> bool:
    # `str.isdigit` also accepts digits that have no decimal value, such as "²".
    return event_id.isascii() and event_id.isdigit()


def _order(number: str) -> tuple[int, str]:
    # `int` refuses to convert very long numbers.
    digits = number.lstrip("0")
    return len(digits), digits
