"""Tests of the selection of the VM that may send orders to engines."""

import itertools
import random

import pytest

from cowsliprill.decisions import leadership
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership

_POOL = "writers"
_LEASE_S = 3.0
_FAILURE_TIMEOUT_S = 3.5
_OBSERVATIONS_PER_SECOND = 4


def _membership_view(own, known_ids, alive_count, undiscovered_seeds=0):
    return leadership.MembershipView(
        own=own,
        known_ids=frozenset(known_ids),
        alive_count=alive_count,
        undiscovered_seeds=undiscovered_seeds,
        failure_timeout_s=_FAILURE_TIMEOUT_S,
    )


def _leader_of(known_ids):
    return _membership_view("a", known_ids, 1).leader_of(_POOL)


class TestLeadership:
    """Decisions of a single process."""

    def test_the_leader_starts_after_the_stabilization_period(self):
        leader = _leader_of("abc")
        process_leadership = leadership.Leadership()
        led_at = []
        for step in range(60):
            now = step / _OBSERVATIONS_PER_SECOND
            process_leadership.observe(_membership_view(leader, "abc", 3), now)
            if process_leadership.is_leader(_POOL, now):
                led_at.append(now)
        assert led_at[0] == _membership_view("a", "abc", 3).stabilization_s()
        assert led_at[-1] == 59 / _OBSERVATIONS_PER_SECOND

    def test_the_others_never_lead(self):
        for own in {*"abc"} - {_leader_of("abc")}:
            process_leadership = leadership.Leadership()
            for step in range(60):
                now = step / _OBSERVATIONS_PER_SECOND
                process_leadership.observe(_membership_view(own, "abc", 3), now)
                assert not process_leadership.is_leader(_POOL, now)

    def test_nobody_takes_over_from_a_silent_leader(self):
        """Guards against engines that get orders from two VMs.

        A leader is cut off from its peers but not from the engines. It goes on
        until heartbeats of the peers time out, so no other VM may take over.
        """
        second = next(vm for vm in "abc" if vm != _leader_of("abc"))
        process_leadership = leadership.Leadership()
        for step in range(400):
            now = step / _OBSERVATIONS_PER_SECOND
            process_leadership.observe(_membership_view(second, "abc", 2), now)
            assert not process_leadership.is_leader(_POOL, now)

    def test_a_leader_without_a_majority_sends_no_orders(self):
        leader = _leader_of("abcd")
        process_leadership = leadership.Leadership()
        for step in range(100):
            now = step / _OBSERVATIONS_PER_SECOND
            process_leadership.observe(_membership_view(leader, "abcd", 2), now)
            assert not process_leadership.is_leader(_POOL, now)

    def test_undiscovered_seeds_count_as_unreachable_vms(self):
        """Guards against a second leader that starts while it is cut off.

        The VM knows only itself, so all VMs that it knows are alive. Its seeds
        show that there are others, one of which may be the leader.
        """
        process_leadership = leadership.Leadership()
        for step in range(100):
            now = step / _OBSERVATIONS_PER_SECOND
            process_leadership.observe(
                _membership_view("a", "a", 1, undiscovered_seeds=2), now
            )
            assert not process_leadership.is_leader(_POOL, now)

    def test_a_pause_restarts_the_stabilization_period(self):
        """Guards against a paused leader that goes on with outdated knowledge.

        The leader's process is paused for some seconds. A VM that started
        meanwhile may be the leader.
        """
        leader = _leader_of("abc")
        process_leadership = leadership.Leadership()
        for step in range(60):
            process_leadership.observe(
                _membership_view(leader, "abc", 3),
                step / _OBSERVATIONS_PER_SECOND,
            )
        resumed_at = 15.0 + leadership.OBSERVATION_GAP_MAX_S
        assert not process_leadership.is_leader(_POOL, resumed_at)
        process_leadership.observe(
            _membership_view(leader, "abc", 3), resumed_at
        )
        assert not process_leadership.is_leader(_POOL, resumed_at)
        assert not process_leadership.is_leader(
            _POOL, resumed_at + leadership.OBSERVATION_GAP_MAX_S
        )


