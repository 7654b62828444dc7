"""Filter that ranks a customer's requests by the priority of their service."""

from cowsliprill.decisions.overload import priorities
from cowsliprill.entry import context


def after(parse_call: context.Filter) -> context.Filter:
    """Returns a filter that combines priorities after another filter.

    Args:
      parse_call: Filter that sets the priority of the service or, if it has
        one, of the customer.
    """

    async def parse_and_combine(
        ctx: context.Context, proceed: context.Handler
    ) -> None:
        async def combine(ctx: context.Context) -> None:
            ctx.priority = priorities.combine(
                ctx.service.priority, ctx.customer.priority
            )
            await proceed(ctx)

        await parse_call(ctx, combine)

    return parse_and_combine
