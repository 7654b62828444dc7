"""Background task that changes the roles of a pool's engines.

It orders engines of the role that is in surplus to take the role that is in
shortage, such as prefill engines to become decode engines.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from cowsliprill import clock
from cowsliprill.decisions import leadership
from cowsliprill.decisions import membership
from cowsliprill.decisions import model
from cowsliprill.decisions import role_planner
from cowsliprill.engines import errors
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import source as source_lib

# Several checks must fit into `leadership.OBSERVATION_GAP_MAX_S`: after a
# longer gap between checks the process counts as paused and gives no orders.
_CHECK_INTERVAL_S = 0.25

_NS_PER_MS = 1_000_000


class EngineOrders(Protocol):
    """Sends orders to engines through the platform."""

    async def change_role(
        self,
        endpoint: model.Endpoint,
        kind: model.EndpointKind,
        holder: str,
        fencing_token: int,
    ) -> str:
        """Orders an engine to change its role.

        Args:
          endpoint: The engine.
          kind: Its new role.
          holder: Id of the VM that gives the order.
          fencing_token: Fencing token of the order.

        Returns:
          The engine's response to the order.

        Raises:
          errors.CallError: The call failed.
        """


class PoolWorkload(Protocol):
    """Supplies the mix of work of each pool."""

    def prefill_fraction(self, pool: str) -> float | None:
        """Returns the fraction of a pool's work that is prefill, if known."""

    def set_heartbeats(self, pool: str, enabled: bool) -> None:
        """Enables or disables regular updates of `prefill_fraction`."""


class RoleController:
    """Checks all pools and orders role changes where this VM is the leader.

    Args:
      source: Settings and endpoints.
      members: Membership of the VMs.
      publish: Publishes changed fields of this VM's member record.
      orders: Sends orders to engines.
      workload: Supplies the mix of work of each pool.
      log: The process's log.
    """

    def __init__(
        self,
        source: source_lib.RegistrySource,
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
        self._roles_by_pool: dict[str, role_planner.RolePlanner] = {}

    async def run(self) -> None:
        """Checks the pools until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            membership_view = self._members.membership_view()
            self._leadership.observe(membership_view, clock.now())
            pools = self._source.engine_pools()
            # Orders must be based on engines read from the store itself, not
            # from peers.
            led = {
                pool
                for pool in pools
                if membership_view.leader_of(pool) == membership_view.own
            }
            self._source.require_store_reads(bool(led))
            for pool in pools:
                self._workload.set_heartbeats(pool, pool in led)
                await self._check_pool(pool)
            self._publish_changing()

    def _publish_changing(self) -> None:
        """Publishes the engines that change until the registry lists them."""
        pending_role_changes: list[tuple[str, str]] = []
        for pool, plan in self._roles_by_pool.items():
            pending_role_changes += plan.pending_role_changes(
                self._source.remaining_endpoints(pool)
            )
        if (
            tuple(pending_role_changes)
            != self._members.own.pending_role_changes
        ):
            self._publish(pending_role_changes=tuple(pending_role_changes))
            self._source.apply_members()

    async def _check_pool(self, pool: str) -> None:
        now = clock.now()
        if not self._source.is_endpoint_list_current(now):
            return
        plan = self._roles_by_pool.setdefault(pool, role_planner.RolePlanner())
        order = plan.next_order(
            self._source.remaining_endpoints(pool),
            now,
            self._workload.prefill_fraction(pool),
        )
        # A VM that isn't the leader plans as well, so that it knows how long a
        # shortage has lasted when it becomes the leader.
        if order is None or not self._may_order(pool, now):
            return
        plan.order_sent(order, now)
        if await self._send(order):
            plan.order_acknowledged(order)

    def _may_order(self, pool: str, now: float) -> bool:
        # While the endpoint list is not settled, removed engines would be
        # counted and one engine too many would be ordered.
        settled = self._source.is_endpoint_list_current(now)
        return settled and self._leadership.is_leader(pool, now)

    async def _send(self, order: role_planner.RoleOrder) -> bool:
        """Sends an order; returns whether the engine has acknowledged it."""
        acknowledged = True
        holder = self._members.own.id
        token = self._tokens.next(
            time.time_ns() // _NS_PER_MS, self._members.newest_incarnation()
        )
        # Other VMs remember it while this process restarts, and tell the next.
        self._publish(incarnation=self._tokens.last_ms)
        try:
            outcome = await self._orders.change_role(
                order.endpoint, order.kind, holder, token
            )
        except errors.CallError as error:
            # The order may have arrived. The registry will show whether it did,
            # and no other order is sent before the registry has had time to.
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
