"""Tests of `dispatch.homes`, `dispatch.slot_desk` and their handler."""

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
from cowsliprill.dispatch import handlers
from cowsliprill.dispatch import homes as homes_lib
from cowsliprill.dispatch import messages
from cowsliprill.dispatch import slot_desk

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


def _world(*endpoints: model.Endpoint) -> model.Snapshot:
    by_id = {endpoint.id: endpoint for endpoint in endpoints}
    return model.Snapshot(revision=1, endpoints_by_id=by_id)


def _fleet(*names: str) -> model.Fleet:
    return model.Fleet(version=1, vms_by_id={name: _vm(name) for name in names})


def _ask(
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
    entry: str, *asks: decision_messages.SlotDemand, wait_s: float = 0.0
) -> messages.SlotsRequest:
    return messages.SlotsRequest(entry=entry, asks=asks, wait_s=wait_s)


def _homes_of_two_vms(slot_count: int) -> homes_lib.Homes:
    homes = homes_lib.Homes(_home_vm("d0"))
    fleet = _fleet("vm-a", "vm-b")
    homes.update(_world(_endpoint("d0", slot_count)), fleet, 0.0)
    return homes


def _home_vm(endpoint_id: str) -> str:
    home = rendezvous.coordinator_of(endpoint_id, [_vm("vm-a"), _vm("vm-b")])
    assert home is not None
    return home.id


