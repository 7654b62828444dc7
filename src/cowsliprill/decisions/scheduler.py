"""Scheduler that places model requests on prefill and decode engines.

Sans-I/O: takes `messages.Event`, returns `messages.Action`. A request is
started only while slots of a decode engine and of a prefill engine are leased
for it, and is refused as soon as its TTFT target can't be met. Each submitted
request ends in exactly one of: the action `Refuse`, the event `Finished` or the
event `Cancel`.
"""

import dataclasses
import math
import random
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from cowsliprill.decisions import engine_selection
from cowsliprill.decisions import estimates
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import outcome_recorder
from cowsliprill.decisions import pair_selection
from cowsliprill.decisions import placement_preview
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import pool_set
from cowsliprill.decisions import requests
from cowsliprill.decisions import retry_budget
from cowsliprill.decisions import slot_demands
from cowsliprill.decisions import stream_origins
from cowsliprill.decisions import suspected_features
from cowsliprill.decisions import unavailable_engines
from cowsliprill.decisions import version_history
from cowsliprill.decisions import wait_estimates
from cowsliprill.decisions import waiting_requests
from cowsliprill.decisions.engine_health import health
from cowsliprill.decisions.engine_speeds import changes

_MAX_WAKEUP_INTERVAL_S = 0.5

# Clients drop a stalled stream after about this time, so a stream that can't
# be resumed on another engine by then is ended.
_RESUME_TIMEOUT_S = 2.0


# Time for which an engine that reported itself full gets no new requests,
# unless one of its requests ends earlier. Outputs there have grown longer than
# expected; if each waiting request were tried on it, all would be rejected and
# their prefills wasted.
_FULL_ENGINE_BACKOFF_S = 0.5

# Time for which an engine gets no requests of an entry process that didn't send
# one there: it knows the engine to leave or not to be listed, or has no
# connection left. The scheduler may learn of that later or never, and would
# place them there again at once.
_UNSENT_BACKOFF_S = 0.1

# Largest wait in a refusal. A pool without usable engines has an infinite one,
# which JSON can't carry: the entry process would drop the whole message.
_REPORTED_WAIT_MAX_S = 600.0


