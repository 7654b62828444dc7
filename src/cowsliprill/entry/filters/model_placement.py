"""Filter that places a model request on engines, one attempt at a time."""

import asyncio
import dataclasses
from typing import Any

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import retry_budget
from cowsliprill.decisions import route_changes as route_changes_lib
from cowsliprill.decisions import stream_ages
from cowsliprill.decisions import stream_origins
from cowsliprill.entry import attempts
from cowsliprill.entry import authorization
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import held_stream
from cowsliprill.entry import path_monitor
from cowsliprill.entry import placement_backend
from cowsliprill.entry import request_quarantine
from cowsliprill.observability import log as log_lib

_MS_PER_S = 1_000
# Longer waits are logged as this value; the wait for a pool without engines is
# infinite.
_MAX_LOGGED_WAIT_S = 1_000.0

# Callers leave a stream that pauses for longer.
_RESUME_TIMEOUT_S = 2.0

_BEGIN_ANEW_CODES = frozenset(
    {
        messages.RefusalCode.VERSION_UNAVAILABLE,
        messages.RefusalCode.ORIGIN_UNKNOWN,
    }
)

_MESSAGE_BY_REFUSAL_CODE = {
    messages.RefusalCode.OVERLOADED: "There is no room for it now.",
    messages.RefusalCode.TARGET_UNREACHABLE: ("It can't be in time now."),
    messages.RefusalCode.WAITED_TOO_LONG: "No slot came free in time.",
    messages.RefusalCode.NO_ENDPOINT: "No engine serves this now.",
    messages.RefusalCode.RETRY_BUDGET_SPENT: (
        "Engines failed, and too many retries run already."
    ),
    messages.RefusalCode.ENDPOINT_FAILED: "The engines failed.",
    messages.RefusalCode.VERSION_UNAVAILABLE: (
        "No engine of the software version that began the stream serves it; "
        "begin it anew."
    ),
    messages.RefusalCode.ORIGIN_UNKNOWN: (
        "The software version that began the stream isn't known; begin it anew."
    ),
}


