"""Tests of notices of leaving endpoints and their gossip."""

import random

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import leaving_notices
from cowsliprill.decisions import model

_VMS = ("vm0", "vm1", "vm2")
_TTL_S = 20.0


class TestLeavingNews:
    """Storage and expiry of notices."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=100
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(range(3)),
                strategies.sampled_from(range(3)),
                strategies.floats(0.0, 4.0),
            ),
            max_size=40,
        )
    )
    def test_a_notice_that_circulates_expires(self, hops: list) -> None:
        """Guards against a notice that never expires.

        VMs send each other the same notice repeatedly, and each message is
        delayed. If that prolonged the notice, an endpoint that is back after a
        restart would never get work again.
        """
        notices_by_vm = [
            leaving_notices.LeavingNotices(name, 0) for name in _VMS
        ]
        notices_by_vm[0].report("d1", _TTL_S, 0.0)
        now = 0.0
        for sender, receiver, delay_s in hops:
            items = notices_by_vm[sender].items(now)
            now += delay_s
            for item in items:
                notices_by_vm[receiver].receive(item, now)
        # Each VM stores a notice once, so at most two hops add their delay.
        longest = max((delay for *_, delay in hops), default=0.0)
        end = max(now, _TTL_S + 2 * longest) + 0.001
        assert not any(each.leaving(end) for each in notices_by_vm)

    def test_a_paused_vm_does_not_reactivate_a_notice(self) -> None:
        """Guards against an expired notice that becomes active again.

        A VM is paused while it sends a message, and finishes it after the
        notice has expired everywhere. The endpoint must not be excluded again.
        """
        sender_notices = leaving_notices.LeavingNotices("vm0", 0)
        receiver = leaving_notices.LeavingNotices("vm1", 0)
        item = sender_notices.report("d1", _TTL_S, 0.0)
        assert receiver.receive(item, 0.0)
        assert not receiver.receive(item, 100.0)
        assert not receiver.leaving(100.0)

    def test_repeated_reports_create_one_notice(self) -> None:
        """Guards against a flood of notices about one endpoint.

        Each call to a draining endpoint causes a report. If each report became
        a notice, the shutdown of a busy endpoint would flood the network.
        """
        sender_notices = leaving_notices.LeavingNotices("vm0", 0)
        assert sender_notices.report("d1", _TTL_S, 0.0)
        assert sender_notices.report("d1", _TTL_S, 1.0) is None
        assert sender_notices.report("d1", _TTL_S, 11.0)

    def test_the_ttl_of_a_peer_is_limited(self) -> None:
        """A faulty peer sends a notice with a TTL of a year."""
        receiver = leaving_notices.LeavingNotices("vm1", 0)
        receiver.receive(
            leaving_notices.LeavingNotice(
                endpoint_id="d1", origin="vm0", number=1, ttl_s=3e7
            ),
            0.0,
        )
        assert receiver.next_expiry(0.0) == leaving_notices.MAX_TTL_S


class TestFanOut:
    """Spread of one update by gossip."""

    def test_an_update_reaches_nearly_all_of_a_large_fleet(self) -> None:
        """Guards against a fanout that is too small for a large fleet.

        One VM of 690 has an update. With too few messages most others would
        receive it only at their next periodic exchange.
        """
        names = [f"vm{number}" for number in range(690)]
        random_source = random.Random(7)
        informed = {names[0]}
        newly_informed = set(informed)
        while newly_informed:
            receivers = set()
            for name in sorted(newly_informed):
                others = [each for each in names if each != name]
                count = leaving_notices.gossip_fanout(len(others))
                receivers |= set(
                    leaving_notices.sample_peers(others, count, random_source)
                )
            newly_informed = receivers - informed
            informed |= newly_informed
        assert len(informed) >= 0.99 * len(names)

    def test_a_single_vm_sends_to_nobody(self) -> None:
        assert leaving_notices.gossip_fanout(0) == 0
        assert (
            leaving_notices.sample_peers(
                [], leaving_notices.gossip_fanout(0), random.Random(1)
            )
            == []
        )


class TestLeavingByList:
    """Leaving endpoints by the platform's VM list."""

    def test_only_vms_listed_as_leaving_count(self) -> None:
        """Guards against a new endpoint that counts as leaving.

        Its VM is not in the list yet, since the list lags behind. If it counted
        as leaving, the endpoint would get no work.
        """
        endpoints = [
            model.Endpoint(
                id=name,
                kind=model.EndpointKind.PLAIN,
                host="127.0.0.1",
                port=1,
                availability_zone="gasabo",
                pool="desk",
                slots=1,
                vm=f"{name}-vm",
            )
            for name in ("old", "here", "new")
        ]
        vms_by_id = {
            name: model.Vm(
                id=name,
                host="127.0.0.1",
                availability_zone="gasabo",
                role=model.VmRole.ENDPOINT,
                state=state,
            )
            for name, state in (
                ("old-vm", model.VmState.LEAVING),
                ("here-vm", model.VmState.LIVE),
            )
        }
        assert leaving_notices.leaving_by_vm_list(endpoints, vms_by_id) == {
            "old"
        }
