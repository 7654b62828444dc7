"""Filter that reports a request's outcome to its caller, log and metrics."""

import asyncio
import dataclasses

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import response_writer as response_writer_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

CALLER_GONE = "caller_gone"
COMPLETED = "completed"
_MS_PER_S = 1_000


@dataclasses.dataclass(slots=True)
class Report:
    """Outermost filter: handles errors and records the outcome.

    Attributes:
      log: The process's log.
      metrics: The process's metrics.
      error_format: Formats error responses.
    """

    log: log_lib.Log
    metrics: metrics_lib.Metrics
    error_format: errors.ErrorFormatter = dataclasses.field(
        default_factory=errors.JsonErrorFormatter
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Passes the request on and reports its outcome in all cases."""
        try:
            await proceed(ctx)
            ctx.progress.outcome = ctx.progress.outcome or COMPLETED
        except errors.EntryError as error:
            await self._end_with(ctx, error)
        except response_writer_lib.CallerDisconnected:
            ctx.progress.outcome = _unanswered_outcome(ctx)
        except asyncio.CancelledError:
            if not ctx.is_interrupted:
                ctx.progress.outcome = _unanswered_outcome(ctx)
                raise
            await self._end_with(ctx, errors.interrupted(ctx.progress.run))
        except Exception as error:
            # An internal error in one request must not affect other requests.
            ctx.progress.outcome = errors.Code.INTERNAL.value
            self.log.error(
                "internal_error", request=ctx.request_id, reason=repr(error)
            )
            await self._send_error(ctx, _internal_error(ctx))
        finally:
            self._record_outcome(ctx)

    async def _end_with(
        self, ctx: context.Context, error: errors.EntryError
    ) -> None:
        ctx.progress.outcome = error.code
        ctx.progress.run = error.run
        await self._send_error(ctx, error)

    async def _send_error(
        self, ctx: context.Context, error: errors.EntryError
    ) -> None:
        try:
            if not ctx.response_writer.started:
                response = self.error_format.error_response(error)
                await response_writer_lib.send(
                    ctx.response_writer,
                    response.status,
                    response.headers,
                    response.body,
                )
                return
            event = self.error_format.error_event(error)
            if event and _is_streaming(ctx):
                await ctx.response_writer.write(event)
            ctx.response_writer.abort()
        except response_writer_lib.CallerDisconnected:
            pass
        except Exception as failure:
            # The handler sends an error of its own.
            self.log.error(
                "internal_error", request=ctx.request_id, reason=repr(failure)
            )

    def _record_outcome(self, ctx: context.Context) -> None:
        progress = ctx.progress
        labels = {"service": ctx.service.id if ctx.service else ""}
        # A local prefill by the decode engine counts as used but not as
        # started, so the difference can be negative.
        wasted_prompts = max(progress.prefills - progress.prefills_used, 0)
        for _ in range(wasted_prompts):
            self.metrics.wasted_prefills.inc(labels)
        now = clock.now()
        ttft_s = (progress.first_token_at or now) - ctx.arrived_at
        tpot_s = _mean_tpot_s(progress)
        in_time = _met_targets(ctx, ttft_s, tpot_s)
        if ctx.call.envelope is None:
            self._count(ctx, labels, ttft_s, tpot_s, in_time=in_time)
        else:
            # The VM that the caller sent it to counts the request.
            self.metrics.helped_requests.inc(
                {**labels, "outcome": progress.outcome}
            )
        self.log.event(
            "request_ended",
            request=ctx.request_id,
            caller=ctx.caller_id,
            customer=ctx.customer.id if ctx.customer else "",
            service=labels["service"],
            fingerprint=ctx.fingerprint,
            endpoint=ctx.endpoint.id if ctx.endpoint else "",
            outcome=progress.outcome,
            in_time=in_time,
            prompt_tokens=_prompt_tokens(ctx),
            wasted_prompts=wasted_prompts,
            run=progress.run.value,
            attempts=progress.attempts,
            tokens=progress.tokens,
            ttft_ms=round(ttft_s * _MS_PER_S, 1),
            took_ms=round((now - ctx.arrived_at) * _MS_PER_S, 1),
            **_engine_fields(ctx),
            **_unanswered_fields(ctx),
            **_part_fields(ctx),
            **_resume_fields(ctx),
            **_relay_fields(ctx),
        )

    def _count(
        self,
        ctx: context.Context,
        labels: dict[str, str],
        ttft_s: float,
        tpot_s: float,
        *,
        in_time: bool,
    ) -> None:
        by_outcome = {**labels, "outcome": ctx.progress.outcome}
        self.metrics.requests.inc(by_outcome)
        if ctx.resumes:
            self.metrics.resumed_streams.inc(by_outcome)
        if ctx.progress.first_token_at:
            self.metrics.ttft_s.observe(labels, ttft_s)
            self.metrics.tpot_s.observe(labels, tpot_s)
        if in_time:
            self.metrics.goodput.inc(labels)


def _unanswered_outcome(ctx: context.Context) -> str:
    if ctx.response_writer.closed_by_caller:
        return CALLER_GONE
    return errors.Code.INTERRUPTED.value


def _unanswered_fields(ctx: context.Context) -> dict[str, str]:
    """Returns what explains why a caller got no complete response."""
    writer = ctx.response_writer
    if writer.complete:
        return {}
    return {
        "closed_by": "caller" if writer.closed_by_caller else "router",
        "read": "whole" if writer.request_read else "part",
        **({"cut": writer.unread_end} if writer.unread_end else {}),
    }


def _engine_fields(ctx: context.Context) -> dict[str, str]:
    """Returns the engines of the last attempt at a model request."""
    if ctx.start is None:
        return {}
    return {"prefill": ctx.start.prefill_id, "decode": ctx.start.decode_id}


def _relay_fields(ctx: context.Context) -> dict[str, str]:
    if ctx.call.envelope is not None:
        envelope = ctx.call.envelope
        return {"relayed_by": envelope.vm, "relayed_as": envelope.request_id}
    return {"relayed_to": ctx.relayed_to} if ctx.relayed_to else {}


def _resume_fields(ctx: context.Context) -> dict[str, str]:
    return {"resumes": ctx.resumes} if ctx.resumes else {}


def _part_fields(ctx: context.Context) -> dict[str, str]:
    parts = ",".join(ctx.prompt_parts)
    return {"prompt_parts": parts} if parts else {}


def _is_streaming(ctx: context.Context) -> bool:
    request = ctx.generation and ctx.generation.request
    return request is not None and request.stream


def _prompt_tokens(ctx: context.Context) -> int:
    return ctx.generation.prompt_tokens if ctx.generation else 0


def _mean_tpot_s(progress: context.Progress) -> float:
    if progress.tokens < 2:
        return 0.0
    span_s = progress.last_token_at - progress.first_token_at
    return span_s / (progress.tokens - 1)


def _met_targets(ctx: context.Context, ttft_s: float, tpot_s: float) -> bool:
    if ctx.progress.outcome != COMPLETED or ctx.service is None:
        return False
    if ctx.service.kind is model.ServiceKind.PLAIN:
        return ttft_s <= ctx.service.ttft_target_s
    return (
        ttft_s <= ctx.service.ttft_target_s
        and tpot_s <= ctx.service.tpot_target_s
    )


def _internal_error(ctx: context.Context) -> errors.EntryError:
    return errors.EntryError(
        errors.Code.INTERNAL,
        f"Something went wrong here; ask about {ctx.request_id}.",
        run=ctx.progress.run,
    )
