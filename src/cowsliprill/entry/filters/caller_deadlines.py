"""Filter that derives a request's deadlines from the caller's timeout."""

import dataclasses

from cowsliprill.decisions import caller_timeouts
from cowsliprill.decisions import model
from cowsliprill.entry import context

# Fraction of the callers' abandonment timeout after which a first token is of
# no use: it would reach callers that have just disconnected.
_ABANDONMENT_TIMEOUT_FRACTION = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDeadlines:
    """Sets the deadlines of a request.

    Attributes:
      timeouts: Tracks the callers' timeouts at their first attempts.
    """

    timeouts: caller_timeouts.CallerTimeouts = dataclasses.field(
        default_factory=caller_timeouts.CallerTimeouts
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Sets `deadline`, `response_due_at` and `useful_until`."""
        service = ctx.service
        caller_timeout_s = ctx.caller_timeout_s or service.timeout_s
        ctx.response_due_at = ctx.arrived_at + min(
            caller_timeout_s, service.timeout_s
        )
        # The TTFT target counts from the caller's first attempt. A retry has
        # less time left than first attempts to the same service have.
        time_spent_s = self.timeouts.time_spent_s(
            service.id, caller_timeout_s, ctx.arrived_at
        )
        ctx.deadline = ctx.arrived_at + service.ttft_target_s - time_spent_s
        if service.kind is model.ServiceKind.PLAIN:
            ctx.deadline = ctx.response_due_at
        elif service.patience_s:
            useful_for_s = service.patience_s * _ABANDONMENT_TIMEOUT_FRACTION
            ctx.useful_until = min(
                ctx.arrived_at + useful_for_s, ctx.response_due_at
            )
        await proceed(ctx)
