"""Tests of `decisions.news`."""

import random

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import model
from cowsliprill.decisions import news

_VMS = ("vm0", "vm1", "vm2")
_TTL_S = 20.0


class TestLeavingNews:
    """News of leaving endpoints and their end."""

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
    def test_news_passed_in_circles_ends(self, hops: list) -> None:
        """VMs tell each other the same item again and again.

        Each message comes late. If that made it last longer, an endpoint that
        came back after its restart would never get work again.
        """
        held = [news.LeavingNews(name, 0) for name in _VMS]
        held[0].report("d1", _TTL_S, 0.0)
        now = 0.0
        for sender, hearer, delay_s in hops:
            items = held[sender].items(now)
            now += delay_s
            for item in items:
                held[hearer].hear(item, now)
        # Each VM takes an item once, so at most two hops add their delay.
        longest = max((delay for *_, delay in hops), default=0.0)
        end = max(now, _TTL_S + 2 * longest) + 0.001
        assert not any(each.leaving(end) for each in held)

    def test_a_paused_vm_does_not_bring_an_item_back(self) -> None:
        """A VM is paused with a message half sent.

        It sends the rest after the item has ended everywhere. The endpoint must
        not be shunned again.
        """
        teller = news.LeavingNews("vm0", 0)
        hearer = news.LeavingNews("vm1", 0)
        item = teller.report("d1", _TTL_S, 0.0)
        assert hearer.hear(item, 0.0)
        assert not hearer.hear(item, 100.0)
        assert not hearer.leaving(100.0)

    def test_refused_calls_make_one_item(self) -> None:
        """Each call to a draining endpoint gives a report.

        Were each passed on, a busy endpoint's end would flood the network with
        news.
        """
        teller = news.LeavingNews("vm0", 0)
        assert teller.report("d1", _TTL_S, 0.0)
        assert teller.report("d1", _TTL_S, 1.0) is None
        assert teller.report("d1", _TTL_S, 11.0)

    def test_a_peer_can_not_make_news_last(self) -> None:
        """A faulty peer sends an item that holds for a year."""
        hearer = news.LeavingNews("vm1", 0)
        hearer.hear(
            news.LeavingItem(
                endpoint_id="d1", origin="vm0", number=1, ttl_s=3e7
            ),
            0.0,
        )
        assert hearer.next_expiry(0.0) == news.MAX_TTL_S


class TestFanOut:
    """How far one piece of news gets."""

    def test_news_reaches_nearly_all_of_a_large_fleet(self) -> None:
        """One VM of 690 hears something.

        With too few messages most others would wait for the regular exchange,
        and the change be late there.
        """
        names = [f"vm{number}" for number in range(690)]
        random_source = random.Random(7)
        known = {names[0]}
        newly = set(known)
        while newly:
            told = set()
            for name in sorted(newly):
                others = [each for each in names if each != name]
                count = news.fan_out(len(others))
                told |= set(news.choose_peers(others, count, random_source))
            newly = told - known
            known |= newly
        assert len(known) >= 0.99 * len(names)

    def test_a_vm_alone_tells_nobody(self) -> None:
        assert news.fan_out(0) == 0
        assert news.choose_peers([], news.fan_out(0), random.Random(1)) == []


class TestLeavingByList:
    """What the platform's list says about endpoints."""

    def test_only_listed_and_leaving_counts(self) -> None:
        """A new endpoint's VM is not in the lagging list yet.

        Taken as leaving, it would stay without work.
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
        assert news.leaving_by_list(endpoints, vms_by_id) == {"old"}
