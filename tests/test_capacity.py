"""Tests of the cost measurements and estimates for docs/CAPACITY.md."""

import dataclasses
import re

import pytest

from cowsliprill.capacity import control_costs
from cowsliprill.capacity import fleet
from cowsliprill.capacity import http_exchanges
from cowsliprill.capacity import linear_fit
from cowsliprill.capacity import measurements
from cowsliprill.capacity import report


class TestFit:
    """Least-squares line fits."""

    def test_exact_line_is_recovered(self) -> None:
        points = [(1, 5.0), (10, 23.0), (100, 203.0)]
        line = linear_fit.fit("name", "size", "B", points)
        assert line.intercept == pytest.approx(3.0)
        assert line.slope == pytest.approx(2.0)
        assert line.max_relative_residual == pytest.approx(0.0, abs=1e-9)

    def test_nonlinear_points_have_a_large_residual(self) -> None:
        line = linear_fit.fit(
            "name", "size", "B", [(1, 0.0), (2, 9.0), (3, 0.0)]
        )
        assert line.max_relative_residual > 0.5


class _ConstantFits(dict):
    """Maps every name to a fit with intercept 100 and slope 1."""

    def __missing__(self, name: str) -> linear_fit.LinearFit:
        points = [(0, 100.0), (1, 101.0), (2, 102.0)]
        return linear_fit.fit(name, "size", "B", points)


class TestControlCosts:
    """Control-plane cost estimates for the target fleet."""

    def test_doubling_vms_halves_order_checks_per_vm(self) -> None:
        small = fleet.TARGET_FLEET
        large = dataclasses.replace(small, entry_vms=2 * small.entry_vms)

        def order_check_bytes_per_s(size: fleet.FleetSize) -> float:
            costs = control_costs.estimate_costs(_ConstantFits(), size)
            row = next(r for r in costs if r.activity == "orders read back")
            return row.bytes_per_s

        assert order_check_bytes_per_s(large) == pytest.approx(
            order_check_bytes_per_s(small) / 2
        )

    def test_row_above_a_limit_shows_the_factor(self) -> None:
        limits = dataclasses.replace(fleet.TARGET_LIMITS, bytes_per_s=1.0)
        table = report.control_cost_table(
            _ConstantFits(), fleet.TARGET_FLEET, limits
        )
        assert re.search(r"\| bytes [\d.]+x", table)


class TestHttpExchanges:
    """Byte counts of HTTP exchanges over a local socket."""

    def test_exchange_size_includes_headers(self) -> None:
        body = 1_000
        assert http_exchanges.peer_exchange(body).bytes > 2 * body + 200


class TestMeasureCustomerChange:
    """Measurements of published and resolved settings changes."""

    def test_change_transfers_less_than_half_of_all_customers(self) -> None:
        change = measurements.measure_customer_change(300, 13)
        customers_bytes = 300 * 64
        assert 0 < change.transferred_bytes < customers_bytes / 2
        assert change.cpu_s > 0
