"""One home for a pool, though the VMs differ in whom they know."""

import asyncio
import dataclasses
import io
import random

import pytest

from cowsliprill import errors
from cowsliprill.cells import client
from cowsliprill.cells import homes
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import ownership
from cowsliprill.entry import world as world_lib
from cowsliprill.observability import log as log_lib

_POOL = "writers"
_WAIT_S = 5.0

_SERVICE = model.Service(
    id="writers/r",
    customer="",
    name="writers",
    kind=model.ServiceKind.MODEL,
    pool=_POOL,
    ttft_target_s=0.9,
    may_wait_s=9.0,
)


def _vm(number: int, **fields) -> model.Vm:
    return model.Vm(
        **{
            "id": f"vm-{number}",
            "host": f"10.0.0.{number}",
            "availability_zone": "a",
            "role": model.VmRole.ENTRY,
            "dispatch_port": 7000,
            "entry_ports": (7000,),
            **fields,
        }
    )


def _engines() -> dict[str, model.Endpoint]:
    fields = {
        "host": "10.1.0.1",
        "port": 80,
        "availability_zone": "a",
        "pool": _POOL,
        "slots": 1_000,
        "block_tokens": 16,
        "prefill_tokens_per_s": 33_000.0,
        "seconds_per_token": 0.008,
        "export_ttl_s": 0.5,
    }
    kinds = {
        "p": model.EndpointKind.PREFILL,
        "d": model.EndpointKind.DECODE,
    }
    return {
        name: model.Endpoint(id=name, kind=kind, **fields)
        for name, kind in kinds.items()
    }


def _fleet(vms) -> model.Fleet:
    return model.Fleet(version=1, vms_by_id={vm.id: vm for vm in vms})


class _Cluster:
    """Homes that know different VMs, and one entry that knows some."""

    def __init__(self, vms, known_by_vm, known_to_entry) -> None:
        self.called: list[str] = []
        self.unreachable: set[str] = set()
        log = log_lib.open_log("test", io.StringIO())
        self.pool_schedulers_by_vm = {}
        snapshot = model.Snapshot(revision=1, endpoints_by_id=_engines())
        for vm in vms:
            pool_scheduler = homes.Homes(vm.id, "a", random.Random(1), log)
            pool_scheduler.update(snapshot, _fleet(known_by_vm[vm.id]))
            self.pool_schedulers_by_vm[vm.id] = pool_scheduler
        world = world_lib.World(snapshot, _fleet(known_to_entry))
        self.scheduling = client.CellScheduling(
            "entry-1", self._post, world, log
        )

    async def _post(self, vm, request, timeout_s):
        self.called.append(vm.id)
        if vm.id in self.unreachable:
            raise errors.CowsliprillError("down")
        return await self.pool_schedulers_by_vm[vm.id].handle(request)

    async def place(self, number: int = 1) -> messages.Start:
        submit = messages.Submit(
            request_id=number,
            service=_SERVICE,
            customer="",
            prompt_tokens=300,
            output_tokens=100,
            expected_tokens=50,
            deadline=1e12,
            useful_until=1e12,
        )
        decisions = self.scheduling.submit(submit)
        running = [
            asyncio.create_task(pool_scheduler.run())
            for pool_scheduler in self.pool_schedulers_by_vm.values()
        ]
        async with asyncio.timeout(_WAIT_S):
            decision = await decisions.get()
        for task in running:
            task.cancel()
        return decision

    def hosts(self) -> list[str]:
        """Returns the VMs that hold requests of the pool."""
        return [
            vm
            for vm, pool_scheduler in self.pool_schedulers_by_vm.items()
            if pool_scheduler.hosted_pools()
        ]


def _ranked(vms) -> list[model.Vm]:
    return ownership.homes_in_order(_POOL, vms)


