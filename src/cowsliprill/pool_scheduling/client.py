"""Client side of pool scheduling, run by each entry process.

Sends the events of this process's requests to the coordinators of their pools
and receives scheduling decisions. Implements the same interface as
`entry.scheduling.Scheduling`, which schedules requests inside the entry
process.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from cowsliprill import clock
from cowsliprill import errors
from cowsliprill.decisions import coordinator_choice
from cowsliprill.decisions import endpoint_pauses
from cowsliprill.decisions import message_channel
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool_scheduler as pool_scheduler_lib
from cowsliprill.decisions import stream_origins
from cowsliprill.decisions import unavailable_engines
from cowsliprill.decisions import version_history
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.pool_scheduling import wire

# Longest time between two calls to a coordinator while requests are open.
HEARTBEAT_INTERVAL_S = 0.8

# A call to a coordinator normally takes a few milliseconds. One that exceeds
# its long-poll time by more than this is treated as lost, because callers wait
# in the meantime.
_CALL_TIMEOUT_S = 0.35
_LONG_POLL_S = 0.4

_CALL_DELAY_S = 0.02

# Limits the first message to a new coordinator to about 200 KB.
_MAX_ORIGINS = 2_000

SendToCoordinator = Callable[
    [model.Vm, wire.SchedulingRequest, float],
    Awaitable[wire.SchedulingResponse],
]


@dataclasses.dataclass(slots=True)
class _TrackedRequest:
    """State of one request of this entry process.

    Attributes:
      submit: The request as submitted.
      decisions: Queue that receives the decisions about the request.
      start: The decision that placed the request, None while it is queued.
      stage: Current stage of the request.
    """

    submit: messages.Submit
    decisions: asyncio.Queue[pool_scheduler_lib.Decision]
    start: messages.Start | None = None
    stage: messages.Stage = messages.Stage.QUEUED


class _Channel:
    """Message channel between this entry process and one pool's coordinator.

    Args:
      pool: Name of the pool.
      entry: Id of this process.
      post: Sends a message to a coordinator.
      cluster_state: Supplies the VM list.
      log: The process's log.
      origins: Software versions that have begun streams.
    """

    def __init__(
        self,
        pool: str,
        entry: str,
        post: SendToCoordinator,
        cluster_state: cluster_state_lib.ClusterState,
        log: log_lib.Log,
        origins: stream_origins.StreamOrigins,
    ) -> None:
        self._origins = origins
        self._unsent_origins: tuple[stream_origins.Origin, ...] = ()
        self._pool = pool
        self._entry = entry
        self._post = post
        self._cluster_state = cluster_state
        self._log = log
        self.tracked_by_id: dict[int, _TrackedRequest] = {}
        self.prefill_fraction = 0.0
        self.heartbeats_enabled = False
        self._choice = coordinator_choice.CoordinatorChoice(pool)
        self._unavailable_until: Mapping[str, float] = {}
        self._epoch = 0
        self._outbox: message_channel.Outbox[wire.Event] = (
            message_channel.Outbox()
        )
        self._inbox = message_channel.Inbox()
        self._send_due = asyncio.Event()
        self._has_queued = asyncio.Event()
        self._tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (self._send(), self._poll())
        ]

    def submit(self, tracked: _TrackedRequest) -> None:
        """Adds a new request and sends it to the coordinator."""
        # The coordinator is updated first: a change of coordinator resubmits
        # all tracked requests, and a request that is already tracked would be
        # submitted twice.
        self._update_coordinator()
        self.tracked_by_id[tracked.submit.request_id] = tracked
        self._has_queued.set()
        request = wire.request_to_wire(tracked.submit, clock.now())
        self._add(wire.Submit(kind="submit", request=request))

    def readopt(self, tracked: _TrackedRequest) -> None:
        """Replaces a request by a running one, known to the coordinator or not.

        Args:
          tracked: The request, with the placement of its running attempt.
        """
        request_id = tracked.submit.request_id
        self._add(wire.Step(kind="cancel", number=request_id))
        self.tracked_by_id[request_id] = tracked
        self._add(_adoption(tracked, tracked.start, clock.now()))

    def add(self, event: messages.Event, request_id: int) -> None:
        """Records an event of a submitted request and sends it."""
        tracked = self.tracked_by_id.get(request_id)
        if tracked is None:
            return
        match event:
            case messages.PrefillFinished():
                tracked.stage = messages.Stage.TRANSFER
            case messages.FirstToken():
                tracked.stage = messages.Stage.DECODE
                self._record_version(tracked)
            case messages.AttemptFailed():
                if event.version is not None:
                    # Another coordinator may get the request from here on.
                    tracked.submit = dataclasses.replace(
                        tracked.submit, resumes=True, version=event.version
                    )
                tracked.start = None
                tracked.stage = messages.Stage.QUEUED
                self._has_queued.set()
            case messages.Finished():
                del self.tracked_by_id[request_id]
                self._origins.complete(
                    tracked.submit.origin, self._pool, clock.now()
                )
            case messages.Cancel():
                del self.tracked_by_id[request_id]
        self._add(wire.event_to_wire(event))

    def _record_version(self, tracked: _TrackedRequest) -> None:
        if tracked.start is None:
            return
        endpoints_by_id = self._cluster_state.snapshot.endpoints_by_id
        decode = endpoints_by_id.get(tracked.start.decode_id)
        if decode is None:
            return
        tracked.submit = dataclasses.replace(
            tracked.submit, version=decode.software_version
        )
        origin = stream_origins.Origin(
            key=tracked.submit.origin,
            pool=self._pool,
            version=decode.software_version,
            begun=True,
        )
        age_max_s = tracked.submit.stream_age_max_s
        self._origins.record(origin, age_max_s, clock.now())

    def cluster_state_changed(self) -> None:
        """Switches to another coordinator if the VM list requires it."""
        self._update_coordinator()

    def set_unavailable(self, until_by_engine: Mapping[str, float]) -> None:
        """Sets the engines that this process can't use, of any pool."""
        self._unavailable_until = until_by_engine
        if self._any_queued():
            self._send_due.set()

    def _unavailable(self, now: float) -> tuple[wire.UnavailableEngine, ...]:
        endpoints_by_id = self._cluster_state.snapshot.endpoints_by_id
        unavailable = [
            wire.UnavailableEngine(
                engine_id=engine_id,
                left_s=min(until - now, endpoint_pauses.MAX_PAUSE_S),
            )
            for engine_id, until in self._unavailable_until.items()
            if until > now
            and engine_id in endpoints_by_id
            and endpoints_by_id[engine_id].pool == self._pool
        ]
        return tuple(unavailable[: unavailable_engines.MAX_ENGINES])

    def set_heartbeats(self, enabled: bool) -> None:
        """Enables or disables heartbeats while there are no requests."""
        if enabled and not self.heartbeats_enabled:
            self._send_due.set()
        self.heartbeats_enabled = enabled

    def close(self) -> None:
        """Cancels the channel's tasks."""
        for task in self._tasks:
            task.cancel()

    def _add(self, event: wire.Event) -> None:
        self._outbox.add(event)
        self._send_due.set()

    def _update_coordinator(self) -> None:
        vms_by_id = self._cluster_state.fleet.vms_by_id
        if self._choice.update(vms_by_id, clock.now()):
            self._coordinator_changed()

    def _coordinator_changed(self) -> None:
        coordinator = self._choice.home
        self._log.event(
            "home_chosen",
            pool=self._pool,
            vm=coordinator.id if coordinator else "",
        )
        self._reset_channel()

    def _reset_channel(self) -> None:
        """Starts a new epoch and sends the full state of all requests.

        Called when the coordinator has no state of this channel: after a change
        of coordinator, or when the coordinator has dropped the channel. Queued
        requests are submitted again, running ones are sent for adoption.
        """
        self._epoch += 1
        self._outbox = message_channel.Outbox()
        self._inbox = message_channel.Inbox()
        now = clock.now()
        self._unsent_origins = self._known_origins(now)
        for tracked in self.tracked_by_id.values():
            if tracked.start is None:
                request = wire.request_to_wire(tracked.submit, now)
                self._add(wire.Submit(kind="submit", request=request))
            else:
                self._add(_adoption(tracked, tracked.start, now))

    def _known_origins(self, now: float) -> tuple[stream_origins.Origin, ...]:
        """Returns origins of streams that a new coordinator may not know."""
        span_s = stream_origins.STREAM_AGE_MIN_S
        history = self._origins.history
        if history.only_version(self._pool, span_s, now) is not None:
            return ()
        return tuple(self._origins.of_pool(self._pool, now)[-_MAX_ORIGINS:])

    def _any_queued(self) -> bool:
        return any(
            tracked.start is None for tracked in self.tracked_by_id.values()
        )

    async def _send(self) -> None:
        """Sends new events at once, and heartbeats while they are needed."""
        while True:
            heartbeat_needed = self.heartbeats_enabled or bool(
                self.tracked_by_id
            )
            try:
                async with asyncio.timeout(
                    HEARTBEAT_INTERVAL_S if heartbeat_needed else None
                ):
                    await self._send_due.wait()
            except TimeoutError:
                self._update_coordinator()
            self._send_due.clear()
            responded = await self._call_coordinator(0.0)
            if self._outbox.pending() or (heartbeat_needed and not responded):
                await asyncio.sleep(_CALL_DELAY_S)
                self._send_due.set()

    async def _poll(self) -> None:
        """Long-polls the coordinator while requests are queued."""
        while True:
            if not self._any_queued():
                self._has_queued.clear()
                await self._has_queued.wait()
            # Most requests are placed by the response to the call that
            # submitted them; only the remaining ones justify another call.
            await asyncio.sleep(_CALL_DELAY_S)
            if self._any_queued():
                await self._call_coordinator(_LONG_POLL_S)

    async def _call_coordinator(self, wait_s: float) -> bool:
        """Calls the coordinator once.

        Args:
          wait_s: Long-poll time in seconds, 0 for an immediate response.

        Returns:
          Whether the coordinator responded.
        """
        if self._choice.home is None:
            self._update_coordinator()
        coordinator, epoch = self._choice.home, self._epoch
        if coordinator is None:
            return False
        # Long polls carry no events: those are sent by separate calls, which
        # the coordinator does not hold back.
        events = () if wait_s else self._outbox.pending()
        request = wire.SchedulingRequest(
            entry=self._entry,
            pool=self._pool,
            epoch=epoch,
            first=self._outbox.first,
            events=events,
            acknowledged=self._inbox.last,
            wait_s=wait_s,
            avoids=self._choice.suspended_ids(clock.now()),
            origins=self._unsent_origins,
            unavailable=self._unavailable(clock.now()),
        )
        try:
            response = await self._post(
                coordinator, request, _CALL_TIMEOUT_S + wait_s
            )
        except errors.CowsliprillError as error:
            self._record_failure(coordinator, error)
            return False
        self._choice.answered()
        if epoch != self._epoch:
            return True
        self._unsent_origins = ()
        if response.home is not None:
            redirect = wire.coordinator_from_wire(response.home)
            if self._choice.follow(coordinator, redirect, clock.now()):
                self._coordinator_changed()
            return True
        if not response.known:
            self._reset_channel()
            return True
        # A coordinator that has just started reports 0. The value of the
        # previous coordinator is kept until then; otherwise engines would be
        # ordered to change roles back and forth.
        self.prefill_fraction = response.prompt_part or self.prefill_fraction
        self._outbox.acknowledge(response.acknowledged)
        self._apply(response)
        return True

    def _apply(self, response: wire.SchedulingResponse) -> None:
        decisions = [
            decision
            for _, decision in sorted(
                (*response.starts, *response.refusals), key=lambda pair: pair[0]
            )
        ]
        now = clock.now()
        for decision in self._inbox.receive(response.first, decisions):
            tracked = self.tracked_by_id.get(decision.request_id)
            if tracked is None or tracked.start is not None:
                # The second is an older decision about a request whose earlier
                # attempt goes on.
                continue
            match decision:
                case messages.Start():
                    start = dataclasses.replace(decision, decided_at=now)
                    if tracked.submit.version is None:
                        tracked.submit = dataclasses.replace(
                            tracked.submit, version=start.version
                        )
                    tracked.start = start
                    tracked.stage = messages.Stage.PREFILL
                    tracked.decisions.put_nowait(start)
                case messages.Refuse():
                    del self.tracked_by_id[decision.request_id]
                    tracked.decisions.put_nowait(decision)

    def _record_failure(self, coordinator: model.Vm, error: Exception) -> None:
        failures = self._choice.record_failure(coordinator, clock.now())
        if not failures:
            return
        self._log.warning(
            "home_failed",
            pool=self._pool,
            vm=coordinator.id,
            failures=failures,
            reason=str(error),
        )
        if failures >= coordinator_choice.MAX_CONSECUTIVE_FAILURES:
            self._update_coordinator()


