"""Tests of the client that leases slots from coordinators."""

import asyncio
import io

from cowsliprill import codec
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.dispatch import messages as slot_messages
from cowsliprill.entry import leases
from cowsliprill.entry import slot_lease_client
from cowsliprill.observability import log
from cowsliprill.observability import metrics

_VM = model.Vm(
    id="vm-0",
    host="127.0.0.1",
    availability_zone="gasabo",
    role=model.VmRole.ENTRY,
)


class FakeCoordinatorClient:
    """Coordinator that records requests and responds when the test says so."""

    def __init__(self) -> None:
        self.requested_demands = asyncio.Queue()
        self.responses = asyncio.Queue()

    async def post(self, vm, path, message, timeout_s) -> bytes:
        self.requested_demands.put_nowait(message.asks)
        return codec.encode(await self.responses.get())


class FakeScheduling:
    """Scheduler task whose slot demands the test sets."""

    def __init__(self) -> None:
        self.slot_demands = asyncio.Queue()
        self.posted = asyncio.Queue()

    def renew(self) -> None:
        """Emits no slot demand."""

    def post(self, event) -> None:
        self.posted.put_nowait(event)


class FakeClusterState:
    """Cluster state with one VM."""

    fleet = model.Fleet(vms_by_id={_VM.id: _VM})

    def coordinator_of(self, endpoint_id) -> model.Vm:
        return _VM


def _run(scenario) -> None:
    async def run() -> None:
        coordinators, scheduling = (
            FakeCoordinatorClient(),
            FakeScheduling(),
        )
        client = slot_lease_client.SlotLeaseClient(
            identity.Incarnation("vm-0", "e0", "a"),
            coordinators,
            scheduling,
            leases.LeaseTable(),
            FakeClusterState(),
            metrics.Metrics(),
            log.open_log("test", io.StringIO()),
        )
        task = asyncio.create_task(client.run())
        try:
            await asyncio.wait_for(scenario(coordinators, scheduling), 10)
        finally:
            task.cancel()

    asyncio.run(run())


def _demand(
    endpoint_id: str, sequence: int, held: int = 0
) -> messages.SlotDemand:
    return messages.SlotDemand(
        endpoint_id=endpoint_id,
        in_use=0,
        want=1,
        held=held,
        sequence=sequence,
    )


class TestSlotDemands:
    """Coordinators receive the slot demands that the scheduler emits."""

    def test_sends_the_demand_that_the_scheduler_emitted(self) -> None:
        """A demand must not be rebuilt at sending time.

        Then the scheduler's own demand is never sent: the scheduler waits for
        its response, gives granted slots back meanwhile, and a request is
        refused after a second although the engines are idle.
        """

        async def scenario(coordinators, scheduling) -> None:
            demand = _demand("draft-d1", sequence=7, held=2)
            scheduling.slot_demands.put_nowait([demand])
            assert await coordinators.requested_demands.get() == (demand,)

        _run(scenario)

    def test_resends_demands_of_a_superseded_call(self) -> None:
        """A newer demand for one endpoint supersedes a long poll for two.

        If the other endpoint's demand were lost with that call, its slots
        would be granted one renewal interval late.
        """

        async def scenario(coordinators, scheduling) -> None:
            first, second = _demand("draft-d1", 1), _demand("draft-p1", 2)
            scheduling.slot_demands.put_nowait([first, second])
            assert await coordinators.requested_demands.get() == (
                first,
                second,
            )
            newer = _demand("draft-p1", 3)
            scheduling.slot_demands.put_nowait([newer])
            assert set(await coordinators.requested_demands.get()) == {
                first,
                newer,
            }

        _run(scenario)


class TestNewCoordinator:
    """A coordinator that has just taken over an endpoint."""

    def test_uses_the_fallback_share_until_slots_are_granted(self) -> None:
        """After a VM is replaced, its endpoints have a new coordinator.

        That coordinator grants nothing for the duration of one lease. An entry
        process that waited for a grant would refuse callers although the
        engine is idle.
        """

        async def scenario(coordinators, scheduling) -> None:
            scheduling.slot_demands.put_nowait([_demand("draft-d1", 1)])
            await coordinators.requested_demands.get()
            grant = slot_messages.WireGrant(
                endpoint_id="draft-d1", slots=0, expires_in_s=2.0, sequence=1
            )
            coordinators.responses.put_nowait(
                slot_messages.SlotsResponse(
                    grants=(grant,), unsettled=("draft-d1",)
                )
            )
            granted = await scheduling.posted.get()
            assert granted.slots == 0
            fallback = await scheduling.posted.get()
            assert fallback == messages.HomeUnreachable(("draft-d1",))

        _run(scenario)
