"""Command line of `cowsliprill-entry`."""

import asyncio
import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa

from cowsliprill import environment as environment_lib
from cowsliprill import errors
from cowsliprill import peer_client
from cowsliprill.entry import core
from cowsliprill.observability import log as log_lib
from cowsliprill.settings import follower


@cappa.command(
    name="cowsliprill-entry",
    help="Takes callers' requests and places them on engines and services.",
)
@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """The command line.

    Attributes:
      file: The process's own JSON file.
    """

    file: Annotated[pathlib.Path, cappa.Arg(help="This process's JSON file.")]


async def _run(environment: environment_lib.Environment) -> None:
    log = log_lib.open_log(f"entry.{environment.process}")
    client = peer_client.PeerClient()
    source = follower.Follower(environment, client, log)
    await core.Entry(environment, log, source).run()


def main() -> None:
    """Runs the process; the exit code is `errors.ExitCode`."""
    command = cappa.parse(Command)
    try:
        asyncio.run(_run(environment_lib.load(command.file)))
    except errors.CowsliprillError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
