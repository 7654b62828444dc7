"""Tests of the priority of requests whose customer has one of its own.

Load pattern: one customer sends urgent requests among many routine ones.
"""

import pytest

from cowsliprill.decisions.overload import priorities
from cowsliprill.platform import headers


class TestCombine:
    """Service priorities order the requests of equal customers."""

    def test_urgent_services_of_one_customer_come_first(self):
        """Guards against urgent requests that rank as routine ones do."""
        assert priorities.combine(0, -1) > priorities.combine(-2, -1)

    def test_the_customers_priority_takes_precedence(self):
        """Guards against a service that outranks a more urgent customer."""
        assert priorities.combine(-100, 0) > priorities.combine(100, -1)

    def test_services_alone_rank_without_customer_priorities(self):
        """Guards against a changed order where customers have no priority."""
        ranked = [priorities.combine(item, None) for item in (-5, -2, 0, 7)]
        assert ranked == sorted(ranked)


class TestPriorityHeader:
    """Engines get 0 for the most urgent, 9 at most."""

    @pytest.mark.parametrize(
        ("service", "customer", "value"),
        [(0, -1, "3"), (-2, -1, "5"), (0, None, "0"), (-2, None, "8")],
    )
    def test_levels(self, service, customer, value):
        """Guards against requests that engines can't tell apart."""
        combined = priorities.combine(service, customer)
        assert headers.priority_value(combined) == value

    def test_the_least_urgent_level_is_bounded(self):
        """Guards against header values that engines don't accept."""
        combined = priorities.combine(-100, -100)
        assert headers.priority_value(combined) == "9"