def _adoption(
    tracked: _TrackedRequest, start: messages.Start, now: float
) -> wire.Adopt:
    return wire.Adopt(
        kind="adopt",
        request=wire.request_to_wire(tracked.submit, now),
        stage=tracked.stage,
        prefill_id=start.prefill_id,
        decode_id=start.decode_id,
        slots=start.slots,
        attempt=start.attempt,
    )


class PoolSchedulingClient:
    """Obtains decisions about this process's requests from coordinators.

    Args:
      entry: Id of this process.
      post: Sends a message to a coordinator.
      cluster_state: Supplies the settings snapshot and the VM list.
      log: The process's log.
      origins: Software versions that have begun streams.
    """

    def __init__(
        self,
        entry: str,
        post: SendToCoordinator,
        cluster_state: cluster_state_lib.ClusterState,
        log: log_lib.Log,
        origins: stream_origins.StreamOrigins | None = None,
    ) -> None:
        self._origins = origins or stream_origins.StreamOrigins(
            version_history.VersionHistory()
        )
        self._entry = entry
        self._post = post
        self._cluster_state = cluster_state
        self._log = log
        self._channels_by_pool: dict[str, _Channel] = {}
        self._unavailable_until: Mapping[str, float] = {}
        self._pools_by_id: dict[int, str] = {}

    def submit(
        self, submit: messages.Submit
    ) -> asyncio.Queue[pool_scheduler_lib.Decision]:
        """Sends a request to the coordinator of its pool.

        Args:
          submit: The request.

        Returns:
          The queue that receives the decisions about the request.
        """
        pool = submit.service.pool
        pool_channel = self._channel(pool)
        if submit.resumes and submit.version is None:
            submit = self._with_version(submit)
        decisions: asyncio.Queue[pool_scheduler_lib.Decision] = asyncio.Queue()
        self._pools_by_id[submit.request_id] = pool
        pool_channel.submit(_TrackedRequest(submit, decisions))
        return decisions

    def _with_version(self, submit: messages.Submit) -> messages.Submit:
        """Sets the version that began a stream, if this process served it.

        Without a record the coordinator decides, which places all streams of
        the pool.
        """
        known = self._origins.recorded_version(
            submit.origin, submit.service.pool, clock.now()
        )
        if known is None:
            return submit
        return dataclasses.replace(
            submit, version=known.version, evidence=known.evidence.value
        )

    def readopt(
        self,
        submit: messages.Submit,
        start: messages.Start,
        decisions: asyncio.Queue[pool_scheduler_lib.Decision],
    ) -> None:
        """Takes back that an attempt failed: its engine streams again.

        The coordinator may have refused the request meanwhile.

        Args:
          submit: The request.
          start: Placement of the attempt.
          decisions: Queue of the decisions about the request.
        """
        pool = submit.service.pool
        self._pools_by_id[submit.request_id] = pool
        stage = messages.Stage.DECODE
        tracked = _TrackedRequest(submit, decisions, start, stage)
        self._channel(pool).readopt(tracked)

    def post(self, event: messages.Event) -> None:
        """Sends an event of a request to the coordinator of its pool.

        Events of requests that have ended are ignored.
        `messages.ClusterStateChanged` is not sent; it updates the choice of
        coordinators.
        """
        if isinstance(event, messages.ClusterStateChanged):
            self._apply_cluster_state()
            return
        request_id = event.request_id
        pool = self._pools_by_id.get(request_id)
        if pool is None:
            return
        if isinstance(event, messages.Finished | messages.Cancel):
            del self._pools_by_id[request_id]
        self._channels_by_pool[pool].add(event, request_id)

    def set_unavailable(self, until_by_engine: Mapping[str, float]) -> None:
        """Sets the engines that this process can't use.

        Args:
          until_by_engine: Until when, in seconds, by engine.
        """
        self._unavailable_until = until_by_engine
        for pool_channel in self._channels_by_pool.values():
            pool_channel.set_unavailable(until_by_engine)

    def prefill_fraction(self, pool: str) -> float | None:
        """Returns the fraction of a pool's work that is prefill.

        Args:
          pool: Name of the pool.

        Returns:
          A value from 0 to 1, None if unknown.
        """
        pool_channel = self._channels_by_pool.get(pool)
        return (pool_channel.prefill_fraction or None) if pool_channel else None

    def set_heartbeats(self, pool: str, enabled: bool) -> None:
        """Enables or disables heartbeats to a pool's coordinator.

        While enabled, `prefill_fraction` is kept up to date even if this
        process has no requests of the pool.

        Args:
          pool: Name of the pool.
          enabled: Whether heartbeats are sent without requests.
        """
        if enabled or pool in self._channels_by_pool:
            self._channel(pool).set_heartbeats(enabled)

    def _apply_cluster_state(self) -> None:
        for pool_channel in self._channels_by_pool.values():
            pool_channel.cluster_state_changed()

    def _channel(self, pool: str) -> _Channel:
        pool_channel = self._channels_by_pool.get(pool)
        if pool_channel is None:
            pool_channel = _Channel(
                pool,
                self._entry,
                self._post,
                self._cluster_state,
                self._log,
                self._origins,
            )
            pool_channel.set_unavailable(self._unavailable_until)
            self._channels_by_pool[pool] = pool_channel
        return pool_channel

    def forget(self, request_id: int) -> None:
        """Does nothing: the end of a request is sent as an event."""

    async def run(self) -> None:
        """Waits until cancelled, then closes all channels."""
        try:
            await asyncio.Event().wait()
        finally:
            for pool_channel in self._channels_by_pool.values():
                pool_channel.close()
