"""Filter that applies what the sending VM knows of a relayed request."""

import dataclasses

from cowsliprill.entry import context
from cowsliprill.entry import errors

_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedLimits:
    """Sets the deadlines and attempts of a relayed request.

    It takes the place of the filters that derive deadlines from the caller's
    timeout, charge the customer's quota and claim idempotency keys.
    """

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Passes the request on or raises `errors.EntryError`."""
        envelope = ctx.call.envelope
        if ctx.snapshot.revision < envelope.revision:
            # An older revision may allow what a newer one no longer does.
            raise errors.EntryError(
                errors.Code.NOT_READY,
                "This process has older settings than the sender.",
                run=envelope.run,
                retry_after_s=_RETRY_AFTER_S,
            )
        ctx.deadline = ctx.arrived_at + envelope.deadline_s
        ctx.response_due_at = ctx.arrived_at + envelope.response_due_s
        if envelope.useful_s is not None:
            ctx.useful_until = ctx.arrived_at + envelope.useful_s
        ctx.progress.attempts = envelope.attempts
        ctx.progress.run = envelope.run
        ctx.progress.last_event_id = envelope.last_event_id
        ctx.progress.software_version = envelope.software_version
        ctx.idempotency_key = envelope.idempotency_key
        await proceed(ctx)
