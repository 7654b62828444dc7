"""Queries the settings revision of the other entry VMs in this zone."""

import asyncio

from cowsliprill import clock
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import fencing
from cowsliprill.decisions import model
from cowsliprill.dispatch import context as context_lib

_TIMEOUT_S = 1.0


class ZoneMonitor:
    """Tracks whether this VM reaches the other entry VMs of its zone.

    Args:
      context: Shared state and clients of the process.

    Attributes:
      report: Result of the newest query, None before the first.
    """

    def __init__(self, context: context_lib.DispatchContext) -> None:
        self._context = context
        self.report: fencing.ZoneReport | None = None

    async def query(self) -> fencing.ZoneReport:
        """Queries the revision in force at all other entry VMs of the zone."""
        requested_at = clock.now()
        vms = self._other_entry_vms()
        results = await asyncio.gather(*(self._query_vm(vm) for vm in vms))
        revisions = [result for result in results if result is not None]
        self.report = fencing.ZoneReport(
            listed=len(vms),
            responded=len(revisions),
            highest_revision=max(revisions, default=0),
            at=requested_at,
        )
        return self.report

    async def query_if_stale(self) -> fencing.ZoneReport:
        """Returns the newest report, after a new query if it is too old."""
        report = self.report
        if (
            report is None
            or clock.now() - report.at > fencing.ZONE_REPORT_VALID_S / 2
        ):
            return await self.query()
        return report

    def has_majority(self) -> bool:
        """Returns whether a majority of the zone has responded recently."""
        report = self.report
        if (
            report is None
            or clock.now() - report.at > 2 * fencing.ZONE_REPORT_VALID_S
        ):
            return False
        return report.has_majority()

    def _other_entry_vms(self) -> list[model.Vm]:
        environment = self._context.environment
        return [
            vm
            for vm in self._context.follower.fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
            and vm.state is model.VmState.LIVE
            and vm.availability_zone == environment.availability_zone
            and vm.id != environment.vm
        ]

    async def _query_vm(self, vm: model.Vm) -> int | None:
        url = f"http://{vm.host}:{vm.settings_port}{peers.STATUS_PATH}"
        try:
            response = await self._context.peers.call(
                "GET", url, timeout_s=_TIMEOUT_S
            )
            return int(response.json()["revision"])
        except (peer_client.PeerError, KeyError, TypeError, ValueError):
            return None