class _Clock:
    """Time that the test sets; real waits stay short and are never timed."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class TestHomes:
    """Which endpoints have a ledger here, and what a new home grants."""

    def test_an_endpoint_that_is_homed_elsewhere_gets_no_ledger(self) -> None:
        homes = homes_lib.Homes("vm-a")
        homes.update(_world(_endpoint("d0", 20)), _fleet("vm-b"), 0.0)
        assert homes.ask(_ENTRY_A, _ask("d0", 0, 1), 10.0) is None

    def test_a_new_home_grants_no_new_work_for_one_lease_time(self) -> None:
        """A home is killed and restarted, or takes over from a dead VM.

        Entries still hold leases of its forerunner. Grants from the empty
        ledger would promise those slots twice, and callers would wait for
        prefills whose decode engine then refuses.
        """
        homes = _homes_of_two_vms(20)
        early = homes.ask(
            _ENTRY_A, _ask("d0", 3, 9), slot_ledger.LEASE_DURATION_S / 2
        )
        later = homes.ask(
            _ENTRY_A, _ask("d0", 3, 9), slot_ledger.LEASE_DURATION_S
        )
        assert early is not None
        assert early.slots == 3
        assert later is not None
        assert later.slots > 3

    def test_a_new_home_grants_once_every_entry_has_stated_what_it_holds(
        self,
    ) -> None:
        """A VM is drained and its engines get a new home.

        If that waited for a whole lease time with every grant, briefs that
        may wait a second were refused at each step of a rollout. Granting
        without the other entry's word would promise its slots twice.
        """
        homes = _homes_of_two_vms(4)
        other = dataclasses.replace(_ask("d0", 1, 3), held=3, customer_wants=())
        alone = homes.ask(_ENTRY_B, other, 0.1)
        unsettled = homes.unsettled("d0", 0.1)
        together = homes.ask(_ENTRY_A, _ask("d0", 0, 4), 0.2)
        assert alone is not None
        assert alone.slots == 3
        assert unsettled
        assert together is not None
        assert together.slots == 1
        assert not homes.unsettled("d0", 0.2)

    def test_an_early_want_takes_nothing_that_a_later_entry_holds(self) -> None:
        homes = _homes_of_two_vms(4)
        other = dataclasses.replace(_ask("d0", 1, 3), held=3, customer_wants=())
        homes.ask(_ENTRY_A, _ask("d0", 0, 4), 0.1)
        holder = homes.ask(_ENTRY_B, other, 0.2)
        wanter = homes.ask(_ENTRY_A, _ask("d0", 0, 4), 0.3)
        assert holder is not None
        assert holder.slots == 3
        assert wanter is not None
        assert wanter.slots == 1

    def test_an_update_that_changes_nothing_keeps_the_leases(self) -> None:
        homes = homes_lib.Homes("vm-a")
        homes.update(_world(_endpoint("d0", 2)), _fleet("vm-a"), 0.0)
        homes.ask(_ENTRY_A, _ask("d0", 2, 2), 5.0)
        homes.update(_world(_endpoint("d0", 2)), _fleet("vm-a"), 5.0)
        grant = homes.ask(_ENTRY_B, _ask("d0", 0, 2), 5.1)
        assert grant is not None
        assert grant.slots == 0


def _desk() -> tuple[slot_desk.SlotDesk, _Clock]:
    homes = homes_lib.Homes("vm-a")
    homes.update(_world(_endpoint("d0", 1)), _fleet("vm-a"), 0.0)
    now = _Clock()
    return slot_desk.SlotDesk(homes, now, lambda incarnation: None), now


async def _started(desk: slot_desk.SlotDesk, entry: str) -> asyncio.Task:
    request = _request(entry, _ask("d0", 0, 1), wait_s=9.0)
    task = asyncio.ensure_future(desk.answer(request))
    for _ in range(5):
        await asyncio.sleep(0)
    return task


class TestSlotDesk:
    """When an ask is answered."""

    def test_a_held_answer_goes_out_when_a_slot_is_given_back(self) -> None:
        async def scenario() -> messages.SlotsAnswer:
            desk, _ = _desk()
            await desk.answer(_request(_ENTRY_A, _ask("d0", 1, 1)))
            held = await _started(desk, _ENTRY_B)
            assert not held.done()
            await desk.answer(_request(_ENTRY_A, _ask("d0", 0, 0)))
            return await held

        answer = asyncio.run(scenario())
        assert [grant.slots for grant in answer.grants] == [1]

    def test_a_newer_ask_ends_the_wait_of_the_same_entry(self) -> None:
        """An entry asks for a slot, waits, and its caller goes away.

        If the older ask were stated again it would take the freed slot for
        nobody, and another firm's brief would wait for a whole lease.
        """

        async def scenario() -> messages.SlotsAnswer:
            desk, _ = _desk()
            await desk.answer(_request(_ENTRY_A, _ask("d0", 1, 1)))
            held = await _started(desk, _ENTRY_B)
            await desk.answer(_request(_ENTRY_B, _ask("d0", 0, 0)))
            await held
            await desk.answer(_request(_ENTRY_A, _ask("d0", 0, 0)))
            third = _request("vm-c.e0.three", _ask("d0", 0, 1))
            return await desk.answer(third)

        answer = asyncio.run(scenario())
        assert [grant.slots for grant in answer.grants] == [1]

    def test_an_endpoint_homed_elsewhere_is_named_at_once(self) -> None:
        async def scenario() -> messages.SlotsAnswer:
            desk, _ = _desk()
            return await desk.answer(
                _request(_ENTRY_A, _ask("other", 0, 1), wait_s=9.0)
            )

        assert asyncio.run(scenario()).not_home == ("other",)


async def _with_server(
    talk: Callable[[str, peer_client.PeerClient], Awaitable[Any]],
) -> Any:
    desk, _ = _desk()
    auth = peer_auth.PeerAuth("")
    route = (
        peers.SLOTS_PATH,
        handlers.SlotsHandler,
        {"auth": auth, "desk": desk},
    )
    server = httpserver.HTTPServer(web.Application([route]))
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    client = peer_client.PeerClient()
    try:
        return await talk(f"http://127.0.0.1:{port}{peers.SLOTS_PATH}", client)
    finally:
        client.close()
        server.stop()


class TestSlotsHandler:
    """The message as peers send it."""

    def test_an_ask_over_http_is_granted_with_the_time_left(self) -> None:
        async def talk(url: str, client: peer_client.PeerClient) -> Any:
            request = dataclasses.asdict(_request(_ENTRY_A, _ask("d0", 0, 1)))
            body = json.dumps(request).encode()
            return (await client.call("POST", url, body)).json()

        answer = asyncio.run(_with_server(talk))
        assert answer["grants"][0]["slots"] == 1
        assert (
            0
            < answer["grants"][0]["expires_in_s"]
            <= slot_ledger.LEASE_DURATION_S
        )

    def test_messages_that_make_no_sense_get_a_code(self) -> None:
        bodies = [
            b"not json",
            b'{"entry": 5, "asks": []}',
            b'{"entry": "no incarnation", "asks": []}',
            b'{"entry": "a.b.c", "asks":'
            b' [{"endpoint_id": "d0", "in_use": -1, "want": 0}]}',
        ]

        async def talk(url: str, client: peer_client.PeerClient) -> Any:
            replies = [await client.call("POST", url, body) for body in bodies]
            return [
                (reply.status, reply.json()["error"]["code"])
                for reply in replies
            ]

        answers = asyncio.run(_with_server(talk))
        assert answers == [(400, "invalid_message")] * len(bodies)