class TestFencingTokens:
    """Fencing tokens of orders."""

    def test_tokens_increase_though_the_clock_is_set_back(self):
        tokens = leadership.FencingTokens("a")
        numbers = [tokens.next(ms) for ms in (5_000, 5_000, 100, 6_000)]
        assert numbers == sorted(set(numbers))

    def test_two_vms_never_share_a_token(self):
        vms = [f"edge-{number}" for number in range(8)]
        numbers = {leadership.FencingTokens(vm).next(7_000) for vm in vms}
        assert len(numbers) == len(vms)

    def test_tokens_are_exact_as_json_numbers(self):
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


def _simulate(starts, cuts, seeds):
    """Simulates three VMs.

    Args:
      starts: Start time of each VM in seconds, by name.
      cuts: First and last second of each cut link, by pair of names.
      seeds: Names of the VMs that all VMs have as seeds.

    Returns:
      Pairs of a time and the VM that could have sent an order at that time.
    """
    addresses = [(name, 1) for name in seeds]
    vms_by_name = {
        name: _Vm(name, addresses, started, started)
        for name, started in starts.items()
    }
    led = []
    for step in range(22 * _OBSERVATIONS_PER_SECOND):
        now = step / _OBSERVATIONS_PER_SECOND
        running = {
            name: vm for name, vm in vms_by_name.items() if vm.started <= now
        }
        for vm in running.values():
            if (now - vm.started) % membership.TICK_S == 0:
                _send(vm, vm.members.tick(now), running, cuts, now)
        for vm in running.values():
            if vm.members.has_unsent_updates():
                _send(vm, vm.members.flush(), running, cuts, now)
            vm.leadership.observe(vm.members.membership_view(), now)
            if vm.leadership.is_leader(_POOL, now):
                led.append((now, vm.members.own.id))
    return led


def _send(vm, sends, running, cuts, now):
    name = vm.members.own.id
    for outgoing in sends:
        target, _ = outgoing.address
        cut_start, cut_end = cuts.get(frozenset((name, target)), (0, -1))
        if target in running and not cut_start <= now <= cut_end:
            other = running[target]
            answers = other.members.receive(outgoing.message, now)
            _send(other, answers, running, cuts, now)


def _conflicts(led):
    return [
        (one, other)
        for one, other in itertools.combinations(led, 2)
        if one[1] != other[1] and abs(other[0] - one[0]) < _LEASE_S
    ]


def _scenarios():
    """Yields all combinations of start times and cut links of three VMs."""
    pairs = [frozenset(pair) for pair in ("ab", "bc", "ac")]
    cut_times = [(0, -1), (0, 7), (3, 14), (0, 30)]
    for starts in itertools.product((0, 2, 7.5), repeat=3):
        for times in itertools.product(cut_times, repeat=3):
            cuts = dict(zip(pairs, times, strict=True))
            yield dict(zip("abc", starts, strict=True)), cuts


class TestAllScenariosOfThreeVms:
    """Exhaustive simulation of starts and cut links, for given times.

    Guards against two VMs that are leaders within the lease time: they may
    send contradicting orders to one engine, which would switch back and forth.
    """

    @pytest.mark.parametrize("seeds", ["abc", "ab"])
    def test_two_vms_never_lead_within_the_lease_time(self, seeds):
        had_leader = False
        for starts, cuts in _scenarios():
            led = _simulate(starts, cuts, seeds)
            had_leader = had_leader or bool(led)
            assert not _conflicts(led), (starts, cuts)
        assert had_leader

    def test_without_the_stabilization_period_two_vms_would(self, monkeypatch):
        monkeypatch.setattr(
            leadership.MembershipView, "stabilization_s", lambda self: 0.0
        )
        assert any(
            _conflicts(_simulate(starts, cuts, "abc"))
            for starts, cuts in _scenarios()
        )

    def test_without_a_majority_two_vms_would(self, monkeypatch):
        monkeypatch.setattr(
            leadership.MembershipView, "has_majority", lambda self: True
        )
        assert any(
            _conflicts(_simulate(starts, cuts, "abc"))
            for starts, cuts in _scenarios()
        )
