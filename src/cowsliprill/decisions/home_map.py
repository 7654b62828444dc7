"""The homes of many endpoints, kept up while the VM list changes.

Gives the same answers as `ownership.home_of`. Asking that for every endpoint
at every change costs endpoints times VMs: at 5,900 engines and 690 VMs that is
four million hashes, seconds of a core, about every third second. A new VM can
only take endpoints over, and one that is gone only leaves its own behind, so a
change of one VM needs one hash an endpoint.
"""

from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import model


class HomeMap:
    """Remembers the home of each endpoint that was asked for."""

    def __init__(self) -> None:
        self._vms_by_id: dict[str, model.Vm] = {}
        self._keys_by_vm: dict[str, bytes] = {}
        self._best_by_endpoint: dict[str, tuple[int, str]] = {}

    def update(self, vms: Iterable[model.Vm]) -> None:
        """Takes a VM list.

        Args:
          vms: VMs of any role and state; only live entry VMs are taken.
        """
        vms_by_id = {vm.id: vm for vm in vms if _may_be_home(vm)}
        gone = self._vms_by_id.keys() - vms_by_id.keys()
        new = vms_by_id.keys() - self._vms_by_id.keys()
        self._vms_by_id = vms_by_id
        self._keys_by_vm = {
            vm_id: self._keys_by_vm.get(vm_id) or f"{vm_id}\0".encode()
            for vm_id in vms_by_id
        }
        if gone or new:
            self._revise(gone, new)

    def home_of(self, endpoint_id: str) -> model.Vm | None:
        """Returns the home of an endpoint, None if there is no entry VM.

        Args:
          endpoint_id: The endpoint.
        """
        best = self._best_by_endpoint.get(endpoint_id)
        if best is None:
            if not self._vms_by_id:
                return None
            best = self._best_of(endpoint_id, self._keys_by_vm)
            self._best_by_endpoint[endpoint_id] = best
        return self._vms_by_id[best[1]]

    def keep_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forgets endpoints that are no more.

        Args:
          endpoint_ids: Those that may still be asked for.
        """
        best_by_endpoint = self._best_by_endpoint
        self._best_by_endpoint = {
            endpoint_id: best_by_endpoint[endpoint_id]
            for endpoint_id in endpoint_ids
            if endpoint_id in best_by_endpoint
        }

    def _revise(self, gone: set[str], new: set[str]) -> None:
        new_keys = {vm_id: self._keys_by_vm[vm_id] for vm_id in new}
        kept = {}
        for endpoint_id, best in self._best_by_endpoint.items():
            if best[1] in gone:
                continue
            if new_keys:
                best = max(best, self._best_of(endpoint_id, new_keys))
            kept[endpoint_id] = best
        self._best_by_endpoint = kept

    @staticmethod
    def _best_of(
        endpoint_id: str, keys_by_vm: dict[str, bytes]
    ) -> tuple[int, str]:
        digest = xxhash.xxh3_64_intdigest
        suffix = endpoint_id.encode()
        return max(
            (digest(key + suffix), vm_id) for vm_id, key in keys_by_vm.items()
        )


def _may_be_home(vm: model.Vm) -> bool:
    return vm.role is model.VmRole.ENTRY and vm.state is model.VmState.LIVE
