"""Command line of the processes: each takes its own JSON file."""

import asyncio
import importlib
import pathlib
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from cowsliprill import environment as environment_lib
from cowsliprill import errors

_Environment = TypeVar("_Environment")


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
    file = _file(sys.argv[1:], name, description)
    try:
        environment = load(file)
        asyncio.run(serve(environment))
    except errors.CowsliprillError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return error.exit_code
    return errors.ExitCode.OK


def _file(arguments: list[str], name: str, description: str) -> pathlib.Path:
    """Returns the process's own file.

    Loading the parser takes a quarter of a process's start and a tenth of its
    memory. Where a whole fleet starts again, callers wait for just that, so it
    is loaded only for a command line that needs it.
    """
    match arguments:
        case [file] if not file.startswith("-"):
            return pathlib.Path(file)
    parser = importlib.import_module("cowsliprill.arguments")
    return parser.parse(name, description).file
