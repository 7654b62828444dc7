"""Server side of pool scheduling: pool schedulers hosted by this process."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill import clock
from cowsliprill.decisions import crash_records
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import placement_preview
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import pool_scheduler as pool_scheduler_lib
from cowsliprill.decisions import rate_limits
from cowsliprill.decisions import rendezvous
from cowsliprill.decisions.engine_speeds import changes
from cowsliprill.observability import log as log_lib
from cowsliprill.pool_scheduling import errors
from cowsliprill.pool_scheduling import origin_exchange
from cowsliprill.pool_scheduling import placement_query
from cowsliprill.pool_scheduling import wire

# Upper limit of a long poll. An entry process whose connection was lost without
# notice calls again soon enough that its requests can still meet their
# deadlines.
LONG_POLL_MAX_S = 0.4

_MIN_SLEEP_S = 0.002
_SEED_BITS = 32

# The fraction only decides how many engines serve each stage, which is a whole
# number; more digits would not change the result.
_FRACTION_DIGITS = 3


@dataclasses.dataclass(slots=True)
class _HostedPool:
    scheduler: pool_scheduler_lib.PoolScheduler
    long_polls_by_entry: dict[str, asyncio.Event] = dataclasses.field(
        default_factory=dict
    )


class PoolSchedulerServer:
    """Hosts pool schedulers and answers the calls of entry processes.

    An entry process that calls a VM other than the pool's coordinator is
    redirected. Otherwise a pool would have several pool schedulers while the
    VMs' member lists differ, each placing requests on a few of the engines. An
    entry process that cannot reach the coordinator reports this and is served
    by the next reachable VM as acting coordinator, which uses only a fraction
    of the engines' capacity.

    Args:
      vm_id: Id of this VM.
      availability_zone: Availability zone of this process.
      rng: Source of random numbers.
      log: The process's log.
      origins: Shares with other VMs which software version began a stream;
        None where engines have no versions.
      overload_control: Whether the overload ranking orders the requests.

    Attributes:
      crash_records: Returns the ends of engines that this process knows of.
    """

    def __init__(
        self,
        vm_id: str,
        availability_zone: str,
        rng: random.Random,
        log: log_lib.Log,
        origins: origin_exchange.OriginExchange | None = None,
        *,
        overload_control: bool = False,
    ) -> None:
        self._overload_control = overload_control
        self.crash_records: Callable[
            [], Iterable[crash_records.CrashRecord]
        ] = tuple
        self._origins = origins
        if origins is not None:
            origins.ranked_vms = self._ranked
            origins.pools = self._engine_pools
            origins.on_settled = self._wake_scheduler
        self._vm_id = vm_id
        self._availability_zone = availability_zone
        self._random = rng
        self._log = log
        self._snapshot = model.Snapshot()
        self._fleet = model.Fleet()
        self._rate_limits: tuple[rate_limits.RateLimit, ...] = ()
        self._hosted_by_pool: dict[str, _HostedPool] = {}
        self._ranking = rendezvous.VmRankingCache()
        self._wake = asyncio.Event()

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Applies new settings or a new VM list."""
        self._snapshot = snapshot
        self._fleet = fleet
        now = clock.now()
        for pool, hosted in self._hosted_by_pool.items():
            hosted.scheduler.update(snapshot, fleet, now)
            hosted.scheduler.set_is_coordinator(self._is_coordinator(pool), now)
            if self._origins is not None:
                self._origins.update(pool)
            self._wake_long_polls(hosted)

    def set_rate_limits(self, limits: Iterable[rate_limits.RateLimit]) -> None:
        """Sets the rate limits that engines name."""
        self._rate_limits = tuple(limits)
        now = clock.now()
        for hosted in self._hosted_by_pool.values():
            hosted.scheduler.set_rate_limits(self._rate_limits, now)
            self._wake_long_polls(hosted)
        self._wake.set()

    def add_crash_records(
        self, records: Iterable[crash_records.CrashRecord]
    ) -> None:
        """Adds new or changed ends of engines."""
        now = clock.now()
        for hosted in self._hosted_by_pool.values():
            hosted.scheduler.add_crash_records(tuple(records), now)

    async def handle(
        self, request: wire.SchedulingRequest
    ) -> wire.SchedulingResponse:
        """Applies an entry process's events and returns its pending decisions.

        Args:
          request: The message of the entry process.

        Returns:
          The pending decisions, a redirect to the coordinator, or `known=False`
          if the entry process must reset the channel. If there are no
          decisions, the response is delayed by up to the requested time until
          there is one.
        """
        coordinator = self._coordinator_for(request)
        if coordinator is not None:
            return wire.SchedulingResponse(
                known=False, home=wire.coordinator_to_wire(coordinator)
            )
        hosted = self._hosted(request.pool)
        now = clock.now()
        if self._origins is not None and request.origins:
            self._origins.merge(request.pool, request.origins)
        is_current = hosted.scheduler.has_session(request.entry, request.epoch)
        starts_channel = request.first == 1
        superseded = hosted.scheduler.is_superseded(
            request.entry, request.epoch
        )
        if superseded or not (is_current or starts_channel):
            return wire.SchedulingResponse(known=False)
        events = tuple(
            wire.event_from_wire(event, now) for event in request.events
        )
        hosted.scheduler.receive(
            request.entry,
            request.epoch,
            request.first,
            events,
            now,
            {item.engine_id: now + item.left_s for item in request.unavailable},
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
        """Drives the timers of the pool schedulers until cancelled."""
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

    def loads(self) -> dict[str, pools.PoolLoad]:
        """Returns the load of each hosted pool by its name."""
        loads = {}
        for pool, hosted in self._hosted_by_pool.items():
            load = hosted.scheduler.pool_load(pool)
            if load is not None:
                loads[pool] = load
        return loads

    def displaced(self) -> Mapping[tuple[str, str], int]:
        """Returns how often a request was displaced, by pool and reason."""
        return {
            key: count
            for hosted in self._hosted_by_pool.values()
            for key, count in hosted.scheduler.displaced().items()
        }

    def speed_changes(self, now: float) -> dict[str, changes.SpeedChange]:
        """Returns a clear change of an engine's speed for each pool with one.

        Args:
          now: Current time in seconds.
        """
        found = {}
        for pool, hosted in self._hosted_by_pool.items():
            change = hosted.scheduler.next_speed_change(pool, now)
            if change is not None:
                found[pool] = change
        return found

    def preview(
        self, query: placement_query.PlacementQuery
    ) -> placement_preview.Preview:
        """Returns what would become of a request now, without sending it.

        Args:
          query: The request.

        Raises:
          PlacementError: The pool is unknown, or another VM coordinates it.
        """
        if query.pool not in self._engine_pools():
            raise errors.PlacementError(
                f"there is no pool {query.pool!r} of model engines",
                code="unknown_pool",
            )
        if not self._is_coordinator(query.pool):
            vm = next(iter(self._ranked(query.pool)), None)
            name = f"{vm.id} ({vm.host})" if vm else "not known"
            raise errors.PlacementError(
                f"{self._vm_id} isn't the coordinator of {query.pool}; it is "
                f"{name}",
                code="not_coordinator",
            )
        now = clock.now()
        hosted = self._hosted_by_pool.get(query.pool)
        scheduler = hosted.scheduler if hosted else self._idle_scheduler(now)
        return scheduler.preview(query.submit(self._snapshot, now), now)

    def _idle_scheduler(self, now: float) -> pool_scheduler_lib.PoolScheduler:
        """Returns a scheduler for the preview of a pool without requests."""
        scheduler = pool_scheduler_lib.PoolScheduler(
            self._availability_zone,
            seed=0,
            overload_control=self._overload_control,
        )
        scheduler.set_is_coordinator(True, now - pool_scheduler_lib.TAKEOVER_S)
        scheduler.update(self._snapshot, self._fleet, now)
        scheduler.set_rate_limits(self._rate_limits, now)
        return scheduler

    def hosted_pools(self) -> list[str]:
        """Returns the names of the pools hosted by this process."""
        return list(self._hosted_by_pool)

    def _coordinator_for(
        self, request: wire.SchedulingRequest
    ) -> model.Vm | None:
        """Returns the VM to redirect an entry process to, None for this VM."""
        for vm in self._ranked(request.pool):
            if vm.id == self._vm_id:
                return None
            if vm.id not in request.avoids:
                return vm
        return None

    def _is_coordinator(self, pool: str) -> bool:
        ranked = self._ranked(pool)
        return bool(ranked) and ranked[0].id == self._vm_id

    def _engine_pools(self) -> list[str]:
        return sorted(
            {
                endpoint.pool
                for endpoint in self._snapshot.endpoints_by_id.values()
                if endpoint.kind is not model.EndpointKind.PLAIN
            }
        )

    def _ranked(self, pool: str) -> list[model.Vm]:
        return self._ranking.ranked_vms(pool, self._fleet.vms_by_id)

    def _hosted(self, pool: str) -> _HostedPool:
        hosted = self._hosted_by_pool.get(pool)
        if hosted is None:
            seed = self._random.getrandbits(_SEED_BITS)
            now = clock.now()
            hosted = _HostedPool(
                pool_scheduler_lib.PoolScheduler(
                    self._availability_zone,
                    seed,
                    self._origins,
                    now,
                    overload_control=self._overload_control,
                )
            )
            if self._origins is not None:
                self._origins.begin(pool)
            hosted.scheduler.update(self._snapshot, self._fleet, now)
            hosted.scheduler.set_rate_limits(self._rate_limits, now)
            hosted.scheduler.add_crash_records(tuple(self.crash_records()), now)
            hosted.scheduler.set_is_coordinator(self._is_coordinator(pool), now)
            self._hosted_by_pool[pool] = hosted
            self._log.event("cell_begun", pool=pool)
        return hosted

    def _wake_scheduler(self) -> None:
        self._wake.set()

    async def _wait_for_decisions(
        self, hosted: _HostedPool, request: wire.SchedulingRequest
    ) -> None:
        previous = hosted.long_polls_by_entry.pop(request.entry, None)
        if previous is not None:
            previous.set()
        if hosted.scheduler.has_pending_decisions(request.entry):
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
            if hosted.scheduler.has_pending_decisions(entry):
                long_poll.set()

    def _response(
        self, hosted: _HostedPool, request: wire.SchedulingRequest
    ) -> wire.SchedulingResponse:
        if not hosted.scheduler.has_session(request.entry, request.epoch):
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
