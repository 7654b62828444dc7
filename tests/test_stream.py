"""Tests of `decisions.stream`: validation of relayed token streams."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.decisions import stream

_ID = "vm1.e0.a1.7.0"
_OTHER = "vm2.e0.b2.9.0"
_DONE = b"data: [DONE]\n\n"
_TEXTS = ("a", 'b"usage": {"completion_tokens": 9}', "\n\n", "data: [DONE]")

_settings = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)


def _event(number: int, request_id: str = _ID, count: int | None = None):
    fields = {
        "id": request_id,
        "choices": [{"text": _TEXTS[number % 4], "finish_reason": None}],
    }
    if count is not None:
        fields["usage"] = {"completion_tokens": count}
    data = json.dumps(fields)
    return f"id: {request_id}/{number}\ndata: {data}\n\n".encode()


def _output_events(tokens: int, request_id: str = _ID) -> list[bytes]:
    events = [_event(number, request_id) for number in range(1, tokens)]
    return [*events, _event(tokens, request_id, tokens), _DONE]


def _feed(
    validator: stream.StreamValidator, chunks
) -> tuple[bytes, stream.Result]:
    result = stream.Events(b"", 0)
    delivered = b""
    for chunk in chunks:
        result = validator.feed(chunk)
        delivered += result.data
    return delivered, result


def _split(data: bytes, cuts: list[int]) -> list[bytes]:
    offsets = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


class _ReferenceValidator:
    """Reference implementation that parses every event of the whole stream."""

    def validate(self, data: bytes) -> tuple[bytes, str]:
        """Returns the bytes to deliver and the verdict on the stream."""
        delivered, last, held = b"", 0, None
        for block in data.split(b"\n\n")[:-1]:
            if block.startswith(b":"):
                continue
            lines = block.split(b"\n")
            if lines == [b"data: [DONE]"]:
                if held is None or held[1] != last + 1:
                    return delivered, "broken"
                end = held[0] + b"\n\n" + _DONE
                return delivered + end, "complete"
            if held is not None or len(lines) != 2:
                return delivered, "broken"
            owner, _, number = lines[0].decode()[4:].rpartition("/")
            fields = json.loads(lines[1][6:])
            if owner != _ID or int(number) != last + 1:
                return delivered, "broken"
            if "usage" in fields:
                held = (block, fields["usage"]["completion_tokens"])
                continue
            delivered += block + b"\n\n"
            last += 1
        return delivered, "open"


class TestCompleteStream:
    """A stream without faults."""

    @_settings
    @hypothesis.given(
        strategies.integers(1, 6), strategies.lists(strategies.integers(0))
    )
    def test_delivers_the_same_bytes_for_any_chunking(
        self, tokens, cuts
    ) -> None:
        data = b"".join(_output_events(tokens))
        validator = stream.StreamValidator(_ID)
        delivered, result = _feed(validator, _split(data, cuts))
        assert delivered == data
        assert validator.complete and result.last_token == tokens

    def test_first_token_is_delivered_at_once(self) -> None:
        validator = stream.StreamValidator(_ID)
        assert validator.feed(_event(1)) == stream.Events(_event(1), 1)

    def test_output_without_tokens_is_complete(self) -> None:
        validator = stream.StreamValidator(_ID)
        _, result = _feed(validator, [_event(0, count=0), _DONE])
        assert isinstance(result, stream.Complete)
        assert result.last_token == 0

    def test_comments_are_skipped(self) -> None:
        first, *rest = _output_events(3)
        chunks = [first, b": still here\n\n", *rest]
        delivered, result = _feed(stream.StreamValidator(_ID), chunks)
        assert delivered == b"".join(_output_events(3))
        assert isinstance(result, stream.Complete)

    def test_nothing_is_delivered_after_the_end(self) -> None:
        """An engine sends repeated or late events after `[DONE]`.

        The caller would receive tokens after the end of its output.
        """
        data = b"".join(_output_events(2))
        delivered, _ = _feed(
            stream.StreamValidator(_ID), [data + _event(3), _event(4), data]
        )
        assert delivered == data


class TestTruncatedStream:
    """The connection is closed before the stream is complete."""

    def test_truncated_at_every_byte_and_resumed(self) -> None:
        """The connection is dropped after an arbitrary byte.

        The caller would receive a truncated output that looks complete, or
        repeated or missing tokens where the stream is resumed.
        """
        events = _output_events(4)
        data = b"".join(events)
        for cut in range(len(data)):
            validator = stream.StreamValidator(_ID)
            delivered, _ = _feed(validator, [data[:cut]])
            assert data.startswith(delivered)
            assert _DONE not in delivered.split(b"\n\n")
            assert isinstance(validator.end(), stream.Broken), cut
            validator.resume()
            rest, result = _feed(validator, events[validator.last_token :])
            assert delivered + rest == data, cut
            assert isinstance(result, stream.Complete)

    @pytest.mark.parametrize("overlap", [1, 2, 3])
    def test_resumed_stream_repeats_tokens(self, overlap) -> None:
        """An engine resumes before the requested token.

        The caller would receive some tokens twice.
        """
        events = _output_events(5)
        validator = stream.StreamValidator(_ID)
        delivered, _ = _feed(validator, events[:3])
        validator.end()
        validator.resume()
        rest, result = _feed(validator, events[3 - overlap :])
        assert delivered + rest == b"".join(events)
        assert isinstance(result, stream.Complete)

    def test_resumed_stream_skips_a_token(self) -> None:
        """An engine resumes after the requested token.

        The caller would miss a token without noticing.
        """
        events = _output_events(5)
        validator = stream.StreamValidator(_ID)
        _feed(validator, events[:2])
        validator.end()
        validator.resume()
        result = validator.feed(events[3])
        assert result == stream.Broken(b"", 2, stream.StreamFault.OUT_OF_ORDER)

    def test_stalled_stream_is_reported_as_such(self) -> None:
        broken = stream.StreamValidator(_ID).end(stream.StreamFault.STALLED)
        assert broken.reason is stream.StreamFault.STALLED


class TestInvalidStream:
    """The engine sends events that don't belong to this stream."""

    @pytest.mark.parametrize(
        ("events", "reason"),
        [
            ([_event(1), _event(2, _OTHER)], stream.StreamFault.FOREIGN),
            ([_event(1), _event(3)], stream.StreamFault.OUT_OF_ORDER),
            ([_event(1), _event(1)], stream.StreamFault.OUT_OF_ORDER),
            (
                [_event(1), _event(2, count=3), _DONE],
                stream.StreamFault.WRONG_COUNT,
            ),
            ([_event(1), _DONE], stream.StreamFault.WRONG_COUNT),
            ([_event(1), b"id: x\n\n"], stream.StreamFault.FOREIGN),
            (
                [_event(1), b'data: {"error": 1}\n\n'],
                stream.StreamFault.MALFORMED,
            ),
            (
                [_event(1), f"id: {_ID}/x\n\n".encode()],
                stream.StreamFault.MALFORMED,
            ),
            ([_event(1), b"x" * 1_100_000], stream.StreamFault.MALFORMED),
        ],
    )
    def test_delivers_only_events_before_the_fault(
        self, events, reason
    ) -> None:
        """An engine mixes up streams or miscounts its tokens.

        The caller would receive output of another request, or take a truncated
        output for a complete one.
        """
        delivered, result = _feed(stream.StreamValidator(_ID), events)
        assert delivered == _event(1)
        assert isinstance(result, stream.Broken)
        assert result.reason is reason

    def test_stream_with_wrong_count_is_not_resumable(self) -> None:
        assert not stream.StreamFault.WRONG_COUNT.resumable
        assert stream.StreamFault.TRUNCATED.resumable

    @_settings
    @hypothesis.given(
        strategies.integers(1, 5),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["swap", "drop", "double", "foreign"]),
                strategies.integers(0, 9),
            ),
            min_size=1,
            max_size=4,
        ),
    )
    def test_delivers_a_prefix_of_the_correct_stream(
        self, tokens, faults
    ) -> None:
        """Events are reordered, lost, repeated or from another stream.

        The caller would receive a corrupted output that looks complete.
        """
        correct = _output_events(tokens)
        foreign = _output_events(6, _OTHER)
        events = list(correct)
        for kind, position in faults:
            index = position % max(len(events), 1)
            match kind:
                case "swap":
                    events[index : index + 2] = events[index : index + 2][::-1]
                case "drop":
                    del events[index : index + 1]
                case "double":
                    events[index:index] = events[index : index + 1]
                case "foreign":
                    events.insert(index, foreign[index % 6])
        validator = stream.StreamValidator(_ID)
        delivered, _ = _feed(validator, events)
        assert b"".join(correct).startswith(delivered)
        assert validator.complete == (delivered == b"".join(correct))

    @_settings
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                [
                    *(_event(number) for number in (1, 2, 3)),
                    *(_event(number, count=number) for number in (1, 2, 3)),
                    _event(2, count=7),
                    _event(1, _OTHER),
                    _event(2, _OTHER, 2),
                    b": ping\n\n",
                    b"data: {}\n\n",
                    _DONE,
                ]
            ),
            max_size=7,
        ),
        strategies.lists(strategies.integers(0), max_size=8),
    )
    @hypothesis.example([_event(1), _event(1, count=1), _DONE], [])
    def test_agrees_with_reference_implementation(self, events, cuts) -> None:
        data = b"".join(events)
        validator = stream.StreamValidator(_ID)
        delivered, result = _feed(validator, _split(data, cuts))
        expected, verdict = _ReferenceValidator().validate(data)
        assert delivered == expected
        match verdict:
            case "complete":
                assert validator.complete
            case "broken":
                assert isinstance(result, stream.Broken)
            case _:
                assert isinstance(validator.end(), stream.Broken)


class TestResponseBuilder:
    """Responses of non-streaming calls."""

    def test_joins_text_of_a_completion(self) -> None:
        builder = stream.ResponseBuilder()
        for event in _output_events(3):
            builder.add(event)
        answer = builder.answer()
        assert answer["choices"][0]["text"] == "".join(_TEXTS[1:4])
        assert answer["usage"]["completion_tokens"] == 3
        assert answer["object"] == "text_completion"

    def test_joins_text_of_a_chat_completion(self) -> None:
        pieces = [{"delta": {"role": "assistant"}}, {"delta": {"content": "y"}}]
        builder = stream.ResponseBuilder()
        for piece in pieces:
            data = json.dumps({"choices": [piece]})
            builder.add(f"id: {_ID}/1\ndata: {data}\n\n".encode())
        message = builder.answer()["choices"][0]["message"]
        assert message == {"role": "assistant", "content": "y"}
