"""Tests of the accounts of quotas and of what their levels rest on."""

import dataclasses
import math
import random

import pytest

from cowsliprill import codec
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_account
from cowsliprill.decisions import quota_gate
from cowsliprill.decisions import quota_owner
from cowsliprill.quotas import wire

_QUOTA = model.Quota(per_s=1_000.0, burst=1_000.0, by_tokens=True)
_QUOTAS = {"firm": _QUOTA}
_TOLERANCE = quota_owner.QuotaTolerance(fraction=0.5, tokens=500.0)
# With the tolerance.
_BURST = 2_000.0


def _owner():
    return quota_owner.QuotaOwner(_TOLERANCE)


def _report(owner, usage, now, quotas=None, fraction=1.0, reporter="vm-1"):
    (verdict,) = owner.report(
        reporter, [usage], quotas or _QUOTAS, fraction, now
    )
    return verdict


def _usage(admitted, before=0.0, level=None, age_s=0.0, *, assumed=False):
    reported = None
    if level is not None:
        reported = quota_account.ReportedLevel(
            level=level, age_s=age_s, assumed=assumed
        )
    return quota_owner.Usage(
        customer="firm",
        asked=admitted,
        admitted=admitted,
        asked_before=before,
        admitted_before=before,
        level=reported,
    )


class TestNewOwner:
    """An owner begins to keep an account."""

    # Guards against the tolerance being given out at each change of the owner.
    def test_unknown_usage_leaves_the_burst_without_the_tolerance(self):
        owner = _owner()
        verdict = _report(owner, _usage(100.0), 0.0)
        assert verdict.level == _QUOTA.burst - 100
        assert verdict.level_assumed

    def test_level_of_the_earlier_owner_is_resumed(self):
        owner = _owner()
        verdict = _report(owner, _usage(900.0, 800.0, 300.0), 0.0)
        assert verdict.level == 200
        assert not verdict.level_assumed

    def test_age_of_a_reported_level_earns_the_quota(self):
        owner = _owner()
        verdict = _report(owner, _usage(800.0, 800.0, 300.0, 0.2), 0.0)
        assert verdict.level == pytest.approx(300 + 0.2 * 1_500)

    def test_vm_that_was_told_later_knows_better(self):
        owner = _owner()
        _report(owner, _usage(50.0, 0.0, 1_900.0, 0.1), 0.0)
        verdict = _report(
            owner, _usage(80.0, 60.0, 400.0), 0.0, reporter="vm-2"
        )
        assert verdict.level == pytest.approx(400 - 50 - 20)

    def test_vm_that_was_told_earlier_changes_nothing(self):
        owner = _owner()
        _report(owner, _usage(50.0, 0.0, 400.0), 0.0)
        verdict = _report(
            owner, _usage(80.0, 60.0, 1_900.0, 0.1), 0.0, reporter="vm-2"
        )
        assert verdict.level == pytest.approx(400 - 50 - 20)

    def test_known_level_replaces_an_assumption(self):
        owner = _owner()
        _report(owner, _usage(100.0), 0.0)
        verdict = _report(
            owner, _usage(200.0, 200.0, 1_800.0), 0.0, reporter="vm-2"
        )
        assert verdict.level == 1_700
        assert not verdict.level_assumed

    # Guards against an assumption that is passed on as knowledge.
    def test_assumed_level_lowers_no_known_one(self):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, 1_900.0), 0.0)
        verdict = _report(
            owner,
            _usage(50.0, 50.0, 900.0, assumed=True),
            0.0,
            reporter="vm-2",
        )
        assert verdict.level == 1_900

    def test_events_tell_what_the_level_rests_on(self):
        owner = _owner()
        _report(owner, _usage(100.0), 0.0)
        _report(owner, _usage(200.0, 200.0, 1_800.0, 0.5), 0.0, reporter="vm-2")
        opened, learned = owner.take_events()
        assert opened.basis is quota_account.LevelBasis.ASSUMED
        assert (learned.level, learned.age_s) == (1_900, 0.5)
        assert owner.take_events() == []


class TestReturningOwner:
    """VMs come back to an owner after another one has kept an account."""

    # Guards against usage of seconds that is charged in one moment.
    def test_usage_elsewhere_is_paid_by_what_was_earned_meanwhile(self):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, _BURST), 0.0)
        verdict = _report(owner, _usage(5_000.0, 5_000.0, 1_900.0), 5.0)
        assert verdict.level == 1_900

    def test_usage_elsewhere_beyond_it_is_charged(self):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, _BURST), 0.0)
        verdict = _report(owner, _usage(8_000.0, 8_000.0), 5.0)
        assert verdict.level == _BURST - (8_000 - 5 * 1_500)

    # Guards against a burst of the last moment that is taken for an old one.
    def test_lower_level_of_the_other_owner_counts(self):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, _BURST), 0.0)
        verdict = _report(owner, _usage(5_000.0, 5_000.0, 10.0), 5.0)
        assert verdict.level == 10

    def test_unacknowledged_usage_is_charged_at_once(self):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, _BURST), 0.0)
        verdict = _report(owner, _usage(700.0, 0.0), 5.0)
        assert verdict.level == _BURST - 700

    def test_owner_of_a_part_of_the_fleet_loses_no_level(self):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, _BURST), 0.0)
        cut_off = _report(owner, _usage(100.0), 0.1, fraction=0.25)
        back = _report(owner, _usage(100.0, 100.0), 0.2)
        assert (cut_off.level, back.level) == (_BURST - 100, _BURST)

    # Guards against a part of the fleet that is given the whole quota.
    def test_part_of_the_fleet_gets_a_part_of_the_quota(self):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, _BURST), 0.0, fraction=0.25)
        verdict = _report(owner, _usage(500.0), 0.0, fraction=0.25)
        assert verdict.admit_part == 0.0


