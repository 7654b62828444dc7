"""Tests of what answers say about their endpoints."""

import pytest

from cowsliprill.decisions import endpoint_answers

_DATE = "Fri, 04 Dec 2026 03:00:00 GMT"
_LATER = "Fri, 04 Dec 2026 03:00:07 GMT"


class TestParseLeaving:
    """An endpoint says that it leaves with the value 1 only."""

    @pytest.mark.parametrize("text", ["1", " 1", "1, 1", "0,1"])
    def test_leaving(self, text: str) -> None:
        assert endpoint_answers.parse_leaving(text)

    @pytest.mark.parametrize("text", [None, "", "0", "10", "true", "-1", "1.0"])
    def test_not_leaving(self, text: str | None) -> None:
        assert not endpoint_answers.parse_leaving(text)


class TestParseRetryAfter:
    """Seconds with or without a fraction, or a date."""

    @pytest.mark.parametrize(
        ("text", "seconds"),
        [("3", 3.0), (" 2.5 ", 2.5), (".5", 0.5), ("0", 0.0), ("7.", 7.0)],
    )
    def test_seconds(self, text: str, seconds: float) -> None:
        assert endpoint_answers.parse_retry_after(text, None) == seconds

    def test_date_is_compared_with_that_of_the_answer(self) -> None:
        assert endpoint_answers.parse_retry_after(_LATER, _DATE) == 7.0

    def test_date_in_the_past_is_no_pause(self) -> None:
        assert endpoint_answers.parse_retry_after(_DATE, _LATER) == 0.0

    @pytest.mark.parametrize(
        ("text", "date"),
        [
            ("", _DATE),
            ("-1", _DATE),
            ("1e9", _DATE),
            ("nan", _DATE),
            ("soon", _DATE),
            ("9" * 40, _DATE),
            (_LATER, None),
            (_LATER, "today"),
            ("Fri, 04 Dec 2026 03:00:07 -0000", _DATE),
            ("Fri, 99 Dec 2026 99:00:07 GMT", _DATE),
        ],
    )
    def test_other_texts_are_invalid(self, text: str, date: str | None) -> None:
        with pytest.raises(endpoint_answers.InvalidRetryAfterError):
            endpoint_answers.parse_retry_after(text, date)
