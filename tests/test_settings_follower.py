"""Tests of `settings.follower` with an unresponsive settings process."""

import asyncio
import io

from tests import virtual_time

from cowsliprill import environment
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.observability import log as log_lib
from cowsliprill.settings import follower as follower_lib

# Maximum time until a settings change is active on all VMs.
_MAX_PROPAGATION_S = 9.0

_OBSERVED_S = 60.0


class _UnresponsiveClient:
    """Client whose calls all time out.

    Attributes:
      called_at_by_path: Times of the calls to each path, in seconds.
    """

    def __init__(self) -> None:
        self.called_at_by_path: dict[str, list[float]] = {}

    async def call(self, method, url, body=None, *, timeout_s, headers=None):
        del body, headers
        path = url.removeprefix("http://settings").partition("?")[0]
        now = asyncio.get_running_loop().time()
        self.called_at_by_path.setdefault(path, []).append(now)
        await asyncio.sleep(timeout_s)
        raise peer_client.PeerError(f"{method} {url}: timed out")


def _environment() -> environment.Environment:
    return environment.Environment(
        vm="vm-1",
        availability_zone="a",
        process="e0",
        settings_url="http://settings",
    )


class TestLostPolls:
    """Long polls that get no response."""

    def test_a_lost_poll_is_retried_within_the_propagation_time(
        self, monkeypatch
    ):
        """Guards against outdated settings while a lost poll times out."""

        async def scenario():
            client = _UnresponsiveClient()
            follower = follower_lib.Follower(
                _environment(), client, log_lib.open_log("t", io.StringIO())
            )
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(_OBSERVED_S)
            task.cancel()
            await asyncio.wait([task])
            return client.called_at_by_path

        called_at_by_path = virtual_time.run(scenario(), monkeypatch)
        for path in (peers.SETTINGS_PATH, peers.FLEET_PATH):
            called_at = called_at_by_path[path]
            gaps_s = [
                later - earlier
                for earlier, later in zip(
                    called_at, called_at[1:], strict=False
                )
            ]
            assert gaps_s
            assert max(gaps_s) < _MAX_PROPAGATION_S
