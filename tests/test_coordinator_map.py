"""Differential tests of the coordinator map against a full recomputation."""

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import coordinator_map
from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)
_ENDPOINT_IDS = [f"d{number}" for number in range(30)]


def _vm(number: int, leaving: bool, port: int) -> model.Vm:
    return model.Vm(
        id=f"vm-{number}",
        host="127.0.0.1",
        availability_zone="gasabo",
        role=model.VmRole.ENTRY,
        state=model.VmState.LEAVING if leaving else model.VmState.LIVE,
        dispatch_port=port,
    )


_VM_LISTS = strategies.lists(
    strategies.dictionaries(
        strategies.integers(0, 6),
        strategies.tuples(strategies.booleans(), strategies.integers(1, 3)),
    ),
    min_size=1,
    max_size=6,
)


class TestHomeMap:
    """Incremental updates give the same coordinators as recomputation."""

    @_SETTINGS
    @hypothesis.given(lists=_VM_LISTS)
    def test_same_coordinators_as_home_of_after_each_update(
        self, lists: list[dict[int, tuple[bool, int]]]
    ) -> None:
        """VMs are added, removed, leave and change ports, several at once.

        If the map and the entry processes computed different coordinators,
        slot demands would go to a VM that doesn't grant leases, and its
        engines would stay idle.
        """
        coordinators = coordinator_map.CoordinatorMap()
        for states_by_number in lists:
            vms = [
                _vm(number, *state)
                for number, state in states_by_number.items()
            ]
            coordinators.update(vms)
            for endpoint_id in _ENDPOINT_IDS:
                expected = rendezvous.coordinator_of(endpoint_id, vms)
                assert coordinators.coordinator_of(endpoint_id) == expected

    def test_dropped_endpoint_is_computed_again(self) -> None:
        coordinators = coordinator_map.CoordinatorMap()
        vms = [_vm(number, False, 1) for number in range(5)]
        coordinators.update(vms)
        before = coordinators.coordinator_of("d1")
        coordinators.keep_only([])
        assert coordinators.coordinator_of("d1") == before
