"""Starts a process from the JSON file named on its command line."""

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
    """Parses the command line, loads the JSON file and runs the process.

    Args:
      name: Name of the binary.
      description: One sentence for the help text.
      serve: Runs the process until a stop signal.
      load: Loads the environment from the JSON file.

    Returns:
      The exit code.
    """
    file = _configuration_path(sys.argv[1:], name, description)
    try:
        environment = load(file)
        asyncio.run(serve(environment))
    except errors.CowsliprillError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return error.exit_code
    return errors.ExitCode.OK


def _configuration_path(
    arguments: list[str], name: str, description: str
) -> pathlib.Path:
    """Returns the path of the process's JSON file.

    Importing the parser takes a quarter of a process's start-up time and a
    tenth of its memory. Callers wait for start-up when a whole fleet restarts,
    so the parser is imported only for command lines other than a single path.
    """
    match arguments:
        case [file] if not file.startswith("-"):
            return pathlib.Path(file)
    parser = importlib.import_module("cowsliprill.arguments")
    return parser.parse(name, description).file