@dataclasses.dataclass(slots=True)
class ModelPlacement:
    """Submits a request to the scheduler and runs the attempts it decides on.

    Attributes:
      scheduling: Interface to the scheduler.
      budgets: Retry budgets for resumed streams, to which each request
        deposits. The scheduler keeps the budgets for whole attempts.
      log: The process's log.
      authorization: Checks before each attempt that the caller's API key may
        still be accepted.
      quarantine: Refuses requests that end engines.
      paths: Tells whether this VM can't reach a pool.
      ages: Bounds the age of streams that callers resume.
      route_changes: Tells whether a resumed stream may have begun elsewhere.
    """

    scheduling: placement_backend.Scheduling
    budgets: retry_budget.RetryBudgets
    log: log_lib.Log
    authorization: authorization.Authorization
    quarantine: request_quarantine.RequestQuarantine
    paths: path_monitor.PathMonitor
    ages: stream_ages.StreamAges = dataclasses.field(
        default_factory=stream_ages.StreamAges
    )
    route_changes: route_changes_lib.RouteChanges = dataclasses.field(
        default_factory=route_changes_lib.RouteChanges
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Runs attempts until one succeeds or the scheduler refuses."""
        self.quarantine.check(ctx)
        self.budgets.of(ctx.service).deposit()
        submit = self._make_submit(ctx)
        decisions = self.scheduling.submit(submit)
        completed = False
        try:
            left_s = ctx.response_due_at - clock.now()
            async with asyncio.timeout(left_s) as timeout:
                with self.quarantine.notify(ctx, decisions):
                    await self._run_attempts(ctx, proceed, submit, decisions)
            completed = True
        except TimeoutError as error:
            if not timeout.expired():
                raise
            self._report_wait(ctx)
            raise errors.EntryError(
                errors.Code.TIMEOUT,
                f"There was no answer within {left_s:.3f} s.",
                run=ctx.progress.run,
            ) from error
        finally:
            if ctx.held is not None:
                ctx.held.close()
            self.scheduling.forget(ctx.number)
            # Whatever ended the request (caller disconnect, timeout, broken
            # stream), engines may still hold memory for it. The scheduler
            # knows which engines and cancels the request there.
            if not completed:
                lost = ctx.progress.connection_lost
                self.scheduling.post(messages.Cancel(ctx.number, lost))

    def _make_submit(self, ctx: context.Context) -> messages.Submit:
        generation = ctx.generation
        resumes = bool(ctx.progress.last_event_id)
        return messages.Submit(
            request_id=ctx.number,
            service=ctx.service,
            customer=ctx.customer.id,
            prompt_tokens=generation.prompt_tokens,
            output_tokens=generation.output_tokens,
            prefix_hashes=generation.prefix_hashes,
            priority=ctx.priority,
            deadline=ctx.deadline,
            expected_tokens=generation.expected_tokens,
            useful_until=ctx.useful_until,
            resumes=resumes,
            version=ctx.progress.software_version,
            origin=stream_origins.key_of(ctx.customer.id, ctx.stream_attempt),
            stream_age_max_s=self.ages.age_max_s(
                ctx.service, ctx.caller_timeout_s
            ),
            sole_pool=ctx.route is None
            or self.route_changes.leads_to_one_pool(ctx.route, clock.now()),
            last_part=(
                generation.last_part if resumes else stream_origins.PromptPart()
            ),
            fingerprint=self.quarantine.fingerprint(ctx),
            prompt_parts=self.quarantine.unproven_parts(ctx),
        )

    async def _run_attempts(
        self,
        ctx: context.Context,
        proceed: context.Handler,
        submit: messages.Submit,
        decisions: asyncio.Queue[messages.Decision | messages.Recheck],
    ) -> None:
        while True:
            decision = await held_stream.run_unless_going_on(
                ctx.held, decisions.get()
            )
            match decision:
                case messages.Recheck():
                    self.quarantine.check(ctx)
                case messages.Refuse() as refusal:
                    if ctx.held is None:
                        raise self._refusal_error(ctx, refusal)
                    if not await self._stays(ctx, refusal):
                        await self._ask_again(ctx, submit, decisions)
                case messages.Start() as start:
                    self._begin_attempt(ctx, start)
                    if await self._run_attempt(ctx, proceed):
                        return
            if _is_going_on(ctx):
                self._continue_attempt(ctx, submit, decisions)
                if await self._run_attempt(ctx, proceed):
                    return

    async def _stays(
        self, ctx: context.Context, refusal: messages.Refuse
    ) -> bool:
        """Waits for a held stream that may move to no other engine.

        Returns:
          Whether its engine goes on.
        """
        self.log.event(
            "stream_stays",
            request=ctx.request_id,
            endpoint=ctx.held.endpoint.id,
            reason=refusal.code.value,
        )
        return await ctx.held.wait()

    def _begin_attempt(
        self, ctx: context.Context, start: messages.Start
    ) -> None:
        if not ctx.progress.tokens:
            # A stream that is resumed on another engine was started while the
            # API key was valid, so the key isn't checked after the first token.
            self.authorization.check(ctx)
        ctx.start = start
        ctx.progress.connection_lost = False
        self._check_version(ctx)
        ctx.progress.attempts += 1
        self.log.event(
            "placed",
            request=ctx.request_id,
            caller=ctx.caller_id,
            attempt=start.attempt,
            prefill=start.prefill_id,
            decode=start.decode_id,
            slots=start.slots,
            used=start.used,
            waiting=start.waiting,
            waited_ms=round((clock.now() - ctx.arrived_at) * _MS_PER_S, 1),
            version=_decode_version(ctx),
            resumes=ctx.resumes,
            after_event=ctx.progress.last_event_id,
            evidence=start.evidence,
        )

    def _continue_attempt(
        self,
        ctx: context.Context,
        submit: messages.Submit,
        decisions: asyncio.Queue[messages.Decision | messages.Recheck],
    ) -> None:
        """Goes on with the held stream, whose engine has spoken again."""
        self._readopt(ctx, ctx.held, submit, decisions)
        self.log.event(
            "attempt_continues",
            request=ctx.request_id,
            attempt=ctx.held.start.attempt,
            endpoint=ctx.held.endpoint.id,
            after_event=ctx.progress.last_event_id,
        )

    async def _ask_again(
        self,
        ctx: context.Context,
        submit: messages.Submit,
        decisions: asyncio.Queue[messages.Decision | messages.Recheck],
    ) -> None:
        """Asks for another engine for a held stream that has broken.

        The refusal let it stay where it was, and may be void by now.
        """
        held, ctx.held = ctx.held, None
        held.close()
        self._readopt(ctx, held, submit, decisions)
        await self._lose_attempt(ctx, held.lost())

    def _readopt(
        self,
        ctx: context.Context,
        held: held_stream.HeldStream,
        submit: messages.Submit,
        decisions: asyncio.Queue[messages.Decision | messages.Recheck],
    ) -> None:
        # Attempts that were made elsewhere meanwhile count.
        attempt = max(held.start.attempt, ctx.start.attempt)
        ctx.start = dataclasses.replace(held.start, attempt=attempt)
        submit = dataclasses.replace(
            submit, resumes=True, version=ctx.progress.software_version
        )
        self.scheduling.readopt(submit, ctx.start, decisions)

    async def _run_attempt(
        self, ctx: context.Context, proceed: context.Handler
    ) -> bool:
        """Runs an attempt; returns whether it has completed the response.

        It is cancelled if a held stream goes on before it has sent output.
        """
        try:
            if _is_going_on(ctx):
                await proceed(ctx)
            elif not await held_stream.run_unless_going_on(
                ctx.held, _pass_on(ctx, proceed)
            ):
                return False
        except attempts.AttemptError as lost:
            await self._lose_attempt(ctx, lost)
            return False
        self.scheduling.post(messages.Finished(ctx.number, ctx.progress.tokens))
        return True

    async def _lose_attempt(
        self, ctx: context.Context, lost: attempts.AttemptError
    ) -> None:
        """Reports a failed attempt; the scheduler decides what follows."""
        self._log_lost_attempt(ctx, lost)
        if not lost.held:
            await self._examine_path(ctx, lost)
        ctx.progress.connection_lost = (
            lost.connection_lost
            and not lost.had_output
            and not self.paths.is_cut_off()
        )
        if ctx.progress.connection_lost:
            await self.quarantine.report_lost(ctx, lost.endpoint_id)
        self._check_path(ctx, lost)
        self._handle_lost_attempt(ctx, lost)

    def _check_version(self, ctx: context.Context) -> None:
        """Takes over the version of a resumed stream from the coordinator.

        Raises:
          errors.EntryError: The coordinator runs an older release, which
            places the request anywhere.
        """
        progress = ctx.progress
        if not progress.last_event_id or progress.software_version is not None:
            return
        progress.software_version = ctx.start.version
        if progress.software_version is None:
            code = messages.RefusalCode.ORIGIN_UNKNOWN
            raise errors.EntryError(
                code, _MESSAGE_BY_REFUSAL_CODE[code], run=progress.run
            )

    def _refusal_error(
        self, ctx: context.Context, refusal: messages.Refuse
    ) -> errors.EntryError:
        self.log.event(
            "refused",
            request=ctx.request_id,
            caller=ctx.caller_id,
            reason=refusal.code.value,
            waiting=refusal.waiting,
            wait_ms=round(
                min(refusal.wait_s, _MAX_LOGGED_WAIT_S) * _MS_PER_S, 1
            ),
            retry_after_ms=round(refusal.retry_after_s * _MS_PER_S, 1),
            time_left_ms=round(
                (ctx.response_due_at - clock.now()) * _MS_PER_S, 1
            ),
            **_rank_fields(refusal.rank),
        )
        return errors.EntryError(
            refusal.code,
            _MESSAGE_BY_REFUSAL_CODE[refusal.code],
            run=ctx.progress.run,
            # A stream that is begun anew needn't wait.
            retry_after_s=(
                0.0
                if refusal.code in _BEGIN_ANEW_CODES
                else refusal.retry_after_s
            ),
        )

    async def _examine_path(
        self, ctx: context.Context, lost: attempts.AttemptError
    ) -> None:
        endpoint = ctx.snapshot.endpoints_by_id.get(lost.endpoint_id)
        if endpoint is not None and (lost.unreachable or lost.sent):
            await self.paths.examine(endpoint)

    def _check_path(
        self, ctx: context.Context, lost: attempts.AttemptError
    ) -> None:
        """Raises `errors.EntryError` if peers may serve the request instead.

        The attempt then says nothing about its engine, which the scheduler
        would eject for all VMs.
        """
        progress = ctx.progress
        if ctx.no_peer_serves or not self.paths.is_lost(ctx.service.pool):
            # The scheduler takes the retry from its own budget.
            progress.resumable = progress.resumable or lost.resumable
            return
        if lost.resumable:
            budget = self.budgets.of(ctx.service)
            progress.resumable = budget.try_withdraw(progress.attempts)
        if progress.resumable:
            ctx.deadline = clock.now() + _RESUME_TIMEOUT_S
            ctx.useful_until = 0.0
        raise errors.path_lost(progress.run) from lost

    def _log_lost_attempt(
        self, ctx: context.Context, lost: attempts.AttemptError
    ) -> None:
        self.log.warning(
            "attempt_lost",
            request=ctx.request_id,
            fingerprint=ctx.fingerprint,
            prompt_parts=",".join(ctx.prompt_parts),
            attempt=ctx.start.attempt,
            endpoint=lost.endpoint_id,
            stage=lost.stage.value,
            sent=lost.sent,
            had_output=lost.had_output,
            held=lost.held,
            silent=lost.silent,
            refused=lost.refused,
            reason=lost.reason,
        )

    def _handle_lost_attempt(
        self, ctx: context.Context, lost: attempts.AttemptError
    ) -> None:
        may_have_executed = ctx.progress.run is messages.Executed.UNKNOWN
        if may_have_executed and _is_non_idempotent(ctx):
            if lost.timed_out:
                self._report_wait(ctx)
            else:
                self._post_failure(ctx, lost)
            raise errors.EntryError(
                errors.Code.ENDPOINT_FAILED,
                "The engines failed; the request may have been run.",
                run=messages.Executed.UNKNOWN,
            ) from lost
        self._post_failure(ctx, lost)

    def _report_wait(self, ctx: context.Context) -> None:
        """Reports an engine that gave no output until the time limit."""
        # Other streams are watched for silence.
        if ctx.engine_wait is None or not _is_non_idempotent(ctx):
            return
        failure = ctx.engine_wait.failure(ctx.number, clock.now())
        if failure is not None:
            self.scheduling.post(failure)

    def _post_failure(
        self, ctx: context.Context, lost: attempts.AttemptError
    ) -> None:
        may_have_executed = ctx.progress.run is messages.Executed.UNKNOWN
        self.scheduling.post(
            messages.AttemptFailed(
                request_id=ctx.number,
                endpoint_id=lost.endpoint_id,
                stage=lost.stage,
                refused=lost.refused,
                unsent=lost.unsent,
                not_run=not may_have_executed,
                unreachable=lost.unreachable,
                answered=lost.answered,
                kept_s=lost.kept_s,
                resumable=lost.resumable,
                version=ctx.progress.software_version,
                connection_lost=ctx.progress.connection_lost,
                silent=lost.silent,
            )
        )


async def _pass_on(ctx: context.Context, proceed: context.Handler) -> bool:
    await proceed(ctx)
    return True


def _is_non_idempotent(ctx: context.Context) -> bool:
    return ctx.service.idempotency is model.Idempotency.NON_IDEMPOTENT


def _is_going_on(ctx: context.Context) -> bool:
    return ctx.held is not None and ctx.held.is_going_on


def _decode_version(ctx: context.Context) -> str:
    endpoint = ctx.snapshot.endpoints_by_id.get(ctx.start.decode_id)
    return endpoint.software_version if endpoint else ""


def _rank_fields(rank: messages.Rank | None) -> dict[str, Any]:
    """Returns the log fields of a place in the overload ranking."""
    if rank is None:
        return {}
    return {
        "priority": rank.priority,
        "over_share": rank.over_share,
        "ahead": rank.ahead,
        "ahead_wait_ms": round(
            min(rank.wait_s, _MAX_LOGGED_WAIT_S) * _MS_PER_S, 1
        ),
    }
