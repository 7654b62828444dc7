"""Filter that load-balances plain calls over servers and retries failures."""

import collections
import dataclasses
import random
from collections.abc import Collection

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import outlier_detection
from cowsliprill.decisions import retry_budget
from cowsliprill.entry import attempts
from cowsliprill.entry import authorization
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import plain_relay
from cowsliprill.entry import request_quarantine
from cowsliprill.observability import log as log_lib

# A server that hasn't responded within this multiple of the TTFT target has
# most likely lost the call; a server that is only busy responds earlier.
_STALL_TIMEOUT_PER_TTFT_TARGET = 1.5
_MIN_STALL_TIMEOUT_S = 0.2
_RETRY_AFTER_S = 1.0

# Maximum number of servers that one call may find unreachable without using up
# its attempts; each of them costs a connection attempt.
_MAX_UNSENT_CALLS = 3


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
      health: Outlier detector that ejects failing servers for a while.
    """

    availability_zone: str
    cluster_state: cluster_state_lib.ClusterState
    budgets: retry_budget.RetryBudgets
    log: log_lib.Log
    random_source: random.Random
    authorization: authorization.Authorization
    quarantine: request_quarantine.RequestQuarantine
    health: outlier_detection.OutlierDetector = dataclasses.field(
        default_factory=outlier_detection.OutlierDetector
    )
    _running_by_endpoint: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Calls servers until one responds or no retry is allowed."""
        self.quarantine.check(ctx)
        self.budgets.of(ctx.service).deposit()
        tried_ids: set[str] = set()
        ctx.endpoint = self._select_endpoint(ctx, tried_ids)
        unsent = 0
        while True:
            if clock.now() >= ctx.deadline:
                raise _refusal_error(
                    ctx, messages.RefusalCode.TARGET_UNREACHABLE
                )
            self.authorization.check(ctx)
            self.quarantine.check(ctx)
            ctx.progress.attempts += 1
            ctx.stall_timeout_s = _stall_timeout_s(ctx)
            try:
                await self._run_call(ctx, proceed)
                self.health.record_success(ctx.endpoint.id)
                self.quarantine.report_survived(ctx)
                return
            except attempts.PlainCallError as lost:
                await self._report_to_quarantine(ctx, lost)
                self._record_lost_call(ctx, lost)
                tried_ids.add(ctx.endpoint.id)
                if lost.unsent and unsent < _MAX_UNSENT_CALLS:
                    # The call was sent to no server, so the next attempt is
                    # not a retry and doesn't count toward the service's limit.
                    unsent += 1
                    ctx.progress.attempts -= 1
                elif not self._may_retry(ctx):
                    if lost.answer is not None:
                        await plain_relay.relay_response(ctx, lost.answer)
                        return
                    raise _failure_error(ctx) from lost
            # An endpoint that checks idempotency keys knows only its own calls,
            # so a call that may have been executed there is retried only there.
            if not _may_have_side_effects(ctx):
                ctx.endpoint = self._select_endpoint(ctx, tried_ids)

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
        finally:
            self._running_by_endpoint[endpoint_id] -= 1
            if not self._running_by_endpoint[endpoint_id]:
                del self._running_by_endpoint[endpoint_id]

    def _select_endpoint(
        self, ctx: context.Context, tried_ids: Collection[str]
    ) -> model.Endpoint:
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
        available = [
            endpoint
            for endpoint in serving
            if self._running_by_endpoint[endpoint.id] < endpoint.slots
        ]
        if not available:
            raise _refusal_error(ctx, messages.RefusalCode.OVERLOADED)
        return min(
            available, key=lambda item: self._selection_key(item, tried_ids)
        )

    def _selection_key(
        self, endpoint: model.Endpoint, tried_ids: Collection[str]
    ) -> tuple[bool, bool, float, bool, float]:
        return (
            # A server that has just failed this call is likely to fail it
            # again.
            endpoint.id in tried_ids,
            self.health.is_ejected(endpoint.id, clock.now()),
            self._running_by_endpoint[endpoint.id],
            endpoint.availability_zone != self.availability_zone,
            self.random_source.random(),
        )

    def _record_lost_call(
        self, ctx: context.Context, lost: attempts.PlainCallError
    ) -> None:
        endpoint = ctx.endpoint
        peer_ids = [
            other.id
            for other in self.cluster_state.snapshot.endpoints_by_id.values()
            if other.pool == endpoint.pool and other.id != endpoint.id
        ]
        now = clock.now()
        if lost.answer is None:
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


def _stall_timeout_s(ctx: context.Context) -> float | None:
    """Returns the time without data after which another server is tried."""
    idempotent = ctx.service.idempotency is model.Idempotency.IDEMPOTENT
    is_last_attempt = ctx.progress.attempts >= ctx.service.retries.attempts
    if is_last_attempt or not idempotent:
        return None
    return max(
        ctx.service.ttft_target_s * _STALL_TIMEOUT_PER_TTFT_TARGET,
        _MIN_STALL_TIMEOUT_S,
    )


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
    ctx: context.Context, code: messages.RefusalCode
) -> errors.EntryError:
    target_missed = code is messages.RefusalCode.TARGET_UNREACHABLE
    text = "It can't be in time." if target_missed else "No server is free now."
    return errors.EntryError(
        code,
        text,
        run=ctx.progress.run,
        retry_after_s=_RETRY_AFTER_S,
    )
