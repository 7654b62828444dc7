"""The cells that this process is home to, and their answers to entries."""

import asyncio
import dataclasses
import random

from cowsliprill import clock
from cowsliprill.cells import wire
from cowsliprill.decisions import cell as cell_lib
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import ownership
from cowsliprill.decisions import pool as pools
from cowsliprill.observability import log as log_lib

# An answer is held back no longer, so that an entry whose connection was lost
# without a sign asks anew while its requests can still be in time.
LONG_POLL_MAX_S = 0.4

_MIN_SLEEP_S = 0.002
_SEED_BITS = 32

# Engines are counted in whole numbers, so nothing needs the part to be finer.
_FRACTION_DIGITS = 3


@dataclasses.dataclass(slots=True)
class _HostedPool:
    scheduler: cell_lib.Cell
    long_polls_by_entry: dict[str, asyncio.Event] = dataclasses.field(
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
        self._hosted_by_pool: dict[str, _HostedPool] = {}
        self._ranking = ownership.HomeRanking()
        self._wake = asyncio.Event()

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Takes new settings or a new VM list."""
        self._snapshot = snapshot
        self._fleet = fleet
        now = clock.now()
        for pool, hosted in self._hosted_by_pool.items():
            hosted.scheduler.update(snapshot, fleet, now)
            hosted.scheduler.set_home(self._is_coordinator(pool), now)
            self._wake_long_polls(hosted)

    async def handle(
        self, request: wire.SchedulingRequest
    ) -> wire.SchedulingResponse:
        """Takes an entry's events and returns the decisions for it.

        Args:
          request: The entry's message.

        Returns:
          The decisions; without any, the answer waits for one.
        """
        coordinator = self._coordinator_for(request)
        if coordinator is not None:
            return wire.SchedulingResponse(
                known=False, home=wire.coordinator_to_wire(coordinator)
            )
        hosted = self._hosted(request.pool)
        now = clock.now()
        is_current = hosted.scheduler.knows(request.entry, request.epoch)
        starts_channel = request.first == 1
        superseded = hosted.scheduler.is_old(request.entry, request.epoch)
        if superseded or not (is_current or starts_channel):
            return wire.SchedulingResponse(known=False)
        events = tuple(
            wire.event_from_wire(event, now) for event in request.events
        )
        hosted.scheduler.receive(
            request.entry, request.epoch, request.first, events, now
        )
        hosted.scheduler.acknowledge(request.entry, request.acknowledged)
        if not is_current:
            self._log.event(
                "cell_joined",
                pool=request.pool,
                entry=request.entry,
                requests=hosted.scheduler.running(request.entry),
                engines=hosted.scheduler.engines(request.pool),
            )
        self._wake.set()
        self._wake_long_polls(hosted)
        if request.wait_s:
            await self._wait_for_decisions(hosted, request)
        return self._response(hosted, request)

    async def run(self) -> None:
        """Lets time pass for the cells; ends by cancellation."""
        while True:
            self._wake.clear()
            now = clock.now()
            for hosted in self._hosted_by_pool.values():
                hosted.scheduler.tick(now)
                self._wake_long_polls(hosted)
            wakeups = [
                hosted.scheduler.next_wakeup(now)
                for hosted in self._hosted_by_pool.values()
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

    def loads(self) -> dict[str, pools.Standing]:
        """Returns how full the pools are that entries ask for here."""
        loads = {}
        for pool, hosted in self._hosted_by_pool.items():
            load = hosted.scheduler.standing(pool)
            if load is not None:
                loads[pool] = load
        return loads

    def hosted_pools(self) -> list[str]:
        """Returns the pools that entries ask for here."""
        return list(self._hosted_by_pool)

    def _coordinator_for(
        self, request: wire.SchedulingRequest
    ) -> model.Vm | None:
        """Returns the home that an entry should ask, None if it is here."""
        for vm in self._ranked(request.pool):
            if vm.id == self._vm_id:
                return None
            if vm.id not in request.avoids:
                return vm
        return None

    def _is_coordinator(self, pool: str) -> bool:
        ranked = self._ranked(pool)
        return bool(ranked) and ranked[0].id == self._vm_id

    def _ranked(self, pool: str) -> list[model.Vm]:
        return self._ranking.of(pool, self._fleet.vms_by_id)

    def _hosted(self, pool: str) -> _HostedPool:
        hosted = self._hosted_by_pool.get(pool)
        if hosted is None:
            seed = self._random.getrandbits(_SEED_BITS)
            hosted = _HostedPool(cell_lib.Cell(self._availability_zone, seed))
            now = clock.now()
            hosted.scheduler.update(self._snapshot, self._fleet, now)
            hosted.scheduler.set_home(self._is_coordinator(pool), now)
            self._hosted_by_pool[pool] = hosted
            self._log.event("cell_begun", pool=pool)
        return hosted

    async def _wait_for_decisions(
        self, hosted: _HostedPool, request: wire.SchedulingRequest
    ) -> None:
        previous = hosted.long_polls_by_entry.pop(request.entry, None)
        if previous is not None:
            previous.set()
        if hosted.scheduler.has_news(request.entry):
            return
        long_poll = asyncio.Event()
        hosted.long_polls_by_entry[request.entry] = long_poll
        try:
            async with asyncio.timeout(min(request.wait_s, LONG_POLL_MAX_S)):
                await long_poll.wait()
        except TimeoutError:
            pass
        finally:
            if hosted.long_polls_by_entry.get(request.entry) is long_poll:
                del hosted.long_polls_by_entry[request.entry]

    def _wake_long_polls(self, hosted: _HostedPool) -> None:
        for entry, long_poll in hosted.long_polls_by_entry.items():
            if hosted.scheduler.has_news(entry):
                long_poll.set()

    def _response(
        self, hosted: _HostedPool, request: wire.SchedulingRequest
    ) -> wire.SchedulingResponse:
        if not hosted.scheduler.knows(request.entry, request.epoch):
            return wire.SchedulingResponse(known=False)
        first, decisions, last_received = hosted.scheduler.decisions(
            request.entry
        )
        numbered = [*enumerate(decisions, first)]
        return wire.SchedulingResponse(
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
            acknowledged=last_received,
            prompt_part=round(
                hosted.scheduler.prompt_part(request.pool) or 0.0,
                _FRACTION_DIGITS,
            ),
        )
