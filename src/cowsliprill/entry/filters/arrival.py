"""Filter that derives a request's deadlines from the caller's timeout."""

import dataclasses

from cowsliprill.decisions import elapsed
from cowsliprill.decisions import model
from cowsliprill.entry import context

# Fraction of the callers' abandonment timeout after which a first token is of
# no use: it would reach callers that have just disconnected.
_ABANDONMENT_TIMEOUT_FRACTION = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Sets the deadlines of a request.

    Attributes:
      waits: Tracks the callers' timeouts at their first attempts.
    """

    waits: elapsed.FullWaits = dataclasses.field(
        default_factory=elapsed.FullWaits
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handle
    ) -> None:
        """Sets `deadline`, `ends_at` and `useful_until`."""
        service = ctx.service
        caller_timeout_s = ctx.time_given_s or service.timeout_s
        ctx.ends_at = ctx.arrived_at + min(caller_timeout_s, service.timeout_s)
        # The TTFT target counts from the caller's first attempt. A retry has
        # less time left than first attempts to the same service have.
        spent_s = self.waits.spent_s(
            service.id, caller_timeout_s, ctx.arrived_at
        )
        ctx.deadline = ctx.arrived_at + service.ttft_target_s - spent_s
        if service.kind is model.ServiceKind.PLAIN:
            ctx.deadline = ctx.ends_at
        elif service.patience_s:
            useful_for_s = service.patience_s * _ABANDONMENT_TIMEOUT_FRACTION
            ctx.useful_until = min(ctx.arrived_at + useful_for_s, ctx.ends_at)
        await proceed(ctx)
