"""Tests of coordinated endpoints, the slot lease server and its handler."""

import asyncio
import dataclasses
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from tornado import httpserver
from tornado import netutil
from tornado import web

from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import messages as decision_messages
from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous
from cowsliprill.decisions import slot_ledger
from cowsliprill.dispatch import coordinated_endpoints as coordinated_lib
from cowsliprill.dispatch import handlers
from cowsliprill.dispatch import messages
from cowsliprill.dispatch import slot_lease_server

_ENTRY_A = "vm-a.e0.one"
_ENTRY_B = "vm-b.e0.two"


def _vm(name: str) -> model.Vm:
    return model.Vm(
        id=name,
        host="127.0.0.1",
        availability_zone="gasabo",
        role=model.VmRole.ENTRY,
        entry_ports=(1,),
    )


def _endpoint(name: str, slot_count: int) -> model.Endpoint:
    return model.Endpoint(
        id=name,
        kind=model.EndpointKind.DECODE,
        host="127.0.0.1",
        port=1,
        availability_zone="gasabo",
        pool="briefs",
        slots=slot_count,
    )


def _snapshot(*endpoints: model.Endpoint) -> model.Snapshot:
    by_id = {endpoint.id: endpoint for endpoint in endpoints}
    return model.Snapshot(revision=1, endpoints_by_id=by_id)


def _fleet(*names: str) -> model.Fleet:
    return model.Fleet(version=1, vms_by_id={name: _vm(name) for name in names})


def _demand(
    endpoint_id: str, in_use: int, want: int
) -> decision_messages.SlotDemand:
    waiting = (("umurongo", want - in_use),) if want > in_use else ()
    return decision_messages.SlotDemand(
        endpoint_id=endpoint_id,
        in_use=in_use,
        want=want,
        held=in_use,
        customer_wants=waiting,
    )


def _request(
    entry: str, *demands: decision_messages.SlotDemand, wait_s: float = 0.0
) -> messages.SlotsRequest:
    return messages.SlotsRequest(entry=entry, asks=demands, wait_s=wait_s)


def _coordinated_with_two_vms(
    slot_count: int,
) -> coordinated_lib.CoordinatedEndpoints:
    coordinated = coordinated_lib.CoordinatedEndpoints(_coordinator_of("d0"))
    fleet = _fleet("vm-a", "vm-b")
    coordinated.update(_snapshot(_endpoint("d0", slot_count)), fleet, 0.0)
    return coordinated


def _coordinator_of(endpoint_id: str) -> str:
    coordinator = rendezvous.coordinator_of(
        endpoint_id, [_vm("vm-a"), _vm("vm-b")]
    )
    assert coordinator is not None
    return coordinator.id


