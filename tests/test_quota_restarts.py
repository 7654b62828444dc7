"""Tests of quotas while VMs restart, end, stand still or are cut off."""

import pytest

import quota_simulation
import virtual_time

_PLANS_WITHOUT_CUTS = (
    quota_simulation.calm,
    quota_simulation.restart_owner,
    quota_simulation.restart_in_turn,
    quota_simulation.kill_in_turn,
    quota_simulation.kill_half,
    quota_simulation.kill_all,
    quota_simulation.stand_still,
)


def _name(plan):
    return plan.__name__


class TestOwnersThatChange:
    """Guards against an owner that begins with a full bucket.

    What it wasn't told of it took for not having happened, so that each change
    of the owner gave a customer's burst and the tolerance out once more.
    """

    @pytest.mark.parametrize("seed", [1, 3, 4])
    @pytest.mark.parametrize(
        "plan", [*_PLANS_WITHOUT_CUTS, quota_simulation.mixed], ids=_name
    )
    def test_quota_holds_over_all_vms(self, plan, seed, monkeypatch):
        fleet = virtual_time.run(
            quota_simulation.play(plan, 6, seed), monkeypatch
        )
        assert fleet.worst_window("hot") <= fleet.allowed("hot")

    # Guards against refusals for restarts that aren't the customer's own.
    @pytest.mark.parametrize("seed", [1, 3, 4])
    @pytest.mark.parametrize("plan", _PLANS_WITHOUT_CUTS, ids=_name)
    def test_customer_below_its_quota_is_not_refused(
        self, plan, seed, monkeypatch
    ):
        fleet = virtual_time.run(
            quota_simulation.play(plan, 6, seed), monkeypatch
        )
        assert fleet.refused("sound") == []

    @pytest.mark.parametrize("vms", [24, 71])
    def test_larger_fleets(self, vms, monkeypatch):
        for plan in (quota_simulation.kill_half, quota_simulation.mixed):
            fleet = virtual_time.run(
                quota_simulation.play(plan, vms, 2), monkeypatch
            )
            assert fleet.worst_window("hot") <= fleet.allowed("hot")


class TestOpenedAccounts:
    """What an operator sees of an account that a process begins to keep."""

    def test_levels_rest_on_reports_after_a_restart(self, monkeypatch):
        fleet = virtual_time.run(
            quota_simulation.play(quota_simulation.restart_owner, 6, 1),
            monkeypatch,
        )
        opened = sorted(
            (
                fields
                for vm in (*fleet.ended, *fleet.vms_by_id.values())
                for name, fields in vm.log.events
                if name == "quota_account_opened"
                and fields["customer"] == "hot"
            ),
            key=lambda fields: fields["basis"],
        )
        bases = [fields["basis"] for fields in opened]
        assert bases.count("assumed") == 1
        assert bases.count("reported") >= 2
        reported = [item for item in opened if item["basis"] == "reported"]
        assert all(item["level"] < item["burst"] for item in reported)
