"""Tests of `decisions.stream`."""

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


def _answer(tokens: int, request_id: str = _ID) -> list[bytes]:
    events = [_event(number, request_id) for number in range(1, tokens)]
    return [*events, _event(tokens, request_id, tokens), _DONE]


def _feed(checker: stream.Checker, chunks) -> tuple[bytes, stream.Result]:
    result = stream.Events(b"", 0)
    delivered = b""
    for chunk in chunks:
        result = checker.feed(chunk)
        delivered += result.data
    return delivered, result


def _pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


class _NaiveChecker:
    """Parses the whole stream anew, every event's JSON included."""

    def judge(self, data: bytes) -> tuple[bytes, str]:
        """Returns what may be delivered, and a verdict."""
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


class TestWholeStream:
    """A stream without faults."""

    @_settings
    @hypothesis.given(
        strategies.integers(1, 6), strategies.lists(strategies.integers(0))
    )
    def test_any_split_gives_the_same_bytes(self, tokens, cuts) -> None:
        data = b"".join(_answer(tokens))
        checker = stream.Checker(_ID)
        delivered, result = _feed(checker, _pieces(data, cuts))
        assert delivered == data
        assert checker.complete and result.last_token == tokens

    def test_first_token_does_not_wait_for_the_second(self) -> None:
        checker = stream.Checker(_ID)
        assert checker.feed(_event(1)) == stream.Events(_event(1), 1)

    def test_an_answer_without_tokens_is_whole(self) -> None:
        checker = stream.Checker(_ID)
        _, result = _feed(checker, [_event(0, count=0), _DONE])
        assert isinstance(result, stream.Complete)
        assert result.last_token == 0

    def test_comments_are_left_out(self) -> None:
        first, *rest = _answer(3)
        chunks = [first, b": still here\n\n", *rest]
        delivered, result = _feed(stream.Checker(_ID), chunks)
        assert delivered == b"".join(_answer(3))
        assert isinstance(result, stream.Complete)

    def test_nothing_is_delivered_after_the_end(self) -> None:
        """An engine sends a doubled or late answer behind the whole one.

        The caller would see tokens after the end of its answer.
        """
        data = b"".join(_answer(2))
        delivered, _ = _feed(
            stream.Checker(_ID), [data + _event(3), _event(4), data]
        )
        assert delivered == data


class TestCutStream:
    """The connection ends before the answer does."""

    def test_cut_at_every_byte_then_resumed(self) -> None:
        """An engine or a network drops the connection, anywhere.

        The caller would see a shortened answer with a clean end, or tokens
        twice or not at all where the two connections meet.
        """
        events = _answer(4)
        data = b"".join(events)
        for cut in range(len(data)):
            checker = stream.Checker(_ID)
            delivered, _ = _feed(checker, [data[:cut]])
            assert data.startswith(delivered)
            assert _DONE not in delivered.split(b"\n\n")
            assert isinstance(checker.end(), stream.Broken), cut
            checker.resume()
            rest, result = _feed(checker, events[checker.last_token :])
            assert delivered + rest == data, cut
            assert isinstance(result, stream.Complete)

    @pytest.mark.parametrize("early", [1, 2, 3])
    def test_resumed_stream_that_overlaps(self, early) -> None:
        """An engine resumes before the token that was asked for.

        The caller would read some tokens twice.
        """
        events = _answer(5)
        checker = stream.Checker(_ID)
        delivered, _ = _feed(checker, events[:3])
        checker.end()
        checker.resume()
        rest, result = _feed(checker, events[3 - early :])
        assert delivered + rest == b"".join(events)
        assert isinstance(result, stream.Complete)

    def test_resumed_stream_that_skips(self) -> None:
        """An engine resumes after the token that was asked for.

        The caller would miss a token without knowing.
        """
        events = _answer(5)
        checker = stream.Checker(_ID)
        _feed(checker, events[:2])
        checker.end()
        checker.resume()
        result = checker.feed(events[3])
        assert result == stream.Broken(b"", 2, stream.Reason.OUT_OF_ORDER)

    def test_stall_is_told_from_a_cut(self) -> None:
        broken = stream.Checker(_ID).end(stream.Reason.STALLED)
        assert broken.reason is stream.Reason.STALLED