class TestChangedQuotas:
    """Quotas that are removed, set again, lowered or raised."""

    # Guards against a full bucket for a quota that was removed for a moment.
    def test_account_outlives_a_removal_of_its_quota(self):
        owner = _owner()
        _report(owner, _usage(1_000.0), 0.0)
        owner.keep_only([], 0.0)
        owner.keep_only(["firm"], 0.1)
        verdict = _report(owner, _usage(1_000.0, 1_000.0), 0.2)
        assert verdict.level == pytest.approx(0.2 * 1_500)

    def test_account_of_a_customer_that_is_gone_is_dropped(self):
        owner = _owner()
        _report(owner, _usage(1_000.0), 0.0)
        owner.keep_only([], 0.0)
        owner.keep_only([], 100.0)
        assert owner.level("firm") == math.inf

    @pytest.mark.parametrize(
        ("burst", "expected"), [(100.0, 100 * 1.5 + 500), (10_000.0, 1_200.0)]
    )
    def test_new_owner_of_a_changed_quota(self, burst, expected):
        changed = {"firm": dataclasses.replace(_QUOTA, burst=burst)}
        verdict = _report(
            _owner(), _usage(0.0, 0.0, 1_200.0), 0.0, quotas=changed
        )
        assert verdict.level == expected

    def test_quota_by_requests(self):
        quotas = {"firm": model.Quota(per_s=10.0, burst=10.0)}
        verdict = _report(_owner(), _usage(3.0, 2.0, 4.0), 0.0, quotas=quotas)
        assert verdict.level == 3


class TestInvalidReports:
    """Guards against a malformed report that spoils an account for good."""

    @pytest.mark.parametrize(
        ("level", "age_s"),
        [
            (math.nan, 0.0),
            (math.inf, 0.0),
            (-math.inf, 0.0),
            (-1e12, 0.0),
            (10.0, -1.0),
            (10.0, math.nan),
            (10.0, math.inf),
        ],
    )
    def test_impossible_level_moves_nothing(self, level, age_s):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, 1_500.0), 0.0)
        owner.take_events()
        verdict = _report(
            owner, _usage(30.0, 20.0, level, age_s), 0.0, reporter="vm-2"
        )
        assert verdict.level == 1_490
        (event,) = owner.take_events()
        assert isinstance(event, quota_owner.UsageRejected)

    def test_level_above_the_bucket_is_a_full_one(self):
        verdict = _report(_owner(), _usage(0.0, 0.0, 1e12), 0.0)
        assert verdict.level == _BURST

    def test_usage_that_is_no_number_is_left_out(self):
        owner = _owner()
        _report(owner, _usage(0.0, 0.0, 1_500.0), 0.0)
        other = quota_owner.Usage(customer="x", asked=1.0, admitted=1.0)
        usages = [_usage(math.nan), other]
        verdicts = owner.report("vm-1", usages, _QUOTAS, 1.0, 0.0)
        assert [verdict.customer for verdict in verdicts] == ["x"]
        assert owner.level("firm") == 1_500

    def test_verdict_that_is_no_number_is_found(self):
        assert quota_owner.Verdict(customer="firm", level=10.0).is_valid()
        for field in ("admit_part", "retry_after_s", "own_part", "level"):
            verdict = quota_owner.Verdict(customer="firm", **{field: math.nan})
            assert not verdict.is_valid()


class TestReleases:
    """VMs of the release before exchange reports with this one."""

    def test_report_without_a_level_opens_an_assumed_account(self):
        usage = '{"customer":"firm","asked":9,"admitted":9}'
        text = f'{{"reporter":"vm-1","usages":[{usage}]}}'
        (usage,) = codec.decode(wire.UsageReport, text).usages
        verdict = _report(_owner(), usage, 0.0)
        assert verdict.level == _QUOTA.burst - 9

    def test_verdict_without_a_level_is_followed(self):
        verdict = '{"customer":"firm","admit_part":0.0,"retry_after_s":1}'
        text = f'{{"verdicts":[{verdict}]}}'
        (verdict,) = codec.decode(wire.UsageResponse, text).verdicts
        gate = quota_gate.QuotaGate(random.Random(1))
        gate.admit("firm", _QUOTA, 10.0, 0.0)
        usage = gate.usage("firm", 0.0)
        gate.record_verdict(usage, verdict, 0.0)
        assert gate.admit("firm", _QUOTA, 10.0, 0.1) == 1
        assert gate.usage("firm", 0.1).level is None
