"""Chooses the VM that serves a request for one that is cut off."""

import collections
import random
from collections.abc import Collection
from collections.abc import Iterable

from cowsliprill.decisions import model

# A VM that has declined a request is asked again after this time.
_DECLINED_TTL_S = 1.0

# If this many VMs have declined, most likely no VM reaches any endpoint.
# Asking all VMs of a large fleet would multiply the load of an outage.
_MAX_DECLINED = 6


class RelayChoice:
    """Peers of one VM, with those that have declined requests lately.

    Args:
      vm_id: Id of this VM.
      availability_zone: Availability zone of this VM.
      rng: Breaks ties.
    """

    def __init__(
        self, vm_id: str, availability_zone: str, rng: random.Random
    ) -> None:
        self._vm_id = vm_id
        self._availability_zone = availability_zone
        self._rng = rng
        self._declined_until_by_vm: dict[str, float] = {}
        self._running_by_vm: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        vms: Iterable[model.Vm],
        tried_ids: Collection[str],
        now: float,
    ) -> model.Vm | None:
        """Returns the VM to send a request to, None if none is likely to serve.

        Args:
          vms: All known VMs.
          tried_ids: VMs that have declined this request.
          now: Current time in seconds.
        """
        self._expire(now)
        if len(self._declined_until_by_vm) >= _MAX_DECLINED:
            return None
        candidates = [
            vm
            for vm in vms
            if vm.role is model.VmRole.ENTRY
            and vm.state is model.VmState.LIVE
            and vm.entry_ports
            and vm.id != self._vm_id
            and vm.id not in self._declined_until_by_vm
            and vm.id not in tried_ids
        ]
        return min(candidates, key=self._selection_key, default=None)

    def _selection_key(self, vm: model.Vm) -> tuple[int, bool, float]:
        return (
            self._running_by_vm[vm.id],
            vm.availability_zone != self._availability_zone,
            self._rng.random(),
        )

    def record_declined(self, vm_id: str, now: float) -> None:
        """Records that a VM can't serve requests for this one."""
        self._declined_until_by_vm[vm_id] = now + _DECLINED_TTL_S

    def begin(self, vm_id: str) -> None:
        """Records that a VM serves one more request for this VM."""
        self._running_by_vm[vm_id] += 1

    def end(self, vm_id: str) -> None:
        """Records the end of a request that `begin` has recorded."""
        self._running_by_vm[vm_id] -= 1
        if not self._running_by_vm[vm_id]:
            del self._running_by_vm[vm_id]

    def _expire(self, now: float) -> None:
        self._declined_until_by_vm = {
            vm_id: until
            for vm_id, until in self._declined_until_by_vm.items()
            if until > now
        }
