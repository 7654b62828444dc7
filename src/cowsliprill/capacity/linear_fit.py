"""Least-squares line fits of measured costs."""

import dataclasses
from collections.abc import Sequence

import numpy


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinearFit:
    """A measured cost as a linear function of a size.

    Attributes:
      name: Short name, used as the key in mappings of fits.
      size_label: What the size counts, such as `customers`.
      cost_label: Unit of the cost, such as `B` or `µs`.
      points: Measured pairs of size and cost.
      intercept: Fitted cost at size 0.
      slope: Fitted additional cost per unit of size.
      max_relative_residual: Largest absolute residual as a fraction of the
        largest measured cost.
    """

    name: str
    size_label: str
    cost_label: str
    points: tuple[tuple[float, float], ...]
    intercept: float
    slope: float
    max_relative_residual: float

    def predict(self, size: float) -> float:
        """Returns the fitted cost at a size."""
        return self.intercept + self.slope * size


def fit(
    name: str,
    size_label: str,
    cost_label: str,
    points: Sequence[tuple[float, float]],
) -> LinearFit:
    """Fits a line to measured costs by least squares.

    Args:
      name: Short name, used as the key.
      size_label: What the size counts.
      cost_label: Unit of the cost.
      points: Pairs of size and cost, at least three so that the residual
        shows whether the cost is linear.

    Returns:
      The fitted line with its largest relative residual.
    """
    sizes = numpy.array([size for size, _ in points], dtype=float)
    costs = numpy.array([cost for _, cost in points], dtype=float)
    slope, intercept = numpy.polyfit(sizes, costs, 1)
    max_residual = numpy.abs(intercept + slope * sizes - costs).max()
    return LinearFit(
        name=name,
        size_label=size_label,
        cost_label=cost_label,
        points=tuple(points),
        intercept=float(intercept),
        slope=float(slope),
        max_relative_residual=float(max_residual / max(costs.max(), 1e-12)),
    )
