"""The entry's side of cells: sends events to homes and takes decisions.

It stands where `entry.scheduling.Scheduling` does for a scheduler of the
entry's own.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill import errors
from cowsliprill.cells import wire
from cowsliprill.decisions import coordinator_choice
from cowsliprill.decisions import message_channel
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool_scheduler as pool_scheduler_lib
from cowsliprill.entry import world as world_lib
from cowsliprill.observability import log as log_lib

# A home hears of an entry that has requests at least this often.
PING_S = 0.8

# A call to a home takes some milliseconds; one that takes this long beyond
# what it may be held back is lost. Callers wait meanwhile.
_CALL_S = 0.35
_HOLD_S = 0.4

_PAUSE_S = 0.02

Post = Callable[[model.Vm, wire.CellRequest, float], Awaitable[wire.CellAnswer]]


@dataclasses.dataclass(slots=True)
class _Placed:
    """What this entry knows of one of its requests.

    Attributes:
      submit: The request.
      decisions: Where decisions about it go.
      start: Where it runs, None while it waits.
      stage: Where it is on its way.
    """

    submit: messages.Submit
    decisions: asyncio.Queue[pool_scheduler_lib.Decision]
    start: messages.Start | None = None
    stage: messages.Stage = messages.Stage.QUEUED


class _Channel:
    """The messages between this entry and the home of one pool.

    Args:
      pool: The pool.
      entry: Id of this process.
      post: Calls a home.
      world: The VM list.
      log: The process's log.
    """

    def __init__(
        self,
        pool: str,
        entry: str,
        post: Post,
        world: world_lib.World,
        log: log_lib.Log,
    ) -> None:
        self._pool = pool
        self._entry = entry
        self._post = post
        self._world = world
        self._log = log
        self.placed_by_number: dict[int, _Placed] = {}
        self.prompt_part = 0.0
        self.attentive = False
        self._choice = coordinator_choice.CoordinatorChoice(pool)
        self._epoch = 0
        self._outbox: message_channel.Outbox[wire.Event] = (
            message_channel.Outbox()
        )
        self._inbox = message_channel.Inbox()
        self._news = asyncio.Event()
        self._waiting = asyncio.Event()
        self._tasks = [
            asyncio.create_task(work) for work in (self._send(), self._poll())
        ]

    def submit(self, placed: _Placed) -> None:
        """Takes a new request."""
        # Looked up first: a change of home states all that is placed, and this
        # request would be stated twice.
        self._look_up_home()
        self.placed_by_number[placed.submit.request_id] = placed
        self._waiting.set()
        request = wire.write_request(placed.submit, clock.now())
        self._add(wire.Submit(kind="submit", request=request))

    def add(self, event: messages.Event, number: int) -> None:
        """Takes an event of a request that was submitted."""
        placed = self.placed_by_number.get(number)
        if placed is None:
            return
        match event:
            case messages.PrefillFinished():
                placed.stage = messages.Stage.TRANSFER
            case messages.FirstToken():
                placed.stage = messages.Stage.DECODE
            case messages.AttemptFailed():
                placed.start = None
                placed.stage = messages.Stage.QUEUED
                self._waiting.set()
            case messages.Finished() | messages.Cancel():
                del self.placed_by_number[number]
        self._add(wire.write_event(event))

    def world_changed(self) -> None:
        """Turns to another home if the VM list names one."""
        self._look_up_home()

    def be_attentive(self, attentive: bool) -> None:
        """Has the home asked now and then though there are no requests."""
        if attentive and not self.attentive:
            self._news.set()
        self.attentive = attentive

    def close(self) -> None:
        """Ends the tasks."""
        for task in self._tasks:
            task.cancel()

    def _add(self, event: wire.Event) -> None:
        self._outbox.add(event)
        self._news.set()

    def _look_up_home(self) -> None:
        vms_by_id = self._world.fleet.vms_by_id
        if self._choice.update(vms_by_id, clock.now()):
            self._turned()

    def _turned(self) -> None:
        home = self._choice.home
        self._log.event(
            "home_chosen", pool=self._pool, vm=home.id if home else ""
        )
        self._begin_anew()

    def _begin_anew(self) -> None:
        """States all requests to a home that doesn't know of them."""
        self._epoch += 1
        self._outbox = message_channel.Outbox()
        self._inbox = message_channel.Inbox()
        now = clock.now()
        for placed in self.placed_by_number.values():
            request = wire.write_request(placed.submit, now)
            start = placed.start
            if start is None:
                self._add(wire.Submit(kind="submit", request=request))
                continue
            self._add(
                wire.Adopt(
                    kind="adopt",
                    request=request,
                    stage=placed.stage,
                    prefill_id=start.prefill_id,
                    decode_id=start.decode_id,
                    slots=start.slots,
                    attempt=start.attempt,
                )
            )

    def _waits(self) -> bool:
        return any(
            placed.start is None for placed in self.placed_by_number.values()
        )

    async def _send(self) -> None:
        """Sends what is new at once, else a sign of life if there is need."""
        while True:
            needed = self.attentive or bool(self.placed_by_number)
            try:
                async with asyncio.timeout(PING_S if needed else None):
                    await self._news.wait()
            except TimeoutError:
                self._look_up_home()
            self._news.clear()
            answered = await self._call(0.0)
            if self._outbox.pending() or (needed and not answered):
                await asyncio.sleep(_PAUSE_S)
                self._news.set()

    async def _poll(self) -> None:
        """Waits at the home for decisions while requests wait here."""
        while True:
            if not self._waits():
                self._waiting.clear()
                await self._waiting.wait()
            # Most requests are placed by the answer to the call that brought
            # them; only those that aren't are worth another call.
            await asyncio.sleep(_PAUSE_S)
            if self._waits():
                await self._call(_HOLD_S)

    async def _call(self, wait_s: float) -> bool:
        """Calls the home once; returns whether it answered."""
        if self._choice.home is None:
            self._look_up_home()
        home, epoch = self._choice.home, self._epoch
        if home is None:
            return False
        # A held call carries no events: those go out by calls of their own,
        # which nothing holds up.
        events = () if wait_s else self._outbox.pending()
        request = wire.CellRequest(
            entry=self._entry,
            pool=self._pool,
            epoch=epoch,
            first=self._outbox.first,
            events=events,
            acknowledged=self._inbox.last,
            wait_s=wait_s,
            avoids=self._choice.suspended_ids(clock.now()),
        )
        try:
            answer = await self._post(home, request, _CALL_S + wait_s)
        except errors.CowsliprillError as error:
            self._note_failure(home, error)
            return False
        self._choice.answered()
        if epoch != self._epoch:
            return True
        if answer.home is not None:
            named = wire.read_home(answer.home)
            if self._choice.follow(home, named, clock.now()):
                self._turned()
            return True
        if not answer.known:
            self._begin_anew()
            return True
        # A home that has just begun doesn't know; what the one before it said
        # holds until then, or engines would be told to change back and forth.
        self.prompt_part = answer.prompt_part or self.prompt_part
        self._outbox.acknowledge(answer.acknowledged)
        self._take(answer)
        return True

    def _take(self, answer: wire.CellAnswer) -> None:
        decisions = [
            decision
            for _, decision in sorted(
                (*answer.starts, *answer.refusals), key=lambda pair: pair[0]
            )
        ]
        now = clock.now()
        for decision in self._inbox.receive(answer.first, decisions):
            placed = self.placed_by_number.get(decision.request_id)
            if placed is None:
                continue
            match decision:
                case messages.Start():
                    start = dataclasses.replace(decision, decided_at=now)
                    placed.start = start
                    placed.stage = messages.Stage.PREFILL
                    placed.decisions.put_nowait(start)
                case messages.Refuse():
                    del self.placed_by_number[decision.request_id]
                    placed.decisions.put_nowait(decision)

    def _note_failure(self, home: model.Vm, error: Exception) -> None:
        failures = self._choice.record_failure(home, clock.now())
        if not failures:
            return
        self._log.warning(
            "home_failed",
            pool=self._pool,
            vm=home.id,
            failures=failures,
            reason=str(error),
        )
        if failures >= coordinator_choice.MAX_CONSECUTIVE_FAILURES:
            self._look_up_home()


