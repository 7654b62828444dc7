"""Which service a call goes to that names only a host and a path."""

import dataclasses
import random

from cowsliprill.decisions import model
from cowsliprill.decisions import routing
from cowsliprill.entry import context
from cowsliprill.entry import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Finds a call's route and draws its service.

    Attributes:
      random_source: Draws among the services of a split route.
    """

    random_source: random.Random

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Finds the service or refuses the call."""
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
class ByKind:
    """The end of a chain that splits by the kind of the service.

    Attributes:
      generate: Handles model requests.
      plain: Handles plain calls.
    """

    generate: context.Handler
    plain: context.Handler

    async def __call__(self, ctx: context.Context) -> None:
        """Passes the call on."""
        if ctx.service.kind is model.ServiceKind.MODEL:
            await self.generate(ctx)
        else:
            await self.plain(ctx)
