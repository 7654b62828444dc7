"""Straight lines through measured points."""

import dataclasses
from collections.abc import Sequence

import numpy


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """A measured cost as a line of a size.

    Attributes:
      name: Short name, used as the key.
      per: What the size counts.
      unit: Unit of the cost.
      points: Measured pairs of size and cost.
      fixed: Cost at size 0, by the fit.
      each: Cost of one more, by the fit.
      residual: Largest distance of a point from the line, as a part of the
        largest measured cost.
    """

    name: str
    per: str
    unit: str
    points: tuple[tuple[float, float], ...]
    fixed: float
    each: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the cost at a size, by the fit."""
        return self.fixed + self.each * size


def fit(
    name: str, per: str, unit: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Fits a line by least squares.

    Args:
      name: Short name.
      per: What the size counts.
      unit: Unit of the cost.
      points: At least three pairs of size and cost.

    Returns:
      The line, with its residual.
    """
    sizes = numpy.array([size for size, _ in points], dtype=float)
    costs = numpy.array([cost for _, cost in points], dtype=float)
    each, fixed = numpy.polyfit(sizes, costs, 1)
    off = numpy.abs(fixed + each * sizes - costs).max()
    return Slope(
        name=name,
        per=per,
        unit=unit,
        points=tuple(points),
        fixed=float(fixed),
        each=float(each),
        residual=float(off / max(costs.max(), 1e-12)),
    )
