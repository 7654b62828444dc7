"""The processes' command line, where it isn't simply the file."""

import dataclasses
import pathlib
from typing import Annotated

import cappa


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """The command line of a process.

    Attributes:
      file: The process's own JSON file.
    """

    file: Annotated[pathlib.Path, cappa.Arg(help="This process's JSON file.")]


def parse(name: str, description: str) -> Command:
    """Reads the command line; ends the process if it is wrong or asks for help.

    Args:
      name: Name of the binary.
      description: One sentence for its help.

    Returns:
      What it says.
    """
    return cappa.parse(cappa.command(name=name, help=description)(Command))
