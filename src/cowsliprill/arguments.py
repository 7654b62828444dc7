"""Command-line parser for all forms other than a single file name."""

import dataclasses
import pathlib
from typing import Annotated

import cappa


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Command-line arguments of a process.

    Attributes:
      file: JSON file with the environment of the process.
    """

    file: Annotated[pathlib.Path, cappa.Arg(help="This process's JSON file.")]


def parse(name: str, description: str) -> Command:
    """Parses the command line; exits on invalid arguments and after `--help`.

    Args:
      name: Name of the binary.
      description: One sentence for the help text.

    Returns:
      The parsed arguments.
    """
    return cappa.parse(cappa.command(name=name, help=description)(Command))
