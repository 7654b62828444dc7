"""Command line of the processes: each takes its own JSON file."""

import asyncio
import dataclasses
import pathlib
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Annotated
from typing import TypeVar

import cappa

from cowsliprill import environment as environment_lib
from cowsliprill import errors

_Environment = TypeVar("_Environment")


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
    serve: Callable[[_Environment], Awaitable[None]],
    load: Callable[[pathlib.Path], _Environment] = environment_lib.load,
) -> int:
    """Reads the command line and the file, and runs the process.

    Args:
      name: Name of the binary.
      description: One sentence for its help.
      serve: Runs the process until it is told to stop.
      load: Reads the file.

    Returns:
      The exit code.
    """
    command = cappa.parse(cappa.command(name=name, help=description)(Command))
    try:
        environment = load(command.file)
        asyncio.run(serve(environment))
    except errors.CowsliprillError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return error.exit_code
    return errors.ExitCode.OK
