"""Command line of the processes: each takes its own JSON file."""

import asyncio
import dataclasses
import pathlib
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Annotated

import cappa

from cowsliprill import environment as environment_lib
from cowsliprill import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """The command line of a process.

    Attributes:
      file: The process's own JSON file.
    """

    file: Annotated[pathlib.Path, cappa.Arg(help="This process's JSON file.")]


def run(
    name: str,
    description: str,
    serve: Callable[[environment_lib.Environment], Awaitable[None]],
) -> int:
    """Reads the command line and the file, and runs the process.

    Args:
      name: Name of the binary.
      description: One sentence for its help.
      serve: Runs the process until it is told to stop.

    Returns:
      The exit code.
    """
    command = cappa.parse(cappa.command(name=name, help=description)(Command))
    try:
        environment = environment_lib.load(command.file)
        asyncio.run(serve(environment))
    except errors.CowsliprillError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return error.exit_code
    return errors.ExitCode.OK
