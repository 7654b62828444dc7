"""Command line of the measurements: `python -m cowsliprill.capacity`."""

import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa

from cowsliprill.capacity import fleet
from cowsliprill.capacity import measure
from cowsliprill.capacity import plot
from cowsliprill.capacity import report


@cappa.command(name="cowsliprill-capacity")
@dataclasses.dataclass
class _Command:
    """Measure the slopes and print the tables of docs/CAPACITY.md.

    Attributes:
      plot: Where to draw the slopes.
    """

    plot: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Image to write.")
    ] = None


def main() -> int:
    """Measures and prints.

    Returns:
      The exit code.
    """
    arguments = cappa.parse(_Command)
    slopes = measure.all_slopes()
    slopes_by_name = {slope.name: slope for slope in slopes}
    print(report.slopes_table(slopes))
    print()
    print(report.roles_table(slopes_by_name, fleet.LETTER, fleet.LIMITS))
    print()
    print(report.memory_table(slopes_by_name, fleet.LETTER))
    if arguments.plot is not None:
        plot.save(slopes, arguments.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
