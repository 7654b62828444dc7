"""Tests of the calls for permits between a process and the coordinator."""

import asyncio
import dataclasses
import random
import types

from tests import fake_log
from tests import test_rate_limits
from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import errors
from cowsliprill.observability import metrics
from cowsliprill.rate_limiting import ledger as ledger_lib
from cowsliprill.rate_limiting import permit_client
from cowsliprill.rate_limiting import permit_handler
from cowsliprill.rate_limiting import permit_server
from cowsliprill.rate_limiting import wire

_SERVER = test_rate_limits.SERVER


def _call(digest: str, max_wait_s: float = 0.0) -> wire.PermitCall:
    return wire.PermitCall(
        requester="vm-1.e0.1",
        pool=_SERVER.pool,
        endpoint_ids=(_SERVER.id,),
        max_wait_s=max_wait_s,
        digest=digest,
    )


def _vm(name: str) -> model.Vm:
    return model.Vm(
        id=name,
        host="10.0.0.2",
        availability_zone="a",
        role=model.VmRole.ENTRY,
        entry_ports=(1,),
    )


def _ledger(per_s: float | None) -> ledger_lib.RateLimitLedger:
    ledger = ledger_lib.RateLimitLedger(fake_log.FakeLog(), metrics.Metrics())
    if per_s is not None:
        answer = endpoint_answers.Answer(
            endpoint=_SERVER, limit_text=str(per_s), sent_at=clock.now()
        )
        ledger.observe(answer)
    return ledger


def _network(post=None, vm_count: int = 1) -> record_exchange.Network:
    cluster_state = cluster_state_lib.ClusterState()
    vms = [_vm(f"vm-{number}") for number in range(vm_count)]
    cluster_state.update(
        model.Snapshot(revision=1, endpoints_by_id={_SERVER.id: _SERVER}),
        model.Fleet(vms_by_id={vm.id: vm for vm in vms}),
    )
    return record_exchange.Network(
        vm_id="vm-0",
        own_port=lambda: 1,
        cluster_state=cluster_state,
        client=types.SimpleNamespace(post=post),
        rng=random.Random(1),
    )


def _server(
    ledger: ledger_lib.RateLimitLedger,
    network: record_exchange.Network | None = None,
    reachable: float = 1.0,
) -> permit_server.PermitServer:
    return permit_server.PermitServer(
        network or _network(),
        ledger,
        lambda: reachable,
        fake_log.FakeLog(),
        metrics.Metrics(),
    )


class TestCoordinator:
    """A coordinator decides on the calls of all processes."""

    def test_asks_for_limits_that_it_may_lack(self) -> None:
        """Guards against a restarted coordinator that permits everything."""

        async def scenario() -> None:
            server = _server(_ledger(None))
            asked = _ledger(0.5)
            digest = asked.table.digest()
            answer = await server.handle(_call(digest))
            assert answer.needs_limits
            assert not answer.endpoint_id

        asyncio.run(scenario())

    def test_denials_end_soon_at_a_tiny_rate(self) -> None:
        """Guards against a process that never asks again after a partition."""

        async def scenario() -> None:
            ledger = _ledger(0.0)
            server = _server(ledger, reachable=1 / 195)
            answer = await server.handle(_call(ledger.table.digest()))
            assert not answer.endpoint_id
            assert answer.quiet_s <= 2.1
            assert answer.wait_s <= wire.MAX_WAIT_S

        asyncio.run(scenario())

    def test_keeps_limits_of_endpoints_that_it_does_not_list(self) -> None:
        """Guards against a coordinator whose settings are a little older."""

        async def scenario() -> None:
            ledger = _ledger(1.0)
            network = _network()
            network.cluster_state.update(model.Snapshot(), model.Fleet())
            server = _server(ledger, network)
            answer = await server.handle(_call(ledger.table.digest()))
            assert not answer.endpoint_id

        asyncio.run(scenario())


def _request() -> permit_client.Request:
    """Returns a request of a pool that this VM is the last to coordinate."""
    vms = [_vm(f"vm-{number}") for number in range(3)]
    pool = next(
        name
        for name in (f"pool-{number}" for number in range(100))
        if rendezvous.rank_vms(name, vms)[-1].id == "vm-0"
    )
    return permit_client.Request(
        pool=pool, priority=0, customer="", max_wait_s=0.5
    )


