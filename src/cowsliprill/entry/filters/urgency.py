"""How urgent a request is: its priority and its deadline."""

from cowsliprill.entry import context
from cowsliprill.entry import errors

PRIORITY_HEADER = "X-Priority"
DEADLINE_HEADER = "X-Deadline-Ms"

_MAX_OFFSET = 1_000
_MAX_DEADLINE_MS = 86_400_000
_MS_PER_S = 1_000


def _integer(ctx: context.Context, name: str, low: int, high: int) -> int:
    text = ctx.call.headers.get(name, "").strip()
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit() and len(digits) < 12):
        raise errors.EntryError(
            errors.Code.INVALID_HEADER, f"{name} isn't a whole number."
        )
    if not low <= int(text) <= high:
        raise errors.EntryError(
            errors.Code.INVALID_HEADER,
            f"{name} isn't between {low} and {high}.",
        )
    return int(text)


async def urgency(ctx: context.Context, proceed: context.Handler) -> None:
    """Reads the caller's priority and deadline.

    A caller may only lower its priority: any other rule would have every
    client ask for the highest, and the operators' order would be lost.

    Args:
      ctx: The request.
      proceed: The next filter.
    """
    ctx.priority = ctx.service.priority
    if PRIORITY_HEADER in ctx.call.headers:
        ctx.priority += _integer(ctx, PRIORITY_HEADER, -_MAX_OFFSET, 0)
    wait_s = ctx.service.ttft_target_s + ctx.service.may_wait_s
    if DEADLINE_HEADER in ctx.call.headers:
        deadline_ms = _integer(ctx, DEADLINE_HEADER, 1, _MAX_DEADLINE_MS)
        wait_s = deadline_ms / _MS_PER_S
    ctx.deadline = ctx.arrived_at + wait_s
    ctx.response_due_at = ctx.arrived_at + ctx.service.timeout_s
    await proceed(ctx)
