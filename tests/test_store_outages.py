"""Tests of endpoint removals around outages of the store, in virtual time.

The VM under test has no peers: all VMs of a fleet receive a change and watch
again at the same time, so an outage affects all of them alike.
"""

import asyncio
import dataclasses
import itertools
import json
import random

from tests import lone_source
from tests import outage_store
from tests import platform_site
from tests import virtual_time

# A VM counts as connected to the store this long after an outage.
_RECONNECTED_AFTER_S = 3.0

# A connected VM must stop using an endpoint this long after its removal.
_REMOVAL_EFFECT_MAX_S = 2.0

# Delays of an outage's start after a change, kinds of outages and durations.
_OUTAGE_AFTER_S = (0.0, 0.01, 0.1, 0.15, 0.2, 1.0, 2.0, 4.0, 7.0, 11.0, 12.1)
_OUTAGE_KINDS = ("silent", "refuses", "drops_held")
_OUTAGE_LASTS_S = (0.5, 2.0, 4.5, 6.3, 9.0, 14.0)

# Entries expire after three missed heartbeats. Live endpoints register again
# within this time after the outage's end.
_EXPIRY_S = 3.6
_REREGISTRATION_MAX_S = 2.0
_EXPIRY_OUTAGE_LASTS_S = (4.0, 6.3, 9.0, 14.0)

# Shortest time between two outages of a random sequence.
_OUTAGE_INTERVAL_MIN_S = 7.5
_OUTAGES_PER_SEED = 6
_SEEDS = range(20)

_TICK_S = 0.2
_STARTUP_S = 5.0


class _VmWithoutPeers:
    """A VM without peers and its store.

    Attributes:
      store: Fake store with outages.
      source: The VM's source of settings and endpoints.
    """

    def __init__(self) -> None:
        self.store = outage_store.OutageStore()
        config = json.dumps(platform_site.config()).encode()
        self.store.put("op/config", config)
        for name in ("d0", "d1", "d2"):
            self.add(name)
        self.source = lone_source.make(self.store)

    def add(self, name: str) -> None:
        """Writes the registry entry of a decode engine."""
        address = f"10.0.1.{name[1:]}:80"
        entry = platform_site.entry("llm", address, "decode")
        self.store.put(f"servers/{name}", json.dumps(entry).encode())

    def remove(self, name: str) -> None:
        """Removes the registry entry of an engine."""
        self.store.remove(f"servers/{name}")

    def is_used(self, name: str) -> bool:
        """Returns whether requests may be sent to an engine."""
        endpoints_by_id = self.source.snapshot.endpoints_by_id
        leaving = self.source.fleet.leaving_endpoint_ids
        return name in endpoints_by_id and name not in leaving

    async def run_ticks(self) -> None:
        """Applies the membership periodically, as the agent does."""
        while True:
            self.source.apply_members()
            await asyncio.sleep(_TICK_S)


async def _run_on_vm(scenario, *args):
    vm = _VmWithoutPeers()
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(work)
            for work in (vm.source.run(), vm.run_ticks())
        ]
        await asyncio.sleep(_STARTUP_S)
        found = await scenario(vm, *args)
        for task in tasks:
            task.cancel()
    return found


async def _is_used_after_removal(vm) -> bool:
    vm.remove("d0")
    await asyncio.sleep(_REMOVAL_EFFECT_MAX_S)
    assert vm.is_used("d1")
    return vm.is_used("d0")


async def _is_used_after_outage(vm, after_s, lasts_s, kind) -> bool:
    # All VMs watch again right after a change.
    vm.add("d3")
    vm.store.outages.append(_outage(after_s, lasts_s, kind))
    await asyncio.sleep(after_s + lasts_s + _RECONNECTED_AFTER_S)
    return await _is_used_after_removal(vm)


def _outage(after_s: float, lasts_s: float, kind: str) -> outage_store.Outage:
    begins_at = asyncio.get_running_loop().time() + after_s
    return outage_store.Outage(
        begins_at=begins_at,
        ends_at=begins_at + lasts_s,
        refuses=kind == "refuses",
        drops_held_watches=kind == "drops_held",
    )


class TestRemovalAfterOutage:
    """An endpoint is removed once all VMs count as connected again."""

    def test_watch_sent_into_an_outage_hides_no_removal(self, monkeypatch):
        """Guards against requests to an endpoint that left after an outage."""
        still_used = [
            case
            for case in itertools.product(
                _OUTAGE_AFTER_S, _OUTAGE_LASTS_S, _OUTAGE_KINDS
            )
            if virtual_time.run(
                _run_on_vm(_is_used_after_outage, *case), monkeypatch
            )
        ]
        assert not still_used


async def _is_used_after_cut(vm, removed_after_s) -> bool:
    await asyncio.sleep(1.0)
    vm.store.cut_watches()
    await asyncio.sleep(removed_after_s)
    return await _is_used_after_removal(vm)


class TestRemovalAfterClosedWatch:
    """A healthy store closes a watch, as it may at any time."""

    def test_closed_watch_defers_no_removal(self, monkeypatch):
        """Guards against deferred removals when no entry can have expired."""
        still_used = [
            removed_after_s
            for removed_after_s in (0.0, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0)
            if virtual_time.run(
                _run_on_vm(_is_used_after_cut, removed_after_s), monkeypatch
            )
        ]
        assert not still_used


