"""Tests of `decisions.home_choice`."""

from cowsliprill.decisions import home_choice
from cowsliprill.decisions import model
from cowsliprill.decisions import ownership

_POOL = "writers"


def _vms(count: int) -> list[model.Vm]:
    """Returns VMs in the order in which they are home."""
    vms = [
        model.Vm(
            id=f"vm-{number}",
            host=f"10.0.0.{number}",
            availability_zone="a",
            role=model.VmRole.ENTRY,
        )
        for number in range(count)
    ]
    return ownership.homes_in_order(_POOL, vms)


def _by_id(vms) -> dict[str, model.Vm]:
    return {vm.id: vm for vm in vms}


class TestChoice:
    """The first by the own list, but for what others say and calls show."""

    def test_it_changes_only_when_another_vm_is_first(self):
        vms = _vms(3)
        choice = home_choice.HomeChoice(_POOL)
        assert choice.look_up(_by_id(vms[1:]), 0.0)
        assert not choice.look_up(_by_id(vms[1:]), 1.0)
        assert choice.look_up(_by_id(vms), 2.0)
        assert choice.home == vms[0]

    def test_without_any_vm_there_is_none(self):
        choice = home_choice.HomeChoice(_POOL)
        assert not choice.look_up({}, 0.0)
        assert choice.home is None

    def test_one_that_gives_no_answer_is_left_for_a_while(self):
        vms = _vms(3)
        choice = home_choice.HomeChoice(_POOL)
        choice.look_up(_by_id(vms), 0.0)
        for _ in range(home_choice.FAILURES_MAX):
            choice.failed(vms[0], 1.0)
        choice.look_up(_by_id(vms), 1.0)
        assert choice.home == vms[1]
        assert choice.avoided(1.0) == (vms[0].id,)
        assert not choice.failed(vms[0], 1.0)
        choice.look_up(_by_id(vms), 9.0)
        assert choice.home == vms[0]

    def test_an_answer_ends_the_row_of_failures(self):
        vms = _vms(2)
        choice = home_choice.HomeChoice(_POOL)
        choice.look_up(_by_id(vms), 0.0)
        for _ in range(2 * home_choice.FAILURES_MAX):
            choice.failed(vms[0], 1.0)
            choice.answered()
        assert not choice.look_up(_by_id(vms), 1.0)

    def test_another_vms_word_counts_for_a_moment(self):
        """A VM that this one doesn't know of is the home by another's word."""
        vms = _vms(2)
        choice = home_choice.HomeChoice(_POOL)
        choice.look_up(_by_id(vms[1:]), 0.0)
        assert choice.follow(vms[1], vms[0], 0.0)
        assert not choice.look_up(_by_id(vms[1:]), 0.5)
        assert choice.home == vms[0]
        assert choice.look_up(_by_id(vms[1:]), 5.0)
        assert choice.home == vms[1]
