"""Tests of the admission by quota on one VM, in virtual time."""

import asyncio
import random
import types

import pytest

import fake_log
import quota_simulation
import virtual_time
from cowsliprill import clock
from cowsliprill import codec
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_account
from cowsliprill.decisions import quota_owner
from cowsliprill.entry import errors
from cowsliprill.quotas import usage_reporter
from cowsliprill.quotas import wire

_VMS = 6
_QUOTA = quota_simulation.QUOTA
_COST = quota_simulation.REQUEST_COST
_LENGTH_S = 8.0

# What one of the VMs may admit in this time without the others.
_SHARE = (_QUOTA.per_s * _LENGTH_S + _QUOTA.burst) / _VMS


class _Owners:
    """The VMs that own the quota.

    Attributes:
      answer: Returns the answer to a report, None for no answer in time.
      ended: Ids of the VMs that refuse connections.
      called: Ids of the VMs called.
    """

    def __init__(self, answer):
        self.answer = answer
        self.ended: set[str] = set()
        self.called: list[str] = []

    async def post(self, vm, path, message, timeout_s):
        del path
        self.called.append(vm.id)
        if vm.id in self.ended:
            raise errors.CoordinatorError("connection refused")
        verdicts = self.answer(message)
        if verdicts is None:
            await asyncio.sleep(timeout_s)
            raise errors.CoordinatorError("timeout")
        await asyncio.sleep(0.004)
        return codec.encode(wire.UsageResponse(verdicts=tuple(verdicts)))


def _reporter(owners):
    handler = types.SimpleNamespace(set_quotas=lambda quotas: None)
    reporter = usage_reporter.UsageReporter(
        "own", "own.1", handler, owners, fake_log.FakeLog(), random.Random(1)
    )
    vms_by_id = {
        f"vm-{number}": model.Vm(
            id=f"vm-{number}",
            host="10.0.0.1",
            availability_zone="a",
            role=model.VmRole.ENTRY,
        )
        for number in range(_VMS)
    }
    customer = types.SimpleNamespace(id="firm", quota=_QUOTA)
    reporter.update(
        types.SimpleNamespace(customers_by_id={"firm": customer}),
        types.SimpleNamespace(vms_by_id=vms_by_id),
    )
    return reporter


async def _send(reporter, load, length_s=_LENGTH_S):
    """Sends a VM's part of `load` times the quota; returns what it admits."""
    running = asyncio.create_task(reporter.run())
    interval_s = _COST / (load * _QUOTA.per_s / _VMS)
    requests = []
    for _ in range(int(length_s / interval_s)):
        requests.append(
            asyncio.create_task(reporter.admit("firm", _QUOTA, _COST))
        )
        await asyncio.sleep(interval_s)
    admitted = [await request is None for request in requests]
    running.cancel()
    return sum(admitted) * _COST


