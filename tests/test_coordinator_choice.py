"""Tests of the choice of a coordinator by its clients."""

from cowsliprill.decisions import coordinator_choice
from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous

_POOL = "writers"


def _vms(count: int) -> list[model.Vm]:
    """Returns VMs by rank; the first one is the coordinator."""
    vms = [
        model.Vm(
            id=f"vm-{number}",
            host=f"10.0.0.{number}",
            availability_zone="a",
            role=model.VmRole.ENTRY,
        )
        for number in range(count)
    ]
    return rendezvous.rank_vms(_POOL, vms)


def _by_id(vms) -> dict[str, model.Vm]:
    return {vm.id: vm for vm in vms}


class TestChoice:
    """Rendezvous ranking, overridden by redirects and failed calls."""

    def test_coordinator_changes_only_if_another_vm_ranks_first(self):
        vms = _vms(3)
        choice = coordinator_choice.CoordinatorChoice(_POOL)
        assert choice.update(_by_id(vms[1:]), 0.0)
        assert not choice.update(_by_id(vms[1:]), 1.0)
        assert choice.update(_by_id(vms), 2.0)
        assert choice.home == vms[0]

    def test_no_vm_means_no_coordinator(self):
        choice = coordinator_choice.CoordinatorChoice(_POOL)
        assert not choice.update({}, 0.0)
        assert choice.home is None

    def test_unresponsive_coordinator_is_suspended_temporarily(self):
        vms = _vms(3)
        choice = coordinator_choice.CoordinatorChoice(_POOL)
        choice.update(_by_id(vms), 0.0)
        for _ in range(coordinator_choice.MAX_CONSECUTIVE_FAILURES):
            choice.record_failure(vms[0], 1.0)
        choice.update(_by_id(vms), 1.0)
        assert choice.home == vms[1]
        assert choice.suspended_ids(1.0) == (vms[0].id,)
        assert not choice.record_failure(vms[0], 1.0)
        choice.update(_by_id(vms), 9.0)
        assert choice.home == vms[0]

    def test_response_resets_consecutive_failures(self):
        vms = _vms(2)
        choice = coordinator_choice.CoordinatorChoice(_POOL)
        choice.update(_by_id(vms), 0.0)
        for _ in range(2 * coordinator_choice.MAX_CONSECUTIVE_FAILURES):
            choice.record_failure(vms[0], 1.0)
            choice.answered()
        assert not choice.update(_by_id(vms), 1.0)

    def test_redirect_expires(self):
        """A redirect names a VM that is missing from the local VM list."""
        vms = _vms(2)
        choice = coordinator_choice.CoordinatorChoice(_POOL)
        choice.update(_by_id(vms[1:]), 0.0)
        assert choice.follow(vms[1], vms[0], 0.0)
        assert not choice.update(_by_id(vms[1:]), 0.5)
        assert choice.home == vms[0]
        assert choice.update(_by_id(vms[1:]), 5.0)
        assert choice.home == vms[1]
