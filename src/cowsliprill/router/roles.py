"""The task that has a pool's surplus prefill engines write answers."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from cowsliprill import clock
from cowsliprill.decisions import leadership
from cowsliprill.decisions import membership
from cowsliprill.decisions import model
from cowsliprill.decisions import roles
from cowsliprill.engines import errors
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import source as source_lib

# Several looks fit into the time after which a process counts as having stood
# still.
_CHECK_INTERVAL_S = 0.25

_NS_PER_MS = 1_000_000


class EngineOrders(Protocol):
    """Orders to engines, as the platform takes them."""

    async def change_role(
        self,
        endpoint: model.Endpoint,
        kind: model.EndpointKind,
        holder: str,
        fencing_token: int,
    ) -> str:
        """Orders an engine; returns its word, raises `errors.CallError`."""


class PoolWorkload(Protocol):
    """What is known of the pools' work."""

    def prefill_fraction(self, pool: str) -> float | None:
        """Returns the part of it that prompts are, None if unknown."""

    def set_polling(self, pool: str, enabled: bool) -> None:
        """Has `prompt_part` kept up to date, or not."""


class RoleController:
    """Looks at the pools and orders engines, where this VM leads.

    Args:
      source: Settings and endpoints.
      members: The VMs.
      tell: Tells the other VMs something else of this one.
      orders: Reaches the engines.
      work: What is known of the pools' work.
      log: The process's log.
    """

    def __init__(
        self,
        source: source_lib.Source,
        members: membership.Membership,
        publish: Callable[..., None],
        orders: EngineOrders,
        workload: PoolWorkload,
        log: log_lib.Log,
    ) -> None:
        self._source = source
        self._members = members
        self._publish = publish
        self._orders = orders
        self._workload = workload
        self._log = log
        self._leadership = leadership.Leadership()
        self._tokens = leadership.FencingTokens(members.own.id)
        self._roles_by_pool: dict[str, roles.Roles] = {}

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            membership_view = self._members.electorate()
            self._leadership.look(membership_view, clock.now())
            pools = self._source.engine_pools()
            # Orders need the store's own word on the engines.
            led = {
                pool
                for pool in pools
                if membership_view.first(pool) == membership_view.own
            }
            self._source.require_reading(bool(led))
            for pool in pools:
                self._workload.set_polling(pool, pool in led)
                await self._check_pool(pool)
            self._publish_changing()

    def _publish_changing(self) -> None:
        """Tells the others which engines change, until the registry does."""
        changing: list[tuple[str, str]] = []
        for pool, plan in self._roles_by_pool.items():
            changing += plan.changing(self._source.staying_endpoints(pool))
        if tuple(changing) != self._members.own.changing:
            self._publish(changing=tuple(changing))
            self._source.take_members()

    async def _check_pool(self, pool: str) -> None:
        now = clock.now()
        if not self._source.is_settled(now):
            return
        plan = self._roles_by_pool.setdefault(pool, roles.Roles())
        order = plan.next_order(
            self._source.staying_endpoints(pool),
            now,
            self._workload.prefill_fraction(pool),
        )
        # A VM that doesn't lead looks as well: whoever comes to lead knows then
        # how long a lack has lasted.
        if order is None or not self._may_order(pool, now):
            return
        plan.ordered(order, now)
        if await self._send(order):
            plan.answered(order)

    def _may_order(self, pool: str, now: float) -> bool:
        # Engines that are gone would count, and one too many be ordered.
        settled = self._source.is_settled(now)
        return settled and self._leadership.leads(pool, now)

    async def _send(self, order: roles.Order) -> bool:
        """Sends an order; returns whether the engine has answered."""
        acknowledged = True
        holder = self._members.own.id
        token = self._tokens.next(time.time_ns() // _NS_PER_MS)
        try:
            outcome = await self._orders.change_role(
                order.endpoint, order.kind, holder, token
            )
        except errors.CallError as error:
            # It may have arrived. The registry will tell, and another order is
            # not sent before it has had the time to.
            outcome = error.message
            acknowledged = False
        self._log.event(
            "role_ordered",
            endpoint=order.endpoint.id,
            pool=order.endpoint.pool,
            kind=order.kind.value,
            prompt_part=self._workload.prefill_fraction(order.endpoint.pool),
            fencing_token=token,
            outcome=outcome,
        )
        return acknowledged
