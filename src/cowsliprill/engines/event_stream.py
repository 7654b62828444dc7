"""The events of an answer that is passed on unread.

Only whole events are handed on, each once and in the order of their ids: an
engine may stop in the middle of one, or send one again.
"""

import re
from collections.abc import AsyncIterator

from tornado import httputil

from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib

_EVENT_END = b"\n\n"
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventStream:
    """One engine's stream of server-sent events.

    Args:
      response: The engine's answer.
      after_id: Id of the event after which the stream goes on, empty for a
        stream from its start.
      tokens_per_event: Tokens in one event.

    Attributes:
      tokens: Tokens that were delivered so far.
      last_id: Id of the last event delivered.
      status: HTTP status of the answer.
      headers: Headers of the answer.
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
        self._rest = b""

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self._response.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """Headers of the answer."""
        return self._response.headers

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields whole events.

        Raises:
          errors.StreamBroken: The answer isn't whole.
        """
        try:
            async for chunk in self._response.chunks():
                events = self._take(chunk)
                if events:
                    yield events
        except errors.CallTimeout as error:
            raise self._broken(stream_lib.StreamFault.STALLED, error) from error
        except errors.StreamBroken:
            raise
        except errors.CallError as error:
            raise self._broken(
                stream_lib.StreamFault.TRUNCATED, error
            ) from error
        finally:
            self.close()
        if self._rest:
            raise self._broken(stream_lib.StreamFault.TRUNCATED)

    def close(self) -> None:
        """Ends the reading; an engine drops what isn't read to its end."""
        self._response.close()

    def _take(self, chunk: bytes) -> bytes:
        data = self._rest + chunk
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            self._rest = data
            return b""
        events, self._rest = data[:end], data[end:]
        self._check(events)
        return events

    def _check(self, events: bytes) -> None:
        for event_id in _ID.findall(events):
            text = event_id.decode("latin1").strip()
            if not _follows(text, self.last_id):
                raise self._broken(stream_lib.StreamFault.OUT_OF_ORDER)
            self.last_id = text
            self.tokens += self._tokens_per_event

    def _broken(
        self, reason: stream_lib.StreamFault, error: Exception | None = None
    ) -> errors.StreamBroken:
        return errors.StreamBroken(
            f"stream is {reason} after event {self.last_id!r}: {error}",
            reason=reason,
            last_token=self.tokens,
        )


def _follows(event_id: str, last_id: str) -> bool:
    if not (event_id.isdigit() and last_id.isdigit()):
        return event_id != last_id
    return int(event_id) > int(last_id)
