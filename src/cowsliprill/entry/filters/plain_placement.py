"""Where a plain call runs."""

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
from cowsliprill.observability import log as log_lib

# A server that hasn't answered within this multiple of the target has most
# likely lost the call; one that is merely busy answers before.
_STALL_TARGETS = 1.5
_STALL_MIN_S = 0.2
_RETRY_AFTER_S = 1.0

# Servers that take no connection which one call may find out, one after the
# other; each costs the time for a connection.
_UNSENT_MAX = 3


@dataclasses.dataclass(slots=True)
class PlainPlacement:
    """Chooses the least busy server, and another after a safe failure.

    Attributes:
      availability_zone: Where this process runs.
      cluster_state: The settings and the VM list in force.
      budgets: Budgets of retries.
      log: The process's log.
      random_source: Breaks ties.
      authorization: Checks again that the caller's key may be honoured.
      health: Which servers are better left alone.
    """

    availability_zone: str
    cluster_state: cluster_state_lib.ClusterState
    budgets: retry_budget.RetryBudgets
    log: log_lib.Log
    random_source: random.Random
    authorization: authorization.Authorization
    health: outlier_detection.OutlierDetector = dataclasses.field(
        default_factory=outlier_detection.OutlierDetector
    )
    _running_by_endpoint: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Makes calls until one is answered or none may follow."""
        self.budgets.of(ctx.service).deposit()
        tried: set[str] = set()
        ctx.endpoint = self._choose(ctx, tried)
        unsent = 0
        while True:
            if clock.now() >= ctx.deadline:
                raise _refusal(ctx, messages.RefusalCode.TARGET_UNREACHABLE)
            self.authorization.check(ctx)
            ctx.progress.attempts += 1
            ctx.stall_s = _stall_s(ctx)
            try:
                await self._run(ctx, proceed)
                self.health.record_success(ctx.endpoint.id)
                return
            except attempts.PlainCallLost as lost:
                self._note_lost(ctx, lost)
                tried.add(ctx.endpoint.id)
                if lost.unsent and unsent < _UNSENT_MAX:
                    # No server has heard of it, so this is no repeat: it
                    # takes nothing of the service's attempts.
                    unsent += 1
                    ctx.progress.attempts -= 1
                elif not self._may_go_on(ctx):
                    if lost.answer is not None:
                        await plain_relay.relay_response(ctx, lost.answer)
                        return
                    raise _failure(ctx) from lost
            # An endpoint that checks keys knows its own calls only, so a call
            # which may have run there is repeated there and nowhere else.
            if not _may_have_booked(ctx):
                ctx.endpoint = self._choose(ctx, tried)

    def _may_go_on(self, ctx: context.Context) -> bool:
        # The budget may be shared with other services, each with a limit of
        # attempts of its own; asked for anew, it goes by this service's.
        budget = self.budgets.of(ctx.service)
        return _may_repeat(ctx) and budget.try_withdraw(ctx.progress.attempts)

    async def _run(
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

    def _choose(
        self, ctx: context.Context, tried: Collection[str]
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
            raise _refusal(ctx, messages.RefusalCode.NO_ENDPOINT)
        free = [
            endpoint
            for endpoint in serving
            if self._running_by_endpoint[endpoint.id] < endpoint.slots
        ]
        if not free:
            raise _refusal(ctx, messages.RefusalCode.OVERLOADED)
        return min(free, key=lambda item: self._cost(item, tried))

    def _cost(
        self, endpoint: model.Endpoint, tried: Collection[str]
    ) -> tuple[bool, bool, float, bool, float]:
        return (
            # A server that has just failed a call mostly fails it again.
            endpoint.id in tried,
            self.health.is_ejected(endpoint.id, clock.now()),
            self._running_by_endpoint[endpoint.id],
            endpoint.availability_zone != self.availability_zone,
            self.random_source.random(),
        )

    def _note_lost(
        self, ctx: context.Context, lost: attempts.PlainCallLost
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
            endpoint=ctx.endpoint.id,
            run=lost.run.value,
            reason=lost.reason,
        )


def _stall_s(ctx: context.Context) -> float | None:
    """Returns the silence after which another server is asked."""
    repeatable = ctx.service.idempotency is model.Idempotency.IDEMPOTENT
    last = ctx.progress.attempts >= ctx.service.retries.attempts
    if last or not repeatable:
        return None
    return max(ctx.service.ttft_target_s * _STALL_TARGETS, _STALL_MIN_S)


def _may_have_booked(ctx: context.Context) -> bool:
    return (
        ctx.progress.run is messages.Executed.UNKNOWN
        and ctx.service.idempotency is model.Idempotency.NON_IDEMPOTENT
    )


def _may_repeat(ctx: context.Context) -> bool:
    # What counts is the whole request, not its last attempt: one that may
    # have run at first isn't safe to repeat because the attempt after it
    # found a closed port.
    if not _may_have_booked(ctx):
        return True
    return bool(ctx.idempotency_key) and ctx.endpoint.checks_idempotency_keys


def _failure(ctx: context.Context) -> errors.EntryError:
    ran = ctx.progress.run is messages.Executed.UNKNOWN
    text = "it may have been run" if ran else "it was not run"
    return errors.EntryError(
        errors.Code.ENDPOINT_FAILED,
        f"The service gave no answer; {text}.",
        run=ctx.progress.run,
        retry_after_s=None if ran else _RETRY_AFTER_S,
    )


def _refusal(
    ctx: context.Context, code: messages.RefusalCode
) -> errors.EntryError:
    late = code is messages.RefusalCode.TARGET_UNREACHABLE
    text = "It can't be in time." if late else "No server is free now."
    return errors.EntryError(
        code,
        text,
        run=ctx.progress.run,
        retry_after_s=_RETRY_AFTER_S,
    )
