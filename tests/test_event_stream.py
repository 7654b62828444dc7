"""Tests of `engines.event_stream`: complete events, each once, in order."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies
from tornado import httputil

from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors
from cowsliprill.engines import event_stream


class _Response:
    """A response whose body arrives in the given chunks."""

    status = 200
    headers = httputil.HTTPHeaders()

    def __init__(
        self,
        chunks: list[bytes],
        error: errors.CallError | None = None,
        *,
        is_close_delimited: bool = False,
    ) -> None:
        self._chunks, self._error = iter(chunks), error
        self.is_close_delimited = is_close_delimited
        self.closed = False

    async def next_chunk(self) -> bytes | None:
        for chunk in self._chunks:
            return chunk
        if self._error is not None:
            raise self._error
        return None

    def expect_progress(self) -> None:
        pass

    def report_progress(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: t{number}\n\n".encode()


def _read(
    chunks: list[bytes],
    error: errors.CallError | None = None,
    after: str = "",
) -> tuple[bytes, event_stream.EventStream, errors.StreamBroken | None]:
    stream = event_stream.EventStream(_Response(chunks, error), after, 8)

    async def collect():
        received = b""
        try:
            async for events in stream:
                received += events
        except errors.StreamBroken as stream_error:
            return received, stream_error
        return received, None

    received, stream_error = asyncio.run(collect())
    return received, stream, stream_error


class TestCompleteStreams:
    """Chunk boundaries at any offset."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.lists(strategies.integers(1, 60), max_size=9))
    def test_bytes_are_unchanged_for_any_chunking(self, sizes):
        text = b"".join(_event(number) for number in range(1, 8))
        chunks = []
        remaining = text
        for size in sizes:
            chunks.append(remaining[:size])
            remaining = remaining[size:]
        received, stream, stream_error = _read([*chunks, remaining])
        assert received == text
        assert stream_error is None
        assert stream.last_id == "7"
        assert stream.tokens == 7 * 8


class TestInvalidStreams:
    """Faults of an engine during a stream."""

    def test_partial_event_is_held_back(self):
        """An engine crashes while it sends an event; another one continues.

        A partial event followed by a complete one would be parsed as a single
        wrong event.
        """
        connection_error = errors.CallError("lost")
        received, stream, stream_error = _read(
            [_event(1) + b"id: 2\nda"], connection_error
        )
        assert received == _event(1)
        assert stream_error.reason is stream_lib.StreamFault.TRUNCATED
        assert stream.last_id == "1"

    def test_end_within_an_event_is_an_error(self):
        received, _, stream_error = _read([_event(1) + b"id: 2\nda"])
        assert received == _event(1)
        assert stream_error is not None

    @pytest.mark.parametrize("second", [1, 0])
    def test_repeated_event_is_rejected(self, second):
        received, _, stream_error = _read([_event(1), _event(second)])
        assert received == _event(1)
        assert stream_error.reason is stream_lib.StreamFault.OUT_OF_ORDER

    def test_resumed_stream_must_continue_after_last_event(self):
        received, _, stream_error = _read([_event(3)], after="3")
        assert received == b""
        assert stream_error.reason is stream_lib.StreamFault.OUT_OF_ORDER
        received, _, stream_error = _read([_event(4)], after="3")
        assert received == _event(4)
        assert stream_error is None

    def test_timeout_is_reported_as_stalled(self):
        _, _, stream_error = _read([_event(1)], errors.CallTimeout("silent"))
        assert stream_error.reason is stream_lib.StreamFault.STALLED
