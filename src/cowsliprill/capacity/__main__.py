"""Command line of `python -m cowsliprill.capacity`."""

import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa

from cowsliprill.capacity import fleet
from cowsliprill.capacity import measurements
from cowsliprill.capacity import plot
from cowsliprill.capacity import report


@cappa.command(name="cowsliprill-capacity")
@dataclasses.dataclass
class _Command:
    """Measure control-plane costs and print the tables of docs/CAPACITY.md.

    Attributes:
      plot: Image file for a plot of all fits; None draws no plot.
    """

    plot: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Image to write.")
    ] = None


def main() -> int:
    """Runs all measurements and prints the tables as Markdown.

    Returns:
      The exit code, always 0.
    """
    arguments = cappa.parse(_Command)
    fits = measurements.measure_all()
    fits_by_name = {line.name: line for line in fits}
    print(report.fits_table(fits))
    print()
    print(
        report.control_cost_table(
            fits_by_name, fleet.TARGET_FLEET, fleet.TARGET_LIMITS
        )
    )
    print()
    print(report.memory_table(fits_by_name, fleet.TARGET_FLEET))
    if arguments.plot is not None:
        plot.save(fits, arguments.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
