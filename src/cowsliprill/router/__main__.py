"""Command line of `cowsliprill-router`."""

import gc
import sys

from cowsliprill import start_cost  # noqa: F401 its time begins here


def main() -> int:
    """Runs the process.

    Returns:
      The exit code.
    """
    # Loading modules leaves no garbage, and collections would slow it down by a
    # fifth; hence the imports here.
    gc.disable()
    from cowsliprill import launcher
    from cowsliprill.router import config
    from cowsliprill.router import core

    gc.freeze()
    gc.enable()
    return launcher.run(
        "cowsliprill-router",
        "Runs a VM's entry, coordinator and settings in one process.",
        core.serve,
        load=config.load,
    )


if __name__ == "__main__":
    sys.exit(main())
