"""Tests of role change orders from routers to simulated engines."""

import asyncio

import pytest
from tests import platform_site

from cowsliprill import clock
from cowsliprill.decisions import leadership


@pytest.fixture(name="_short_stable_period")
def _short_stable_period_fixture(monkeypatch):
    monkeypatch.setattr(
        leadership.MembershipView, "stabilization_s", lambda self: 0.3
    )


def _ordered(site):
    return {
        name: engine.orders
        for name, engine in site.engines.items()
        if engine.orders
    }


async def _wait_for_orders(site, count):
    await platform_site.until(lambda: len(_ordered(site)) >= count)
    return _ordered(site)


@pytest.mark.usefixtures("_short_stable_period")
class TestRoleOrders:
    """Surplus prefill engines are ordered to become decode engines."""

    def test_only_the_leader_orders_each_surplus_engine_once(self):
        """Guards against orders from several VMs to one engine.

        Three VMs find that two of four prefill engines are surplus. If each VM
        sent orders, an engine would have orders from several holders and could
        not determine which one is in force.
        """

        async def scenario():
            async with platform_site.running(3, prefills=4) as site:
                ordered = await _wait_for_orders(site, 2)
                # A fourth VM joins; it must not order the engines again.
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

    def test_engine_decodes_after_its_role_change(self):
        async def scenario():
            async with platform_site.running(1, prefills=3) as site:
                (name,) = await _wait_for_orders(site, 1)
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

    def test_changing_engine_gets_no_prefills(self):
        """Guards against prefills sent to an engine that rejects them.

        The engine has been ordered to become a decode engine, but the registry
        lists it as a prefill engine until the change is complete. A request
        sent there would lose its only attempt.
        """

        async def scenario():
            async with platform_site.running(2, prefills=3) as site:
                (name,) = await _wait_for_orders(site, 1)
                await platform_site.until(
                    lambda: all(
                        name in router._source.fleet.changing_endpoint_ids
                        for router in site.routers
                    )
                )
                # As many concurrent requests as are sent to two prefill
                # engines.
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

    def test_no_orders_during_or_right_after_a_store_outage(self):
        """Guards against orders that are based on an outdated endpoint list.

        The store rejects the VM's calls, and an engine fails in the meantime.
        The VM counts the failed engine until the store is reachable again and
        shows that it was removed; an order before that would change a live
        engine that is needed in its role.
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
                during_outage = controller._may_order("llm", clock.now())
                await site.store.fail(0)
                await platform_site.until(
                    lambda: "registry_back" in site.logs[0].getvalue()
                )
                return during_outage, controller._may_order("llm", clock.now())

        assert asyncio.run(scenario()) == (False, False)
