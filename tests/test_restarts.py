"""Tests of endpoints that restart under the same id."""

import asyncio
import dataclasses
import random

import pytest
from tests import entry_site
from tests import lone_source
from tests import raw_endpoint

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions.engine_health import health
from cowsliprill.engines import http_client
from cowsliprill.entry import cluster_state
from cowsliprill.registry import endpoints

_FORMER = model.Endpoint(
    id="d0",
    kind=model.EndpointKind.DECODE,
    host="127.0.0.1",
    port=1,
    availability_zone="a",
    pool="llm",
    slots=4,
    life="1",
)
_RESTARTED = dataclasses.replace(_FORMER, life="2")


def _snapshot(*endpoints: model.Endpoint) -> model.Snapshot:
    return model.Snapshot(endpoints_by_id={item.id: item for item in endpoints})


class TestPool:
    """A decode engine restarts while a request runs at its former process."""

    @pytest.mark.parametrize("unlisted", [False, True])
    def test_former_slots_and_faults_do_not_count(self, unlisted):
        """Guards against a restarted engine that stays full or ejected."""
        engine_health = health.EngineHealth()
        pool = pools.Pool(random.Random(1), engine_health)
        pool.set_engines([], [_FORMER])
        lease = pool.lease("d0")
        lease.acquire("u", 4)
        lease.mark_full(100.0)
        lease.cached.add([7])
        engine_health.record_failure("d0", 1.0, unreachable=True)
        if unlisted:
            pool.set_engines([], [])
        pool.set_engines([], [_RESTARTED])
        assert engine_health.usable("d0", 1.1)
        restarted = pool.lease("d0")
        assert (restarted.in_use, restarted.full_until) == (0, 0.0)
        assert not restarted.cached.cached_tokens((7,))
        lease.release("u", 4)
        assert (lease.in_use, restarted.in_use) == (0, 0)
        assert pool.lease("d0") is restarted
        assert pool.is_former(_FORMER)


class TestLeavingMarks:
    """An engine says that it drains, and restarts within the mark's time."""

    def test_of_an_entry_process(self):
        """Guards against a minute without the restarted engine."""
        state = cluster_state.ClusterState(_snapshot(_FORMER))
        state.mark_leaving("d0", 60.0)
        assert state.is_leaving("d0", 1.0)
        state.update(_snapshot(_RESTARTED), model.Fleet())
        assert not state.is_leaving("d0", 1.0)

    def test_of_the_registry_source(self):
        """Guards against the same where the list comes from the registry."""

        async def scenario():
            source = lone_source.make()
            leaving = []
            for item in (_FORMER, _RESTARTED):
                source._endpoints._listed_by_key["d0"] = _listed(item)
                source._rebuild()
                if item is _FORMER:
                    await source.report_leaving("d0", 60.0)
                leaving.append(source.fleet.leaving_endpoint_ids)
            return leaving

        assert asyncio.run(scenario()) == [{"d0"}, set()]


def _listed(endpoint):
    return endpoints.ListedEndpoint(endpoint=endpoint, leaving=False)


class TestOutliers:
    """A server of a plain service restarts after it has failed."""

    def test_is_called_again(self):
        """Guards against seconds without a server that is sound again."""

        async def scenario():
            async with entry_site.running() as site:
                snapshot = site.snapshot()
                server = next(
                    item
                    for item in snapshot.endpoints_by_id.values()
                    if item.kind is model.EndpointKind.PLAIN
                )
                detector = site.entries[0]._outlier_detector
                now = clock.now()
                detector.record_no_response(server.id, (), now)
                ejected = [detector.is_ejected(server.id, now)]
                restarted = dataclasses.replace(server, life="2")
                listed = snapshot.endpoints_by_id | {server.id: restarted}
                site.publish(
                    dataclasses.replace(snapshot, endpoints_by_id=listed)
                )
                return [*ejected, detector.is_ejected(server.id, now)]

        assert asyncio.run(scenario()) == [True, False]


class TestIdleConnections:
    """A connection that was kept to the former process."""

    def test_is_not_used_again(self):
        """Guards against a request lost on a connection of a dead process."""

        async def script(connection: raw_endpoint.Connection) -> None:
            while True:
                await connection.run()
                await connection.send(raw_endpoint.http_response(b"x"))

        async def scenario():
            async with raw_endpoint.RawEndpoint(script) as endpoint:
                client = http_client.HttpClient()
                for _ in range(2):
                    response = await client.call(
                        "127.0.0.1", endpoint.port, "GET", "/", {}
                    )
                    await response.read(10)
                    await asyncio.sleep(0.05)
                    client.close_idle("127.0.0.1", endpoint.port)
                return endpoint.connections

        assert asyncio.run(scenario()) == 2
