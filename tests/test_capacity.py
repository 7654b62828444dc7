"""Tests of the arithmetic behind docs/CAPACITY.md."""

import dataclasses
import re

import pytest

from cowsliprill.capacity import fit
from cowsliprill.capacity import fleet
from cowsliprill.capacity import report
from cowsliprill.capacity import roles
from cowsliprill.capacity import wire


class TestFit:
    """Lines by least squares."""

    def test_points_on_a_line_are_found_again(self) -> None:
        points = [(1, 5.0), (10, 23.0), (100, 203.0)]
        slope = fit.fit("name", "size", "B", points)
        assert slope.fixed == pytest.approx(3.0)
        assert slope.each == pytest.approx(2.0)
        assert slope.residual == pytest.approx(0.0, abs=1e-9)

    def test_the_residual_tells_that_points_are_no_line(self) -> None:
        slope = fit.fit("name", "size", "B", [(1, 0.0), (2, 9.0), (3, 0.0)])
        assert slope.residual > 0.5


class _AnySlopes(dict):
    """Gives a line of known height for each name that is asked for."""

    def __missing__(self, name: str) -> fit.Slope:
        points = [(0, 100.0), (1, 101.0), (2, 102.0)]
        return fit.fit(name, "size", "B", points)


class TestRoles:
    """Rates and sizes at the letter's size."""

    def test_more_nodes_mean_fewer_engines_a_home(self) -> None:
        small = fleet.LETTER
        large = dataclasses.replace(small, nodes=2 * small.nodes)

        def read_backs(size: fleet.FleetSize) -> float:
            found = roles.rows(_AnySlopes(), size)
            row = next(r for r in found if r.what == "orders read back")
            return row.bytes_per_s

        assert read_backs(large) == pytest.approx(read_backs(small) / 2)

    def test_a_row_over_a_limit_says_by_how_much(self) -> None:
        limits = dataclasses.replace(fleet.LIMITS, bytes_per_s=1.0)
        table = report.roles_table(_AnySlopes(), fleet.LETTER, limits)
        assert re.search(r"\| bytes [\d.]+x", table)


class TestWire:
    """Bytes on a real socket."""

    def test_an_exchange_has_more_bytes_than_both_bodies(self) -> None:
        body = 1_000
        assert wire.peer_exchange(body).bytes > 2 * body + 200
