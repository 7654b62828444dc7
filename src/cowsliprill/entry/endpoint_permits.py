"""Interface for the filters that send requests to limited endpoints."""

from collections.abc import Sequence
from typing import Protocol

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.observability import log as log_lib
from cowsliprill.rate_limiting import ledger as ledger_lib
from cowsliprill.rate_limiting import permit_client as permit_client_lib

_MS_PER_S = 1_000


class EndpointPermits(Protocol):
    """Permits to send requests to endpoints that name a rate limit."""

    def is_limited(self, endpoint: model.Endpoint) -> bool:
        """Returns whether requests to an endpoint need a permit now."""

    async def acquire(
        self,
        ctx: context.Context,
        endpoints: Sequence[model.Endpoint],
        max_wait_s: float,
    ) -> permit_client_lib.Permit | permit_client_lib.Refusal:
        """Gets a permit for one of some limited endpoints.

        Args:
          ctx: The request.
          endpoints: Endpoints to any of which it may be sent.
          max_wait_s: Time for which it can wait, in seconds; 0 if other
            endpoints can serve it at once.
        """


class Unlimited:
    """Takes no endpoint as limited."""

    def is_limited(self, endpoint: model.Endpoint) -> bool:
        """Returns False."""
        del endpoint
        return False

    async def acquire(
        self,
        ctx: context.Context,
        endpoints: Sequence[model.Endpoint],
        max_wait_s: float,
    ) -> permit_client_lib.Permit | permit_client_lib.Refusal:
        """Returns a permit for the first endpoint."""
        del ctx, max_wait_s
        return permit_client_lib.Permit(endpoint_id=endpoints[0].id)


class CoordinatedPermits:
    """Permits from the coordinators of the endpoints' pools.

    Args:
      ledger: Rate limits known to this process.
      client: Asks the coordinators.
      log: Log of the process.
    """

    def __init__(
        self,
        ledger: ledger_lib.RateLimitLedger,
        client: permit_client_lib.PermitClient,
        log: log_lib.Log,
    ) -> None:
        self._ledger = ledger
        self._client = client
        self._log = log

    def is_limited(self, endpoint: model.Endpoint) -> bool:
        """Returns whether requests to an endpoint need a permit now."""
        limit = self._ledger.table.get(endpoint)
        return limit is not None and limit.restricts(clock.now())

    async def acquire(
        self,
        ctx: context.Context,
        endpoints: Sequence[model.Endpoint],
        max_wait_s: float,
    ) -> permit_client_lib.Permit | permit_client_lib.Refusal:
        """Gets a permit from the pool's coordinator."""
        request = permit_client_lib.Request(
            pool=ctx.service.pool,
            priority=ctx.priority,
            customer=ctx.customer.id if ctx.customer else "",
            max_wait_s=max_wait_s,
        )
        decision = await self._client.acquire(request, endpoints)
        match decision:
            case permit_client_lib.Refusal() if max_wait_s:
                self._log.event(
                    "refused",
                    request=ctx.request_id,
                    caller=ctx.caller_id,
                    reason=messages.RefusalCode.RATE_LIMITED.value,
                    wait_ms=round(decision.wait_s * _MS_PER_S, 1),
                    retry_after_ms=round(decision.retry_after_s * _MS_PER_S, 1),
                )
        return decision
