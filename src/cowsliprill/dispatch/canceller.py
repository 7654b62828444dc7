"""Sends cancel orders until engines acknowledge them."""

import asyncio
from collections.abc import Iterable

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import cancel_queue
from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous
from cowsliprill.dispatch import messages
from cowsliprill.dispatch import world as world_lib

_IDLE_S = 1.0
_CALL_TIMEOUT_S = 1.0
_FLUSH_S = 1.0


class Canceller:
    """Owns the process' cancel orders.

    Args:
      world: What the tasks share.
    """

    def __init__(self, world: world_lib.World) -> None:
        self._world = world
        self._book = cancel_queue.CancelQueue()
        self._added = asyncio.Event()
        self._calls: set[asyncio.Task] = set()

    @property
    def pending(self) -> int:
        """Number of orders not yet acknowledged."""
        return self._book.pending

    def add(self, orders: Iterable[cancel_queue.Cancellation]) -> None:
        """Takes orders.

        Args:
          orders: The orders; those of unknown endpoints are dropped later.
        """
        now = clock.now()
        for order in orders:
            self._book.add(order, now)
        self._note_pending()
        self._added.set()

    async def run(self) -> None:
        """Sends what is due, until cancelled."""
        while True:
            self._added.clear()
            self._send_due()
            await self._wait()

    async def hand_over(self) -> None:
        """Gives engines a last moment, then the rest to their next home.

        Without this, a request that was cancelled just before the process
        ended would hold its engine's memory until its answer is complete,
        since its owner lives and no sweep takes it for an orphan.
        """
        end = clock.now() + _FLUSH_S
        while self._book.pending and clock.now() < end:
            self._send_due()
            await asyncio.sleep(cancel_queue.MIN_RETRY_DELAY_S)
        for vm, orders in self._orders_by_next_home():
            await self._give_to(vm, orders)

    def _send_due(self) -> None:
        now = clock.now()
        known = self._world.follower.snapshot.endpoints_by_id.keys()
        if known and (dropped := self._book.expire(known, now)):
            self._world.log.warning("cancels_dropped", count=dropped)
            self._world.count("cancel_dropped", dropped)
        for order in self._book.due(now):
            endpoint = self._world.endpoint(order.endpoint_id)
            if endpoint is None:
                continue
            call = asyncio.create_task(self._send(order, endpoint))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _send(
        self, order: cancel_queue.Cancellation, endpoint: model.Endpoint
    ) -> None:
        done = await self._world.engines.cancel(
            endpoint, order.request_id, timeout_s=_CALL_TIMEOUT_S
        )
        now = clock.now()
        if done:
            self._book.acknowledge(order, now)
            self._world.count("cancel_acknowledged")
        else:
            self._book.record_failure(order, now)
            self._world.count("cancel_failed")
        self._note_pending()
        self._added.set()

    async def _wait(self) -> None:
        next_at = self._book.next_at()
        left = _IDLE_S if next_at is None else next_at - clock.now()
        try:
            await asyncio.wait_for(
                self._added.wait(), min(max(left, 0.01), _IDLE_S)
            )
        except TimeoutError:
            pass

    def _orders_by_next_home(
        self,
    ) -> list[tuple[model.Vm, list[cancel_queue.Cancellation]]]:
        own_id = self._world.environment.vm
        vms = [
            vm
            for vm in self._world.follower.fleet.vms_by_id.values()
            if vm.id != own_id
        ]
        orders_by_vm: dict[str, list[cancel_queue.Cancellation]] = {}
        vms_by_id = {vm.id: vm for vm in vms}
        for order in self._book.all():
            vm = rendezvous.coordinator_of(order.endpoint_id, vms)
            if vm is not None:
                orders_by_vm.setdefault(vm.id, []).append(order)
        return [(vms_by_id[key], each) for key, each in orders_by_vm.items()]

    async def _give_to(
        self, vm: model.Vm, orders: list[cancel_queue.Cancellation]
    ) -> None:
        body = codec.encode(messages.CancelsRequest(cancels=tuple(orders)))
        url = f"http://{vm.host}:{vm.dispatch_port}{peers.CANCELS_PATH}"
        try:
            reply = await self._world.peers.call(
                "POST", url, body, headers=self._world.auth.headers(body)
            )
            answer = codec.decode(messages.CancelsAnswer, reply.body)
            taken = answer.taken == len(orders)
        except (peer_client.PeerError, codec.CodecError):
            taken = False
        event = "cancels_handed_over" if taken else "cancels_lost"
        self._world.log.event(event, to=vm.id, count=len(orders))

    def _note_pending(self) -> None:
        self._world.metrics.pending_cancels.set({}, self._book.pending)
