"""Central scheduler of one engine pool, shared by all entry processes.

Sans-I/O: the pool's coordinator VM runs the pool scheduler. It knows each
request that waits or runs at any entry process, so it accounts for the engines'
memory exactly and orders all requests in one queue. Entry processes send it
their events and receive its decisions.

Entry processes that have not connected yet may have requests at the engines
that the pool scheduler doesn't know of. After a coordinator failover all entry
processes with running requests report them within `TAKEOVER_S`, so the fraction
of each engine's slots that a new coordinator uses rises to 1 in that time. An
acting coordinator serves entry processes that can't reach the coordinator,
while others still use the coordinator. It uses the same fraction of each
engine's slots as the fraction of live entry processes connected to it.
"""

import dataclasses
import math
from collections.abc import Mapping

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import identity
from cowsliprill.decisions import message_channel
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import placement_preview
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import rate_limits
from cowsliprill.decisions import scheduler as scheduler_lib
from cowsliprill.decisions import stream_origins
from cowsliprill.decisions.engine_speeds import changes

# Heartbeat timeout of an entry process with requests. Its slots are then free,
# as engines drop requests whose connection is lost. It is longer than the
# heartbeat interval of a live entry process,
# `pool_scheduling.client.HEARTBEAT_INTERVAL_S`.
ENTRY_TIMEOUT_S = 2.5

# Entry processes with requests connect to a new coordinator within this time.
TAKEOVER_S = 1.0

# Entry processes and other VMs tell a new coordinator within this time which
# versions have begun streams. Callers leave a stream that pauses for 2 s.
_ORIGINS_WAIT_S = 0.6

# Interval at which a new coordinator raises the fraction of slots it uses.
_RAMP_STEP_S = 0.05

# Timeout of an entry process without requests, which sends no heartbeats. It is
# long so that the next request needs no new session.
_IDLE_ENTRY_TIMEOUT_S = 60.0

# Fraction of the retry bursts of all entry processes that may be used here.
_RETRY_BUDGET_FRACTION = 0.5

# An entry process repeats with each message until when it can't use engines.
# Smaller differences are due to the time that messages take.
_UNAVAILABLE_TOLERANCE_S = 0.1

Decision = messages.Decision


@dataclasses.dataclass(slots=True)
class _EntrySession:
    epoch: int
    last_received_at: float
    unavailable_until: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    inbox: message_channel.Inbox = dataclasses.field(
        default_factory=message_channel.Inbox
    )
    outbox: message_channel.Outbox[Decision] = dataclasses.field(
        default_factory=message_channel.Outbox
    )
    request_ids_by_number: dict[int, int] = dataclasses.field(
        default_factory=dict
    )


