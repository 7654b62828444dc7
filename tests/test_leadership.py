"""Who alone may order a pool's engines."""

import itertools
import random

import pytest

from cowsliprill.decisions import leadership
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership

_POOL = "writers"
_LEASE_S = 3.0
_PATIENCE_S = 3.5
_LOOKS_A_SECOND = 4


def _electorate(own, known_ids, alive_count, undiscovered_seeds=0):
    return leadership.Electorate(
        own=own,
        known_ids=frozenset(known_ids),
        alive_count=alive_count,
        undiscovered_seeds=undiscovered_seeds,
        failure_timeout_s=_PATIENCE_S,
    )


def _first(known_ids):
    return _electorate("a", known_ids, 1).first(_POOL)


class TestLeadership:
    """One process's own judgement."""

    def test_one_vm_leads_once_it_has_heard_of_nobody_new_for_long(self):
        leader = _first("abc")
        watch = leadership.Leadership()
        led_at = []
        for step in range(60):
            now = step / _LOOKS_A_SECOND
            watch.look(_electorate(leader, "abc", 3), now)
            if watch.leads(_POOL, now):
                led_at.append(now)
        assert led_at[0] == _electorate("a", "abc", 3).calm_s()
        assert led_at[-1] == 59 / _LOOKS_A_SECOND

    def test_the_others_never_lead(self):
        for own in {*"abc"} - {_first("abc")}:
            watch = leadership.Leadership()
            for step in range(60):
                now = step / _LOOKS_A_SECOND
                watch.look(_electorate(own, "abc", 3), now)
                assert not watch.leads(_POOL, now)

    def test_nobody_takes_over_from_a_silent_leader(self):
        """A leader is cut off from its peers but not from the engines.

        It goes on until it has missed their heartbeats. If another VM led
        meanwhile, engines would get orders of two.
        """
        second = next(vm for vm in "abc" if vm != _first("abc"))
        watch = leadership.Leadership()
        for step in range(400):
            now = step / _LOOKS_A_SECOND
            watch.look(_electorate(second, "abc", 2), now)
            assert not watch.leads(_POOL, now)

    def test_a_vm_that_hears_half_of_the_others_does_not_lead(self):
        leader = _first("abcd")
        watch = leadership.Leadership()
        for step in range(100):
            now = step / _LOOKS_A_SECOND
            watch.look(_electorate(leader, "abcd", 2), now)
            assert not watch.leads(_POOL, now)

    def test_seeds_that_nobody_was_met_at_count_as_silent_vms(self):
        """A VM starts while it is cut off from all others.

        It knows itself alone, so it hears all whom it knows. Its seeds tell
        that there are others, one of whom leads.
        """
        watch = leadership.Leadership()
        for step in range(100):
            now = step / _LOOKS_A_SECOND
            watch.look(_electorate("a", "a", 1, undiscovered_seeds=2), now)
            assert not watch.leads(_POOL, now)

    def test_after_a_pause_the_wait_begins_anew(self):
        """The leader's process stands still for some seconds and goes on.

        What it knows is as old as that; a VM that came meanwhile may lead.
        """
        leader = _first("abc")
        watch = leadership.Leadership()
        for step in range(60):
            watch.look(_electorate(leader, "abc", 3), step / _LOOKS_A_SECOND)
        woken = 15.0 + leadership.OBSERVATION_GAP_MAX_S
        assert not watch.leads(_POOL, woken)
        watch.look(_electorate(leader, "abc", 3), woken)
        assert not watch.leads(_POOL, woken)
        assert not watch.leads(_POOL, woken + leadership.OBSERVATION_GAP_MAX_S)


class TestFencingTokens:
    """The numbers on orders."""

    def test_numbers_rise_though_the_clock_is_set_back(self):
        tokens = leadership.FencingTokens("a")
        numbers = [tokens.next(ms) for ms in (5_000, 5_000, 100, 6_000)]
        assert numbers == sorted(set(numbers))

    def test_two_vms_never_share_a_number(self):
        vms = [f"edge-{number}" for number in range(8)]
        numbers = {leadership.FencingTokens(vm).next(7_000) for vm in vms}
        assert len(numbers) == len(vms)

    def test_the_present_time_fits_into_a_json_number(self):
        year_2100_ms = 4_102_444_800_000
        assert leadership.FencingTokens("a").next(year_2100_ms) < 2**53


