"""Tests of rendezvous hashing of endpoints to coordinators."""

from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous


def _vm(name: str) -> model.Vm:
    return model.Vm(
        id=name,
        host="127.0.0.1",
        availability_zone="gasabo",
        role=model.VmRole.ENTRY,
    )


class TestHomeOf:
    """Rendezvous hashing over the VM list."""

    def test_no_vm_means_no_coordinator(self) -> None:
        assert rendezvous.coordinator_of("e1", []) is None

    def test_removing_a_vm_moves_only_its_endpoints(self) -> None:
        vms = [_vm(f"vm{number}") for number in range(8)]
        endpoint_ids = [f"e{number}" for number in range(200)]
        before = {
            name: rendezvous.coordinator_of(name, vms) for name in endpoint_ids
        }
        after = {
            name: rendezvous.coordinator_of(name, vms[1:])
            for name in endpoint_ids
        }
        moved = [name for name in endpoint_ids if before[name] != after[name]]
        assert moved
        assert all(before[name] == vms[0] for name in moved)
