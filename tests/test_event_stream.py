"""Tests of `engines.event_stream`: whole events, each once, in order."""

import asyncio
from collections.abc import AsyncIterator

import hypothesis
import pytest
from hypothesis import strategies
from tornado import httputil

from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors
from cowsliprill.engines import event_stream


class _Response:
    """An answer whose body comes in given parts, and then its end."""

    status = 200
    headers = httputil.HTTPHeaders()

    def __init__(
        self, parts: list[bytes], error: errors.CallError | None = None
    ) -> None:
        self._parts, self._error = parts, error
        self.closed = False

    async def chunks(self) -> AsyncIterator[bytes]:
        for part in self._parts:
            yield part
        if self._error is not None:
            raise self._error

    def close(self) -> None:
        self.closed = True


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: t{number}\n\n".encode()


def _read(
    parts: list[bytes],
    error: errors.CallError | None = None,
    after: str = "",
) -> tuple[bytes, event_stream.EventStream, errors.StreamBroken | None]:
    stream = event_stream.EventStream(_Response(parts, error), after, 8)

    async def collect():
        got = b""
        try:
            async for events in stream:
                got += events
        except errors.StreamBroken as broken:
            return got, broken
        return got, None

    got, broken = asyncio.run(collect())
    return got, stream, broken


class TestWholeStreams:
    """Parts are cut anywhere."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.lists(strategies.integers(1, 60), max_size=9))
    def test_bytes_pass_unchanged_wherever_they_are_cut(self, sizes):
        text = b"".join(_event(number) for number in range(1, 8))
        parts = []
        rest = text
        for size in sizes:
            parts.append(rest[:size])
            rest = rest[size:]
        got, stream, broken = _read([*parts, rest])
        assert got == text
        assert broken is None
        assert stream.last_id == "7"
        assert stream.tokens == 7 * 8


class TestBrokenStreams:
    """What an engine may do wrong amid a stream."""

    def test_half_an_event_is_kept_back(self):
        """The engine crashed while it wrote; the rest comes from another.

        Half an event followed by a whole one would be read as one wrong one.
        """
        cut = errors.CallError("lost")
        got, stream, broken = _read([_event(1) + b"id: 2\nda"], cut)
        assert got == _event(1)
        assert broken.reason is stream_lib.StreamFault.TRUNCATED
        assert stream.last_id == "1"

    def test_an_end_amid_an_event_isnt_the_end(self):
        got, _, broken = _read([_event(1) + b"id: 2\nda"])
        assert got == _event(1)
        assert broken is not None

    @pytest.mark.parametrize("second", [1, 0])
    def test_an_event_that_comes_again_isnt_passed_on(self, second):
        got, _, broken = _read([_event(1), _event(second)])
        assert got == _event(1)
        assert broken.reason is stream_lib.StreamFault.OUT_OF_ORDER

    def test_a_resumed_stream_must_go_on_after_its_last_event(self):
        got, _, broken = _read([_event(3)], after="3")
        assert got == b""
        assert broken.reason is stream_lib.StreamFault.OUT_OF_ORDER
        got, _, broken = _read([_event(4)], after="3")
        assert got == _event(4)
        assert broken is None

    def test_a_stall_is_told_as_one(self):
        _, _, broken = _read([_event(1)], errors.CallTimeout("silent"))
        assert broken.reason is stream_lib.StreamFault.STALLED
