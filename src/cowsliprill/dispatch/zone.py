"""Whether this VM hears the other entry VMs of its availability zone."""

import asyncio

from cowsliprill import clock
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import fencing
from cowsliprill.decisions import model
from cowsliprill.dispatch import world as world_lib

_TIMEOUT_S = 1.0


class Zone:
    """Asks the zone's other entry VMs for the revision in force there.

    Args:
      world: What the tasks share.
    """

    def __init__(self, world: world_lib.World) -> None:
        self._world = world
        self.report: fencing.ZoneReport | None = None

    async def ask(self) -> fencing.ZoneReport:
        """Asks all of them now."""
        asked_at = clock.now()
        vms = self._others()
        answers = await asyncio.gather(*(self._ask(vm) for vm in vms))
        revisions = [answer for answer in answers if answer is not None]
        self.report = fencing.ZoneReport(
            listed=len(vms),
            responded=len(revisions),
            highest_revision=max(revisions, default=0),
            at=asked_at,
        )
        return self.report

    async def ask_if_older(self) -> fencing.ZoneReport:
        """Asks unless the last answers are still fresh enough to count."""
        report = self.report
        if (
            report is None
            or clock.now() - report.at > fencing.ZONE_REPORT_VALID_S / 2
        ):
            return await self.ask()
        return report

    def has_majority(self) -> bool:
        """Returns whether most of the zone answered lately."""
        report = self.report
        if (
            report is None
            or clock.now() - report.at > 2 * fencing.ZONE_REPORT_VALID_S
        ):
            return False
        return report.has_majority()

    def _others(self) -> list[model.Vm]:
        own = self._world.environment
        return [
            vm
            for vm in self._world.follower.fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
            and vm.state is model.VmState.LIVE
            and vm.availability_zone == own.availability_zone
            and vm.id != own.vm
        ]

    async def _ask(self, vm: model.Vm) -> int | None:
        url = f"http://{vm.host}:{vm.settings_port}{peers.STATUS_PATH}"
        try:
            reply = await self._world.peers.call(
                "GET", url, timeout_s=_TIMEOUT_S
            )
            return int(reply.json()["revision"])
        except (peer_client.PeerError, KeyError, TypeError, ValueError):
            return None
