"""Fake entry process that only serves its incarnation on its peer port.

Run as `python -m features.support.fake_entry INCARNATION PORT`.
"""

import asyncio
import sys

from cowsliprill import peers
from cowsliprill.standins import http_server


class _IncarnationHandler(http_server.Handler):
    def initialize(self, incarnation: str) -> None:
        self._incarnation = incarnation

    def get(self) -> None:
        self.finish({"incarnation": self._incarnation})


async def _serve(incarnation: str, port: int) -> None:
    route = (
        peers.INCARNATION_PATH,
        _IncarnationHandler,
        {"incarnation": incarnation},
    )
    server = http_server.Server([route], "127.0.0.1", port)
    await http_server.run_until_signal(incarnation, server)


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1], int(sys.argv[2])))
