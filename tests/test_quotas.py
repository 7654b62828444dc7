"""Tests of customers' quotas across all VMs, in virtual time."""

import dataclasses
import heapq
import math
import random

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.decisions import model
from cowsliprill.decisions import quota_gate
from cowsliprill.decisions import quota_owner

_QUOTA = model.Quota(per_s=1_000.0, burst=1_000.0)
_QUOTAS = {"firm": _QUOTA}
_WINDOW_S = 8.0
_REPORT_S = 0.3


@dataclasses.dataclass(slots=True)
class _Outcome:
    asked: float = 0.0
    admitted: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    retry_delays: list[float] = dataclasses.field(default_factory=list)

    def total(self) -> float:
        return sum(cost for _, cost in self.admitted)

    def worst_window(self) -> float:
        return max(
            sum(
                cost
                for sent_at, cost in self.admitted
                if start <= sent_at < start + _WINDOW_S
            )
            for start in {sent_at for sent_at, _ in self.admitted}
        )


class _SimulatedFleet:
    """VMs that each get a share of one customer's requests.

    Attributes:
      cut_off_vms: VMs whose reports are lost.
      reachable_fraction: Fraction of the fleet that the owner can reach.
    """

    def __init__(self, vms: int, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self.owner = quota_owner.QuotaOwner()
        self.gates = [
            quota_gate.QuotaGate(random.Random(number)) for number in range(vms)
        ]
        for gate in self.gates:
            gate.set_vm_count(vms)
        self.cut_off_vms: set[int] = set()
        self.reachable_fraction = 1.0
        self.now = 0.0

    def run(self, load: float, length_s: float, cost: float) -> _Outcome:
        """Sends `load` times the quota, spread over all VMs."""
        outcome = _Outcome()
        end = self.now + length_s
        per_s = load * _QUOTA.per_s / cost
        events = [(self.now + self._random.expovariate(per_s), "ask", 0)]
        for number in range(len(self.gates)):
            sent_at = self.now + self._random.uniform(0, _REPORT_S)
            heapq.heappush(events, (sent_at, "report", number))
        while events[0][0] < end:
            self.now, kind, number = heapq.heappop(events)
            if kind == "report":
                self._report(number)
                heapq.heappush(events, (self.now + _REPORT_S, "report", number))
                continue
            self._send(outcome, cost)
            gap_s = self._random.expovariate(per_s)
            heapq.heappush(events, (self.now + gap_s, "ask", 0))
        return outcome

    def _send(self, outcome: _Outcome, cost: float) -> None:
        number = self._random.randrange(len(self.gates))
        gate = self.gates[number]
        outcome.asked += cost
        retry_after_s = gate.admit("firm", _QUOTA, cost, self.now)
        if retry_after_s is not None and gate.should_ask(
            "firm", cost, self.now
        ):
            self._report(number)
            retry_after_s = gate.decide_again("firm", _QUOTA, cost, self.now)
        if retry_after_s is None:
            outcome.admitted.append((self.now, cost))
        else:
            outcome.retry_delays.append(retry_after_s)

    def _report(self, number: int) -> None:
        gate = self.gates[number]
        usages = gate.usages(self.now)
        if not usages or number in self.cut_off_vms:
            return
        verdicts = self.owner.report(
            f"vm-{number}", usages, _QUOTAS, self.reachable_fraction, self.now
        )
        for usage, verdict in zip(usages, verdicts, strict=True):
            gate.record_verdict(usage, verdict, self.now)


@pytest.mark.parametrize("vms", [10, 71, 690])
class TestFleet:
    """The requests of one customer reach all VMs of a fleet."""

    # A customer's quota grows with the fleet that serves it.
    _COST_BY_VMS = {10: 5.0, 71: 5.0, 690: 1.0}

    def test_no_request_is_rejected_below_the_quota(self, vms):
        fleet = _SimulatedFleet(vms)
        outcome = fleet.run(0.8, 20.0, self._COST_BY_VMS[vms])
        assert outcome.total() == outcome.asked

    def test_customer_above_its_quota_is_limited(self, vms):
        """Guards against each VM admitting a whole quota of its own."""
        fleet = _SimulatedFleet(vms)
        fleet.run(0.5, 10.0, self._COST_BY_VMS[vms])
        outcome = fleet.run(4.0, 16.0, self._COST_BY_VMS[vms])
        allowed = _QUOTA.per_s * _WINDOW_S + _QUOTA.burst
        assert outcome.worst_window() <= 1.25 * allowed
        assert outcome.total() >= 0.8 * _QUOTA.per_s * 16.0

    def test_rejections_state_a_retry_delay(self, vms):
        fleet = _SimulatedFleet(vms)
        outcome = fleet.run(4.0, 10.0, self._COST_BY_VMS[vms])
        assert outcome.retry_delays
        assert all(0 < wait_s < 5 for wait_s in outcome.retry_delays)

    def test_rejections_end_soon_after_the_overload(self, vms):
        """Guards against rejections by an outdated verdict."""
        fleet = _SimulatedFleet(vms)
        fleet.run(4.0, 6.0, self._COST_BY_VMS[vms])
        fleet.run(0.1, 4.0, self._COST_BY_VMS[vms])
        outcome = fleet.run(0.6, 10.0, self._COST_BY_VMS[vms])
        assert outcome.total() >= 0.99 * outcome.asked


class TestFailures:
    """Owners and VMs that crash, time out or are partitioned."""

    def test_vms_share_the_quota_without_an_owner(self):
        """Guards against VMs without an owner that admit every request."""
        fleet = _SimulatedFleet(71)
        fleet.cut_off_vms = set(range(71))
        outcome = fleet.run(4.0, 16.0, 5.0)
        allowed = _QUOTA.per_s * _WINDOW_S + _QUOTA.burst
        assert outcome.worst_window() <= 2.0 * allowed
        late = [cost for sent_at, cost in outcome.admitted if sent_at > 8.0]
        assert sum(late) <= 1.25 * _QUOTA.per_s * 8.0

    def test_network_partitions_share_the_quota(self):
        """Guards against two partitions that each admit the whole quota."""
        partitions = [_SimulatedFleet(36, seed=1), _SimulatedFleet(35, seed=2)]
        for partition in partitions:
            partition.reachable_fraction = 0.5
            partition.run(1.0, 4.0, 5.0)
        outcomes = [partition.run(2.0, 10.0, 5.0) for partition in partitions]
        allowed = _QUOTA.per_s * _WINDOW_S + _QUOTA.burst
        assert sum(item.worst_window() for item in outcomes) <= 1.25 * allowed

    def test_new_owner_resumes_the_account(self):
        """Guards against a new owner that charges all usage since the start."""
        fleet = _SimulatedFleet(10)
        fleet.run(0.8, 10.0, 5.0)
        fleet.owner = quota_owner.QuotaOwner()
        outcome = fleet.run(0.8, 10.0, 5.0)
        assert outcome.total() == outcome.asked

    def test_lost_report_is_made_up_for(self):
        gate = quota_gate.QuotaGate(random.Random(1))
        owner = quota_owner.QuotaOwner()
        gate.admit("firm", _QUOTA, 600.0, 0.0)
        # The response is lost.
        owner.report("vm", gate.usages(0.1), _QUOTAS, 1.0, 0.1)
        gate.admit("firm", _QUOTA, 300.0, 0.1)
        (usage,) = gate.usages(0.1)
        (verdict,) = owner.report("vm", [usage], _QUOTAS, 1.0, 0.1)
        # 100 units of the burst are left, less than the reserve.
        assert verdict.admit_part < 1.0

    def test_requests_not_executed_are_refunded(self):
        gate = quota_gate.QuotaGate(random.Random(1))
        owner = quota_owner.QuotaOwner()
        for _ in range(20):
            gate.admit("firm", _QUOTA, 500.0, 0.0)
            gate.refund("firm", 500.0)
        (verdict,) = owner.report("vm", gate.usages(0.0), _QUOTAS, 1.0, 0.0)
        assert verdict.admit_part == 1.0

    def test_lowered_quota_takes_effect(self):
        fleet = _SimulatedFleet(10)
        fleet.run(0.8, 5.0, 5.0)
        lowered = {"firm": model.Quota(per_s=100.0, burst=100.0)}
        gate = fleet.gates[0]
        gate.admit("firm", lowered["firm"], 500.0, fleet.now)
        verdicts = []
        for _ in range(2):
            (usage,) = gate.usages(fleet.now)
            (verdict,) = fleet.owner.report(
                "vm-0", [usage], lowered, 1.0, fleet.now
            )
            gate.record_verdict(usage, verdict, fleet.now)
            gate.decide_again("firm", lowered["firm"], 500.0, fleet.now)
            verdicts.append(verdict)
        assert verdicts[-1].admit_part < 1.0

    def test_customers_without_a_quota_are_not_limited(self):
        owner = quota_owner.QuotaOwner()
        usage = quota_owner.Usage(customer="free", asked=1e9, admitted=1e9)
        (verdict,) = owner.report("vm", [usage], {}, 1.0, 0.0)
        assert verdict.admit_part == 1.0


class TestInterleavings:
    """Lost, repeated and reordered reports keep the account correct."""

    @hypothesis.settings(
        max_examples=200, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.sampled_from(["ask", "refund", "lost", "whole"]),
            ),
            max_size=60,
        )
    )
    def test_account_equals_the_admitted_cost(self, steps):
        quota = model.Quota(per_s=0.0, burst=1e6)
        owner = quota_owner.QuotaOwner()
        gates = [quota_gate.QuotaGate(random.Random(n)) for n in range(4)]
        admitted = 0.0
        for number, step in steps:
            gate = gates[number]
            match step:
                case "ask":
                    if gate.admit("firm", quota, 10.0, 0.0) is None:
                        admitted += 10.0
                case "refund":
                    gate.refund("firm", 0.0)
                case kind:
                    usages = gate.usages(0.0)
                    verdicts = owner.report(
                        f"vm-{number}", usages, {"firm": quota}, 1.0, 0.0
                    )
                    if kind == "whole":
                        for usage, verdict in zip(
                            usages, verdicts, strict=True
                        ):
                            gate.record_verdict(usage, verdict, 0.0)
        for number, gate in enumerate(gates):
            owner.report(
                f"vm-{number}", gate.usages(0.0), {"firm": quota}, 1.0, 0.0
            )
        level = owner.level("firm")
        assert math.isclose(level, 1e6 - admitted if admitted else level)


