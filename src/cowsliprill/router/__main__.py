"""Command line of `cowsliprill-router`."""

import sys

from cowsliprill import launcher
from cowsliprill.router import config
from cowsliprill.router import core


def main() -> int:
    """Runs the process.

    Returns:
      The exit code.
    """
    return launcher.run(
        "cowsliprill-router",
        "Runs a VM's entry, coordinator and settings in one process.",
        core.serve,
        load=config.load,
    )


if __name__ == "__main__":
    sys.exit(main())