class TestNoVerdict:
    """The VM has just started, or the owner gives no answer."""

    # Guards against a VM that admits all requests until its owner is given up.
    def test_vm_without_a_verdict_admits_its_share(self, monkeypatch):
        reporter = _reporter(_Owners(lambda report: None))
        admitted = virtual_time.run(_send(reporter, 4.0), monkeypatch)
        assert 0.5 * _SHARE <= admitted <= _SHARE + _COST

    # Guards against a full share for each time that the owner doesn't answer.
    def test_owner_that_seldom_answers(self, monkeypatch):
        refusal = quota_owner.Verdict(
            customer="firm", admit_part=0.0, retry_after_s=1.0, level=-1e4
        )
        answered_at = []

        def answer(report):
            del report
            if answered_at and clock.now() - answered_at[-1] < 1.5:
                return None
            answered_at.append(clock.now())
            return [refusal]

        reporter = _reporter(_Owners(answer))
        admitted = virtual_time.run(_send(reporter, 4.0), monkeypatch)
        assert admitted <= _SHARE + _COST

    def test_owners_that_have_ended_cost_no_request(self, monkeypatch):
        owner = quota_owner.QuotaOwner()
        owners = _Owners(_answers_of(owner))
        owners.ended = {"vm-0", "vm-1", "vm-2", "vm-3"}
        reporter = _reporter(owners)
        admitted = virtual_time.run(_send(reporter, 0.9, 3.0), monkeypatch)
        assert admitted == int(3.0 * 0.9 * _QUOTA.per_s / _VMS / _COST) * _COST

    def test_silent_owners_are_not_waited_for_again_and_again(
        self, monkeypatch
    ):
        owners = _Owners(lambda report: None)
        reporter = _reporter(owners)

        async def scenario():
            waits_s = []
            for _ in range(12):
                sent_at = clock.now()
                await reporter.admit("firm", _QUOTA, _COST)
                waits_s.append(clock.now() - sent_at)
            return waits_s

        waits_s = virtual_time.run(scenario(), monkeypatch)
        assert sum(wait_s > 0 for wait_s in waits_s) == 1
        assert max(waits_s) < 1.1

    # Guards against an owner that isn't asked again while requests go on.
    def test_owner_is_asked_again_after_a_second(self, monkeypatch):
        owners = _Owners(lambda report: None)
        reporter = _reporter(owners)

        async def scenario():
            end = clock.now() + 5.0
            while clock.now() < end:
                await reporter.admit("firm", _QUOTA, _COST)
                await asyncio.sleep(0.1)

        virtual_time.run(scenario(), monkeypatch)
        assert len(owners.called) >= 6

    # Guards against refusals within the quota once the owner answers again.
    def test_owner_that_is_back_admits_at_once(self, monkeypatch):
        owner = quota_owner.QuotaOwner()
        answer = _answers_of(owner)
        owners = _Owners(lambda report: None)
        reporter = _reporter(owners)

        async def scenario():
            running = asyncio.create_task(reporter.run())
            for _ in range(4):
                await reporter.admit("firm", _QUOTA, _COST)
            owners.answer = answer
            await asyncio.sleep(0.3)
            # Other VMs have the customer's other requests.
            others = quota_owner.Usage(customer="firm", asked=1e6, admitted=0.0)
            owner.report("vm-9", [others], {"firm": _QUOTA}, 1.0, clock.now())
            await reporter.admit("firm", _QUOTA, _COST)
            await asyncio.sleep(0.3)
            results = [
                await reporter.admit("firm", _QUOTA, _COST) for _ in range(4)
            ]
            running.cancel()
            return results

        assert virtual_time.run(scenario(), monkeypatch) == [None] * 4

    def test_removed_quota_ends_a_question(self, monkeypatch):
        reporter = _reporter(_Owners(lambda report: None))

        async def scenario():
            requests = [
                asyncio.create_task(reporter.admit("firm", _QUOTA, _COST))
                for _ in range(4)
            ]
            await asyncio.sleep(0.1)
            reporter.update(
                types.SimpleNamespace(customers_by_id={}),
                types.SimpleNamespace(vms_by_id={}),
            )
            return await asyncio.gather(*requests)

        results = virtual_time.run(scenario(), monkeypatch)
        assert len(results) == 4


class TestWokenVm:
    """Many requests wait while the VM stands still."""

    # Guards against all of them being admitted by one verdict.
    @pytest.mark.parametrize("left", [5_000.0, 20_000.0, 40_000.0])
    def test_requests_use_up_what_is_left_only(self, left, monkeypatch):
        owner = quota_owner.QuotaOwner()
        owner.report(
            "vm-9",
            [
                quota_owner.Usage(
                    customer="firm",
                    asked=0.0,
                    admitted=0.0,
                    level=quota_account.ReportedLevel(level=left),
                )
            ],
            {"firm": _QUOTA},
            1.0,
            1_000.0,
        )
        owners = _Owners(_answers_of(owner))
        reporter = _reporter(owners)

        async def scenario():
            results = await asyncio.gather(
                *(reporter.admit("firm", _QUOTA, _COST) for _ in range(30))
            )
            return results.count(None) * _COST

        admitted = virtual_time.run(scenario(), monkeypatch)
        earned = 0.2 * _QUOTA.per_s
        assert admitted <= left + earned + _COST
        assert len(owners.called) <= 10


def _answers_of(owner):
    def answer(report):
        return owner.report(
            report.reporter,
            report.usages,
            {"firm": _QUOTA},
            1.0,
            clock.now(),
        )

    return answer
