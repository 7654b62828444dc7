"""Rate limits kept by a fleet of VMs, in virtual time."""

import asyncio
import math
import statistics

import pytest
from tests import rate_limit_simulation as simulation
from tests import virtual_time

from cowsliprill import clock
from cowsliprill.decisions import rendezvous

_PER_S = 1.5
_CONTACT_S = 3.0
# What customers allow in some 4 s, counted from `_CONTACT_S` after an endpoint
# first named its limit.
_ALLOWED = 1.5 * _PER_S * simulation.WINDOW_S + 5
# What this project promises once all VMs know: the limit itself, but for the
# requests that cross the ends of the window.
_PROMISED = _PER_S * simulation.WINDOW_S + 2
_MIN_USE = 0.9


def _set_limit(
    fleet: simulation.Fleet, count: int, per_s: float | None = _PER_S
) -> list[simulation.Server]:
    """Makes some servers name a limit, and returns them."""
    limited = fleet.servers[:count]
    for server in limited:
        server.limit = per_s
    return limited


async def _time_until(condition) -> float:
    """Returns the time until a condition holds, infinite after 10 s."""
    begin = clock.now()
    while clock.now() < begin + 10:
        if condition():
            return clock.now() - begin
        await asyncio.sleep(0.01)
    return math.inf


def _use(server: simulation.Server, begin: float, end: float) -> float:
    """Returns the fraction of a server's limit that was used."""
    return server.arrivals_between(begin, end) / (_PER_S * (end - begin))


class TestLimit:
    """Some of four servers name a limit under load."""

    @pytest.mark.parametrize(
        ("vm_count", "limited_count", "loss", "calls_per_s"),
        [
            (6, 2, 0.0, 20),
            (6, 4, 0.0, 20),
            (6, 4, 0.2, 20),
            (71, 1, 0.0, 100),
            (71, 4, 0.0, 100),
            (195, 2, 0.0, 150),
        ],
    )
    def test_is_kept_by_all_vms(
        self, vm_count, limited_count, loss, calls_per_s, monkeypatch
    ) -> None:
        """Guards against a share of each VM that adds up to too much."""

        async def scenario() -> None:
            fleet = simulation.Fleet(vm_count, 4, loss=loss)
            await fleet.run_load(calls_per_s, 2.0)
            begin = clock.now()
            limited = _set_limit(fleet, limited_count)
            all_know = asyncio.create_task(
                _time_until(
                    lambda: all(
                        vm.restricts(server)
                        for vm in fleet.vms
                        for server in limited
                    )
                )
            )
            await fleet.run_load(calls_per_s, 10.0)
            await fleet.stop()
            assert await all_know <= _CONTACT_S
            for server in limited:
                assert server.worst_window(begin + _CONTACT_S) <= _ALLOWED
                known = begin + _CONTACT_S + simulation.WINDOW_S
                worst = server.worst_window(known, told_only=False)
                assert worst <= _PROMISED

        virtual_time.run(scenario(), monkeypatch)

    def test_is_used_while_callers_are_refused(self, monkeypatch) -> None:
        """Guards against a limit that starves a healthy server."""

        async def scenario() -> None:
            fleet = simulation.Fleet(6, 4)
            await fleet.run_load(20, 2.0)
            limited = _set_limit(fleet, 4)
            await fleet.run_load(20, 2.0)
            begin = clock.now()
            await fleet.run_load(20, 20.0)
            end = clock.now()
            await fleet.stop()
            assert fleet.refused(begin, end)
            uses = [_use(server, begin, end) for server in limited]
            assert min(uses) >= _MIN_USE

        virtual_time.run(scenario(), monkeypatch)

    def test_of_zero_and_its_end(self, monkeypatch) -> None:
        """Guards against a server that is never asked again."""

        async def scenario() -> None:
            fleet = simulation.Fleet(6, 1)
            await fleet.run_load(20, 2.0)
            begin = clock.now()
            (server,) = _set_limit(fleet, 1, 0.0)
            await fleet.run_load(20, 12.0)
            assert server.worst_window(begin + _CONTACT_S) <= 5
            _set_limit(fleet, 1, None)
            await fleet.run_load(20, 12.0)
            begin = clock.now()
            await fleet.run_load(20, 3.0)
            await fleet.stop()
            assert not fleet.refused(begin, clock.now())

        virtual_time.run(scenario(), monkeypatch)