class TestForeignAndFalseStream:
    """The engine sends what isn't this answer."""

    @pytest.mark.parametrize(
        ("events", "reason"),
        [
            ([_event(1), _event(2, _OTHER)], stream.Reason.FOREIGN),
            ([_event(1), _event(3)], stream.Reason.OUT_OF_ORDER),
            ([_event(1), _event(1)], stream.Reason.OUT_OF_ORDER),
            ([_event(1), _event(2, count=3), _DONE], stream.Reason.WRONG_COUNT),
            ([_event(1), _DONE], stream.Reason.WRONG_COUNT),
            ([_event(1), b"id: x\n\n"], stream.Reason.FOREIGN),
            ([_event(1), b'data: {"error": 1}\n\n'], stream.Reason.MALFORMED),
            ([_event(1), f"id: {_ID}/x\n\n".encode()], stream.Reason.MALFORMED),
            ([_event(1), b"x" * 1_100_000], stream.Reason.MALFORMED),
        ],
    )
    def test_only_what_came_before_is_delivered(self, events, reason) -> None:
        """An engine mixes up answers or miscounts its tokens.

        The caller would read another's words, or take a part for the whole.
        """
        delivered, result = _feed(stream.Checker(_ID), events)
        assert delivered == _event(1)
        assert isinstance(result, stream.Broken)
        assert result.reason is reason

    def test_a_wrong_count_may_not_be_resumed(self) -> None:
        assert not stream.Reason.WRONG_COUNT.resumable
        assert stream.Reason.CUT.resumable

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
    def test_delivers_a_prefix_of_the_true_stream(self, tokens, faults) -> None:
        """Events are swapped, lost, doubled, or another answer's.

        The caller would read a garbled answer that looks whole.
        """
        true = _answer(tokens)
        foreign = _answer(6, _OTHER)
        events = list(true)
        for kind, place in faults:
            index = place % max(len(events), 1)
            match kind:
                case "swap":
                    events[index : index + 2] = events[index : index + 2][::-1]
                case "drop":
                    del events[index : index + 1]
                case "double":
                    events[index:index] = events[index : index + 1]
                case "foreign":
                    events.insert(index, foreign[index % 6])
        checker = stream.Checker(_ID)
        delivered, _ = _feed(checker, events)
        assert b"".join(true).startswith(delivered)
        assert checker.complete == (delivered == b"".join(true))

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
    def test_agrees_with_parsing_everything(self, events, cuts) -> None:
        data = b"".join(events)
        checker = stream.Checker(_ID)
        delivered, result = _feed(checker, _pieces(data, cuts))
        expected, verdict = _NaiveChecker().judge(data)
        assert delivered == expected
        match verdict:
            case "complete":
                assert checker.complete
            case "broken":
                assert isinstance(result, stream.Broken)
            case _:
                assert isinstance(checker.end(), stream.Broken)


class TestCollector:
    """The answer for callers who don't stream."""

    def test_joins_the_text_of_a_completion(self) -> None:
        collector = stream.Collector()
        for event in _answer(3):
            collector.add(event)
        answer = collector.answer()
        assert answer["choices"][0]["text"] == "".join(_TEXTS[1:4])
        assert answer["usage"]["completion_tokens"] == 3
        assert answer["object"] == "text_completion"

    def test_joins_the_text_of_a_chat_completion(self) -> None:
        pieces = [{"delta": {"role": "assistant"}}, {"delta": {"content": "y"}}]
        collector = stream.Collector()
        for piece in pieces:
            data = json.dumps({"choices": [piece]})
            collector.add(f"id: {_ID}/1\ndata: {data}\n\n".encode())
        message = collector.answer()["choices"][0]["message"]
        assert message == {"role": "assistant", "content": "y"}