class _Clock:
    """Clock that the test sets; no assertion depends on real time."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class TestCoordinatedEndpoints:
    """Slot ledgers of coordinated endpoints, also after a handover."""

    def test_endpoint_with_another_coordinator_has_no_ledger(self) -> None:
        coordinated = coordinated_lib.CoordinatedEndpoints("vm-a")
        coordinated.update(_snapshot(_endpoint("d0", 20)), _fleet("vm-b"), 0.0)
        assert (
            coordinated.process_demand(_ENTRY_A, _demand("d0", 0, 1), 10.0)
            is None
        )

    def test_new_coordinator_grants_no_further_slots_for_one_lease(
        self,
    ) -> None:
        """Guards against slots leased twice after a coordinator failover.

        A coordinator restarts after a crash, or takes over from a dead VM,
        while entry processes hold leases of the previous coordinator. Grants
        from the empty ledger would lease those slots again, and callers would
        wait for prefills whose decode engine then refuses the request.
        """
        coordinated = _coordinated_with_two_vms(20)
        early = coordinated.process_demand(
            _ENTRY_A, _demand("d0", 3, 9), slot_ledger.LEASE_DURATION_S / 2
        )
        later = coordinated.process_demand(
            _ENTRY_A, _demand("d0", 3, 9), slot_ledger.LEASE_DURATION_S
        )
        assert early is not None
        assert early.slots == 3
        assert later is not None
        assert later.slots > 3

    def test_new_coordinator_grants_once_every_entry_has_reported(
        self,
    ) -> None:
        """Guards against refusals and double leases when a VM is drained.

        The drained VM's engines get a new coordinator. If that withheld all
        grants for a whole lease duration, requests that may wait one second
        would be refused at each step of a rollout. Grants before the other
        entry process has reported would lease its slots twice.
        """
        coordinated = _coordinated_with_two_vms(4)
        other = dataclasses.replace(
            _demand("d0", 1, 3), held=3, customer_wants=()
        )
        first = coordinated.process_demand(_ENTRY_B, other, 0.1)
        reclaiming = coordinated.is_reclaiming("d0", 0.1)
        second = coordinated.process_demand(_ENTRY_A, _demand("d0", 0, 4), 0.2)
        assert first is not None
        assert first.slots == 3
        assert reclaiming
        assert second is not None
        assert second.slots == 1
        assert not coordinated.is_reclaiming("d0", 0.2)

    def test_early_demand_gets_no_slots_that_a_later_entry_holds(self) -> None:
        coordinated = _coordinated_with_two_vms(4)
        other = dataclasses.replace(
            _demand("d0", 1, 3), held=3, customer_wants=()
        )
        coordinated.process_demand(_ENTRY_A, _demand("d0", 0, 4), 0.1)
        holder = coordinated.process_demand(_ENTRY_B, other, 0.2)
        wanter = coordinated.process_demand(_ENTRY_A, _demand("d0", 0, 4), 0.3)
        assert holder is not None
        assert holder.slots == 3
        assert wanter is not None
        assert wanter.slots == 1

    def test_update_without_changes_keeps_the_leases(self) -> None:
        coordinated = coordinated_lib.CoordinatedEndpoints("vm-a")
        coordinated.update(_snapshot(_endpoint("d0", 2)), _fleet("vm-a"), 0.0)
        coordinated.process_demand(_ENTRY_A, _demand("d0", 2, 2), 5.0)
        coordinated.update(_snapshot(_endpoint("d0", 2)), _fleet("vm-a"), 5.0)
        grant = coordinated.process_demand(_ENTRY_B, _demand("d0", 0, 2), 5.1)
        assert grant is not None
        assert grant.slots == 0


def _lease_server() -> tuple[slot_lease_server.SlotLeaseServer, _Clock]:
    coordinated = coordinated_lib.CoordinatedEndpoints("vm-a")
    coordinated.update(_snapshot(_endpoint("d0", 1)), _fleet("vm-a"), 0.0)
    clock = _Clock()
    return slot_lease_server.SlotLeaseServer(
        coordinated, clock, lambda incarnation: None
    ), clock


async def _start_request(
    lease_server: slot_lease_server.SlotLeaseServer, entry: str
) -> asyncio.Task:
    request = _request(entry, _demand("d0", 0, 1), wait_s=9.0)
    task = asyncio.ensure_future(lease_server.handle(request))
    for _ in range(5):
        await asyncio.sleep(0)
    return task


class TestSlotLeaseServer:
    """When a long poll for slots ends."""

    def test_long_poll_ends_when_a_slot_is_released(self) -> None:
        async def scenario() -> messages.SlotsResponse:
            lease_server, _ = _lease_server()
            await lease_server.handle(_request(_ENTRY_A, _demand("d0", 1, 1)))
            pending = await _start_request(lease_server, _ENTRY_B)
            assert not pending.done()
            await lease_server.handle(_request(_ENTRY_A, _demand("d0", 0, 0)))
            return await pending

        answer = asyncio.run(scenario())
        assert [grant.slots for grant in answer.grants] == [1]

    def test_newer_request_ends_the_long_poll_of_the_same_entry(self) -> None:
        """Guards against a slot leased for a caller that has disconnected.

        An entry process requests a slot and waits, and its caller disconnects.
        If the older demand were processed again, it would lease the released
        slot without use, and another customer would wait for a whole lease.
        """

        async def scenario() -> messages.SlotsResponse:
            lease_server, _ = _lease_server()
            await lease_server.handle(_request(_ENTRY_A, _demand("d0", 1, 1)))
            pending = await _start_request(lease_server, _ENTRY_B)
            await lease_server.handle(_request(_ENTRY_B, _demand("d0", 0, 0)))
            await pending
            await lease_server.handle(_request(_ENTRY_A, _demand("d0", 0, 0)))
            third = _request("vm-c.e0.three", _demand("d0", 0, 1))
            return await lease_server.handle(third)

        answer = asyncio.run(scenario())
        assert [grant.slots for grant in answer.grants] == [1]

    def test_endpoint_with_another_coordinator_ends_the_wait(self) -> None:
        async def scenario() -> messages.SlotsResponse:
            lease_server, _ = _lease_server()
            return await lease_server.handle(
                _request(_ENTRY_A, _demand("other", 0, 1), wait_s=9.0)
            )

        assert asyncio.run(scenario()).not_home == ("other",)


async def _run_with_server(
    exchange: Callable[[str, peer_client.PeerClient], Awaitable[Any]],
) -> Any:
    lease_server, _ = _lease_server()
    auth = peer_auth.PeerAuth("")
    route = (
        peers.SLOTS_PATH,
        handlers.SlotsHandler,
        {"auth": auth, "desk": lease_server},
    )
    server = httpserver.HTTPServer(web.Application([route]))
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    client = peer_client.PeerClient()
    try:
        return await exchange(
            f"http://127.0.0.1:{port}{peers.SLOTS_PATH}", client
        )
    finally:
        client.close()
        server.stop()


class TestSlotsHandler:
    """Requests and responses on the wire."""

    def test_grant_over_http_has_the_remaining_lease_duration(self) -> None:
        async def exchange(url: str, client: peer_client.PeerClient) -> Any:
            request = dataclasses.asdict(
                _request(_ENTRY_A, _demand("d0", 0, 1))
            )
            body = json.dumps(request).encode()
            return (await client.call("POST", url, body)).json()

        answer = asyncio.run(_run_with_server(exchange))
        assert answer["grants"][0]["slots"] == 1
        assert (
            0
            < answer["grants"][0]["expires_in_s"]
            <= slot_ledger.LEASE_DURATION_S
        )

    def test_invalid_messages_get_an_error_code(self) -> None:
        bodies = [
            b"not json",
            b'{"entry": 5, "asks": []}',
            b'{"entry": "no incarnation", "asks": []}',
            b'{"entry": "a.b.c", "asks":'
            b' [{"endpoint_id": "d0", "in_use": -1, "want": 0}]}',
        ]

        async def exchange(url: str, client: peer_client.PeerClient) -> Any:
            responses = [
                await client.call("POST", url, body) for body in bodies
            ]
            return [
                (response.status, response.json()["error"]["code"])
                for response in responses
            ]

        answers = asyncio.run(_run_with_server(exchange))
        assert answers == [(400, "invalid_message")] * len(bodies)