class _Vm:
    """A VM's membership and leadership, from its start."""

    def __init__(self, name, seeds, started, incarnation):
        own = member_records.Record(
            id=name,
            host=name,
            port=1,
            availability_zone="z",
            incarnation=incarnation,
        )
        self.started = started
        self.members = membership.Membership(own, seeds, random.Random(1))
        self.leadership = leadership.Leadership()


def _times_led(starts, cuts, seeds):
    """Plays three VMs and returns when which of them could have ordered.

    Args:
      starts: Second of each VM's start.
      cuts: First and last second of each pair's cut, by pair.
      seeds: Names of the VMs that all are told of.
    """
    addresses = [(name, 1) for name in seeds]
    vms_by_name = {
        name: _Vm(name, addresses, started, started)
        for name, started in starts.items()
    }
    led = []
    for step in range(22 * _LOOKS_A_SECOND):
        now = step / _LOOKS_A_SECOND
        running = {
            name: vm for name, vm in vms_by_name.items() if vm.started <= now
        }
        for vm in running.values():
            if (now - vm.started) % membership.TICK_S == 0:
                _send(vm, vm.members.tick(now), running, cuts, now)
        for vm in running.values():
            if vm.members.is_urgent():
                _send(vm, vm.members.flush(), running, cuts, now)
            vm.leadership.look(vm.members.electorate(), now)
            if vm.leadership.leads(_POOL, now):
                led.append((now, vm.members.own.id))
    return led


def _send(vm, sends, running, cuts, now):
    name = vm.members.own.id
    for outgoing in sends:
        target, _ = outgoing.address
        first, last = cuts.get(frozenset((name, target)), (0, -1))
        if target in running and not first <= now <= last:
            other = running[target]
            answers = other.members.receive(outgoing.message, now)
            _send(other, answers, running, cuts, now)


def _conflicts(led):
    return [
        (one, other)
        for one, other in itertools.combinations(led, 2)
        if one[1] != other[1] and abs(other[0] - one[0]) < _LEASE_S
    ]


def _histories():
    """All ways in which three VMs start and each pair may be cut."""
    pairs = [frozenset(pair) for pair in ("ab", "bc", "ac")]
    cut_times = [(0, -1), (0, 7), (3, 14), (0, 30)]
    for starts in itertools.product((0, 2, 7.5), repeat=3):
        for times in itertools.product(cut_times, repeat=3):
            cuts = dict(zip(pairs, times, strict=True))
            yield dict(zip("abc", starts, strict=True)), cuts


class TestAllHistoriesOfThreeVms:
    """Every start and cut of three VMs, to a stated grain, one after another.

    Two VMs that lead within the lease time may give one engine orders that
    contradict each other, and it would change to and fro.
    """

    @pytest.mark.parametrize("seeds", ["abc", "ab"])
    def test_two_vms_never_lead_within_the_lease_time(self, seeds):
        led_in_some = False
        for starts, cuts in _histories():
            led = _times_led(starts, cuts, seeds)
            led_in_some = led_in_some or bool(led)
            assert not _conflicts(led), (starts, cuts)
        assert led_in_some

    def test_without_the_wait_two_would(self, monkeypatch):
        monkeypatch.setattr(leadership.Electorate, "calm_s", lambda self: 0.0)
        assert any(
            _conflicts(_times_led(starts, cuts, "abc"))
            for starts, cuts in _histories()
        )

    def test_without_hearing_most_two_would(self, monkeypatch):
        monkeypatch.setattr(
            leadership.Electorate, "has_majority", lambda self: True
        )
        assert any(
            _conflicts(_times_led(starts, cuts, "abc"))
            for starts, cuts in _histories()
        )
