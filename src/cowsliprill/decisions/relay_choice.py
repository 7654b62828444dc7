"""Chooses the VM that serves a request for one without a path to its pool."""

import collections
import random
from collections.abc import Collection
from collections.abc import Iterable

from cowsliprill.decisions import model

# A VM that has declined a request for a pool is asked again after this time.
_DECLINED_TTL_S = 1.0

# If this many VMs have declined, most likely no VM reaches the pool. Asking all
# VMs of a large fleet would multiply the load of an outage.
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
        self._declined_until: dict[tuple[str, str], float] = {}
        self._running_by_vm: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        vms: Iterable[model.Vm],
        pool: str,
        tried_ids: Collection[str],
        now: float,
    ) -> model.Vm | None:
        """Returns the VM to send a request to, None if none is likely to serve.

        Args:
          vms: All known VMs.
          pool: Pool of the request.
          tried_ids: VMs that have declined this request.
          now: Current time in seconds.
        """
        self._expire(now)
        declined_ids = {
            vm_id for vm_id, name in self._declined_until if name == pool
        }
        if len(declined_ids) >= _MAX_DECLINED:
            return None
        candidates = [
            vm
            for vm in vms
            if vm.role is model.VmRole.ENTRY
            and vm.state is model.VmState.LIVE
            and vm.entry_ports
            and vm.id != self._vm_id
            and vm.id not in declined_ids
            and vm.id not in tried_ids
        ]
        return min(candidates, key=self._selection_key, default=None)

    def _selection_key(self, vm: model.Vm) -> tuple[int, bool, float]:
        return (
            self._running_by_vm[vm.id],
            vm.availability_zone != self._availability_zone,
            self._rng.random(),
        )

    def record_declined(self, vm_id: str, pool: str, now: float) -> None:
        """Records that a VM can't serve requests for a pool either."""
        self._declined_until[vm_id, pool] = now + _DECLINED_TTL_S

    def begin(self, vm_id: str) -> None:
        """Records that a VM serves one more request for this VM."""
        self._running_by_vm[vm_id] += 1

    def end(self, vm_id: str) -> None:
        """Records the end of a request that `begin` has recorded."""
        self._running_by_vm[vm_id] -= 1
        if not self._running_by_vm[vm_id]:
            del self._running_by_vm[vm_id]

    def _expire(self, now: float) -> None:
        self._declined_until = {
            key: until
            for key, until in self._declined_until.items()
            if until > now
        }
