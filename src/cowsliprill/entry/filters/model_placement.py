"""Where a model request runs, attempt by attempt."""

import asyncio
import dataclasses

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import retry_budget
from cowsliprill.entry import attempts
from cowsliprill.entry import authorization
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import placing
from cowsliprill.observability import log as log_lib

_MS_PER_S = 1_000
# Longer waits are written as this; a pool without engines has no end of it.
_LONG_S = 1_000.0

_TEXT_BY_REFUSAL = {
    messages.RefusalCode.OVERLOADED: "There is no room for it now.",
    messages.RefusalCode.TARGET_UNREACHABLE: "It can't be in time now.",
    messages.RefusalCode.WAITED_TOO_LONG: "No slot came free in time.",
    messages.RefusalCode.NO_ENDPOINT: "No engine serves this now.",
    messages.RefusalCode.RETRY_BUDGET_SPENT: (
        "Engines failed, and too many retries run already."
    ),
    messages.RefusalCode.ENDPOINT_FAILED: "The engines failed.",
}


@dataclasses.dataclass(slots=True)
class ModelPlacement:
    """Asks the scheduler where to run, and again after a lost attempt.

    Attributes:
      scheduling: The scheduler's task.
      budgets: Budgets of resumed streams, earned here by each request. The
        scheduler keeps those of whole attempts.
      log: The process's log.
      authorization: Checks again that the caller's key may be honoured.
    """

    scheduling: placing.Scheduling
    budgets: retry_budget.RetryBudgets
    log: log_lib.Log
    authorization: authorization.Authorization

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Runs attempts until one answers or the scheduler refuses."""
        self.budgets.of(ctx.service).deposit()
        decisions = self.scheduling.submit(_submit(ctx))
        answered = False
        try:
            left_s = ctx.response_due_at - clock.now()
            async with asyncio.timeout(left_s) as timeout:
                await self._attempts(ctx, proceed, decisions)
            answered = True
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise errors.EntryError(
                errors.Code.TIMEOUT,
                f"There was no answer within {left_s:.3f} s.",
                run=ctx.progress.run,
            ) from error
        finally:
            self.scheduling.forget(ctx.number)
            # Whatever ended the request (its caller left, its time was up,
            # its stream broke), engines may still hold memory for it. The
            # scheduler knows which, and orders the cancels.
            if not answered:
                self.scheduling.post(messages.Cancel(ctx.number))

    async def _attempts(
        self,
        ctx: context.Context,
        proceed: context.Handler,
        decisions: asyncio.Queue[messages.Decision],
    ) -> None:
        while True:
            match await decisions.get():
                case messages.Refuse() as refusal:
                    raise self._refused(ctx, refusal)
                case messages.Start() as start:
                    if await self._attempt(ctx, proceed, start):
                        return

    async def _attempt(
        self,
        ctx: context.Context,
        proceed: context.Handler,
        start: messages.Start,
    ) -> bool:
        if not ctx.progress.tokens:
            # A stream that goes on elsewhere was begun while its key held.
            self.authorization.check(ctx)
        ctx.start = start
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
        )
        try:
            await proceed(ctx)
        except attempts.AttemptLost as lost:
            self._report_lost(ctx, lost)
            return False
        self.scheduling.post(messages.Finished(ctx.number, ctx.progress.tokens))
        return True

    def _refused(
        self, ctx: context.Context, refusal: messages.Refuse
    ) -> errors.EntryError:
        self.log.event(
            "refused",
            request=ctx.request_id,
            caller=ctx.caller_id,
            reason=refusal.code.value,
            waiting=refusal.waiting,
            wait_ms=round(min(refusal.wait_s, _LONG_S) * _MS_PER_S, 1),
            retry_after_ms=round(refusal.retry_after_s * _MS_PER_S, 1),
            time_left_ms=round(
                (ctx.response_due_at - clock.now()) * _MS_PER_S, 1
            ),
        )
        return errors.EntryError(
            refusal.code,
            _TEXT_BY_REFUSAL[refusal.code],
            run=ctx.progress.run,
            retry_after_s=refusal.retry_after_s,
        )

    def _report_lost(
        self, ctx: context.Context, lost: attempts.AttemptLost
    ) -> None:
        self.log.warning(
            "attempt_lost",
            request=ctx.request_id,
            attempt=ctx.start.attempt,
            endpoint=lost.endpoint_id,
            stage=lost.stage.value,
            refused=lost.refused,
            reason=lost.reason,
        )
        ran = ctx.progress.run is messages.Executed.UNKNOWN
        unrepeatable = model.Idempotency.NON_IDEMPOTENT
        if ran and ctx.service.idempotency is unrepeatable:
            raise errors.EntryError(
                errors.Code.ENDPOINT_FAILED,
                "The engines failed; the request may have been run.",
                run=messages.Executed.UNKNOWN,
            ) from lost
        self.scheduling.post(
            messages.AttemptFailed(
                request_id=ctx.number,
                endpoint_id=lost.endpoint_id,
                stage=lost.stage,
                refused=lost.refused,
                unsent=lost.unsent,
                not_run=not ran,
                unreachable=lost.unreachable,
                answered=lost.answered,
                kept_s=lost.kept_s,
                resumable=lost.resumable,
            )
        )


def _submit(ctx: context.Context) -> messages.Submit:
    generation = ctx.generation
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
    )