class TestReorderedReports:
    """Reports and their answers overtake each other between VMs.

    Guards against totals that go back at the owner, which credits the customer
    with what it has used, or at the VM, which reports it as used again.
    """

    _QUOTA = model.Quota(per_s=0.0, burst=1e6)

    def _usages(self, gate, count):
        usages = []
        for _ in range(count):
            gate.admit("firm", self._QUOTA, 10.0, 0.0)
            usages.append(gate.usage("firm", 0.0))
        return usages

    def _report(self, owner, usage):
        (verdict,) = owner.report(
            "vm-0", [usage], {"firm": self._QUOTA}, 1.0, 0.0
        )
        return verdict

    def test_late_report_gives_nothing_back(self):
        gate, owner = quota_gate.QuotaGate(random.Random(1)), _owner()
        early, late = self._usages(gate, 2)
        for usage in (late, early):
            self._report(owner, usage)
        assert owner.level("firm") == 1e6 - 20

    def test_late_answer_takes_back_no_report(self):
        gate, owner = quota_gate.QuotaGate(random.Random(1)), _owner()
        usages = self._usages(gate, 2)
        verdicts = [self._report(owner, usage) for usage in usages]
        for usage, verdict in reversed([*zip(usages, verdicts, strict=True)]):
            gate.record_verdict(usage, verdict, 0.0)
        assert gate.usages(0.0) == []
        assert gate.usage("firm", 0.0).admitted_before == 20

    # Guards against totals that begin anew within one process.
    def test_quota_that_is_removed_for_a_moment_gives_nothing_back(self):
        gate, owner = quota_gate.QuotaGate(random.Random(1)), _owner()
        for usage in self._usages(gate, 3):
            gate.record_verdict(usage, self._report(owner, usage), 0.0)
        gate.keep_only(set())
        gate.keep_only({"firm"})
        (usage,) = self._usages(gate, 1)
        self._report(owner, usage)
        assert usage.asked == 40
        assert owner.level("firm") == 1e6 - 40

    @hypothesis.settings(
        max_examples=200, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        order=strategies.permutations(range(6)),
        answered=strategies.permutations(range(6)),
    )
    def test_any_order_counts_each_request_once(self, order, answered):
        gate, owner = quota_gate.QuotaGate(random.Random(1)), _owner()
        usages = self._usages(gate, 6)
        levels, verdicts_by_index = [1e6], {}
        for index in order:
            verdicts_by_index[index] = self._report(owner, usages[index])
            levels.append(owner.level("firm"))
        for index in answered:
            gate.record_verdict(usages[index], verdicts_by_index[index], 0.0)
        assert levels == sorted(levels, reverse=True)
        assert levels[-1] == 1e6 - 60
        assert gate.usages(0.0) == []


def _owner():
    return quota_owner.QuotaOwner()
