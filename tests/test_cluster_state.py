"""Tests of the cluster state of the entry process."""

import asyncio

import pytest

from cowsliprill.decisions import model
from cowsliprill.entry import cluster_state as cluster_state_lib

_LONG_S = 30.0


def _snapshot(*names: str) -> model.Snapshot:
    return model.Snapshot(
        revision=1,
        endpoints_by_id={
            name: model.Endpoint(
                id=name,
                kind=model.EndpointKind.DECODE,
                host="10.0.0.1",
                port=80,
                availability_zone="a",
                pool="writers",
                slots=1,
            )
            for name in names
        },
    )


class TestNewEndpoints:
    """The coordinator of a pool knows a new engine before this process does."""

    def test_unknown_endpoint_is_waited_for(self):
        """Guards against failed attempts during a rolling release of engines.

        The coordinator places requests on a new engine at once. If attempts
        failed because this VM hasn't received the update yet, they would be
        retried until their time is used up.
        """

        async def scenario():
            cluster_state = cluster_state_lib.ClusterState(_snapshot("a"))
            waiting = asyncio.create_task(
                cluster_state.wait_until_listed("b", _LONG_S)
            )
            await asyncio.sleep(0)
            assert not waiting.done()
            cluster_state.update(_snapshot("a", "c"), model.Fleet())
            await asyncio.sleep(0)
            assert not waiting.done()
            cluster_state.update(_snapshot("a", "b"), model.Fleet())
            await waiting

        asyncio.run(asyncio.wait_for(scenario(), _LONG_S / 2))

    @pytest.mark.parametrize("name", ["a", "", "gone"])
    def test_known_or_removed_endpoint_is_not_waited_for(self, name):
        async def scenario():
            cluster_state = cluster_state_lib.ClusterState(
                _snapshot("a", "gone")
            )
            cluster_state.update(_snapshot("a"), model.Fleet())
            await cluster_state.wait_until_listed(name, _LONG_S)

        asyncio.run(asyncio.wait_for(scenario(), _LONG_S / 2))

    def test_wait_times_out(self):
        cluster_state = cluster_state_lib.ClusterState(_snapshot("a"))
        asyncio.run(cluster_state.wait_until_listed("b", 0.01))
        assert "b" not in cluster_state.snapshot.endpoints_by_id
