"""Plots all cost fits in one image."""

import pathlib
from collections.abc import Sequence

import numpy
from matplotlib import figure

from cowsliprill.capacity import linear_fit

_COLUMNS = 5
_PANEL_INCHES = (3.2, 2.4)
_DPI = 70


def save(fits: Sequence[linear_fit.LinearFit], path: pathlib.Path) -> None:
    """Draws the points and the line of each fit in a panel of its own.

    Args:
      fits: Fits to draw.
      path: Image file to write.
    """
    rows = -(-len(fits) // _COLUMNS)
    size = (_PANEL_INCHES[0] * _COLUMNS, _PANEL_INCHES[1] * rows)
    plot_figure = figure.Figure(figsize=size, layout="constrained")
    panels = plot_figure.subplots(rows, _COLUMNS, squeeze=False).flatten()
    for line, panel in zip(fits, panels, strict=False):
        sizes = numpy.array([size for size, _ in line.points])
        costs = [cost for _, cost in line.points]
        panel.plot(sizes, line.intercept + line.slope * sizes, linewidth=1)
        panel.plot(sizes, costs, "o", markersize=4)
        panel.set_title(line.name, fontsize=9)
        panel.set_xlabel(line.size_label, fontsize=7)
        panel.set_ylabel(line.cost_label, fontsize=7)
        panel.tick_params(labelsize=6)
    for panel in panels[len(fits) :]:
        panel.set_visible(False)
    plot_figure.savefig(path, dpi=_DPI)
