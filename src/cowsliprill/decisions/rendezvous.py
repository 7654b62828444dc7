"""Selects the coordinator of a key by rendezvous hashing over the VM list.

A key is for example the id of an endpoint or the name of a pool.

The coordinator of an endpoint runs the dispatch process that leases the
endpoint's slots.
"""

from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import model

# A VM with fewer cores than this fraction of the largest VM's is a coordinator
# only where there is no larger VM.
_WEAK_CORES_FRACTION = 0.5

_STATES_BY_PREFERENCE = (
    model.VmState.LIVE,
    model.VmState.LEAVING,
    model.VmState.JOINING,
)


def rendezvous_score(vm_id: str, key: str) -> int:
    """Returns the rendezvous score of a VM for a key; the highest score wins.

    Args:
      vm_id: The VM.
      key: The key to assign, for example the id of an endpoint.
    """
    return xxhash.xxh3_64_intdigest(f"{vm_id}\0{key}".encode())


def has_few_cores(cores: float, strongest: float) -> bool:
    """Returns whether a VM is too small to do work on behalf of other VMs.

    Args:
      cores: Number of the VM's processor cores.
      strongest: Number of cores of the largest VM.
    """
    return cores < strongest * _WEAK_CORES_FRACTION


def rank_vms(key: str, vms: Iterable[model.Vm]) -> list[model.Vm]:
    """Ranks the entry VMs for a key; the first is its coordinator.

    Live VMs come first, then leaving VMs, then joining VMs, whose state isn't
    complete yet. The latter two are not excluded: when all VMs are stopped at
    once, their callers would otherwise wait for a coordinator until the
    processes end. Among VMs of one state small ones come last, because a
    coordinator does work for all entry processes.

    Args:
      key: The key to assign.
      vms: VMs of any role and state; only entry VMs are ranked.

    Returns:
      The VMs by rank. If the first one is removed, the second is the
      coordinator.
    """
    candidates = [vm for vm in vms if vm.role is model.VmRole.ENTRY]
    strongest = max((vm.cores for vm in candidates), default=0.0)

    def rank(vm: model.Vm) -> tuple[int, bool, int, str]:
        weak = has_few_cores(vm.cores, strongest)
        return (
            _STATES_BY_PREFERENCE.index(vm.state),
            weak,
            -rendezvous_score(vm.id, key),
            vm.id,
        )

    return sorted(candidates, key=rank)


class VmRankingCache:
    """Caches the results of `rank_vms` until the VM list changes.

    Without the cache every request would hash the ids of all VMs.
    """

    def __init__(self) -> None:
        self._vms_by_id: dict[str, model.Vm] | None = None
        self._ranked_by_key: dict[str, list[model.Vm]] = {}

    def ranked_vms(
        self, key: str, vms_by_id: dict[str, model.Vm]
    ) -> list[model.Vm]:
        """Returns the entry VMs ranked for a key, the coordinator first.

        Args:
          key: The key to assign.
          vms_by_id: The VM list. A change is detected by object identity, so
            a changed list must be a new dictionary.
        """
        if vms_by_id is not self._vms_by_id:
            self._vms_by_id = vms_by_id
            self._ranked_by_key = {}
        ranked = self._ranked_by_key.get(key)
        if ranked is None:
            ranked = rank_vms(key, vms_by_id.values())
            self._ranked_by_key[key] = ranked
        return ranked


def coordinator_of(
    endpoint_id: str, vms: Iterable[model.Vm]
) -> model.Vm | None:
    """Returns the VM whose dispatch process is an endpoint's coordinator.

    VMs with different VM lists may compute different coordinators. Both
    coordinators may then grant leases on more slots than the engine has, and
    the engine itself refuses the excess. Correctness doesn't depend on a single
    coordinator.

    Args:
      endpoint_id: The endpoint.
      vms: VMs of any role and state; only live entry VMs can be coordinators.

    Returns:
      The coordinator, or None if there is no live entry VM.
    """
    candidates = [
        vm
        for vm in vms
        if vm.role is model.VmRole.ENTRY and vm.state is model.VmState.LIVE
    ]
    return max(
        candidates,
        key=lambda vm: (rendezvous_score(vm.id, endpoint_id), vm.id),
        default=None,
    )
