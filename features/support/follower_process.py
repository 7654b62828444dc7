"""Process that follows its VM's settings process as entry processes do.

Run as `python -m features.support.follower_process ENV.json`.
"""

import asyncio
import pathlib
import sys

from cowsliprill import environment as environment_lib
from cowsliprill import peer_client
from cowsliprill.observability import log as log_lib
from cowsliprill.settings import follower as follower_lib


async def _follow(environment: environment_lib.Environment) -> None:
    log = log_lib.open_log("follower")
    follower = follower_lib.Follower(environment, peer_client.PeerClient(), log)
    await follower.run()


if __name__ == "__main__":
    asyncio.run(_follow(environment_lib.load(pathlib.Path(sys.argv[1]))))