class Scheduler:
    """Places model requests on the engines of all pools.

    Args:
      availability_zone: Availability zone in which this process runs.
      seed: Seed of the random number generator.
      owns_slots: Whether this scheduler alone uses the engines, so that it
        needs no slot leases.
      origins: Tells and records which software version began a stream.
      overload_control: Whether the overload ranking orders the requests.

    Attributes:
      origins_complete_at: Time in seconds from which a stream that `origins`
        doesn't know is refused. Until then it waits.
    """

    def __init__(
        self,
        availability_zone: str,
        seed: int,
        *,
        owns_slots: bool = False,
        origins: stream_origins.Origins | None = None,
        overload_control: bool = False,
    ) -> None:
        self.origins_complete_at = -math.inf
        self._origins = origins or stream_origins.StreamOrigins(
            version_history.VersionHistory()
        )
        self._unknown_origin_ids: set[int] = set()
        rng = random.Random(seed)
        self._requests_by_id: dict[int, requests.Request] = {}
        self._health = health.EngineHealth()
        self._pools = pool_set.PoolSet(
            availability_zone,
            seed,
            rng,
            self._health,
            owns_slots=owns_slots,
            overload_control=overload_control,
        )
        self._owns_slots = owns_slots
        self._unavailable = unavailable_engines.UnavailableEngines()
        self._outcomes = outcome_recorder.OutcomeRecorder(
            self._health, self._unavailable
        )
        self._selector = engine_selection.EngineSelector(
            availability_zone, self._health, self._unavailable
        )
        self._retry_budgets = retry_budget.RetryBudgets()
        self._suspected_features = suspected_features.SuspectedFeatures()
        self._waiting = waiting_requests.WaitingRequests(
            self._requests_by_id,
            self._health,
            self._unavailable,
            self._selector,
            self._suspected_features,
            lambda: self._pools.entry_count,
        )
        self._sequence = 0

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Handles one event.

        Args:
          event: The event.
          now: Current time in seconds, on the clock of all times in events.

        Returns:
          Actions that the I/O layer must perform, in order.
        """
        match event:
            case messages.Submit():
                return self._submit(event, now)
            case messages.Adopt():
                return self._adopt(event, now)
            case messages.Cancel(request_id, connection_lost):
                if connection_lost:
                    self._suspected_features.lose(request_id, now)
                return self._cancel(request_id, now)
            case messages.PrefillFinished(request_id):
                return self._prefill_finished(request_id, now)
            case messages.FirstToken(request_id):
                return self._first_token(request_id, now)
            case messages.Progress():
                return self._progress(event, now)
            case messages.Finished():
                return self._finished(event, now)
            case messages.AttemptFailed():
                return self._attempt_failed(event, now)
            case messages.SlotGrant():
                return self._slots_granted(event, now)
            case messages.HomeUnreachable(endpoint_ids):
                return self._coordinator_unreachable(endpoint_ids, now)
            case messages.ClusterStateChanged(snapshot, fleet):
                return self._cluster_state_changed(snapshot, fleet, now)
            case messages.RateLimitsChanged(limits):
                self._pools.set_rate_limits(limits, now)
                return self._schedule_all(now)
            case messages.CrashRecordsChanged(records):
                self._suspected_features.learn(records, now)
                return []
            case messages.EnginesUnavailable():
                self._unavailable.set(event.entry, event.until_by_engine)
                return self._schedule_all(now)
            case messages.Tick():
                return self._schedule_all(now)

    def engines(self, pool: str) -> int:
        """Returns the number of engines of a pool in use."""
        pool_state = self._pools.pools_by_name.get(pool)
        return len(pool_state.endpoints_by_id) if pool_state else 0

    def pool_load(self, pool: str) -> pools.PoolLoad | None:
        """Returns the load of a pool, or None if the pool is unknown."""
        pool_state = self._pools.pools_by_name.get(pool)
        return pool_state.pool_load() if pool_state else None

    def next_speed_change(
        self, pool: str, now: float
    ) -> changes.SpeedChange | None:
        """Returns a clear change of an engine's speed to log, if any.

        Args:
          pool: Name of the pool.
          now: Current time in seconds.
        """
        pool_state = self._pools.pools_by_name.get(pool)
        return pool_state.next_speed_change(now) if pool_state else None

    def prompt_part(self, pool: str) -> float | None:
        """Returns the fraction of a pool's engine time spent on prefills.

        Returns:
          The fraction, or None if the pool is unknown or too few requests
          were recorded.
        """
        pool_state = self._pools.pools_by_name.get(pool)
        return pool_state.prompt_part() if pool_state else None

    def displaced(self) -> Mapping[tuple[str, str], int]:
        """Returns how often a request was displaced, by pool and reason."""
        return self._waiting.displaced

    def preview(
        self, submit: messages.Submit, now: float
    ) -> placement_preview.Preview:
        """Returns what would become of a new request, and changes nothing.

        Args:
          submit: The request; its id is replaced.
          now: Current time in seconds.
        """
        pool = self._pools.pools_by_name.get(submit.service.pool)
        if pool is None or not pool.decodes or not pool.can_prefill():
            return placement_preview.Preview(
                verdict=placement_preview.Verdict.REFUSE,
                code=messages.RefusalCode.NO_ENDPOINT,
                wait_s=_MAX_WAKEUP_INTERVAL_S,
            )
        number = max(self._requests_by_id, default=0) + 1
        submit = dataclasses.replace(submit, request_id=number)
        trial_pool = pool.trial_copy()
        trial = requests.from_submit(submit, trial_pool, now)
        # A trial may demote requests that wait already.
        trials_by_id = {
            item.submit.request_id: dataclasses.replace(
                self._waiting.request_of(item), pool=trial_pool
            )
            for item in (*pool.queue, *pool.constrained)
        }
        waiting = waiting_requests.WaitingRequests(
            {**trials_by_id, number: trial},
            self._health,
            self._unavailable,
            self._selector,
            self._suspected_features,
            lambda: self._pools.entry_count,
        )
        return placement_preview.PlacementPreview(
            trial, waiting, self._selector, self._pools.entry_count, now
        ).build()

    def asks(self, now: float) -> list[messages.SlotDemand]:
        """Returns this process's slot demand at each endpoint it uses.

        Args:
          now: Current time in seconds.

        Returns:
          One slot demand per endpoint. The I/O layer sends them to the
          endpoints' coordinators at each lease renewal, and at once those that
          `handle` returns.
        """
        self._sequence += 1
        return [
            ask
            for pool in self._pools.pools_by_name.values()
            for ask in self._asks_of(pool, now, only_urgent=False)
        ]

    def _asks_of(
        self, pool: pools.Pool, now: float, *, only_urgent: bool
    ) -> Iterator[messages.SlotDemand]:
        stated = slot_demands.SlotDemands(pool, self._health)
        return stated.build(now, self._sequence, only_urgent=only_urgent)

    def next_wakeup(self, now: float) -> float:
        """Returns the time at which the I/O layer must send `Tick`."""
        earliest = min(
            (
                queue.earliest_start_deadline()
                for pool in self._pools.pools_by_name.values()
                for queue in (pool.queue, pool.constrained)
            ),
            default=now + _MAX_WAKEUP_INTERVAL_S,
        )
        opening = min(
            (
                pool.rates.next_opening(now)
                for pool in self._pools.pools_by_name.values()
                if len(pool.queue) or len(pool.constrained)
            ),
            default=math.inf,
        )
        return min(
            earliest,
            opening,
            self._unavailable.next_change(now),
            now + _MAX_WAKEUP_INTERVAL_S,
        )

    # Events of one request.

    def _submit(
        self, event: messages.Submit, now: float
    ) -> list[messages.Action]:
        pool = self._pools.pools_by_name.get(event.service.pool)
        if pool is None or not pool.decodes or not pool.can_prefill():
            code = messages.RefusalCode.NO_ENDPOINT
            return [
                messages.Refuse(
                    request_id=event.request_id,
                    code=code,
                    retry_after_s=_MAX_WAKEUP_INTERVAL_S,
                )
            ]
        self._retry_budgets.of(event.service).deposit()
        request = requests.from_submit(event, pool, now)
        self._requests_by_id[event.request_id] = request
        if (
            max(request.unloaded_start_deadline, request.useful_start_deadline)
            < now
        ):
            code = messages.RefusalCode.TARGET_UNREACHABLE
            return [self._refuse(request, code, now)]
        pool.demand.add(wait_estimates.request_demand(request, now))
        if event.resumes:
            actions = self._submit_resumed(request, now)
        else:
            actions = self._admit(request, now)
        return actions + self._schedule(pool, now)

    def _admit(
        self, request: requests.Request, now: float
    ) -> list[messages.Action]:
        """Starts a request, or queues it if it is expected to start in time."""
        self._waiting.enqueue(request, now)
        starts = self._place_all(request.pool, now)
        is_queued = request.stage is messages.Stage.QUEUED
        can_meet_target = request.start_deadline > now
        if is_queued and can_meet_target:
            code = self._waiting.admit(request, now)
            if code is not None:
                starts.append(self._refuse(request, code, now))
        return starts

    def _submit_resumed(
        self, request: requests.Request, now: float
    ) -> list[messages.Action]:
        """Admits a stream that a caller resumes, if its version is known."""
        submit = request.submit
        if request.version is None:
            known = self._find_version(request, now)
            if known is not None:
                request.version = known.version
                request.evidence = known.evidence.value
        if request.version is not None:
            if request.pool.serves_version(request.version):
                return self._admit(request, now)
            return [self._refuse(request, request.no_version_code, now)]
        if now < self.origins_complete_at or self._origins.is_settling(
            submit.service.pool, request.submitted_at, now
        ):
            self._unknown_origin_ids.add(submit.request_id)
            return []
        return [self._refuse(request, messages.RefusalCode.ORIGIN_UNKNOWN, now)]

    def _find_version(
        self, request: requests.Request, now: float
    ) -> stream_origins.KnownVersion | None:
        """Returns the version that began a resumed stream, None if unknown."""
        submit, asked_at = request.submit, request.submitted_at
        pool = submit.service.pool
        if not submit.sole_pool:
            return self._origins.recorded_version(submit.origin, pool, now)
        known = self._origins.version_of(
            submit.origin, pool, submit.stream_age_max_s, asked_at, now
        )
        if known is not None:
            return known
        return self._origins.version_at_engines(
            submit.customer, submit.origin, submit.last_part, pool, asked_at
        )

    def _retry_unknown_origins(self, now: float) -> list[messages.Action]:
        waiting, self._unknown_origin_ids = self._unknown_origin_ids, set()
        return [
            action
            for request_id in sorted(waiting)
            if (request := self._requests_by_id.get(request_id)) is not None
            for action in self._submit_resumed(request, now)
        ]

    def _enqueue_resumed(
        self, request: requests.Request, now: float
    ) -> list[messages.Action]:
        """Queues a request for engines of the version that began its stream.

        Returns:
          The refusal if no engine has that version, which the caller had better
          know at once.
        """
        assert request.version is not None
        if request.pool.serves_version(request.version):
            self._waiting.enqueue(request, now)
            return []
        return [self._refuse(request, request.no_version_code, now)]

    def _adopt(
        self, event: messages.Adopt, now: float
    ) -> list[messages.Action]:
        """Takes over a running request that another scheduler has placed."""
        pool = self._pools.pools_by_name.get(event.submit.service.pool)
        if pool is None:
            return []
        request = requests.from_adopt(event, pool, now)
        self._requests_by_id[event.submit.request_id] = request
        self._acquire_slots(request)
        if request.stage is messages.Stage.DECODE:
            self._health.end_silence(event.start.decode_id)
        else:
            self._record_start(request)
        self._record_origin(request, now)
        return []

    def _record_start(self, request: requests.Request) -> None:
        submit = request.submit
        self._suspected_features.start(
            submit.request_id, submit.service.pool, submit.features
        )

    def _record_origin(self, request: requests.Request, now: float) -> None:
        """Records the version of a stream that has begun."""
        if request.version is None:
            return
        submit = request.submit
        origin = stream_origins.Origin(
            key=submit.origin,
            pool=submit.service.pool,
            version=request.version,
            begun=True,
        )
        self._origins.record(origin, submit.stream_age_max_s, now)

    def _acquire_slots(self, request: requests.Request) -> None:
        """Marks the slots of a running request as in use."""
        pool, customer = request.pool, request.submit.customer
        assert request.prefill is not None and request.decode is not None
        if request.stage is messages.Stage.PREFILL:
            request.prefill_lease = pool.lease(request.prefill.id)
            request.prefill_lease.acquire(customer)
        request.decode_lease = pool.lease(request.decode.id)
        request.decode_lease.acquire(customer, request.slots)
        pool.acquire(customer, request.submit.priority, request.slots)

    def _cancel(self, request_id: int, now: float) -> list[messages.Action]:
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        actions: list[messages.Action] = []
        if request.stage is messages.Stage.QUEUED:
            request.queue.remove(request_id)
        else:
            actions.append(self._cancel_attempt(request))
            self._release(request)
        return actions + self._schedule(request.pool, now)

    def _prefill_finished(
        self, request_id: int, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(request_id)
        if request is None or request.stage is not messages.Stage.PREFILL:
            return []
        self._release_prefill(request)
        assert request.prefill is not None
        self._outcomes.record_prefill(request, now)
        prefill_duration_s = now - request.started_at
        if not request.pool.is_former(request.prefill):
            request.pool.record_prefill_slowdown(
                request.prefill.id,
                prefill_duration_s / request.expected_prefill_s,
            )
        # Concurrent prompts slow each other down, the more so the busier the
        # engine is. Only a prefill that ran alone shows the engine's speed.
        assert request.prefill_lease is not None
        if request.solo_prompt_number == request.prefill_lease.prompts:
            request.pool.record_prefill_speed(
                request.prefill,
                request.uncached_tokens,
                prefill_duration_s,
                now,
            )
        request.stage = messages.Stage.TRANSFER
        request.stage_started_at = now
        return self._schedule(request.pool, now)

    def _first_token(
        self, request_id: int, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(request_id)
        if request is None or request.stage is not messages.Stage.TRANSFER:
            return []
        assert request.decode is not None
        self._outcomes.record_first_token(request, now)
        self._suspected_features.survive(request_id, now)
        if request.decode.id in request.pool.endpoints_by_id:
            # The version of an adopted request's engine may be unknown here.
            request.version = request.decode.software_version
        self._record_origin(request, now)
        request.stage = messages.Stage.DECODE
        request.stage_started_at = now
        request.pool.first_token_delays.record(
            request.submit.priority,
            now - request.started_at - request.min_ttft_s,
        )
        if len(request.pool.constrained):
            return self._schedule(request.pool, now)
        return []

    def _progress(
        self, event: messages.Progress, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(event.request_id)
        if request is not None and request.stage is messages.Stage.DECODE:
            assert request.decode is not None
            self._health.end_silence(request.decode.id)
            self._outcomes.record_pace(request, event.output_tokens, now)
        return []

    def _finished(
        self, event: messages.Finished, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.pop(event.request_id, None)
        if request is None:
            return []
        if request.stage is messages.Stage.QUEUED:
            request.queue.remove(event.request_id)
            return []
        if request.stage is messages.Stage.DECODE:
            submit = request.submit
            self._origins.complete(submit.origin, submit.service.pool, now)
            self._outcomes.record_pace(request, event.output_tokens, now)
            request.pool.output_lengths.record(
                request.submit, event.output_tokens
            )
            if not request.began_unseen:
                request.pool.record_hold(now - request.started_at)
        self._release(request)
        return self._schedule(request.pool, now)

    def _attempt_failed(
        self, event: messages.AttemptFailed, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(event.request_id)
        if request is None or request.stage is messages.Stage.QUEUED:
            return []
        paused = self._unavailable.has(
            request.submit.entry, event.endpoint_id, now
        )
        self._outcomes.record_failure(request, event, now, paused=paused)
        if event.unsent and not event.refused:
            entry, until = request.submit.entry, now + _UNSENT_BACKOFF_S
            self._unavailable.add(entry, event.endpoint_id, until, now)
        if event.connection_lost:
            self._suspected_features.lose(event.request_id, now)
        cancel = self._cancel_attempt(request)
        streaming = request.stage is messages.Stage.DECODE
        self._release(request)
        if event.refused:
            # This comes after the release of the request's own slots. If they
            # counted as free, the retry would go to the same full engine.
            until = now + _FULL_ENGINE_BACKOFF_S if self._owns_slots else 0.0
            request.pool.lease(event.endpoint_id).mark_full(until)
        if streaming and not event.resumable:
            # Tokens have reached the client, so the request can't be retried
            # from the start. The I/O layer decides how the stream ends.
            del self._requests_by_id[event.request_id]
            return [cancel, *self._schedule(request.pool, now)]
        if event.resumable:
            request.start_deadline = now + _RESUME_TIMEOUT_S
            request.useful_start_deadline = request.start_deadline
            if event.version is not None:
                request.version = event.version
                request.knows_versions = True
        if event.silent:
            self._waiting.held_ids.add(event.request_id)
        code = self._retry_refusal(request, event, now)
        if code is not None:
            return [
                cancel,
                self._refuse(request, code, now),
                *self._schedule(request.pool, now),
            ]
        request.export_expires_at = now + event.kept_s if event.kept_s else 0.0
        actions: list[messages.Action] = [cancel]
        if request.version is None:
            self._waiting.enqueue(request, now)
        else:
            actions += self._enqueue_resumed(request, now)
        return [*actions, *self._schedule(request.pool, now)]

    def _retry_refusal(
        self,
        request: requests.Request,
        event: messages.AttemptFailed,
        now: float,
    ) -> messages.RefusalCode | None:
        if event.silent and not self._health.any_sound(request.pool.decodes):
            # Its prompt would be read again for an engine as silent.
            return messages.RefusalCode.ENDPOINT_FAILED
        return requests.check_retry(request, event, self._retry_budgets, now)

    def _cancel_attempt(
        self, request: requests.Request
    ) -> messages.CancelAttempt:
        prefill, decode = request.prefill, request.decode
        assert prefill is not None and decode is not None
        return messages.CancelAttempt(
            request_id=request.submit.request_id,
            attempt=request.attempt,
            endpoint_ids=(prefill.id, decode.id),
        )

    def _release(self, request: requests.Request) -> None:
        self._suspected_features.end(request.submit.request_id)
        if request.stage is messages.Stage.PREFILL:
            self._release_prefill(request)
        assert request.decode_lease is not None
        for endpoint_id in request.probed_ids:
            self._health.end_probe(endpoint_id)
        request.probed_ids = ()
        customer = request.submit.customer
        request.decode_lease.release(customer, request.slots)
        request.pool.release(customer, request.submit.priority, request.slots)

    def _release_prefill(self, request: requests.Request) -> None:
        assert request.prefill_lease is not None
        request.prefill_lease.release(request.submit.customer)

    def _refuse(
        self, request: requests.Request, code: messages.RefusalCode, now: float
    ) -> messages.Refuse:
        pool = request.pool
        request_id = request.submit.request_id
        rank = self._waiting.rank(request, now)
        request.queue.remove(request_id)
        del self._requests_by_id[request_id]
        entry_count = self._pools.entry_count
        # A retried request is late and gets only the capacity that requests in
        # time leave. A retry-after from the drain time of the whole pool would
        # bring clients back during the same burst, to be refused for good.
        spare_capacity = wait_estimates.spare_capacity(pool, now, entry_count)
        slots = max(pool.slots(), 1) / pool.mean_slots_per_request
        capacity_fraction = spare_capacity.for_retries
        interval_s = pool.mean_hold_s / slots * entry_count / capacity_fraction
        wait_s = (
            pool.backlog(request.submit.priority).wait_s() / capacity_fraction
        )
        ready_in_s = self._waiting.ready_in_s(request, now)
        backoff_s = max(wait_s, spare_capacity.overload_backoff_s, ready_in_s)
        return messages.Refuse(
            request_id=request_id,
            code=code,
            retry_after_s=max(
                pool.retry_schedule.retry_after_s(now, backoff_s, interval_s),
                ready_in_s,
            ),
            wait_s=min(wait_s, _REPORTED_WAIT_MAX_S),
            waiting=len(pool.queue),
            rank=rank,
        )

    # Events of leases and the cluster state.

    def _slots_granted(
        self, event: messages.SlotGrant, now: float
    ) -> list[messages.Action]:
        pool = self._pools.pools_by_endpoint.get(event.endpoint_id)
        if pool is None:
            return []
        pool.lease(event.endpoint_id).grant(event)
        return self._schedule(pool, now)

    def _coordinator_unreachable(
        self, endpoint_ids: tuple[str, ...], now: float
    ) -> list[messages.Action]:
        self._pools.use_fallback(endpoint_ids)
        return self._schedule_all(now)

    def _cluster_state_changed(
        self, snapshot: model.Snapshot, fleet: model.Fleet, now: float
    ) -> list[messages.Action]:
        self._pools.update(snapshot, fleet, now)
        self._outcomes.retain(set(self._pools.pools_by_endpoint))
        for pool in self._pools.pools_by_name.values():
            self._waiting.requeue_versions(pool, now)
        return self._schedule_all(now)

    # Placement.

    def set_slot_fraction(
        self, slot_fraction: float, now: float
    ) -> list[messages.Action]:
        """Sets the fraction of each engine's slots that it may use.

        Args:
          slot_fraction: Fraction of the slots, from 0 to 1.
          now: Current time in seconds.

        Returns:
          Actions that the I/O layer must perform, in order.
        """
        self._pools.set_slot_fraction(slot_fraction)
        return self._schedule_all(now)

    def _schedule_all(self, now: float) -> list[messages.Action]:
        if self._owns_slots:
            # An engine that reported itself full may have free slots again.
            self._pools.set_slot_fraction(self._pools.slot_fraction)
        return [
            action
            for pool in self._pools.pools_by_name.values()
            for action in self._schedule(pool, now)
        ]

    def _schedule(self, pool: pools.Pool, now: float) -> list[messages.Action]:
        """Starts or sheds a pool's queued requests and reports slot demand."""
        actions = self._retry_unknown_origins(now)
        actions.extend(
            self._refuse_all(self._waiting.unservable(pool, now), now)
        )
        actions.extend(self._place_all(pool, now))
        actions.extend(self._refuse_all(self._waiting.overdue(pool, now), now))
        if not self._owns_slots:
            self._sequence += 1
            actions.extend(self._asks_of(pool, now, only_urgent=True))
        return actions

    def _refuse_all(
        self, unservable: Iterable[waiting_requests.Unservable], now: float
    ) -> list[messages.Action]:
        return [
            self._refuse(request, code, now) for request, code in unservable
        ]

    def _place_all(self, pool: pools.Pool, now: float) -> list[messages.Action]:
        self._waiting.return_to_queue(pool, now)
        starts = self._place_resumed(pool, now)
        while len(pool.queue):
            waiting = pool.first_waiting()
            assert waiting is not None
            request = self._waiting.request_of(waiting)
            if self._waiting.must_wait(request, now):
                self._waiting.requeue(request, now, starts_apart=True)
                continue
            start = self._place(request, now)
            if start is not None:
                starts.append(start)
            elif self._waiting.could_start_elsewhere(request, now):
                self._waiting.requeue(request, now, avoids_engines=True)
            else:
                break
        return starts

    def _place_resumed(
        self, pool: pools.Pool, now: float
    ) -> list[messages.Action]:
        """Starts requests that not all engines can serve, as soon as one can.

        They come before the others: streams that are resumed, whose callers
        have a part of the output, and requests that were first in the queue.
        """
        waiting = pool.constrained_in_order()
        starts = [
            self._place(request, now)
            for request in map(self._waiting.request_of, waiting)
            if not request.starts_apart
            and not self._waiting.must_wait(request, now)
        ]
        return [start for start in starts if start is not None]

    def _place(
        self, request: requests.Request, now: float
    ) -> messages.Start | None:
        submit = request.submit
        pair = self._select(request, now, submit.entry)
        if pair is None:
            return None
        request.queue.remove(submit.request_id)
        return self._start(
            request.pool,
            submit,
            pair,
            now,
            reuse_prefill=request.can_reuse_prefill(now),
        )

    def _select(
        self, request: requests.Request, now: float, entry: str | None
    ) -> pair_selection.EnginePair | None:
        if request.can_reuse_prefill(now):
            return self._selector.select_decode(
                request, request.prefill, now, entry
            )
        return self._selector.select_pair(request, now, entry)

    def _start(
        self,
        pool: pools.Pool,
        submit: messages.Submit,
        pair: pair_selection.EnginePair,
        now: float,
        *,
        reuse_prefill: bool,
    ) -> messages.Start:
        request = self._requests_by_id[submit.request_id]
        if not reuse_prefill:
            request.prefill = pool.endpoints_by_id[pair.prefill_id]
        request.decode = pool.endpoints_by_id[pair.decode_id]
        prefills = not reuse_prefill and pair.prefill_id != pair.decode_id
        request.stage = (
            messages.Stage.PREFILL if prefills else messages.Stage.TRANSFER
        )
        request.attempt += 1
        request.began_unseen = False
        request.started_at = now
        request.stage_started_at = now
        if prefills:
            self._expect_prefill(request)
            pool.rates.take(pair.prefill_id, now)
        pool.rates.take(pair.decode_id, now)
        self._acquire_slots(request)
        self._record_start(request)
        request.probed_ids = tuple(
            endpoint_id
            for endpoint_id in (pair.prefill_id, pair.decode_id)
            if self._health.record_placement(endpoint_id, now)
        )
        return messages.Start(
            request_id=submit.request_id,
            attempt=request.attempt,
            prefill_id=pair.prefill_id,
            decode_id=pair.decode_id,
            slots=request.slots,
            used=pool.lease(pair.decode_id).used - request.slots,
            waiting=len(pool.queue),
            reuses_prefill=reuse_prefill,
            version=request.version,
            evidence=request.evidence,
        )

    def _expect_prefill(self, request: requests.Request) -> None:
        pool, submit = request.pool, request.submit
        assert request.prefill is not None
        request.expected_prefill_s = pool.prefill_wait_s(
            request.prefill, submit, ignore_slowdown=True
        )
        lease = pool.lease(request.prefill.id)
        cached = lease.cached
        pool_state = cached.cached_tokens(submit.prefix_hashes)
        lease.prompts += 1
        request.solo_prompt_number = None if lease.running else lease.prompts
        request.uncached_tokens = submit.prompt_tokens - pool_state
        pool.record_prefill_estimate(
            request.prefill,
            estimates.prefill_s(request.prefill, submit, pool_state),
        )
        cached.add(submit.prefix_hashes)