class CellScheduling:
    """Decisions about this entry's requests, made at the homes of pools.

    Args:
      entry: Id of this process.
      post: Calls a home.
      world: The settings and the VM list.
      log: The process's log.
    """

    def __init__(
        self,
        entry: str,
        post: Post,
        world: world_lib.World,
        log: log_lib.Log,
    ) -> None:
        self._entry = entry
        self._post = post
        self._world = world
        self._log = log
        self._channels_by_pool: dict[str, _Channel] = {}
        self._pools_by_number: dict[int, str] = {}

    def submit(
        self, submit: messages.Submit
    ) -> asyncio.Queue[pool_scheduler_lib.Decision]:
        """Sends a request to its home.

        Args:
          submit: The request.

        Returns:
          The queue by which decisions about it come, until `forget`.
        """
        pool = submit.service.pool
        known = self._channel(pool)
        decisions: asyncio.Queue[pool_scheduler_lib.Decision] = asyncio.Queue()
        self._pools_by_number[submit.request_id] = pool
        known.submit(_Placed(submit, decisions))
        return decisions

    def post(self, event: messages.Event) -> None:
        """Sends an event of a request to its home."""
        if isinstance(event, messages.ClusterStateChanged):
            self._world_changed()
            return
        number = event.request_id
        pool = self._pools_by_number.get(number)
        if pool is None:
            return
        if isinstance(event, messages.Finished | messages.Cancel):
            del self._pools_by_number[number]
        self._channels_by_pool[pool].add(event, number)

    def prompt_part(self, pool: str) -> float | None:
        """Returns the part of a pool's work that prompts are, if known."""
        known = self._channels_by_pool.get(pool)
        return (known.prompt_part or None) if known else None

    def follow(self, pool: str, wanted: bool) -> None:
        """Has a pool's home asked for `prompt_part` now and then, or not."""
        if wanted or pool in self._channels_by_pool:
            self._channel(pool).be_attentive(wanted)

    def _world_changed(self) -> None:
        for known in self._channels_by_pool.values():
            known.world_changed()

    def _channel(self, pool: str) -> _Channel:
        known = self._channels_by_pool.get(pool)
        if known is None:
            known = _Channel(
                pool,
                self._entry,
                self._post,
                self._world,
                self._log,
            )
            self._channels_by_pool[pool] = known
        return known

    def forget(self, request_id: int) -> None:
        """Does nothing: a request's end is an event of its own."""

    async def run(self) -> None:
        """Keeps the channels until cancelled."""
        try:
            await asyncio.Event().wait()
        finally:
            for known in self._channels_by_pool.values():
                known.close()
