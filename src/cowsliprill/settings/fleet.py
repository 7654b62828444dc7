"""Tracks the platform's VM list and notices of leaving endpoints.

A leaving notice reports that an endpoint is draining while the VM list doesn't
show this yet.
"""

import dataclasses
import math
from collections.abc import Callable

from cowsliprill import change_notifier as change_notifier_lib
from cowsliprill import clock
from cowsliprill.decisions import leaving_notices as notices_lib
from cowsliprill.decisions import model
from cowsliprill.observability import audit as audit_lib

_MIN_WAIT_S = 0.01
_MAX_WAIT_S = 60.0


class FleetController:
    """Owns the VM list and the leaving notices of this VM.

    Args:
      vm: Id of this VM.
      first_version: Initial version of `fleet` and number of the first notice;
        must be above those of all earlier incarnations of this VM.
      endpoints: Returns the endpoints of the active settings.
      audit: This VM's audit trail.

    Attributes:
      fleet: Current VM list and leaving endpoints.
      listed: Whether a VM list was ever received.
      changes: Notified after each change of `fleet`.
      notices_changed: Notified when there are new notices to send to peers.
    """

    def __init__(
        self,
        vm: str,
        first_version: int,
        endpoints: Callable[[], list[model.Endpoint]],
        audit: audit_lib.AuditTrail,
    ) -> None:
        self.fleet = model.Fleet(version=first_version)
        self.listed = False
        self.changes = change_notifier_lib.ChangeNotifier()
        self.notices_changed = change_notifier_lib.ChangeNotifier()
        self._vm = vm
        self._endpoints = endpoints
        self._audit = audit
        self._notices = notices_lib.LeavingNotices(vm, first_version)
        self._list_read_at = -math.inf

    def list_age_s(self) -> float:
        """Returns the seconds since the list was read from the platform."""
        return clock.now() - self._list_read_at

    def apply_vm_list(
        self, vms_by_id: dict[str, model.Vm], age_s: float = 0.0
    ) -> bool:
        """Applies a VM list.

        Args:
          vms_by_id: The VMs by id. An empty list never replaces a non-empty
            one: a faulty list is more likely than all VMs leaving at once.
          age_s: Seconds since the list was read from the platform.

        Returns:
          Whether the list was applied.
        """
        if not vms_by_id and self.fleet.vms_by_id:
            return False
        self._list_read_at = clock.now() - age_s
        self.listed = True
        self._update(vms_by_id)
        return True

    def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        """Records a report by a local process that an endpoint is leaving.

        Args:
          endpoint_id: The leaving endpoint.
          ttl_s: Time to live of the notice in seconds.
        """
        if self._notices.report(endpoint_id, ttl_s, clock.now()) is None:
            return
        self._audit.record(
            "endpoint_leaving", endpoint=endpoint_id, ttl_s=ttl_s
        )
        self.refresh()
        self.notices_changed.notify()

    def receive(self, notices: list[notices_lib.LeavingNotice]) -> None:
        """Applies the leaving notices of a peer."""
        now = clock.now()
        new_notices = [
            notice for notice in notices if self._notices.receive(notice, now)
        ]
        if new_notices:
            self.refresh()
            self.notices_changed.notify()

    def leaving_notices(self) -> list[notices_lib.LeavingNotice]:
        """Returns the notices to send to peers, with their remaining TTL."""
        return self._notices.items(clock.now())

    def other_settings_urls(self) -> list[str]:
        """Returns the URLs of the other VMs' settings processes."""
        return sorted(
            f"http://{vm.host}:{vm.settings_port}"
            for vm in self.fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
            and vm.settings_port
            and vm.id != self._vm
        )

    def refresh(self) -> None:
        """Recomputes the leaving endpoints and notifies of a change."""
        self._update(self.fleet.vms_by_id)

    async def run(self) -> None:
        """Expires leaving notices at the end of their TTL, until cancelled."""
        while True:
            now = clock.now()
            wait_s = min(self._notices.next_expiry(now) - now, _MAX_WAIT_S)
            await self.changes.wait(max(wait_s, _MIN_WAIT_S))
            self.refresh()

    def _update(self, vms_by_id: dict[str, model.Vm]) -> None:
        leaving_by_vm = notices_lib.leaving_by_vm_list(
            self._endpoints(), vms_by_id
        )
        leaving = leaving_by_vm | self._notices.leaving(clock.now())
        current = (self.fleet.vms_by_id, self.fleet.leaving_endpoint_ids)
        if current == (vms_by_id, leaving):
            return
        self.fleet = dataclasses.replace(
            self.fleet,
            version=self.fleet.version + 1,
            vms_by_id=vms_by_id,
            leaving_endpoint_ids=leaving,
        )
        self.changes.notify()