class PoolScheduler:
    """Schedules the requests of one pool for all entry processes.

    Args:
      availability_zone: Availability zone of this VM.
      seed: Seed of the random number generator.
      origins: Tells and records which software version began a stream.
      begun_at: Time in seconds at which this process began to host the pool.
      overload_control: Whether the overload ranking orders the requests.
    """

    def __init__(
        self,
        availability_zone: str,
        seed: int,
        origins: stream_origins.Origins | None = None,
        begun_at: float = -math.inf,
        *,
        overload_control: bool = False,
    ) -> None:
        self._scheduler = scheduler_lib.Scheduler(
            availability_zone,
            seed,
            owns_slots=True,
            origins=origins,
            overload_control=overload_control,
        )
        self._scheduler.origins_complete_at = begun_at + _ORIGINS_WAIT_S
        self._sessions_by_entry: dict[str, _EntrySession] = {}
        self._origins_by_request_id: dict[int, tuple[str, int]] = {}
        self._next_id = 0
        self._live_entry_count = 1
        self._zones_by_vm: dict[str, str] = {}
        self._coordinator_since: float | None = None
        self._slot_fraction: float | None = None

    def set_is_coordinator(self, is_coordinator: bool, now: float) -> None:
        """Sets whether this VM is the pool's coordinator in its own VM list.

        Args:
          is_coordinator: Whether it is the coordinator; else it is an acting
            coordinator.
          now: Current time in seconds.
        """
        if not is_coordinator:
            self._coordinator_since = None
        elif self._coordinator_since is None:
            self._coordinator_since = now
        self._update_slot_fraction(now)

    def update(
        self, snapshot: model.Snapshot, fleet: model.Fleet, now: float
    ) -> None:
        """Applies a new cluster state.

        Args:
          snapshot: Settings in force.
          fleet: VM list.
          now: Current time in seconds.
        """
        self._live_entry_count = sum(
            len(vm.entry_ports)
            for vm in fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
            and vm.state is not model.VmState.JOINING
        )
        self._zones_by_vm = {
            vm.id: vm.availability_zone for vm in fleet.vms_by_id.values()
        }
        self._handle(messages.ClusterStateChanged(snapshot, fleet), now)
        self._update_slot_fraction(now)

    def set_rate_limits(
        self, limits: tuple[rate_limits.RateLimit, ...], now: float
    ) -> None:
        """Sets the rate limits that engines name.

        Args:
          limits: All known limits.
          now: Current time in seconds.
        """
        self._handle(messages.RateLimitsChanged(limits), now)

    def add_crash_records(
        self, records: tuple[crash_records.CrashRecord, ...], now: float
    ) -> None:
        """Adds ends of engines that other coordinators may have seen.

        Args:
          records: New or changed records.
          now: Current time in seconds.
        """
        self._handle(messages.CrashRecordsChanged(records), now)

    def has_session(self, entry: str, epoch: int) -> bool:
        """Returns whether an entry process has an open session.

        Args:
          entry: Id of the entry process.
          epoch: Epoch of the session.
        """
        session = self._sessions_by_entry.get(entry)
        return session is not None and session.epoch == epoch

    def is_superseded(self, entry: str, epoch: int) -> bool:
        """Returns whether a session was superseded by a newer one.

        Without this check a delayed call of the old session would discard the
        state that the entry process has sent since.

        Args:
          entry: Id of the entry process.
          epoch: Epoch of the session.
        """
        session = self._sessions_by_entry.get(entry)
        return session is not None and session.epoch > epoch

    def receive(
        self,
        entry: str,
        epoch: int,
        first: int,
        events: tuple[messages.Event, ...],
        now: float,
        unavailable_until: Mapping[str, float] | None = None,
    ) -> None:
        """Handles messages of an entry process; repeated ones are ignored.

        Args:
          entry: Id of the entry process.
          epoch: Epoch of the session, which rises with each session of the
            entry process. A new epoch discards the state of the old session.
          first: Sequence number of the first message.
          events: Messages, with the entry process's own request numbers.
          now: Current time in seconds.
          unavailable_until: Until when the entry process can't use some of the
            engines, in seconds, by engine.
        """
        session = self._sessions_by_entry.get(entry)
        if session is None or session.epoch != epoch:
            if session is not None:
                self._drop_session(entry, now)
            session = _EntrySession(epoch, now)
            self._sessions_by_entry[entry] = session
            self._update_slot_fraction(now)
        session.last_received_at = now
        self._set_unavailable(entry, session, unavailable_until or {}, now)
        for event in session.inbox.receive(first, events):
            translated = self._translate(entry, session, event)
            if translated is not None:
                self._handle(translated, now)

    def _set_unavailable(
        self,
        entry: str,
        session: _EntrySession,
        until_by_engine: Mapping[str, float],
        now: float,
    ) -> None:
        if _are_close(until_by_engine, session.unavailable_until):
            return
        session.unavailable_until = until_by_engine
        event = messages.EnginesUnavailable(
            entry=entry, until_by_engine=until_by_engine
        )
        self._handle(event, now)

    def acknowledge(self, entry: str, number: int) -> None:
        """Drops the decisions that an entry process has received.

        Args:
          entry: Id of the entry process.
          number: Sequence number of the last decision received.
        """
        self._sessions_by_entry[entry].outbox.acknowledge(number)

    def decisions(self, entry: str) -> tuple[int, tuple[Decision, ...], int]:
        """Returns the decisions that an entry process hasn't acknowledged.

        Returns:
          Sequence number of the first decision, the decisions, and the
          sequence number of the last message received from the entry process.
        """
        session = self._sessions_by_entry[entry]
        outbox = session.outbox
        return outbox.first, outbox.pending(), session.inbox.last

    def has_pending_decisions(self, entry: str) -> bool:
        """Returns whether a long poll of an entry process must end now.

        This is so if there are unacknowledged decisions or no session.
        """
        session = self._sessions_by_entry.get(entry)
        return session is None or bool(session.outbox.pending())

    def engines(self, pool: str) -> int:
        """Returns the number of engines of a pool."""
        return self._scheduler.engines(pool)

    def pool_load(self, pool: str) -> pools.PoolLoad | None:
        """Returns the load of a pool, or None if the pool is unknown."""
        return self._scheduler.pool_load(pool)

    def next_speed_change(
        self, pool: str, now: float
    ) -> changes.SpeedChange | None:
        """Returns a clear change of an engine's speed to log, if any.

        Args:
          pool: Name of the pool.
          now: Current time in seconds.
        """
        return self._scheduler.next_speed_change(pool, now)

    def prompt_part(self, pool: str) -> float | None:
        """Returns the fraction of a pool's engine time spent on prefills.

        Returns:
          The fraction, or None if the pool is unknown or too few requests
          were recorded.
        """
        return self._scheduler.prompt_part(pool)

    def displaced(self) -> Mapping[tuple[str, str], int]:
        """Returns how often a request was displaced, by pool and reason."""
        return self._scheduler.displaced()

    def running(self, entry: str) -> int:
        """Returns the number of queued and running requests of an entry."""
        return len(self._sessions_by_entry[entry].request_ids_by_number)

    def tick(self, now: float) -> None:
        """Drops timed-out entry processes and handles due deadlines."""
        timed_out = [
            name
            for name, session in self._sessions_by_entry.items()
            if now - session.last_received_at
            > (
                ENTRY_TIMEOUT_S
                if session.request_ids_by_number
                else _IDLE_ENTRY_TIMEOUT_S
            )
        ]
        for name in timed_out:
            self._drop_session(name, now)
        self._update_slot_fraction(now)
        self._handle(messages.Tick(), now)

    def next_wakeup(self, now: float) -> float:
        """Returns the time at which `tick` is due."""
        wakeup = self._scheduler.next_wakeup(now)
        if self._is_ramping_up(now):
            return min(wakeup, now + _RAMP_STEP_S)
        return wakeup

    def _is_ramping_up(self, now: float) -> bool:
        since = self._coordinator_since
        return since is not None and now - since <= TAKEOVER_S + _RAMP_STEP_S

    def _drop_session(self, entry: str, now: float) -> None:
        session = self._sessions_by_entry.pop(entry)
        # All requests lose their origin before the first is cancelled.
        # Otherwise the slots that it frees could go to another request of the
        # same entry process.
        for request_id in session.request_ids_by_number.values():
            self._origins_by_request_id.pop(request_id, None)
        for request_id in session.request_ids_by_number.values():
            self._handle(messages.Cancel(request_id), now)
        self._set_unavailable(entry, session, {}, now)

    def preview(
        self, submit: messages.Submit, now: float
    ) -> placement_preview.Preview:
        """Returns what would become of a new request, and changes nothing.

        Args:
          submit: The request; its id is replaced.
          now: Current time in seconds.
        """
        return self._scheduler.preview(submit, now)

    def _update_slot_fraction(self, now: float) -> None:
        slot_fraction = self._reachable_fraction(now)
        if self._coordinator_since is not None:
            slot_fraction = max(
                slot_fraction, (now - self._coordinator_since) / TAKEOVER_S
            )
        slot_fraction = min(slot_fraction, 1.0)
        if slot_fraction != self._slot_fraction:
            self._slot_fraction = slot_fraction
            self._perform(self._scheduler.set_slot_fraction(slot_fraction, now))

    def _reachable_fraction(self, now: float) -> float:
        reachable = sum(
            now - session.last_received_at <= ENTRY_TIMEOUT_S
            for session in self._sessions_by_entry.values()
        )
        return reachable / max(self._live_entry_count, 1)

    def _translate(
        self, entry: str, session: _EntrySession, event: messages.Event
    ) -> messages.Event | None:
        match event:
            case messages.Submit(request_id=number):
                request_id = self._new_id(entry, session, number)
                return dataclasses.replace(
                    event,
                    request_id=request_id,
                    entry=entry,
                    availability_zone=self._availability_zone(entry),
                    service=self._with_pooled_retry_budget(event.service),
                )
            case messages.Adopt(submit=submit, start=start):
                request_id = self._new_id(entry, session, submit.request_id)
                return dataclasses.replace(
                    event,
                    submit=dataclasses.replace(
                        submit,
                        request_id=request_id,
                        entry=entry,
                        availability_zone=self._availability_zone(entry),
                    ),
                    start=dataclasses.replace(start, request_id=request_id),
                )
            case messages.Cancel(number) | messages.Finished(number):
                request_id = session.request_ids_by_number.pop(number, None)
                self._origins_by_request_id.pop(request_id, None)
            case _:
                request_id = session.request_ids_by_number.get(event.request_id)
        if request_id is None:
            return None
        return dataclasses.replace(event, request_id=request_id)

    def _availability_zone(self, entry: str) -> str:
        """Returns the zone of an entry process, empty if it is unknown."""
        try:
            vm = identity.Incarnation.parse(entry).vm
        except identity.IdentityError:
            return ""
        return self._zones_by_vm.get(vm, "")

    def _with_pooled_retry_budget(
        self, service: model.Service
    ) -> model.Service:
        # The retry burst in the settings is per entry process, and this budget
        # serves all of them. Only a fraction of the sum is used, since the
        # budget starts full again after each coordinator failover.
        burst = (
            service.retries.burst
            * self._live_entry_count
            * _RETRY_BUDGET_FRACTION
        )
        retries = dataclasses.replace(service.retries, burst=max(int(burst), 1))
        return dataclasses.replace(service, retries=retries)

    def _new_id(self, entry: str, session: _EntrySession, number: int) -> int:
        request_id = self._next_id
        self._next_id += 1
        session.request_ids_by_number[number] = request_id
        self._origins_by_request_id[request_id] = (entry, number)
        return request_id

    def _handle(self, event: messages.Event, now: float) -> None:
        self._perform(self._scheduler.handle(event, now))

    def _perform(self, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.Start() | messages.Refuse():
                    self._send(action)
                case _:
                    # Entry processes cancel attempts by themselves: engines
                    # drop a request when its connection is closed.
                    pass

    def _send(self, decision: Decision) -> None:
        origin = self._origins_by_request_id.get(decision.request_id)
        if origin is None:
            return
        entry, number = origin
        session = self._sessions_by_entry[entry]
        session.outbox.add(dataclasses.replace(decision, request_id=number))
        if isinstance(decision, messages.Refuse):
            del self._origins_by_request_id[decision.request_id]
            session.request_ids_by_number.pop(number, None)


def _are_close(first: Mapping[str, float], second: Mapping[str, float]) -> bool:
    """Returns whether two maps have the same keys and about the same times."""
    return first.keys() == second.keys() and all(
        abs(first[key] - second[key]) < _UNAVAILABLE_TOLERANCE_S
        for key in first
    )
