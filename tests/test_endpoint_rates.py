"""Tests of the pace of requests to limited endpoints."""

import math

import pytest
from tests import test_rate_limits

from cowsliprill.decisions import endpoint_rates
from cowsliprill.decisions import rate_limits

_SERVER = test_rate_limits.SERVER


def _limit(per_s: float, **changes) -> rate_limits.RateLimit:
    fields = {"endpoint_id": _SERVER.id, "life": _SERVER.life, **changes}
    return rate_limits.RateLimit(per_s=per_s, **fields)


def _rates(per_s: float, now: float = 0.0) -> endpoint_rates.EndpointRates:
    rates = endpoint_rates.EndpointRates()
    rates.set_limits([_limit(per_s)], now)
    return rates


def _sends(
    rates: endpoint_rates.EndpointRates, begin: float, end: float, step_s: float
) -> list[float]:
    """Sends whenever the endpoint is open; returns the times."""
    sent = []
    for tick in range(round((end - begin) / step_s)):
        now = begin + tick * step_s
        if rates.is_open(_SERVER.id, now):
            rates.take(_SERVER.id, now)
            sent.append(now)
    return sent


class TestPace:
    """One process paces the requests of all VMs."""

    @pytest.mark.parametrize("per_s", [0.3, 1.3, 7.0, 150.0])
    def test_the_rate_is_used_and_not_exceeded(self, per_s: float) -> None:
        """Guards against a limited endpoint that is overrun or starved."""
        sent = _sends(_rates(per_s), 0.0, 100.0, 0.003)
        assert len(sent) >= 0.95 * per_s * 100 - 1
        for begin in range(0, 96):
            in_window = sum(begin <= at < begin + 4 for at in sent)
            assert in_window <= per_s * 4 + 2

    def test_unused_time_gives_no_burst(self) -> None:
        rates = _rates(2.0)
        assert len(_sends(rates, 50.0, 50.4, 0.01)) == 1
        assert len(_sends(rates, 50.4, 50.5, 0.01)) == 1

    def test_the_first_request_comes_one_interval_after_the_limit(self) -> None:
        assert _sends(_rates(2.0, now=10.0), 10.0, 10.49, 0.01) == []

    def test_an_endpoint_without_a_limit_is_always_open(self) -> None:
        rates = _rates(2.0)
        assert rates.next_at("other", 1.0) == -math.inf
        rates.take("other", 1.0)
        assert rates.is_open("other", 1.0)

    def test_a_fraction_of_the_rate(self) -> None:
        rates = _rates(2.0)
        rates.fraction = 0.25
        assert len(_sends(rates, 0.0, 20.0, 0.01)) == 9
        rates.fraction = 0.0
        assert rates.next_at(_SERVER.id, 20.0) == math.inf


class TestChanges:
    """Limits change while requests are paced."""

    def test_a_higher_limit_counts_from_the_last_request(self) -> None:
        rates = _rates(0.5)
        rates.take(_SERVER.id, 2.0)
        rates.set_limits([_limit(4.0)], 2.1)
        assert rates.next_at(_SERVER.id, 2.1) == pytest.approx(2.25)

    def test_the_rate_rises_after_the_end_of_a_limit(self) -> None:
        rates = endpoint_rates.EndpointRates()
        ended = _limit(1.0, active=False, changed_at=10.0)
        rates.set_limits([ended], 10.0)
        sent = _sends(rates, 10.0, 13.0, 0.002)
        seconds = [
            sum(begin <= at < begin + 1 for at in sent)
            for begin in (10, 11, 12)
        ]
        assert seconds == sorted(seconds)
        assert seconds[0] <= 4
        assert rates.is_open(_SERVER.id, 13.0)
        assert not rates.limits_any(13.0)
