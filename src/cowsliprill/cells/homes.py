"""The cells that this process is home to, and their answers to entries."""

import asyncio
import dataclasses
import random

from cowsliprill import clock
from cowsliprill.cells import wire
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import pool_scheduler as pool_scheduler_lib
from cowsliprill.decisions import rendezvous
from cowsliprill.observability import log as log_lib

# An answer is held back no longer, so that an entry whose connection was lost
# without a sign asks anew while its requests can still be in time.
MAX_WAIT_S = 0.4

_MIN_SLEEP_S = 0.002
_SEED_BITS = 32

# Engines are counted in whole numbers, so nothing needs the part to be finer.
_PART_DIGITS = 3


@dataclasses.dataclass(slots=True)
class _Homed:
    cell: pool_scheduler_lib.PoolScheduler
    news_by_entry: dict[str, asyncio.Event] = dataclasses.field(
        default_factory=dict
    )


class Homes:
    """Answers entries for the pools that they ask for here.

    An entry that asks the wrong VM is told the right one: while VMs differ in
    whom they know, a pool would else have many homes, each with a sliver of its
    engines. One that can't reach the home says so and is served here; this VM
    then uses no more than a part of the engines.

    Args:
      vm_id: Id of this VM.
      availability_zone: Where this process runs.
      rng: Random numbers.
      log: The process's log.
    """

    def __init__(
        self,
        vm_id: str,
        availability_zone: str,
        rng: random.Random,
        log: log_lib.Log,
    ) -> None:
        self._vm_id = vm_id
        self._availability_zone = availability_zone
        self._random = rng
        self._log = log
        self._snapshot = model.Snapshot()
        self._fleet = model.Fleet()
        self._homed_by_pool: dict[str, _Homed] = {}
        self._ranking = rendezvous.VmRankingCache()
        self._wake = asyncio.Event()

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Takes new settings or a new VM list."""
        self._snapshot = snapshot
        self._fleet = fleet
        now = clock.now()
        for pool, homed in self._homed_by_pool.items():
            homed.cell.update(snapshot, fleet, now)
            homed.cell.set_is_coordinator(self._is_home(pool), now)
            self._notify(homed)

    async def answer(self, request: wire.CellRequest) -> wire.CellAnswer:
        """Takes an entry's events and returns the decisions for it.

        Args:
          request: The entry's message.

        Returns:
          The decisions; without any, the answer waits for one.
        """
        home = self._home_for(request)
        if home is not None:
            return wire.CellAnswer(known=False, home=wire.write_home(home))
        homed = self._homed(request.pool)
        now = clock.now()
        has_session = homed.cell.has_session(request.entry, request.epoch)
        begins = request.first == 1
        old = homed.cell.is_superseded(request.entry, request.epoch)
        if old or not (has_session or begins):
            return wire.CellAnswer(known=False)
        events = tuple(wire.read_event(event, now) for event in request.events)
        homed.cell.receive(
            request.entry, request.epoch, request.first, events, now
        )
        homed.cell.acknowledge(request.entry, request.acknowledged)
        if not has_session:
            self._log.event(
                "cell_joined",
                pool=request.pool,
                entry=request.entry,
                requests=homed.cell.running(request.entry),
                engines=homed.cell.engines(request.pool),
            )
        self._wake.set()
        self._notify(homed)
        if request.wait_s:
            await self._wait(homed, request)
        return self._written(homed, request)

    async def run(self) -> None:
        """Lets time pass for the cells; ends by cancellation."""
        while True:
            self._wake.clear()
            now = clock.now()
            for homed in self._homed_by_pool.values():
                homed.cell.tick(now)
                self._notify(homed)
            wakeups = [
                homed.cell.next_wakeup(now)
                for homed in self._homed_by_pool.values()
            ]
            if not wakeups:
                await self._wake.wait()
                continue
            sleep_s = max(min(wakeups) - now, _MIN_SLEEP_S)
            try:
                async with asyncio.timeout(sleep_s):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def pool_loads(self) -> dict[str, pools.PoolLoad]:
        """Returns how full the pools are that entries ask for here."""
        found = {}
        for pool, homed in self._homed_by_pool.items():
            pool_load = homed.cell.pool_load(pool)
            if pool_load is not None:
                found[pool] = pool_load
        return found

    def status(self) -> list[str]:
        """Returns the pools that entries ask for here."""
        return list(self._homed_by_pool)

    def _home_for(self, request: wire.CellRequest) -> model.Vm | None:
        """Returns the home that an entry should ask, None if it is here."""
        for vm in self._ranked(request.pool):
            if vm.id == self._vm_id:
                return None
            if vm.id not in request.avoids:
                return vm
        return None

    def _is_home(self, pool: str) -> bool:
        ranked = self._ranked(pool)
        return bool(ranked) and ranked[0].id == self._vm_id

    def _ranked(self, pool: str) -> list[model.Vm]:
        return self._ranking.ranked_vms(pool, self._fleet.vms_by_id)

    def _homed(self, pool: str) -> _Homed:
        homed = self._homed_by_pool.get(pool)
        if homed is None:
            seed = self._random.getrandbits(_SEED_BITS)
            homed = _Homed(
                pool_scheduler_lib.PoolScheduler(self._availability_zone, seed)
            )
            now = clock.now()
            homed.cell.update(self._snapshot, self._fleet, now)
            homed.cell.set_is_coordinator(self._is_home(pool), now)
            self._homed_by_pool[pool] = homed
            self._log.event("cell_begun", pool=pool)
        return homed

    async def _wait(self, homed: _Homed, request: wire.CellRequest) -> None:
        older = homed.news_by_entry.pop(request.entry, None)
        if older is not None:
            older.set()
        if homed.cell.has_pending_decisions(request.entry):
            return
        news = asyncio.Event()
        homed.news_by_entry[request.entry] = news
        try:
            async with asyncio.timeout(min(request.wait_s, MAX_WAIT_S)):
                await news.wait()
        except TimeoutError:
            pass
        finally:
            if homed.news_by_entry.get(request.entry) is news:
                del homed.news_by_entry[request.entry]

    def _notify(self, homed: _Homed) -> None:
        for entry, news in homed.news_by_entry.items():
            if homed.cell.has_pending_decisions(entry):
                news.set()

    def _written(
        self, homed: _Homed, request: wire.CellRequest
    ) -> wire.CellAnswer:
        if not homed.cell.has_session(request.entry, request.epoch):
            return wire.CellAnswer(known=False)
        first, decisions, taken = homed.cell.decisions(request.entry)
        numbered = [*enumerate(decisions, first)]
        return wire.CellAnswer(
            first=first,
            starts=tuple(
                (number, decision)
                for number, decision in numbered
                if isinstance(decision, messages.Start)
            ),
            refusals=tuple(
                (number, decision)
                for number, decision in numbered
                if isinstance(decision, messages.Refuse)
            ),
            acknowledged=taken,
            prompt_part=round(
                homed.cell.prompt_part(request.pool) or 0.0, _PART_DIGITS
            ),
        )
