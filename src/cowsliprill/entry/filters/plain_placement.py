"""Filter that load-balances plain calls over servers and retries failures."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Collection

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import outlier_detection
from cowsliprill.decisions import retry_budget
from cowsliprill.engines import service_client
from cowsliprill.engines import silence
from cowsliprill.entry import attempts
from cowsliprill.entry import authorization
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import endpoint_availability
from cowsliprill.entry import endpoint_permits
from cowsliprill.entry import errors
from cowsliprill.entry import path_monitor
from cowsliprill.entry import plain_call_admission
from cowsliprill.entry import plain_relay
from cowsliprill.entry import request_quarantine
from cowsliprill.observability import log as log_lib
from cowsliprill.rate_limiting import permit_client

# A server that hasn't responded within this multiple of the TTFT target has
# most likely lost the call; a server that is only busy responds earlier.
_STALL_TIMEOUT_PER_TTFT_TARGET = 1.5
_MIN_STALL_TIMEOUT_S = 0.2
_RETRY_AFTER_S = 1.0
_MS_PER_S = 1_000

# Callers that are refused as all servers are paused come back spread over this
# time.
_RETRY_SPREAD_S = 0.5

# Maximum number of servers that one call may find unreachable without using up
# its attempts; each of them costs a connection attempt.
_MAX_UNSENT_CALLS = 3

# A call waits for a server that limits its requests or is paused for at most
# this fraction of the time left, and at most this long. Later its caller does
# better to come back, as it may then reach a server that has become free.
_WAIT_FRACTION = 0.5
_MAX_WAIT_S = 0.5

_SelectionKey = tuple[bool, bool, bool, float, bool, float]


@dataclasses.dataclass(slots=True)
class PlainPlacement:
    """Selects the least loaded server and retries where that is safe.

    Attributes:
      availability_zone: Availability zone of this process.
      cluster_state: The current settings snapshot and VM list.
      budgets: Retry budgets.
      log: The process's log.
      random_source: Breaks ties between equally loaded servers.
      authorization: Checks before each attempt that the caller's API key may
        still be accepted.
      quarantine: Refuses requests that end servers.
      paths: Tells whether this VM can't reach a pool.
      health: Outlier detector that ejects failing servers for a while.
      permits: Permits for servers that limit their requests.
      availability: Tells which servers want no requests for a while.
      admission: Refuses calls of customers over their share under overload.
    """

    availability_zone: str
    cluster_state: cluster_state_lib.ClusterState
    budgets: retry_budget.RetryBudgets
    log: log_lib.Log
    random_source: random.Random
    authorization: authorization.Authorization
    quarantine: request_quarantine.RequestQuarantine
    paths: path_monitor.PathMonitor
    health: outlier_detection.OutlierDetector = dataclasses.field(
        default_factory=outlier_detection.OutlierDetector
    )
    permits: endpoint_permits.EndpointPermits = dataclasses.field(
        default_factory=endpoint_permits.Unlimited
    )
    availability: endpoint_availability.EndpointAvailability = (
        dataclasses.field(default_factory=endpoint_availability.AlwaysAvailable)
    )
    admission: plain_call_admission.PlainCallAdmission = dataclasses.field(
        default_factory=plain_call_admission.AdmitAll
    )
    _waiting_by_pool: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    _running_by_endpoint: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Calls servers until one responds or no retry is allowed."""
        self.quarantine.check(ctx)
        if not ctx.no_peer_serves:
            # Otherwise the call has been admitted before its path was lost.
            self.admission.admit(ctx)
        self.budgets.of(ctx.service).deposit()
        tried_ids: set[str] = set()
        ctx.endpoint = await self._select_endpoint(ctx, tried_ids)
        unsent = 0
        answer: service_client.ServiceResponse | None = None
        while True:
            if clock.now() >= ctx.deadline:
                raise _refusal_error(
                    ctx, messages.RefusalCode.TARGET_UNREACHABLE
                )
            self.authorization.check(ctx)
            self.quarantine.check(ctx)
            ctx.progress.attempts += 1
            ctx.silence = _silence_policy(ctx)
            try:
                await self._run_call(ctx, proceed)
                self.health.record_success(ctx.endpoint.id)
                self.admission.responded(ctx)
                self.quarantine.report_survived(ctx)
                return
            except attempts.PlainCallError as lost:
                path_lost = await self._is_path_lost(ctx, lost, unsent)
                # A server that only this VM can't reach has not ended.
                if not self.paths.is_cut_off():
                    await self._report_to_quarantine(ctx, lost)
                self._record_lost_call(ctx, lost)
                answer = lost.answer or answer
                tried_ids.add(ctx.endpoint.id)
                if lost.unsent and unsent < _MAX_UNSENT_CALLS:
                    # The call was sent to no server, so the next attempt is
                    # not a retry and doesn't count toward the service's limit.
                    unsent += 1
                    ctx.progress.attempts -= 1
                elif not self._may_retry(ctx):
                    if answer is not None:
                        await plain_relay.relay_response(ctx, answer)
                        return
                    raise self._last_error(ctx, lost) from lost
                if path_lost:
                    raise errors.path_lost(ctx.progress.run) from lost
                try:
                    ctx.endpoint = await self._select_next(ctx, tried_ids)
                except errors.EntryError:
                    if answer is None:
                        raise
                    await plain_relay.relay_response(ctx, answer)
                    return

    async def _is_path_lost(
        self, ctx: context.Context, lost: attempts.PlainCallError, unsent: int
    ) -> bool:
        refused = lost.run is messages.Executed.NO and not lost.unsent
        if lost.answer is not None or refused or lost.withheld:
            return False
        # The next server tells as much as a probe does.
        is_first_unsent = lost.unsent and not unsent
        if not is_first_unsent and not ctx.no_peer_serves:
            await self.paths.examine(ctx.endpoint)
        return not ctx.no_peer_serves and self.paths.is_lost(ctx.service.pool)

    def _last_error(
        self, ctx: context.Context, lost: attempts.PlainCallError
    ) -> errors.EntryError:
        """Returns the error of a call whose last attempt has failed."""
        if ctx.progress.run is messages.Executed.NO and (
            self._refused_by_full_server(ctx.endpoint, lost)
        ):
            self.admission.no_server_free(ctx, set())
            return _refusal_error(ctx, messages.RefusalCode.OVERLOADED)
        return _failure_error(ctx)

    async def _report_to_quarantine(
        self, ctx: context.Context, lost: attempts.PlainCallError
    ) -> None:
        if lost.connection_lost:
            await self.quarantine.report_lost(ctx, ctx.endpoint.id)
        elif lost.answer is not None:
            # A server that answers, even with an error, has not ended.
            self.quarantine.report_survived(ctx)

    def _may_retry(self, ctx: context.Context) -> bool:
        # Services may share a budget but have their own limits of attempts;
        # fetching the budget again applies the limit of this service.
        budget = self.budgets.of(ctx.service)
        return _is_safe_to_repeat(ctx) and budget.try_withdraw(
            ctx.progress.attempts
        )

    async def _run_call(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        endpoint_id = ctx.endpoint.id
        self._running_by_endpoint[endpoint_id] += 1
        try:
            await proceed(ctx)
        except asyncio.CancelledError:
            # The caller has left, perhaps because it no longer waits.
            self.admission.unanswered(ctx)
            raise
        finally:
            self._running_by_endpoint[endpoint_id] -= 1
            if not self._running_by_endpoint[endpoint_id]:
                del self._running_by_endpoint[endpoint_id]

    async def _select_next(
        self, ctx: context.Context, tried_ids: Collection[str]
    ) -> model.Endpoint:
        # An endpoint that checks idempotency keys knows only its own calls, so
        # a call that may have been executed there is retried only there.
        only_id = ctx.endpoint.id if _may_have_side_effects(ctx) else ""
        return await self._select_endpoint(ctx, tried_ids, only_id)

    async def _select_endpoint(
        self,
        ctx: context.Context,
        tried_ids: Collection[str],
        only_id: str = "",
    ) -> model.Endpoint:
        """Selects a server that may get the call now.

        Args:
          ctx: The call.
          tried_ids: Servers that have failed it.
          only_id: The one server that it may be sent to, empty for any.
        """
        wait_until = clock.now() + _max_wait_s(ctx)
        while True:
            serving = self._serving_endpoints(ctx, only_id)
            unpaused = [
                endpoint
                for endpoint in serving
                if not self.availability.paused_until(endpoint)
            ]
            if not unpaused:
                await self._wait_for_pause(ctx, serving, wait_until)
                continue
            available = self._available_endpoints(ctx, unpaused, only_id)
            if not any(map(self.permits.is_limited, available)):
                return min(
                    available,
                    key=lambda item: self._selection_key(item, tried_ids),
                )
            selected = await self._select_permitted(ctx, available, tried_ids)
            # A server may have left during the wait for a permit.
            serving = self._serving_endpoints(ctx, only_id)
            if any(item.id == selected.id for item in serving):
                return selected

    async def _wait_for_pause(
        self,
        ctx: context.Context,
        serving: list[model.Endpoint],
        wait_until: float,
    ) -> None:
        """Waits until the first of some paused servers may take requests.

        Raises:
          errors.EntryError: That takes too long, or as many calls wait as the
            servers can take.
        """
        pool = ctx.service.pool
        max_wait_s = wait_until - clock.now()
        pause_left_s = min(map(self.availability.pause_left_s, serving))
        slots = sum(endpoint.slots for endpoint in serving)
        is_full = self._waiting_by_pool[pool] >= slots
        if max_wait_s <= 0 or pause_left_s > max_wait_s or is_full:
            spread_s = self.random_source.uniform(0.0, _RETRY_SPREAD_S)
            raise self._paused_error(ctx, pause_left_s + spread_s)
        self._waiting_by_pool[pool] += 1
        try:
            # Without a pause left, a probe is about to be answered.
            await self.availability.wait_for_change(pause_left_s or max_wait_s)
        finally:
            self._waiting_by_pool[pool] -= 1

    def _paused_error(
        self, ctx: context.Context, retry_after_s: float
    ) -> errors.EntryError:
        if ctx.progress.run is messages.Executed.UNKNOWN:
            return _failure_error(ctx)
        self.log.event(
            "refused",
            request=ctx.request_id,
            caller=ctx.caller_id,
            reason=messages.RefusalCode.OVERLOADED.value,
            retry_after_ms=round(retry_after_s * _MS_PER_S, 1),
        )
        return _refusal_error(
            ctx, messages.RefusalCode.OVERLOADED, retry_after_s
        )

    def _available_endpoints(
        self,
        ctx: context.Context,
        unpaused: list[model.Endpoint],
        only_id: str,
    ) -> list[model.Endpoint]:
        """Returns the servers that may get a call now, at least one."""
        if only_id:
            return unpaused
        available = [
            endpoint
            for endpoint in unpaused
            if self._running_by_endpoint[endpoint.id] < endpoint.slots
        ]
        if not available:
            self.admission.no_server_free(ctx, {item.id for item in unpaused})
            raise _refusal_error(ctx, messages.RefusalCode.OVERLOADED)
        return available

    def _serving_endpoints(
        self, ctx: context.Context, only_id: str
    ) -> list[model.Endpoint]:
        """Returns the servers that may get the call, now or later."""
        leaving = self.cluster_state.fleet_at(clock.now()).leaving_endpoint_ids
        serving = [
            endpoint
            for endpoint in self.cluster_state.snapshot.endpoints_by_id.values()
            if endpoint.kind is model.EndpointKind.PLAIN
            and endpoint.pool == ctx.service.pool
            and endpoint.id not in leaving
        ]
        if not serving:
            raise _refusal_error(ctx, messages.RefusalCode.NO_ENDPOINT)
        if only_id:
            serving = [item for item in serving if item.id == only_id]
            if not serving:
                raise _failure_error(ctx)
        return serving

    async def _select_permitted(
        self,
        ctx: context.Context,
        available: list[model.Endpoint],
        tried_ids: Collection[str],
    ) -> model.Endpoint:
        """Selects the best server, with a permit if it limits its requests."""

        def key(endpoint: model.Endpoint) -> _SelectionKey:
            return self._selection_key(endpoint, tried_ids)

        limited, unlimited = [], []
        for item in available:
            is_limited = self.permits.is_limited(item)
            (limited if is_limited else unlimited).append(item)
        best_limited = min(limited, key=key, default=None)
        best_unlimited = min(unlimited, key=key, default=None)
        if best_limited is None or (
            best_unlimited and key(best_unlimited) <= key(best_limited)
        ):
            return best_unlimited
        sound = [item for item in limited if self._is_sound(item, tried_ids)]
        # A call waits only if no server without a limit is likely to answer.
        can_go_elsewhere = best_unlimited and self._is_sound(
            best_unlimited, tried_ids
        )
        decision = await self.permits.acquire(
            ctx,
            sound or limited,
            0.0 if can_go_elsewhere else _max_wait_s(ctx),
        )
        match decision:
            case permit_client.Permit(endpoint_id=endpoint_id):
                return next(item for item in limited if item.id == endpoint_id)
            case permit_client.Refusal(retry_after_s=retry_after_s):
                if best_unlimited:
                    return best_unlimited
                raise _refusal_error(
                    ctx, messages.RefusalCode.RATE_LIMITED, retry_after_s
                )

    def _is_sound(
        self, endpoint: model.Endpoint, tried_ids: Collection[str]
    ) -> bool:
        """Returns whether a server hasn't failed this call or others."""
        return endpoint.id not in tried_ids and not self.health.is_ejected(
            endpoint.id, clock.now()
        )

    def _selection_key(
        self, endpoint: model.Endpoint, tried_ids: Collection[str]
    ) -> _SelectionKey:
        return (
            # A server that has just failed this call is likely to fail it
            # again.
            endpoint.id in tried_ids,
            self.health.is_ejected(endpoint.id, clock.now()),
            self.admission.is_full(endpoint.id),
            self._running_by_endpoint[endpoint.id],
            endpoint.availability_zone != self.availability_zone,
            self.random_source.random(),
        )

    def _refused_for_load(
        self, endpoint: model.Endpoint, lost: attempts.PlainCallError
    ) -> bool:
        """Returns whether a server refused a call because of its load.

        A server that limits its requests or wants a pause is busy, not
        defective, and so is a full server of an overloaded pool.
        """
        return self._refused_by_full_server(endpoint, lost) or (
            _is_rejection(lost)
            and (
                self.permits.is_limited(endpoint)
                or bool(self.availability.paused_until(endpoint))
            )
        )

    def _refused_by_full_server(
        self, endpoint: model.Endpoint, lost: attempts.PlainCallError
    ) -> bool:
        return _is_rejection(lost) and self.admission.is_busy(
            endpoint.pool, self._peer_ids(endpoint)
        )

    def _peer_ids(self, endpoint: model.Endpoint) -> list[str]:
        return [
            other.id
            for other in self.cluster_state.snapshot.endpoints_by_id.values()
            if other.pool == endpoint.pool and other.id != endpoint.id
        ]

    def _report_to_admission(
        self, ctx: context.Context, lost: attempts.PlainCallError
    ) -> None:
        if _is_rejection(lost):
            self.admission.rejected(ctx, ctx.endpoint.id)
        elif lost.answer is not None:
            self.admission.responded(ctx)
        elif not lost.unsent:
            self.admission.unanswered(ctx)

    def _record_lost_call(
        self, ctx: context.Context, lost: attempts.PlainCallError
    ) -> None:
        endpoint = ctx.endpoint
        peer_ids = self._peer_ids(endpoint)
        now = clock.now()
        self._report_to_admission(ctx, lost)
        if lost.withheld or self._refused_for_load(endpoint, lost):
            pass
        elif lost.answer is None:
            self.health.record_no_response(endpoint.id, peer_ids, now)
        else:
            self.health.record_error_response(endpoint.id, peer_ids, now)
        self.log.warning(
            "call_lost",
            request=ctx.request_id,
            caller=ctx.caller_id,
            fingerprint=ctx.fingerprint,
            endpoint=ctx.endpoint.id,
            run=lost.run.value,
            reason=lost.reason,
        )


def _silence_policy(ctx: context.Context) -> silence.FixedTimeout | None:
    """Returns after which time without data another server is tried."""
    idempotent = ctx.service.idempotency is model.Idempotency.IDEMPOTENT
    is_last_attempt = ctx.progress.attempts >= ctx.service.retries.attempts
    if is_last_attempt or not idempotent:
        return None
    return silence.FixedTimeout(
        max(
            ctx.service.ttft_target_s * _STALL_TIMEOUT_PER_TTFT_TARGET,
            _MIN_STALL_TIMEOUT_S,
        )
    )


def _max_wait_s(ctx: context.Context) -> float:
    remaining_s = max(ctx.deadline - clock.now(), 0.0)
    return min(remaining_s * _WAIT_FRACTION, _MAX_WAIT_S)


def _is_rejection(lost: attempts.PlainCallError) -> bool:
    return lost.run is messages.Executed.NO and not lost.unsent


def _may_have_side_effects(ctx: context.Context) -> bool:
    return (
        ctx.progress.run is messages.Executed.UNKNOWN
        and ctx.service.idempotency is model.Idempotency.NON_IDEMPOTENT
    )


def _is_safe_to_repeat(ctx: context.Context) -> bool:
    # All attempts of the request count, not only the last: a request that an
    # earlier attempt may have executed isn't safe to repeat even if the last
    # attempt found a closed port.
    if not _may_have_side_effects(ctx):
        return True
    return bool(ctx.idempotency_key) and ctx.endpoint.checks_idempotency_keys


def _failure_error(ctx: context.Context) -> errors.EntryError:
    may_have_executed = ctx.progress.run is messages.Executed.UNKNOWN
    text = "it may have been run" if may_have_executed else "it was not run"
    return errors.EntryError(
        errors.Code.ENDPOINT_FAILED,
        f"The service gave no answer; {text}.",
        run=ctx.progress.run,
        retry_after_s=None if may_have_executed else _RETRY_AFTER_S,
    )


def _refusal_error(
    ctx: context.Context,
    code: messages.RefusalCode,
    retry_after_s: float = _RETRY_AFTER_S,
) -> errors.EntryError:
    match code:
        case messages.RefusalCode.TARGET_UNREACHABLE:
            text = "It can't be in time."
        case messages.RefusalCode.RATE_LIMITED:
            text = "The servers limit their requests now."
        case _:
            text = "No server is free now."
    return errors.EntryError(
        code, text, run=ctx.progress.run, retry_after_s=retry_after_s
    )
