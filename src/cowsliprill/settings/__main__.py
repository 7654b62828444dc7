"""Command line of `cowsliprill-settings`."""

import sys

from cowsliprill import launcher
from cowsliprill.settings import core


def main() -> int:
    """Runs the settings process until it exits.

    Returns:
      The exit code.
    """
    return launcher.run(
        "cowsliprill-settings",
        "Run a VM's settings process, which watches the platform.",
        core.serve,
    )


if __name__ == "__main__":
    sys.exit(main())
