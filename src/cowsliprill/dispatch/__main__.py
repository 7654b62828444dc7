"""Command-line entry point of `cowsliprill-dispatch`."""

import sys

from cowsliprill import launcher
from cowsliprill.dispatch import process


def main() -> int:
    """Runs the dispatch process.

    Returns:
      The exit code.
    """
    return launcher.run(
        "cowsliprill-dispatch",
        "Run a VM's dispatch process, which coordinates endpoints.",
        process.serve,
    )


if __name__ == "__main__":
    sys.exit(main())