class TestClient:
    """A process asks the coordinator for permits."""

    def _client(self, post, ledger) -> permit_client.PermitClient:
        network = _network(post, vm_count=3)
        return permit_client.PermitClient(
            "vm-0.e0.1",
            network,
            ledger,
            _server(ledger, network),
            fake_log.FakeLog(),
            random.Random(1),
        )

    def test_limits_are_sent_when_the_coordinator_asks(self) -> None:
        calls = []

        async def post(vm, path, message, timeout_s) -> bytes:
            calls.append(message)
            answer = wire.PermitAnswer(needs_limits=True)
            if message.limits:
                answer = wire.PermitAnswer(endpoint_id=_SERVER.id)
            return codec.encode(answer)

        async def scenario():
            client = self._client(post, _ledger(1.0))
            return await client.acquire(_request(), [_SERVER])

        permit = asyncio.run(scenario())
        assert permit == permit_client.Permit(endpoint_id=_SERVER.id)
        assert [len(call.limits) for call in calls] == [0, 1]

    def test_a_coordinator_without_answer_refuses_nothing_for_long(
        self,
    ) -> None:
        """Guards against callers held by a coordinator that is gone."""
        calls = []

        async def post(vm, path, message, timeout_s) -> bytes:
            calls.append(vm.id)
            raise errors.CoordinatorError("no answer")

        async def scenario():
            client = self._client(post, _ledger(1.0))
            return [
                await client.acquire(_request(), [_SERVER]) for _ in range(2)
            ]

        for decision in asyncio.run(scenario()):
            assert isinstance(decision, permit_client.Refusal)
            assert decision.retry_after_s >= 0.5
        assert len(calls) <= 4
        assert len(set(calls)) >= 2

    def test_a_denial_for_one_endpoint_does_not_hold_for_others(self) -> None:
        """Guards against a limited endpoint that is starved by another."""
        other = dataclasses.replace(_SERVER, id="s1")

        async def post(vm, path, message, timeout_s) -> bytes:
            if _SERVER.id in message.endpoint_ids:
                answer = wire.PermitAnswer(wait_s=1.0, quiet_s=1.0)
            else:
                answer = wire.PermitAnswer(endpoint_id="s1")
            return codec.encode(answer)

        async def scenario():
            client = self._client(post, _ledger(1.0))
            denied = await client.acquire(_request(), [_SERVER])
            return denied, await client.acquire(_request(), [other])

        denied, granted = asyncio.run(scenario())
        assert isinstance(denied, permit_client.Refusal)
        assert granted == permit_client.Permit(endpoint_id="s1")

    def test_calls_that_can_go_elsewhere_delay_no_retries(self) -> None:
        """Guards against callers who come back long after there is room."""

        async def post(vm, path, message, timeout_s) -> bytes:
            denied = wire.PermitAnswer(wait_s=1.0, interval_s=1.0, quiet_s=0.1)
            return codec.encode(denied)

        async def scenario():
            client = self._client(post, _ledger(1.0))
            request = _request()
            elsewhere = dataclasses.replace(request, max_wait_s=0.0)
            for _ in range(20):
                await client.acquire(elsewhere, [_SERVER])
            return await client.acquire(request, [_SERVER])

        assert asyncio.run(scenario()).retry_after_s <= 2.0


class TestHandler:
    """Processes ask by HTTP."""

    def test_a_process_that_leaves_takes_no_permit(self) -> None:
        """Guards against permits for callers that have given up."""

        async def scenario() -> None:
            ledger = _ledger(2.0)
            server = _server(ledger)
            running = asyncio.create_task(server.run())
            routes = [
                (
                    peers.RATE_PERMITS_PATH,
                    permit_handler.PermitHandler,
                    {
                        "auth": peer_auth.PeerAuth(""),
                        "permit_server": server,
                    },
                )
            ]
            sockets = netutil.bind_sockets(0, "127.0.0.1")
            http_server = httpserver.HTTPServer(web.Application(routes))
            http_server.add_sockets(sockets)
            body = codec.encode(_call(ledger.table.digest(), max_wait_s=30.0))
            port = sockets[0].getsockname()[1]
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            head = (
                f"POST {peers.RATE_PERMITS_PATH} HTTP/1.1\r\n"
                f"Host: a\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            while not server.waiting(_SERVER.pool):  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            writer.close()
            while server.waiting(_SERVER.pool):  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            response = await httpclient.AsyncHTTPClient().fetch(
                f"http://127.0.0.1:{port}{peers.RATE_PERMITS_PATH}",
                method="POST",
                body=body,
            )
            answer = codec.decode(wire.PermitAnswer, response.body)
            assert answer.endpoint_id == _SERVER.id
            running.cancel()
            http_server.stop()

        asyncio.run(asyncio.wait_for(scenario(), 20))
