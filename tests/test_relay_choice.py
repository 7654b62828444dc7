"""Tests for `decisions.relay_choice`."""

import collections
import random

import pytest

from cowsliprill.decisions import model
from cowsliprill.decisions import relay_choice

_ZONES = ("gasabo", "remera", "kicukiro")


def _vm(number: int, **changes) -> model.Vm:
    fields = {
        "id": f"vm-{number}",
        "host": "10.0.0.1",
        "availability_zone": _ZONES[number % len(_ZONES)],
        "role": model.VmRole.ENTRY,
        "entry_ports": (1,),
        **changes,
    }
    return model.Vm(**fields)


def _choice(vm_id: str = "vm-0") -> relay_choice.RelayChoice:
    return relay_choice.RelayChoice(vm_id, _ZONES[0], random.Random(1))


class TestCandidates:
    """Which VMs may be asked to serve a request."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"id": "vm-0"},
            {"state": model.VmState.LEAVING},
            {"state": model.VmState.JOINING},
            {"role": model.VmRole.ENDPOINT},
            {"entry_ports": ()},
        ],
    )
    def test_unsuitable_vms_are_left_out(self, changes: dict):
        assert (
            _choice().choose([_vm(1, **changes)], "desk", (), (), 1.0) is None
        )

    def test_vm_that_declined_is_asked_again_after_a_second(self):
        choice = _choice()
        choice.record_declined("vm-1", "desk", 1.0)
        assert choice.choose([_vm(1)], "desk", (), (), 1.9) is None
        assert choice.choose([_vm(1)], "desk", (), (), 2.1) == _vm(1)

    def test_vm_that_declined_for_another_pool_is_asked(self):
        choice = _choice()
        choice.record_declined("vm-1", "other", 1.0)
        assert choice.choose([_vm(1)], "desk", (), (), 1.1) == _vm(1)

    def test_vm_that_declined_this_request_is_left_out(self):
        assert _choice().choose([_vm(1)], "desk", {"vm-1"}, (), 1.0) is None


class TestLostZones:
    """VMs whose paths are likely lost are asked last."""

    # Guards against VMs of a zone that is cut off which ask each other.
    def test_vm_of_the_same_zone_goes_last(self):
        vms = [_vm(number) for number in (3, 6, 1, 9)]
        assert _choice().choose(vms, "desk", (), (), 1.0) == _vm(1)
        chosen = _choice().choose(vms, "desk", {"vm-1"}, (), 1.0)
        assert chosen.availability_zone == _ZONES[0]

    def test_vms_of_a_zone_where_one_has_declined_follow(self):
        choice = _choice()
        choice.record_declined("vm-1", "desk", 1.0)
        vms = [_vm(number) for number in (1, 4, 7, 10, 2)]
        assert choice.choose(vms, "desk", (), (), 1.1) == _vm(2)

    # Guards against traffic of a whole zone that moves to the only zone without
    # a single VM that has lost its path.
    def test_zone_where_few_have_lost_their_path_is_asked(self):
        vms = [_vm(number) for number in (1, 4, 7, 10, 13)]
        chosen = {
            relay_choice.RelayChoice("vm-0", _ZONES[0], random.Random(seed))
            .choose([*vms, _vm(2)], "desk", (), {"vm-1"}, 1.0)
            .id
            for seed in range(50)
        }
        assert chosen == {"vm-2", "vm-4", "vm-7", "vm-10", "vm-13"}

    def test_zone_where_many_have_lost_their_path_follows(self):
        vms = [_vm(number) for number in (1, 4, 7, 10, 2)]
        without_path_ids = {"vm-1", "vm-4"}
        chosen = _choice().choose(vms, "desk", (), without_path_ids, 1.0)
        assert chosen == _vm(2)

    def test_vm_without_a_path_follows_vms_of_lost_zones(self):
        chosen = _choice().choose([_vm(1), _vm(3)], "desk", (), {"vm-1"}, 1.0)
        assert chosen == _vm(3)

    # Guards against a notice that outlives the loss: it may delay a request but
    # not refuse it.
    def test_vm_without_a_path_is_asked_if_none_is_left(self):
        assert _choice().choose([_vm(1)], "desk", (), {"vm-1"}, 1.0) == _vm(1)


class TestSpread:
    """How the requests of a cut-off VM are spread over its peers."""

    # Guards against one peer that gets all requests of a cut-off VM.
    @pytest.mark.parametrize("vms", [6, 71, 195])
    def test_running_requests_are_spread_evenly(self, vms: int):
        fleet = [_vm(number) for number in range(vms)]
        others = {vm.id for vm in fleet if vm.availability_zone != _ZONES[0]}
        choice = _choice()
        running = collections.Counter()
        for _ in range(2 * len(others)):
            chosen = choice.choose(fleet, "desk", (), (), 1.0)
            choice.begin(chosen.id)
            running[chosen.id] += 1
        assert running == dict.fromkeys(others, 2)

    def test_ended_requests_do_not_count(self):
        choice = _choice()
        fleet = [_vm(2), _vm(1)]
        choice.begin("vm-1")
        for _ in range(5):
            choice.begin("vm-2")
            choice.end("vm-2")
        assert choice.choose(fleet, "desk", (), (), 1.0) == _vm(2)


class TestOutage:
    """No VM reaches the endpoints."""

    # Guards against a storm between VMs while none of them can serve.
    @pytest.mark.parametrize("vms", [6, 71, 195])
    def test_number_of_peers_asked_is_bounded(self, vms: int):
        fleet = [_vm(number) for number in range(vms)]
        choice = _choice()
        asked = 0
        for step in range(1_000):
            now = 1.0 + step / 1_000
            tried = set()
            while (
                chosen := choice.choose(fleet, "desk", tried, (), now)
            ) is not None:
                asked += 1
                tried.add(chosen.id)
                choice.record_declined(chosen.id, "desk", now)
        assert asked <= 6
