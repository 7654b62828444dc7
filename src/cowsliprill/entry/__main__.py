"""Command line of `cowsliprill-entry`."""

import sys

from cowsliprill import environment as environment_lib
from cowsliprill import launcher
from cowsliprill import peer_client
from cowsliprill.entry import core
from cowsliprill.observability import log as log_lib
from cowsliprill.settings import follower


async def _serve(environment: environment_lib.Environment) -> None:
    log = log_lib.open_log(f"entry.{environment.process}")
    client = peer_client.PeerClient()
    source = follower.Follower(environment, client, log)
    await core.Entry(environment, log, source).run()


def main() -> int:
    """Runs the entry process until it is stopped.

    Returns:
      The exit code.
    """
    return launcher.run(
        "cowsliprill-entry",
        "Accepts callers' requests and routes them to engines and services.",
        _serve,
    )


if __name__ == "__main__":
    sys.exit(main())
