"""Orders of routers to engines, against stand-ins of the platform."""

import asyncio

import pytest
from tests import platform_site

from cowsliprill import clock
from cowsliprill.decisions import leadership


@pytest.fixture(name="_calm_at_once")
def _calm_at_once_fixture(monkeypatch):
    monkeypatch.setattr(
        leadership.MembershipView, "stabilization_s", lambda self: 0.3
    )


def _ordered(site):
    return {
        name: engine.orders
        for name, engine in site.engines.items()
        if engine.orders
    }


async def _orders(site, count):
    await platform_site.until(lambda: len(_ordered(site)) >= count)
    return _ordered(site)


@pytest.mark.usefixtures("_calm_at_once")
class TestRoleOrders:
    """Surplus prefill engines are told to write answers."""

    def test_one_vm_orders_each_surplus_engine_once(self):
        """Three VMs see that two of four prefill engines are needless.

        If each of them told the engines so, an engine would have orders of
        several holders and could not tell which is in force.
        """

        async def scenario():
            async with platform_site.running(3, prefills=4) as site:
                ordered = await _orders(site, 2)
                # A fourth VM comes; it doesn't order them anew.
                site.add_router()
                await platform_site.until(lambda: site.ready(3))
                return ordered, _ordered(site)

        first, ordered = asyncio.run(scenario())
        assert ordered == first
        assert len(ordered) == 2
        holders = set()
        for name, orders in ordered.items():
            ((expected, order),) = orders
            assert name.startswith("p")
            assert expected == name
            assert order["op"] == "stage"
            assert order["stage"] == "decode"
            holders.add(order["holder"])
        assert len(holders) == 1

    def test_an_engine_that_has_changed_writes_answers(self):
        async def scenario():
            async with platform_site.running(1, prefills=3) as site:
                (name,) = await _orders(site, 1)
                engine = site.engines[name]
                engine.stage = "decode"
                await site.store.put(f"servers/{name}", engine.entry())
                for other in ("d0", "d1"):
                    await site.store.remove(f"servers/{other}")
                await platform_site.until(
                    lambda: (
                        site.logs[0].getvalue().count("endpoint_removed") == 2
                    )
                )
                status, headers, _ = await site.call(platform_site.MODEL_PATH)
                return name, status, headers

        name, status, headers = asyncio.run(scenario())
        assert status == 200
        assert headers["Instance-Signature"] == f"sig-{name}"

    def test_a_changing_engine_gets_no_prompts(self):
        """An engine was told to write answers and turns prompts away.

        The registry lists it for prompts until its change is over. Callers
        whose prompts were sent there would have had their only attempt.
        """

        async def scenario():
            async with platform_site.running(2, prefills=3) as site:
                (name,) = await _orders(site, 1)
                await platform_site.until(
                    lambda: all(
                        name in router._source.fleet.changing_endpoint_ids
                        for router in site.routers
                    )
                )
                # As many at once as two prefill engines are sent.
                calls = [
                    site.call(platform_site.MODEL_PATH, router=number % 2)
                    for number in range(6)
                ]
                await asyncio.gather(*calls)
                before = len(site.engines[name].requests)
                site.engines[name].stage = "decode"
                await site.store.put(
                    f"servers/{name}", site.engines[name].entry()
                )
                await platform_site.until(
                    lambda: (
                        not any(
                            name in router._source.fleet.changing_endpoint_ids
                            for router in site.routers
                        )
                    )
                )
                return before

        assert asyncio.run(scenario()) == 0

    def test_no_orders_while_the_store_is_away_or_has_just_returned(self):
        """The store turns a VM away, and an engine dies meanwhile.

        The VM counts the dead engine until the store's return has shown that
        it is gone, and would order a live one that is needed where it is.
        """

        async def scenario():
            async with platform_site.running(1) as site:
                controller = site.routers[0]._roles
                await platform_site.until(
                    lambda: controller._may_order("llm", clock.now())
                )
                await site.store.fail(503)
                await platform_site.until(
                    lambda: "registry_away" in site.logs[0].getvalue()
                )
                away = controller._may_order("llm", clock.now())
                await site.store.fail(0)
                await platform_site.until(
                    lambda: "registry_back" in site.logs[0].getvalue()
                )
                return away, controller._may_order("llm", clock.now())

        assert asyncio.run(scenario()) == (False, False)