class TestOneHome:
    """VMs have just started and know only some of the others."""

    def test_an_entry_is_told_the_home_by_the_one_it_asks(self):
        """An entry knows one VM, which knows all.

        Served there, its requests would be placed on a sliver of the engines,
        beside those that the true home places.
        """
        vms = _ranked([_vm(number) for number in range(5)])
        last = vms[-1]
        cluster = _Cluster(vms, {vm.id: vms for vm in vms}, [last])
        start = asyncio.run(cluster.place())
        assert isinstance(start, messages.Start)
        assert cluster.called[:2] == [last.id, vms[0].id]
        assert cluster.hosts() == [vms[0].id]

    def test_from_one_to_the_next_each_knows_a_better_one(self):
        vms = _ranked([_vm(number) for number in range(4)])
        known = {
            vm.id: vms[max(index - 1, 0) : index + 1]
            for index, vm in enumerate(vms)
        }
        cluster = _Cluster(vms, known, [vms[-1]])
        asyncio.run(cluster.place())
        assert cluster.hosts() == [vms[0].id]

    def test_one_that_cant_reach_the_home_is_served_by_the_next(self):
        """A home has lost its power, and the others don't know yet."""
        vms = _ranked([_vm(number) for number in range(4)])
        cluster = _Cluster(vms, {vm.id: vms for vm in vms}, vms)
        cluster.unreachable = {vms[0].id}
        start = asyncio.run(cluster.place())
        assert isinstance(start, messages.Start)
        assert cluster.hosts() == [vms[1].id]

    def test_two_that_name_each_other_dont_send_it_to_and_fro(self):
        """Each of two VMs holds the other for the home.

        One has been told to leave and the other doesn't know that it is
        ready; both views are a moment old.
        """
        vms = _ranked([_vm(0), _vm(1)])
        leaving = [
            dataclasses.replace(vm, state=model.VmState.LEAVING) for vm in vms
        ]
        known = {
            vms[0].id: [leaving[0], vms[1]],
            vms[1].id: [vms[0], leaving[1]],
        }
        cluster = _Cluster(vms, known, vms)
        start = asyncio.run(cluster.place())
        assert isinstance(start, messages.Start)
        assert len(cluster.called) <= 4


class TestIdleEntries:
    """What an entry without requests costs a home."""

    def test_one_that_never_had_any_says_nothing(self):
        vms = _ranked([_vm(number) for number in range(3)])
        cluster = _Cluster(vms, {vm.id: vms for vm in vms}, vms)

        async def scenario():
            event = messages.WorldChanged(model.Snapshot(), _fleet(vms))
            for _ in range(5):
                cluster.scheduling.post(event)
                await asyncio.sleep(0)

        asyncio.run(scenario())
        assert cluster.called == []


class TestLeadersWithoutRequests:
    """Who orders a pool's engines needs to know what the pool's work is."""

    def test_one_asks_the_home_though_it_places_nothing(self):
        """A VM that orders engines has no callers of the pool itself.

        Knowing nothing of the work it would divide the engines by a guess.
        """
        vms = _ranked([_vm(number) for number in range(3)])
        cluster = _Cluster(vms, {vm.id: vms for vm in vms}, vms)

        async def scenario():
            cluster.scheduling.set_polling(_POOL, enabled=True)
            async with asyncio.timeout(_WAIT_S):
                while not cluster.called:  # noqa: ASYNC110 the site tells no events
                    await asyncio.sleep(0.001)

        asyncio.run(scenario())
        assert cluster.called[0] == vms[0].id


class TestStrongVms:
    """VMs differ in what they can carry."""

    @pytest.mark.parametrize("pool", [f"pool-{n}" for n in range(10)])
    def test_the_home_is_a_strong_one(self, pool):
        """A pool's home works for all entries of the fleet.

        At a VM with half a core it falls behind, and every request of the
        pool is late.
        """
        vms = [
            _vm(number, cores=2.15 if number % 10 == 0 else 0.516)
            for number in range(100)
        ]
        assert ownership.homes_in_order(pool, vms)[0].cores == 2.15

    def test_weak_ones_still_carry_a_fleet_without_strong_ones(self):
        vms = [_vm(number, cores=0.516) for number in range(5)]
        strong = _vm(9, cores=2.15, state=model.VmState.LEAVING)
        assert ownership.homes_in_order(_POOL, [*vms, strong])[0].cores < 1
