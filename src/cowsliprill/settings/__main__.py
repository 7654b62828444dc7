"""Command line of the settings process: `cowsliprill-settings ENV.json`."""

import asyncio
import dataclasses
import pathlib
import sys

import cappa

from cowsliprill import environment as environment_lib
from cowsliprill import errors
from cowsliprill.settings import core


@cappa.command(name="cowsliprill-settings")
@dataclasses.dataclass
class _Command:
    """Run a VM's settings process.

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
    asyncio.run(core.serve(environment))
    return errors.ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
