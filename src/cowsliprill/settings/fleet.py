"""What this VM knows of VMs: the platform's list and the news it lacks."""

import dataclasses
import math
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill.decisions import leaving_notices as news_lib
from cowsliprill.decisions import model
from cowsliprill.observability import audit as audit_lib
from cowsliprill.settings import change_notifier as change_notifier_lib

_SHORTEST_SLEEP_S = 0.01
_LONGEST_SLEEP_S = 60.0


class FleetController:
    """Owns the VM list and the news of leaving endpoints.

    Args:
      vm: Id of this VM.
      first_number: Above all versions of this VM's earlier lives.
      endpoints: Returns the endpoints of the settings in force.
      audit: This VM's audit trail.

    Attributes:
      fleet: What is known now.
      listed: Whether any VM list was read.
      changes: Notified after each change of `fleet`.
      notices_changed: Notified when there is news to pass on.
    """

    def __init__(
        self,
        vm: str,
        first_number: int,
        endpoints: Callable[[], list[model.Endpoint]],
        audit: audit_lib.AuditTrail,
    ) -> None:
        self.fleet = model.Fleet(version=first_number)
        self.listed = False
        self.changes = change_notifier_lib.ChangeNotifier()
        self.notices_changed = change_notifier_lib.ChangeNotifier()
        self._vm = vm
        self._endpoints = endpoints
        self._audit = audit
        self._notices = news_lib.LeavingNotices(vm, first_number)
        self._list_read_at = -math.inf

    def list_age_s(self) -> float:
        """Returns how long ago the list was read from the platform, seconds."""
        return clock.now() - self._list_read_at

    def apply_vm_list(
        self, vms_by_id: dict[str, model.Vm], age_s: float = 0.0
    ) -> bool:
        """Takes a VM list.

        Args:
          vms_by_id: The VMs; an empty list never replaces a filled one, since
            all VMs leaving at once is less likely than a fault of the list.
          age_s: How long ago it was read from the platform, seconds.

        Returns:
          Whether it was taken.
        """
        if not vms_by_id and self.fleet.vms_by_id:
            return False
        self._list_read_at = clock.now() - age_s
        self.listed = True
        self._update(vms_by_id)
        return True

    def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        """Takes a local process's report of an endpoint that is leaving."""
        if self._notices.report(endpoint_id, ttl_s, clock.now()) is None:
            return
        self._audit.record(
            "endpoint_leaving", endpoint=endpoint_id, ttl_s=ttl_s
        )
        self.refresh()
        self.notices_changed.notify()

    def receive(self, items: list[news_lib.LeavingNotice]) -> None:
        """Takes a peer's news."""
        now = clock.now()
        new = [item for item in items if self._notices.receive(item, now)]
        if new:
            self.refresh()
            self.notices_changed.notify()

    def leaving_notices(self) -> list[news_lib.LeavingNotice]:
        """Returns the news to pass on, with the time that remains."""
        return self._notices.items(clock.now())

    def other_entry_urls(self) -> list[str]:
        """Returns the URLs of the other VMs' settings processes."""
        return sorted(
            f"http://{vm.host}:{vm.settings_port}"
            for vm in self.fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
            and vm.settings_port
            and vm.id != self._vm
        )

    def refresh(self) -> None:
        """Works out the leaving endpoints anew."""
        self._update(self.fleet.vms_by_id)

    async def run(self) -> None:
        """Lets news expire, until cancelled."""
        while True:
            now = clock.now()
            wait_s = min(self._notices.next_expiry(now) - now, _LONGEST_SLEEP_S)
            await self.changes.wait(max(wait_s, _SHORTEST_SLEEP_S))
            self.refresh()

    def _update(self, vms_by_id: dict[str, model.Vm]) -> None:
        by_list = news_lib.leaving_by_vm_list(self._endpoints(), vms_by_id)
        leaving = by_list | self._notices.leaving(clock.now())
        known = (self.fleet.vms_by_id, self.fleet.leaving_endpoint_ids)
        if known == (vms_by_id, leaving):
            return
        self.fleet = dataclasses.replace(
            self.fleet,
            version=self.fleet.version + 1,
            vms_by_id=vms_by_id,
            leaving_endpoint_ids=leaving,
        )
        self.changes.notify()
