"""Tests that a pool has one coordinator while member lists differ."""

import asyncio
import dataclasses
import io
import random

import pytest

from cowsliprill import errors
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.pool_scheduling import client
from cowsliprill.pool_scheduling import server

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
    """Pool schedulers with different member lists, and one entry process."""

    def __init__(self, vms, members_by_vm, entry_members) -> None:
        self.called: list[str] = []
        self.unreachable: set[str] = set()
        log = log_lib.open_log("test", io.StringIO())
        self.pool_schedulers_by_vm = {}
        snapshot = model.Snapshot(revision=1, endpoints_by_id=_engines())
        for vm in vms:
            pool_scheduler = server.PoolSchedulerServer(
                vm.id, "a", random.Random(1), log
            )
            pool_scheduler.update(snapshot, _fleet(members_by_vm[vm.id]))
            self.pool_schedulers_by_vm[vm.id] = pool_scheduler
        cluster_state = cluster_state_lib.ClusterState(
            snapshot, _fleet(entry_members)
        )
        self.scheduling = client.PoolSchedulingClient(
            "entry-1", self._post, cluster_state, log
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

    def hosting_vms(self) -> list[str]:
        """Returns the VMs whose pool scheduler has requests of the pool."""
        return [
            vm
            for vm, pool_scheduler in self.pool_schedulers_by_vm.items()
            if pool_scheduler.hosted_pools()
        ]


def _ranked(vms) -> list[model.Vm]:
    return rendezvous.rank_vms(_POOL, vms)


class TestCoordinatorAgreement:
    """The VMs have just started and their member lists are incomplete."""

    def test_entry_is_redirected_to_the_coordinator(self):
        """Guards against a pool with several coordinators.

        The entry process knows one VM, which knows all others. If that VM
        served the entry's requests, it would place them on a few of the
        engines, beside the requests that the coordinator places.
        """
        vms = _ranked([_vm(number) for number in range(5)])
        known_vm = vms[-1]
        cluster = _Cluster(vms, {vm.id: vms for vm in vms}, [known_vm])
        start = asyncio.run(cluster.place())
        assert isinstance(start, messages.Start)
        assert cluster.called[:2] == [known_vm.id, vms[0].id]
        assert cluster.hosting_vms() == [vms[0].id]

    def test_entry_follows_a_chain_of_redirects(self):
        vms = _ranked([_vm(number) for number in range(4)])
        members_by_vm = {
            vm.id: vms[max(index - 1, 0) : index + 1]
            for index, vm in enumerate(vms)
        }
        cluster = _Cluster(vms, members_by_vm, [vms[-1]])
        asyncio.run(cluster.place())
        assert cluster.hosting_vms() == [vms[0].id]

    def test_entry_fails_over_to_the_next_vm(self):
        """The coordinator's VM has crashed, and the other VMs still list it."""
        vms = _ranked([_vm(number) for number in range(4)])
        cluster = _Cluster(vms, {vm.id: vms for vm in vms}, vms)
        cluster.unreachable = {vms[0].id}
        start = asyncio.run(cluster.place())
        assert isinstance(start, messages.Start)
        assert cluster.hosting_vms() == [vms[1].id]

    def test_mutual_redirects_do_not_loop(self):
        """Guards against two VMs that redirect a request to each other.

        Each VM considers the other the coordinator: one was ordered to leave,
        and the other does not know yet that it is ready itself. Both views are
        slightly out of date.
        """
        vms = _ranked([_vm(0), _vm(1)])
        leaving = [
            dataclasses.replace(vm, state=model.VmState.LEAVING) for vm in vms
        ]
        members_by_vm = {
            vms[0].id: [leaving[0], vms[1]],
            vms[1].id: [vms[0], leaving[1]],
        }
        cluster = _Cluster(vms, members_by_vm, vms)
        start = asyncio.run(cluster.place())
        assert isinstance(start, messages.Start)
        assert len(cluster.called) <= 4


class TestIdleEntryProcesses:
    """Entry processes without requests put no load on coordinators."""

    def test_entry_that_never_had_requests_makes_no_calls(self):
        vms = _ranked([_vm(number) for number in range(3)])
        cluster = _Cluster(vms, {vm.id: vms for vm in vms}, vms)

        async def scenario():
            event = messages.ClusterStateChanged(model.Snapshot(), _fleet(vms))
            for _ in range(5):
                cluster.scheduling.post(event)
                await asyncio.sleep(0)

        asyncio.run(scenario())
        assert cluster.called == []


class TestHeartbeatsWithoutRequests:
    """A VM that orders role changes needs to know each pool's workload."""

    def test_heartbeats_reach_the_coordinator(self):
        """Guards against role changes that are based on a default workload.

        A VM that leads a pool may have no requests of the pool itself, so only
        heartbeats inform it of the workload.
        """
        vms = _ranked([_vm(number) for number in range(3)])
        cluster = _Cluster(vms, {vm.id: vms for vm in vms}, vms)

        async def scenario():
            cluster.scheduling.set_heartbeats(_POOL, enabled=True)
            async with asyncio.timeout(_WAIT_S):
                while not cluster.called:  # noqa: ASYNC110 the cluster emits no events
                    await asyncio.sleep(0.001)

        asyncio.run(scenario())
        assert cluster.called[0] == vms[0].id


class TestCoordinatorCapacity:
    """VMs differ in compute capacity."""

    @pytest.mark.parametrize("pool", [f"pool-{n}" for n in range(10)])
    def test_coordinator_is_a_vm_of_high_capacity(self, pool):
        """Guards against an overloaded coordinator.

        The coordinator serves all entry processes of the fleet. On a VM with
        half a core it falls behind, and every request of the pool misses its
        target.
        """
        vms = [
            _vm(number, cores=2.15 if number % 10 == 0 else 0.516)
            for number in range(100)
        ]
        assert rendezvous.rank_vms(pool, vms)[0].cores == 2.15

    def test_low_capacity_vms_coordinate_if_there_are_no_others(self):
        vms = [_vm(number, cores=0.516) for number in range(5)]
        high_capacity = _vm(9, cores=2.15, state=model.VmState.LEAVING)
        assert rendezvous.rank_vms(_POOL, [*vms, high_capacity])[0].cores < 1


class TestReadoption:
    """The engine of an attempt that was given up as silent goes on."""

    @staticmethod
    def _outcome(*, refused: bool):
        """Returns what the coordinator has of it, and later decisions."""
        vms = [_vm(0)]

        async def run():
            cluster = _Cluster(vms, {vms[0].id: vms}, vms)
            scheduling = cluster.scheduling
            start = await cluster.place()
            channel = scheduling._channel(_POOL)
            tracked = channel.tracked_by_id[1]
            silent = messages.AttemptFailed(
                request_id=1,
                endpoint_id=start.decode_id,
                stage=messages.Stage.DECODE,
                resumable=True,
                silent=True,
                not_run=not refused,
                version="",
            )
            scheduling.post(silent)
            await channel._call_coordinator(0.0)
            scheduling.readopt(tracked.submit, start, tracked.decisions)
            await channel._call_coordinator(0.0)
            pool_scheduler = cluster.pool_schedulers_by_vm[vms[0].id]
            running = pool_scheduler.loads()[_POOL].running
            assert channel.tracked_by_id[1].start == start
            scheduling.post(messages.Finished(1, 9))
            await channel._call_coordinator(0.0)
            left = pool_scheduler.loads()[_POOL].running
            return running, left, list(channel.tracked_by_id)

        return asyncio.run(run())

    # Guards against slots that are promised twice, or never come free.
    @pytest.mark.parametrize("refused", [True, False])
    def test_coordinator_knows_the_running_attempt(self, refused: bool):
        assert self._outcome(refused=refused) == (1, 0, [])