class TestRefusal:
    """All servers of a service are limited."""

    def test_comes_at_once_with_spread_times_to_come_back(
        self, monkeypatch
    ) -> None:
        """Guards against callers that wait for what can't come in time."""

        async def scenario() -> None:
            fleet = simulation.Fleet(6, 4)
            await fleet.run_load(30, 2.0)
            _set_limit(fleet, 4)
            begin = clock.now() + 1.0
            await fleet.run_load(30, 10.0)
            await fleet.stop()
            refused = fleet.refused(begin, clock.now())
            assert {item.code for item in refused} == {"rate_limited"}
            assert max(item.held_s for item in refused) <= 0.6
            held_s = sorted(item.held_s for item in refused)
            assert held_s[len(held_s) // 2] <= 0.02
            times = {round(item.retry_after_s, 1) for item in refused}
            assert min(times) >= 0.5
            assert len(times) > 20

        virtual_time.run(scenario(), monkeypatch)

    def test_hits_less_urgent_requests_first(self, monkeypatch) -> None:
        async def scenario() -> None:
            fleet = simulation.Fleet(6, 4)
            _set_limit(fleet, 4, 3.0)
            await fleet.run_load(20, 3.0)
            begin = clock.now()
            await fleet.run_load(20, 20.0, (0, 1))
            await fleet.stop()
            outcomes = [
                item for item in fleet.outcomes if item.began_at >= begin
            ]
            served = {
                priority: statistics.fmean(
                    not item.code
                    for item in outcomes
                    if item.priority == priority
                )
                for priority in (0, 1)
            }
            # The limits suffice for the urgent half of the requests.
            assert served[1] >= 0.9
            assert served[0] <= 0.5

        virtual_time.run(scenario(), monkeypatch)


class TestEnd:
    """A limit ends."""

    def test_all_vms_use_the_server_again(self, monkeypatch) -> None:
        """Guards against a stale limit that starves a healthy server."""

        async def scenario() -> None:
            fleet = simulation.Fleet(6, 4)
            await fleet.run_load(30, 2.0)
            limited = _set_limit(fleet, 4)
            await fleet.run_load(30, 5.0)
            _set_limit(fleet, 4, None)
            await fleet.run_load(30, 6.0)
            assert not any(
                vm.restricts(server) for vm in fleet.vms for server in limited
            )
            begin = clock.now()
            await fleet.run_load(30, 4.0)
            await fleet.stop()
            assert not fleet.refused(begin, clock.now())
            for server in limited:
                assert server.arrivals_between(begin, clock.now()) > 10

        virtual_time.run(scenario(), monkeypatch)


class TestPartition:
    """VMs can't reach each other while a limit holds."""

    @pytest.mark.parametrize("noticed", [False, True])
    def test_both_halves_together_keep_the_limit(
        self, noticed, monkeypatch
    ) -> None:
        """Guards against two coordinators that each use the whole limit."""

        async def scenario() -> None:
            fleet = simulation.Fleet(6, 4)
            await fleet.run_load(30, 2.0)
            begin = clock.now()
            limited = _set_limit(fleet, 4)
            await fleet.run_load(30, 4.0)
            fleet.cut({"vm-0", "vm-1", "vm-2"}, noticed=noticed)
            await fleet.run_load(30, 8.0)
            await fleet.stop()
            for server in limited:
                assert server.worst_window(begin + _CONTACT_S) <= _ALLOWED

        virtual_time.run(scenario(), monkeypatch)

    def test_another_vm_takes_over_from_the_coordinator(
        self, monkeypatch
    ) -> None:
        """Guards against servers that nobody may use, or all VMs at once."""

        async def scenario() -> None:
            fleet = simulation.Fleet(6, 4)
            await fleet.run_load(30, 2.0)
            begin = clock.now()
            limited = _set_limit(fleet, 4)
            await fleet.run_load(30, 4.0)
            vms_by_id = fleet.vms[0].cluster_state.fleet.vms_by_id
            ranked = rendezvous.rank_vms(simulation.POOL, vms_by_id.values())
            fleet.cut({ranked[0].id}, noticed=False)
            await fleet.run_load(30, 2.0)
            fleet.cut({ranked[0].id}, noticed=True)
            await fleet.run_load(30, 2.0)
            taken_over = clock.now()
            await fleet.run_load(30, 8.0)
            end = clock.now()
            await fleet.stop()
            for server in limited:
                assert server.worst_window(begin + _CONTACT_S) <= _ALLOWED
                assert _use(server, taken_over, end) >= _MIN_USE

        virtual_time.run(scenario(), monkeypatch)


class TestRefusingServer:
    """A server refuses calls while it limits its requests."""

    @pytest.mark.parametrize("limited", [False, True])
    def test_is_ejected_only_without_a_limit(
        self, limited, monkeypatch
    ) -> None:
        """Guards against a limited server that is taken for a failing one."""

        async def scenario() -> bool:
            fleet = simulation.Fleet(1, 4)
            refusing = fleet.servers[0]
            if limited:
                _set_limit(fleet, 1)
            await fleet.run_load(50, 2.0)
            refusing.refuses = True
            await fleet.run_load(50, 10.0)
            await fleet.stop()
            return fleet.vms[0].ejects(refusing)

        assert virtual_time.run(scenario(), monkeypatch) is not limited
