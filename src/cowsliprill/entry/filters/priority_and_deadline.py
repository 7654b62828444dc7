"""Filter that sets a request's priority and deadline from its headers."""

from cowsliprill.entry import context
from cowsliprill.entry import errors

PRIORITY_HEADER = "X-Priority"
DEADLINE_HEADER = "X-Deadline-Ms"

_MAX_PRIORITY_OFFSET = 1_000
_MAX_DEADLINE_MS = 86_400_000
_MS_PER_S = 1_000


def _parse_integer_header(
    ctx: context.Context, name: str, low: int, high: int
) -> int:
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


async def set_priority_and_deadline(
    ctx: context.Context, proceed: context.Handler
) -> None:
    """Sets the priority and deadlines from the caller's headers.

    A caller may only lower its priority: otherwise every client would request
    the highest one, and the priorities set by the operators would be lost.

    Args:
      ctx: The request.
      proceed: The next handler.

    Raises:
      errors.EntryError: A header is invalid.
    """
    ctx.priority = ctx.service.priority
    if PRIORITY_HEADER in ctx.call.headers:
        ctx.priority += _parse_integer_header(
            ctx, PRIORITY_HEADER, -_MAX_PRIORITY_OFFSET, 0
        )
    first_token_timeout_s = ctx.service.ttft_target_s + ctx.service.may_wait_s
    if DEADLINE_HEADER in ctx.call.headers:
        deadline_ms = _parse_integer_header(
            ctx, DEADLINE_HEADER, 1, _MAX_DEADLINE_MS
        )
        first_token_timeout_s = deadline_ms / _MS_PER_S
    ctx.deadline = ctx.arrived_at + first_token_timeout_s
    ctx.response_due_at = ctx.arrived_at + ctx.service.timeout_s
    await proceed(ctx)
