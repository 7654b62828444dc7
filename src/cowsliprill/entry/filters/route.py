"""Filter that routes a call to a service by host and path prefix."""

import dataclasses
import random

from cowsliprill.decisions import model
from cowsliprill.decisions import routing
from cowsliprill.entry import context
from cowsliprill.entry import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Finds a call's route and selects a service of the route.

    Attributes:
      random_source: Selects among the weighted services of a split route.
    """

    random_source: random.Random

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Sets the route and service or raises `errors.EntryError`."""
        host = ctx.call.headers.get("Host", "")
        route = routing.find_route(
            ctx.snapshot.routes_by_prefix_by_host, host, ctx.call.path
        )
        if route is None:
            raise errors.EntryError(
                errors.Code.PATH_NOT_FOUND,
                f"No route leads to {host}{ctx.call.path}.",
            )
        service_id = routing.pick_service(route, self.random_source)
        ctx.route = route
        ctx.service = ctx.snapshot.services_by_id[service_id]
        await proceed(ctx)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceKindDispatcher:
    """Final handler of a chain; dispatches by the kind of the service.

    Attributes:
      generate: Handler of model requests.
      plain: Handler of plain calls.
    """

    generate: context.Handler
    plain: context.Handler

    async def __call__(self, ctx: context.Context) -> None:
        """Passes the call to the handler of its kind."""
        if ctx.service.kind is model.ServiceKind.MODEL:
            await self.generate(ctx)
        else:
            await self.plain(ctx)
