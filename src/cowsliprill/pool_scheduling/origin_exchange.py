"""Copies the origins of streams to the VMs that may be coordinator next.

A coordinator places all streams of its pool, so it knows the software version
of each before its first event. Without copies, this knowledge would be lost
with the coordinator, possibly together with the VMs that relay the streams.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill import peers
from cowsliprill.decisions import model
from cowsliprill.decisions import stream_origins
from cowsliprill.entry import coordinator_client
from cowsliprill.observability import log as log_lib
from cowsliprill.pool_scheduling import engine_survey
from cowsliprill.pool_scheduling import list_confirmation
from cowsliprill.pool_scheduling import origin_wire

# VMs that get copies: those ranked next for the pool.
_STANDBYS = 4

# Streams that begin within this time are copied together. It is shorter than
# the time from the placement of a stream to its first event.
_PUSH_DELAY_S = 0.05

_CALL_TIMEOUT_S = 0.5

# Limits a message to about 500 KB; the newest streams are sent.
_MAX_SENT = 5_000

# A process that has just started asks its peers as soon as it knows them.
_ASK_INTERVAL_S = 0.1
_ASK_FOR_S = 5.0
_ASK_AGAIN_S = 0.5

# Peers that start together ask within this time, and one call to the registry
# serves them all.
_CONFIRM_DELAY_S = 0.05

# The records of streams are worth more to a peer than the versions listed here,
# and it doesn't wait for long.
_CONFIRM_TIMEOUT_S = 0.2


class OriginExchange:
    """Implements `stream_origins.Origins` for the pools hosted by a process.

    While a pool's engines have one software version only, and had before,
    nothing is sent.

    Args:
      vm_id: Id of this VM.
      origins: The origins known to this process.
      client: Sends messages to other VMs.
      log: Log of the process.
      survey: Asks engines about streams without a record; None if engines can't
        be asked.
      confirmation: Confirms the list of engines; None if it is always complete.
    """

    def __init__(
        self,
        vm_id: str,
        origins: stream_origins.StreamOrigins,
        client: coordinator_client.CoordinatorClient,
        log: log_lib.Log,
        survey: engine_survey.EngineSurvey | None = None,
        confirmation: list_confirmation.ListConfirmation | None = None,
    ) -> None:
        self._vm_id = vm_id
        self._origins = origins
        self._client = client
        self._log = log
        self._survey = survey
        self._confirmation = confirmation
        if confirmation is not None:
            confirmation.on_end = self._notify_settled
        self.on_settled: Callable[[], None] = lambda: None
        self.ranked_vms: Callable[[str], list[model.Vm]] = lambda _: []
        self.pools: Callable[[], list[str]] = lambda: []
        self._begun_by_pool: dict[str, dict[str, stream_origins.Origin]] = {}
        self._completed_by_pool: dict[str, set[str]] = {}
        self._standby_ids_by_pool: dict[str, tuple[str, ...]] = {}
        self._answered: set[tuple[str, str]] = set()
        self._push_timer: asyncio.TimerHandle | None = None
        self._calls: set[asyncio.Task[object]] = set()

    # Interface for schedulers.

    def record(
        self, origin: stream_origins.Origin, age_max_s: float, now: float
    ) -> None:
        """Records the version of the engine that a stream begins at."""
        if not origin.key:
            return
        self._origins.record(origin, age_max_s, now)
        if not self._needs_copies(origin.pool, now):
            return
        begun = self._begun_by_pool.setdefault(origin.pool, {})
        begun[origin.key] = origin
        self._schedule_push()

    def complete(self, key: str, pool: str, now: float) -> None:
        """Records that a stream is complete."""
        self._origins.complete(key, pool, now)
        if key and pool in self._standby_ids_by_pool:
            self._completed_by_pool.setdefault(pool, set()).add(key)
            self._schedule_push()

    def update(self, pool: str) -> None:
        """Copies what VMs lack that have just become a hosted pool's standbys.

        All of them have when a release begins.

        Args:
          pool: Name of the pool, whose engines or VMs have changed.
        """
        standby_ids = tuple(vm.id for vm in self._standbys(pool))
        is_complete = self._standby_ids_by_pool.get(pool) == standby_ids
        if not is_complete and self._needs_copies(pool, clock.now()):
            self._begun_by_pool.setdefault(pool, {})
            self._schedule_push()

    def merge(
        self, pool: str, begun: tuple[stream_origins.Origin, ...]
    ) -> None:
        """Adds origins that an entry process knows.

        Args:
          pool: Name of the pool.
          begun: The origins.
        """
        self._origins.merge(begun, clock.now())
        # All standbys get the whole table with the next stream that begins.
        self._standby_ids_by_pool.pop(pool, None)

    def recorded_version(
        self, key: str, pool: str, now: float
    ) -> stream_origins.KnownVersion | None:
        """Returns the version that a record names, None if there is none."""
        return self._origins.recorded_version(key, pool, now)

    def version_of(
        self,
        key: str,
        pool: str,
        age_max_s: float,
        asked_at: float,
        now: float,
    ) -> stream_origins.KnownVersion | None:
        """Returns the version that began a stream, None if unknown.

        Has the list of engines confirmed if the version would be known then;
        see `is_settling`.
        """
        known = self._origins.version_of(key, pool, age_max_s, asked_at, now)
        if known is None and self._would_be_known(
            key, pool, age_max_s, asked_at, now
        ):
            self._begin_confirmation()
        return known

    def version_at_engines(
        self,
        customer: str,
        key: str,
        last_part: stream_origins.PromptPart,
        pool: str,
        asked_at: float,
    ) -> stream_origins.KnownVersion | None:
        """Returns the version that began a stream, by what engines tell.

        Engines that aren't listed here yet aren't asked, so what the others
        tell counts only once the list is confirmed.
        """
        if self._survey is None:
            return None
        version = self._survey.version_of(customer, key, last_part, pool)
        if version is None:
            return None
        if not self._origins.is_list_confirmed(asked_at):
            self._begin_confirmation()
            return None
        return stream_origins.KnownVersion(
            version, stream_origins.Evidence.ENGINES
        )

    def is_settling(self, pool: str, asked_at: float, now: float) -> bool:
        """Returns whether unknown versions may soon be known."""
        if self._survey and self._survey.is_under_way(pool):
            return True
        if (
            self._confirmation is not None
            and self._confirmation.is_under_way()
            and not self._origins.is_list_confirmed(asked_at)
        ):
            return True
        return self._origins.is_settling(pool, asked_at, now)

    def begin(self, pool: str) -> None:
        """Collects what others know of a pool's streams.

        Args:
          pool: Name of a pool that this process begins to coordinate.
        """
        self.ask(pool, again=True)
        if self._survey:
            self._survey.begin(pool)

    # Exchange with peers.

    async def run(self) -> None:
        """Asks the peers of a process that has just started."""
        until = clock.now() + _ASK_FOR_S
        while clock.now() < until:
            for pool in self.pools():
                self.ask(pool)
            await asyncio.sleep(_ASK_INTERVAL_S)
        await asyncio.Event().wait()

    def ask(self, pool: str, *, again: bool = False) -> None:
        """Asks the VMs ranked first for a pool for what they know of it.

        Args:
          pool: Name of the pool.
          again: Whether to ask VMs that have answered before.
        """
        for vm in self._others(pool)[: _STANDBYS + 1]:
            if again or (pool, vm.id) not in self._answered:
                self._answered.add((pool, vm.id))
                self._start(self._ask(vm, pool))

    async def handle(
        self, message: origin_wire.OriginMessage
    ) -> origin_wire.OriginAnswer:
        """Merges the origins of a peer and returns those that it asks for."""
        now = asked_at = clock.now()
        pool = message.pool
        self._origins.merge(message.begun, now)
        for key in message.completed:
            self._origins.complete(key, pool, now)
        if not message.asks:
            return origin_wire.OriginAnswer()
        answer = await self._versions_for_peer(pool, asked_at)
        return dataclasses.replace(answer, begun=self._known(pool, clock.now()))

    async def _versions_for_peer(
        self, pool: str, asked_at: float
    ) -> origin_wire.OriginAnswer:
        """Returns what is known for sure of a pool's only version."""
        only = self._origins.history.only(pool)
        if only is None or asked_at - only.since < _ASK_FOR_S:
            # The peer has seen as much itself.
            return origin_wire.OriginAnswer(confirmed=True)
        if not await self._confirm_list(asked_at):
            return origin_wire.OriginAnswer()
        only = self._origins.history.only(pool)
        return origin_wire.only_version_to_wire(only, clock.now())

    async def _confirm_list(self, asked_at: float) -> bool:
        if self._confirmation is None:
            return True
        try:
            async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                await asyncio.sleep(_CONFIRM_DELAY_S)
                return await self._confirmation.wait(asked_at)
        except TimeoutError:
            return False

    def _would_be_known(
        self,
        key: str,
        pool: str,
        age_max_s: float,
        asked_at: float,
        now: float,
    ) -> bool:
        """Returns whether only the confirmation of the list is missing."""
        if self._origins.is_list_confirmed(asked_at):
            return False
        only = self._origins.history.only_version(pool, age_max_s, now)
        return only is not None and not self._origins.has_record(key, now)

    def _notify_settled(self) -> None:
        self.on_settled()

    def _begin_confirmation(self) -> None:
        if self._confirmation is not None:
            self._confirmation.begin()

    def _others(self, pool: str) -> list[model.Vm]:
        return [vm for vm in self.ranked_vms(pool) if vm.id != self._vm_id]

    def _standbys(self, pool: str) -> list[model.Vm]:
        return self._others(pool)[:_STANDBYS]

    def _needs_copies(self, pool: str, now: float) -> bool:
        span_s = stream_origins.STREAM_AGE_MIN_S
        if self._origins.history.only_version(pool, span_s, now) is None:
            return True
        self._standby_ids_by_pool.pop(pool, None)
        return False

    def _known(
        self, pool: str, now: float
    ) -> tuple[stream_origins.Origin, ...]:
        return tuple(self._origins.of_pool(pool, now)[-_MAX_SENT:])

    def _schedule_push(self) -> None:
        if self._push_timer is None:
            loop = asyncio.get_running_loop()
            self._push_timer = loop.call_later(_PUSH_DELAY_S, self._push)

    def _push(self) -> None:
        self._push_timer = None
        begun_by_pool, self._begun_by_pool = self._begun_by_pool, {}
        completed_by_pool, self._completed_by_pool = (
            self._completed_by_pool,
            {},
        )
        for pool in begun_by_pool.keys() | completed_by_pool.keys():
            self._push_pool(
                pool,
                tuple(begun_by_pool.get(pool, {}).values()),
                tuple(completed_by_pool.get(pool, ())),
            )

    def _push_pool(
        self,
        pool: str,
        begun: tuple[stream_origins.Origin, ...],
        completed: tuple[str, ...],
    ) -> None:
        standbys = self._standbys(pool)
        known_ids = self._standby_ids_by_pool.get(pool, ())
        self._standby_ids_by_pool[pool] = tuple(vm.id for vm in standbys)
        for vm in standbys:
            message = origin_wire.OriginMessage(
                pool=pool,
                begun=(
                    begun
                    if vm.id in known_ids
                    else self._known(pool, clock.now())
                ),
                completed=completed,
            )
            if message.begun or message.completed:
                self._start(self._send(vm, message))

    async def _ask(self, vm: model.Vm, pool: str) -> None:
        message = origin_wire.OriginMessage(pool=pool, asks=True)
        # Between a peer's answer and a later first listing there may have been
        # others.
        is_listed = self._origins.history.only(pool) is not None
        answer = await self._send(vm, message)
        if answer is None:
            await asyncio.sleep(_ASK_AGAIN_S)
            self._answered.discard((pool, vm.id))
            return
        now = clock.now()
        self._origins.merge(answer.begun, now)
        only = origin_wire.only_version_from_wire(answer, now)
        if only is not None and is_listed:
            self._origins.history.extend(pool, only)
        if answer == origin_wire.OriginAnswer(begun=answer.begun):
            # Its registry didn't answer.
            await asyncio.sleep(_ASK_AGAIN_S)
            self._answered.discard((pool, vm.id))

    async def _send(
        self, vm: model.Vm, message: origin_wire.OriginMessage
    ) -> origin_wire.OriginAnswer | None:
        try:
            text = await self._client.post(
                vm, peers.STREAM_ORIGINS_PATH, message, _CALL_TIMEOUT_S
            )
            return codec.decode(origin_wire.OriginAnswer, text)
        except errors.CowsliprillError as error:
            self._log.event(
                "origin_exchange_failed",
                pool=message.pool,
                vm=vm.id,
                reason=error.message,
            )
            self._forget_standby(message.pool, vm.id)
            return None

    def _forget_standby(self, pool: str, vm_id: str) -> None:
        """Has a VM that may have missed streams get all of them next time."""
        known_ids = self._standby_ids_by_pool.get(pool)
        if known_ids is not None:
            self._standby_ids_by_pool[pool] = tuple(
                known_id for known_id in known_ids if known_id != vm_id
            )

    def _start(self, call: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
