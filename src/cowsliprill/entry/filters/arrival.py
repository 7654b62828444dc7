"""How urgent a request is whose caller only says how long it will wait."""

import dataclasses

from cowsliprill.decisions import caller_timeouts
from cowsliprill.decisions import model
from cowsliprill.entry import context

# Callers that leave would do so just before this part of their patience is
# over, on their way back to them.
_PATIENCE_PART = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Sets the times by which a request must be answered.

    Attributes:
      timeouts: What callers allow at their first attempts.
    """

    timeouts: caller_timeouts.CallerTimeouts = dataclasses.field(
        default_factory=caller_timeouts.CallerTimeouts
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Sets deadline, time of the end and time of the last use."""
        service = ctx.service
        given_s = ctx.caller_timeout_s or service.timeout_s
        ctx.response_due_at = ctx.arrived_at + min(given_s, service.timeout_s)
        # The target counts from the caller's first attempt. One that comes
        # back has less time left than others of its service have at first.
        time_spent_s = self.timeouts.time_spent_s(
            service.id, given_s, ctx.arrived_at
        )
        ctx.deadline = ctx.arrived_at + service.ttft_target_s - time_spent_s
        if service.kind is model.ServiceKind.PLAIN:
            ctx.deadline = ctx.response_due_at
        elif service.patience_s:
            patience_s = service.patience_s * _PATIENCE_PART
            ctx.useful_until = min(
                ctx.arrived_at + patience_s, ctx.response_due_at
            )
        await proceed(ctx)
