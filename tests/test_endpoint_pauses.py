"""Tests of the pauses that endpoints ask for."""

from cowsliprill.decisions import endpoint_pauses

_KEY = ("s0", "")


def _paused(pause_s: float, now: float = 0.0) -> endpoint_pauses.EndpointPauses:
    pauses = endpoint_pauses.EndpointPauses()
    assert pauses.ask(_KEY, pause_s, now)
    return pauses


class TestPause:
    """An endpoint wants no requests for a while."""

    def test_lasts_as_long_as_asked(self) -> None:
        pauses = _paused(3.0, now=10.0)
        assert pauses.until(_KEY, 12.9) == 13.0
        assert pauses.until(_KEY, 13.0) == 0.0

    def test_shorter_one_does_not_end_a_longer_one(self) -> None:
        """Guards against a pause cut short by an older request's answer."""
        pauses = _paused(3.0)
        assert not pauses.ask(_KEY, 1.0, 1.0)
        assert pauses.until(_KEY, 2.5) == 3.0

    def test_longer_one_extends_it(self) -> None:
        pauses = _paused(3.0)
        assert pauses.ask(_KEY, 3.0, 1.0)
        assert pauses.until(_KEY, 3.5) == 4.0

    def test_is_bounded(self) -> None:
        pauses = _paused(1e11)
        assert pauses.until(_KEY, 1.0) == endpoint_pauses.MAX_PAUSE_S

    def test_of_no_time_is_none(self) -> None:
        pauses = endpoint_pauses.EndpointPauses()
        assert not pauses.ask(_KEY, 0.0, 0.0)
        assert not len(pauses)

    def test_answer_to_an_older_request_does_not_end_it(self) -> None:
        """Guards against a pause cut short by a request under way."""
        pauses = _paused(3.0)
        assert not pauses.record_accepted(_KEY, sent_at=-0.5)
        assert pauses.until(_KEY, 1.0) == 3.0

    def test_is_forgotten_some_time_after_its_end(self) -> None:
        pauses = _paused(3.0)
        assert not pauses.expire(12.9)
        assert pauses.expire(13.0) == [_KEY]
        assert not len(pauses)


class TestTrial:
    """After the pause one request at a time is sent."""

    def test_keeps_others_back_until_it_is_answered(self) -> None:
        """Guards against a burst at the end of a pause."""
        pauses = _paused(3.0)
        assert pauses.record_sent(_KEY, 3.5)
        assert pauses.until(_KEY, 3.6) > 3.6
        assert pauses.record_accepted(_KEY, sent_at=3.5)
        assert pauses.until(_KEY, 3.7) == 0.0
        assert not pauses.record_sent(_KEY, 3.7)

    def test_that_is_turned_away_begins_a_new_pause(self) -> None:
        pauses = _paused(3.0)
        pauses.record_sent(_KEY, 3.5)
        assert pauses.ask(_KEY, 2.0, 3.6)
        assert pauses.until(_KEY, 3.7) == 5.6

    def test_without_an_answer_gives_way_to_another(self) -> None:
        pauses = _paused(3.0)
        pauses.record_sent(_KEY, 3.5)
        assert pauses.until(_KEY, 4.4) == 4.5
        assert pauses.until(_KEY, 4.5) == 0.0
