"""The task that owns cancel orders until the engines acknowledge them.

A caller that is gone must not hold an engine's memory. Closing the connection
to the engine isn't enough: engines go on with a request whose connection is
cut, so that it can be resumed. Without the explicit order, sent until it is
acknowledged, a lost order would leave a slot taken for good; one would notice
`cowsliprill_pending_cancels` that doesn't fall, or decode engines that are
full with nobody waiting.
"""

import asyncio
import collections
import dataclasses
import random

from cowsliprill import peers
from cowsliprill.decisions import cancel_queue
from cowsliprill.decisions import model
from cowsliprill.dispatch import messages as dispatch_messages
from cowsliprill.engines import engine_client
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import errors
from cowsliprill.entry import world as world_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_FIRST_BACK_OFF_S = 0.05
_MAX_BACK_OFF_S = 2.0
_HAND_OVER_S = 2.0


@dataclasses.dataclass(slots=True)
class _Pending:
    endpoint: model.Endpoint
    request_ids: collections.deque[str]
    task: asyncio.Task | None = None


class NoOrders:
    """Stands in where engines drop a request when its connection is closed.

    Attributes:
      pending: Orders that are not yet acknowledged, always none.
    """

    pending = 0

    def order(self, endpoint_id: str, request_id: str) -> None:
        """Does nothing."""

    async def settle(self, timeout_s: float) -> None:
        """Returns at once."""


class Canceller:
    """Sends cancel orders.

    One task an engine sends its orders one after the other, so a dead engine
    costs one attempt each back-off, however many orders wait for it.

    Args:
      client: Client of engines.
      homes: Calls the homes.
      world: The settings and the VM list.
      metrics: The process's metrics.
      log: The process's log.
      random_source: Spreads the retries.
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        homes: coordinator_client.CoordinatorClient,
        world: world_lib.World,
        metrics: metrics_lib.Metrics,
        log: log_lib.Log,
        random_source: random.Random,
    ) -> None:
        self._client = client
        self._homes = homes
        self._world = world
        self._metrics = metrics
        self._log = log
        self._random = random_source
        self._pending_by_endpoint: dict[str, _Pending] = {}
        self._idle = asyncio.Event()
        self._idle.set()
        self._count()

    @property
    def pending(self) -> int:
        """Orders that are not yet acknowledged."""
        return sum(
            len(pending.request_ids)
            for pending in self._pending_by_endpoint.values()
        )

    def order(self, endpoint_id: str, request_id: str) -> None:
        """Takes over an order.

        Args:
          endpoint_id: The engine.
          request_id: Text of the attempt id.
        """
        pending = self._pending_by_endpoint.get(endpoint_id)
        if pending is None:
            endpoint = self._world.snapshot.endpoints_by_id.get(endpoint_id)
            if endpoint is None:
                self._log.warning(
                    "cancel_without_endpoint",
                    endpoint=endpoint_id,
                    request=request_id,
                )
                return
            pending = _Pending(endpoint, collections.deque())
            self._pending_by_endpoint[endpoint_id] = pending
            pending.task = asyncio.create_task(self._serve(pending))
        pending.request_ids.append(request_id)
        self._idle.clear()
        self._count()

    async def settle(self, timeout_s: float) -> None:
        """Waits until all orders are acknowledged, then hands over the rest.

        Args:
          timeout_s: How long to wait.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            await self._hand_over()
        for pending in self._pending_by_endpoint.values():
            pending.task.cancel()

    async def _serve(self, pending: _Pending) -> None:
        back_off_s = _FIRST_BACK_OFF_S
        while pending.request_ids:
            request_id = pending.request_ids[0]
            if await self._client.cancel(pending.endpoint, request_id):
                pending.request_ids.popleft()
                self._count()
                self._log.event(
                    "cancelled",
                    request=request_id,
                    endpoint=pending.endpoint.id,
                )
                back_off_s = _FIRST_BACK_OFF_S
                continue
            self._metrics.events.inc({"event": "cancel_retried"})
            # Another order may be acknowledged where this one isn't.
            pending.request_ids.rotate(-1)
            await asyncio.sleep(back_off_s * self._random.uniform(0.5, 1.0))
            back_off_s = min(back_off_s * 2, _MAX_BACK_OFF_S)
        del self._pending_by_endpoint[pending.endpoint.id]
        if not self._pending_by_endpoint:
            self._idle.set()

    async def _hand_over(self) -> None:
        orders_by_vm: dict[str, list[cancel_queue.Cancellation]] = {}
        vms_by_id: dict[str, model.Vm] = {}
        for endpoint_id, pending in self._pending_by_endpoint.items():
            vm = self._world.coordinator_of(endpoint_id)
            if vm is None:
                continue
            vms_by_id[vm.id] = vm
            orders_by_vm.setdefault(vm.id, []).extend(
                cancel_queue.Cancellation(
                    endpoint_id=endpoint_id, request_id=request_id
                )
                for request_id in pending.request_ids
            )
        for vm_id, orders in orders_by_vm.items():
            await self._send(vms_by_id[vm_id], orders)

    async def _send(
        self, vm: model.Vm, orders: list[cancel_queue.Cancellation]
    ) -> None:
        body = dispatch_messages.CancelsRequest(cancels=tuple(orders))
        try:
            await self._homes.post(vm, peers.CANCELS_PATH, body, _HAND_OVER_S)
            taken = True
        except errors.CoordinatorError:
            taken = False
        # Orders that the home didn't take are found by its sweep, once this
        # incarnation is known to be gone.
        self._log.event(
            "cancels_handed_over", vm=vm.id, orders=len(orders), taken=taken
        )

    def _count(self) -> None:
        self._metrics.pending_cancels.set({}, self.pending)
