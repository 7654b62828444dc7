"""Tests of fair shares of demand, backlog estimates and retry-after times."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.decisions import admission
from cowsliprill.decisions import demand

_CUSTOMERS = ("a", "b", "c")


class TestFairShares:
    """Max-min fair allocation."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=100
    )
    @hypothesis.given(
        strategies.floats(0, 100),
        strategies.lists(strategies.floats(0, 100), min_size=3, max_size=3),
        strategies.lists(strategies.floats(0.5, 4), min_size=3, max_size=3),
    )
    def test_no_customer_gets_less_than_its_share_of_its_demand(
        self, total, demands, weights
    ) -> None:
        demand_by_customer = dict(zip(_CUSTOMERS, demands, strict=True))
        weight_by_customer = dict(zip(_CUSTOMERS, weights, strict=True))
        given = demand.fair_shares(
            total, demand_by_customer, weight_by_customer
        )
        assert sum(given.values()) == pytest.approx(
            min(total, sum(demands)), abs=1e-6
        )
        for customer in _CUSTOMERS:
            part = total * weight_by_customer[customer] / sum(weights)
            min_allocation = min(part, demand_by_customer[customer])
            assert (
                min_allocation - 1e-6
                <= given[customer]
                <= demand_by_customer[customer]
            )


def _item(at: float, **changes) -> demand.RequestDemand:
    fields = {"arrived_at": at, "customer": "a", "priority": 0, "cost_s": 1.0}
    return demand.RequestDemand(**(fields | changes))


class TestDemandWindow:
    """Requests that fit the slots of one process."""

    def _window(self, items: list[demand.RequestDemand]) -> demand.DemandWindow:
        window = demand.DemandWindow()
        for item in items:
            window.add(item)
        return window

    def test_all_requests_fit_below_the_capacity(self) -> None:
        items = [_item(float(number)) for number in range(10)]
        window = self._window(items)
        assert window.fits(items[-1], 2.0, {})

    def test_short_requests_go_before_long_ones(self) -> None:
        items = [
            _item(number * 0.5, cost_s=1.0 if number % 2 else 5.0)
            for number in range(20)
        ]
        window = self._window(items)
        assert window.fits(items[-1], 1.0, {})
        assert not window.fits(items[-2], 1.0, {})

    def test_window_covers_a_whole_burst(self) -> None:
        """Guards against a burst that is underestimated for its high rate.

        Hundreds of requests a second arrive, twice what can be served.
        """
        items = [
            _item(number * 0.01, cost_s=1.0 if number % 2 else 3.0)
            for number in range(400)
        ]
        window = self._window(items)
        assert window.load(4.0, 100.0) == pytest.approx(2.0, rel=0.05)
        assert not window.fits(items[-2], 40.0, {})
        assert window.fits(items[-1], 40.0, {})

    def test_priority_goes_before_size(self) -> None:
        items = [
            _item(number * 0.5, cost_s=1.0 if number % 2 else 5.0)
            for number in range(20)
        ]
        urgent = _item(10.0, cost_s=8.0, priority=1)
        window = self._window([*items, urgent])
        assert window.fits(urgent, 1.0, {})

    def test_overload_by_one_customer_does_not_affect_another(self) -> None:
        """Guards against refusals caused by another customer's overload.

        One customer sends twenty times its share. Without fair shares the long
        request of another customer with little demand would be refused.
        """
        overload = [_item(number * 0.1, cost_s=1.0) for number in range(100)]
        other = _item(10.0, customer="b", cost_s=4.0)
        window = self._window([*overload, other])
        assert window.fits(other, 1.0, {})


class TestRetryAfterSchedule:
    """Retry-after times of refused requests."""

    def test_they_are_spread_and_bounded(self) -> None:
        """Guards against clients that return together and are refused again.

        Many requests are refused at the same time.
        """
        retry_schedule = admission.RetryAfterSchedule(random.Random(1))
        times = sorted(
            retry_schedule.retry_after_s(0.0, wait_s=1.0, interval_s=0.1)
            for _ in range(200)
        )
        assert times[0] >= admission.RETRY_AFTER_MIN_S
        assert times[-1] <= admission.RETRY_AFTER_MAX_S * 1.2
        busiest = max(
            sum(at <= time < at + 0.5 for time in times) for at in range(12)
        )
        assert busiest < 40


class TestBacklog:
    """Expected wait of the last queued request."""

    def test_wait_is_that_of_the_slower_of_decode_and_prefill(self) -> None:
        backlog = admission.Backlog(
            waiting=10,
            free_slots=0,
            slots=20,
            mean_hold_s=4.0,
            prefills=1,
            prefill_s=0.1,
        )
        assert backlog.wait_s() == pytest.approx(2.0)

    def test_wait_is_infinite_without_engines(self) -> None:
        backlog = admission.Backlog(
            waiting=1,
            free_slots=0,
            slots=0,
            mean_hold_s=4.0,
            prefills=0,
            prefill_s=0.1,
        )
        assert backlog.wait_s() == float("inf")
