"""Which VM is home to an endpoint: rendezvous hashing over the VM list."""

from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import model

# A VM with less than this part of the strongest one's processor does work for
# others only where there is no stronger one.
_WEAK_PART = 0.5

_STATES = (model.VmState.LIVE, model.VmState.LEAVING, model.VmState.JOINING)


def score(vm_id: str, endpoint_id: str) -> int:
    """Ranks a VM for something that needs one; the highest has it."""
    return xxhash.xxh3_64_intdigest(f"{vm_id}\0{endpoint_id}".encode())


def is_weak(cores: float, strongest: float) -> bool:
    """Returns whether a VM should leave work for others to stronger ones.

    Args:
      cores: Its processor cores.
      strongest: Those of the strongest VM.
    """
    return cores < strongest * _WEAK_PART


def homes_in_order(key: str, vms: Iterable[model.Vm]) -> list[model.Vm]:
    """Ranks the VMs that may be home to something, the home first.

    Those that leave, or don't know enough yet, come last, but are not left
    out: where all VMs are stopped at once their callers would else wait for a
    home until the end. A home does work for all entries, so that the weak ones
    come after the strong.

    Args:
      key: What needs a home.
      vms: VMs of any role and state; only entry VMs are taken.

    Returns:
      The VMs; without the first, the second would be the home.
    """
    candidates = [vm for vm in vms if vm.role is model.VmRole.ENTRY]
    strongest = max((vm.cores for vm in candidates), default=0.0)

    def rank(vm: model.Vm) -> tuple[int, bool, int, str]:
        weak = is_weak(vm.cores, strongest)
        return (_STATES.index(vm.state), weak, -score(vm.id, key), vm.id)

    return sorted(candidates, key=rank)


class HomeRanking:
    """Remembers the order of `homes_in_order` while the VM list stays.

    Asked for each request it would hash the names of all VMs each time.
    """

    def __init__(self) -> None:
        self._vms_by_id: dict[str, model.Vm] | None = None
        self._ranked_by_key: dict[str, list[model.Vm]] = {}

    def of(self, key: str, vms_by_id: dict[str, model.Vm]) -> list[model.Vm]:
        """Ranks the VMs that may be home to something, the home first.

        Args:
          key: What needs a home.
          vms_by_id: The VM list; a changed list is another dictionary.
        """
        if vms_by_id is not self._vms_by_id:
            self._vms_by_id = vms_by_id
            self._ranked_by_key = {}
        ranked = self._ranked_by_key.get(key)
        if ranked is None:
            ranked = homes_in_order(key, vms_by_id.values())
            self._ranked_by_key[key] = ranked
        return ranked


def home_of(endpoint_id: str, vms: Iterable[model.Vm]) -> model.Vm | None:
    """Finds the VM whose dispatch process is home to an endpoint.

    Two VMs with different lists may name different homes. That costs grants
    above an engine's slots, which the engine itself refuses; it never costs
    correctness.

    Args:
      endpoint_id: The endpoint.
      vms: VMs of any role and state; only live entry VMs are taken.

    Returns:
      The home, or None if there is no live entry VM.
    """
    candidates = [
        vm
        for vm in vms
        if vm.role is model.VmRole.ENTRY and vm.state is model.VmState.LIVE
    ]
    return max(
        candidates,
        key=lambda vm: (score(vm.id, endpoint_id), vm.id),
        default=None,
    )
