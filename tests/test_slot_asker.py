"""Tests of `entry.slot_asker`."""

import asyncio
import io

from cowsliprill import codec
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.dispatch import messages as slot_messages
from cowsliprill.entry import leases
from cowsliprill.entry import slot_asker
from cowsliprill.observability import log
from cowsliprill.observability import metrics

_VM = model.Vm(
    id="vm-0",
    host="127.0.0.1",
    availability_zone="gasabo",
    role=model.VmRole.ENTRY,
)


class FakeHomes:
    """A home that notes what it is asked and answers when it is let."""

    def __init__(self) -> None:
        self.asked = asyncio.Queue()
        self.answers = asyncio.Queue()

    async def post(self, vm, path, message, timeout_s) -> bytes:
        self.asked.put_nowait(message.asks)
        return codec.encode(await self.answers.get())


class FakeScheduling:
    """A scheduler's task that states what the test says."""

    def __init__(self) -> None:
        self.asks = asyncio.Queue()
        self.posted = asyncio.Queue()

    def renew(self) -> None:
        """States nothing new."""

    def post(self, event) -> None:
        self.posted.put_nowait(event)


class FakeWorld:
    """A VM list with one VM."""

    fleet = model.Fleet(vms_by_id={_VM.id: _VM})

    def coordinator_of(self, endpoint_id) -> model.Vm:
        return _VM


def _run(scenario) -> None:
    async def run() -> None:
        homes, scheduling = FakeHomes(), FakeScheduling()
        asker = slot_asker.SlotAsker(
            identity.Incarnation("vm-0", "e0", "a"),
            homes,
            scheduling,
            leases.Leases(),
            FakeWorld(),
            metrics.Metrics(),
            log.open_log("test", io.StringIO()),
        )
        task = asyncio.create_task(asker.run())
        try:
            await asyncio.wait_for(scenario(homes, scheduling), 10)
        finally:
            task.cancel()

    asyncio.run(run())


def _ask(endpoint_id: str, sequence: int, held: int = 0) -> messages.SlotDemand:
    return messages.SlotDemand(
        endpoint_id=endpoint_id,
        in_use=0,
        want=1,
        held=held,
        sequence=sequence,
    )


class TestStatements:
    """What the scheduler states is what the homes get."""

    def test_statements_go_out_as_they_were_made(self) -> None:
        """The entry once sent statements that it made up at sending time.

        Those that the scheduler had made were never sent, and it waited for
        their answers and gave granted slots back meanwhile. A customer noticed
        a brief that was refused after a second on an idle site.
        """

        async def scenario(homes, scheduling) -> None:
            ask = _ask("draft-d1", sequence=7, held=2)
            scheduling.asks.put_nowait([ask])
            assert await homes.asked.get() == (ask,)

        _run(scenario)

    def test_an_overtaken_statement_goes_out_again(self) -> None:
        """A newer statement about one endpoint ends the held call for two.

        If the other endpoint's statement were lost with it, its slots would
        come a whole renewal late.
        """

        async def scenario(homes, scheduling) -> None:
            first, second = _ask("draft-d1", 1), _ask("draft-p1", 2)
            scheduling.asks.put_nowait([first, second])
            assert await homes.asked.get() == (first, second)
            newer = _ask("draft-p1", 3)
            scheduling.asks.put_nowait([newer])
            assert set(await homes.asked.get()) == {first, newer}

        _run(scenario)


class TestUnsettledHome:
    """A home that took an endpoint over a moment ago."""

    def test_the_small_share_serves_until_it_may_grant(self) -> None:
        """A VM was replaced, and its endpoints have a new home.

        It grants nothing for one lease time. An entry that waited for it
        would refuse its callers although the engine is idle.
        """

        async def scenario(homes, scheduling) -> None:
            scheduling.asks.put_nowait([_ask("draft-d1", 1)])
            await homes.asked.get()
            grant = slot_messages.WireGrant(
                endpoint_id="draft-d1", slots=0, expires_in_s=2.0, sequence=1
            )
            homes.answers.put_nowait(
                slot_messages.SlotsResponse(
                    grants=(grant,), unsettled=("draft-d1",)
                )
            )
            granted = await scheduling.posted.get()
            assert granted.slots == 0
            fallback = await scheduling.posted.get()
            assert fallback == messages.HomeUnreachable(("draft-d1",))

        _run(scenario)
