"""One image of all slopes."""

import pathlib
from collections.abc import Sequence

import numpy
from matplotlib import figure

from cowsliprill.capacity import fit

_COLUMNS = 5
_PANEL_INCHES = (3.2, 2.4)
_DPI = 70


def save(slopes: Sequence[fit.Slope], path: pathlib.Path) -> None:
    """Draws each slope's points and line in a panel of its own.

    Args:
      slopes: The slopes.
      path: Image file to write.
    """
    rows = -(-len(slopes) // _COLUMNS)
    size = (_PANEL_INCHES[0] * _COLUMNS, _PANEL_INCHES[1] * rows)
    sheet = figure.Figure(figsize=size, layout="constrained")
    panels = sheet.subplots(rows, _COLUMNS, squeeze=False).flatten()
    for slope, panel in zip(slopes, panels, strict=False):
        sizes = numpy.array([size for size, _ in slope.points])
        costs = [cost for _, cost in slope.points]
        panel.plot(sizes, slope.fixed + slope.each * sizes, linewidth=1)
        panel.plot(sizes, costs, "o", markersize=4)
        panel.set_title(slope.name, fontsize=9)
        panel.set_xlabel(slope.per, fontsize=7)
        panel.set_ylabel(slope.unit, fontsize=7)
        panel.tick_params(labelsize=6)
    for panel in panels[len(slopes) :]:
        panel.set_visible(False)
    sheet.savefig(path, dpi=_DPI)