async def _is_live_endpoint_dropped(vm, after_s, lasts_s, kind) -> bool:
    vm.add("d3")
    vm.store.outages.append(_outage(after_s, lasts_s, kind))
    await asyncio.sleep(after_s + _EXPIRY_S)
    for name in ("d0", "d1", "d2", "d3"):
        vm.remove(name)
    dropped = False
    for _ in range(
        round((lasts_s - _EXPIRY_S + _REREGISTRATION_MAX_S) / _TICK_S)
    ):
        await asyncio.sleep(_TICK_S)
        dropped = dropped or not vm.is_used("d0")
    vm.add("d0")
    await asyncio.sleep(_REMOVAL_EFFECT_MAX_S)
    assert not vm.is_used("d1")
    return dropped or not vm.is_used("d0")


class TestExpiryInOutage:
    """Entries of live endpoints expire during an outage."""

    def test_endpoints_that_register_again_stay_in_use(self, monkeypatch):
        """Guards against pools that seem empty at the end of an outage."""
        dropped = [
            case
            for case in itertools.product(
                _OUTAGE_AFTER_S, _EXPIRY_OUTAGE_LASTS_S, _OUTAGE_KINDS
            )
            if virtual_time.run(
                _run_on_vm(_is_live_endpoint_dropped, *case), monkeypatch
            )
        ]
        assert not dropped


class _RandomOutages:
    """A seeded random sequence of outages, changes, removals and expiries.

    Attributes:
      faults: Descriptions of the violations found.
    """

    def __init__(self, vm: _VmWithoutPeers, seed: int) -> None:
        self.faults: list[str] = []
        self._vm = vm
        self._seed = seed
        self._random = random.Random(seed)
        self._count = 10

    async def run(self) -> list[str]:
        """Runs all outages; returns the violations found."""
        live_check = asyncio.create_task(self._check_live_endpoint())
        for _ in range(_OUTAGES_PER_SEED):
            await self._register_endpoint()
            await self._outage()
            await self._check_removal()
        live_check.cancel()
        await asyncio.wait([live_check])
        return self.faults

    async def _check_live_endpoint(self) -> None:
        while True:
            if not self._vm.is_used("d0"):
                self._record_fault("d0 is live but not used")
            await asyncio.sleep(_TICK_S)

    async def _register_endpoint(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 4.0))
        self._count += 1
        self._vm.add(f"d{self._count}")
        is_soon = self._random.random() < 0.5
        await asyncio.sleep(self._random.uniform(0.0, 0.3 if is_soon else 6.0))

    async def _outage(self) -> None:
        lasts_s = self._random.uniform(0.2, 12.0)
        kind = self._random.choice(_OUTAGE_KINDS)
        outage = dataclasses.replace(
            _outage(0.0, lasts_s, kind),
            loses_history=self._random.random() < 0.3,
        )
        expires = lasts_s > _EXPIRY_S and self._random.random() < 0.5
        outage_task = asyncio.create_task(self._vm.store.run_outage(outage))
        if expires:
            at_s = self._random.uniform(_EXPIRY_S, lasts_s)
            await asyncio.sleep(at_s)
            self._vm.remove("d0")
        await outage_task
        if expires:
            await asyncio.sleep(
                self._random.uniform(0.1, _REREGISTRATION_MAX_S)
            )
            self._vm.add("d0")
        recovered_for_s = asyncio.get_running_loop().time() - outage.ends_at
        await asyncio.sleep(max(_RECONNECTED_AFTER_S - recovered_for_s, 0.0))

    async def _check_removal(self) -> None:
        name = f"d{self._count}"
        await asyncio.sleep(self._random.choice([0.0, 0.01, 0.5, 2.0]))
        if self._random.random() < 0.3:
            self._vm.store.cut_watches()
            await asyncio.sleep(self._random.uniform(0.0, 0.5))
        self._vm.remove(name)
        await asyncio.sleep(_REMOVAL_EFFECT_MAX_S)
        if self._vm.is_used(name):
            self._record_fault(f"{name} was removed but is still used")
        await asyncio.sleep(
            _OUTAGE_INTERVAL_MIN_S
            - _RECONNECTED_AFTER_S
            - _REMOVAL_EFFECT_MAX_S
        )

    def _record_fault(self, fault: str) -> None:
        now = asyncio.get_running_loop().time()
        self.faults.append(f"seed {self._seed} at {now:.2f} s: {fault}")


async def _run_random_outages(vm: _VmWithoutPeers, seed: int) -> list[str]:
    return await _RandomOutages(vm, seed).run()


class TestRandomOutages:
    """Random sequences of outages of all kinds, with changes and expiries."""

    def test_only_live_endpoints_are_used(self, monkeypatch):
        """Guards against failures in combinations no other test covers.

        A removed endpoint must not stay in use and a live one must not be
        dropped.
        """
        faults = [
            fault
            for seed in _SEEDS
            for fault in virtual_time.run(
                _run_on_vm(_run_random_outages, seed), monkeypatch
            )
        ]
        assert not faults
