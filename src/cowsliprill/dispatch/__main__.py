"""Command line of the dispatch process: `cowsliprill-dispatch ENV.json`."""

import asyncio
import dataclasses
import pathlib
import sys

import cappa

from cowsliprill import environment as environment_lib
from cowsliprill import errors
from cowsliprill.dispatch import process


@cappa.command(name="cowsliprill-dispatch")
@dataclasses.dataclass
class _Command:
    """Run a VM's dispatch process.

    Attributes:
      environment: The process's own JSON file.
    """

    environment: pathlib.Path


def main() -> int:
    """Runs the process.

    Returns:
      The exit code.
    """
    arguments = cappa.parse(_Command)
    try:
        environment = environment_lib.load(arguments.environment)
    except errors.CowsliprillError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return error.exit_code
    asyncio.run(process.serve(environment))
    return errors.ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
