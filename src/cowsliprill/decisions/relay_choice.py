"""Chooses the VM that serves a request for one without a path to its pool."""

import collections
import dataclasses
import random
from collections.abc import Collection
from collections.abc import Iterable

from cowsliprill.decisions import model

# A VM that has declined a request for a pool is asked again after this time.
_DECLINED_TTL_S = 1.0

# If this many VMs have declined a request, or any requests within that time,
# most likely no VM reaches the pool. Asking all VMs of a large fleet would
# multiply the load of an outage.
_MAX_DECLINED = 6

# Networks fail by zone: if this fraction of a zone's VMs can't reach a pool,
# the others most likely can't either.
_ZONE_LOST_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """What is known of the paths of other VMs to a pool.

    Attributes:
      without_path_ids: VMs that have told that they can't reach the pool.
      lost_zones: Zones whose VMs most likely can't reach it.
    """

    without_path_ids: Collection[str]
    lost_zones: Collection[str]


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
        without_path_ids: Collection[str],
        now: float,
    ) -> model.Vm | None:
        """Returns the VM to send a request to, None if none is likely to serve.

        Args:
          vms: All known VMs.
          pool: Pool of the request.
          tried_ids: VMs that have declined this request.
          without_path_ids: VMs that have told that they can't reach the pool.
            They are asked last, as they may reach it by now.
          now: Current time in seconds.
        """
        declined_ids = self._declined_ids(pool, now)
        if len(declined_ids.union(tried_ids)) >= _MAX_DECLINED:
            return None
        serving = [
            vm
            for vm in vms
            if vm.role is model.VmRole.ENTRY
            and vm.state is model.VmState.LIVE
            and vm.entry_ports
            and vm.id != self._vm_id
        ]
        candidates = [
            vm
            for vm in serving
            if vm.id not in declined_ids and vm.id not in tried_ids
        ]
        evidence = _Evidence(
            without_path_ids,
            self._lost_zones(serving, declined_ids, without_path_ids),
        )
        return min(
            candidates,
            key=lambda vm: self._selection_key(vm, evidence),
            default=None,
        )

    def declined(self, pool: str, now: float) -> int:
        """Returns how many VMs have declined requests for a pool lately."""
        return len(self._declined_ids(pool, now))

    def _lost_zones(
        self,
        vms: Iterable[model.Vm],
        declined_ids: Collection[str],
        without_path_ids: Collection[str],
    ) -> set[str]:
        vms_by_zone = collections.Counter(vm.availability_zone for vm in vms)
        lost_by_zone = collections.Counter(
            vm.availability_zone for vm in vms if vm.id in without_path_ids
        )
        lost_zones = {
            zone
            for zone, lost in lost_by_zone.items()
            if lost >= vms_by_zone[zone] * _ZONE_LOST_FRACTION
        }
        lost_zones |= {
            vm.availability_zone for vm in vms if vm.id in declined_ids
        }
        # This VM can't reach the pool either.
        return lost_zones | {self._availability_zone}

    def _selection_key(
        self, vm: model.Vm, evidence: _Evidence
    ) -> tuple[bool, bool, int, float]:
        return (
            vm.id in evidence.without_path_ids,
            vm.availability_zone in evidence.lost_zones,
            self._running_by_vm[vm.id],
            self._rng.random(),
        )

    def _declined_ids(self, pool: str, now: float) -> set[str]:
        self._expire(now)
        return {vm_id for vm_id, name in self._declined_until if name == pool}

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
