"""Sends cancellations to engines and retries until they are acknowledged."""

import asyncio
from collections.abc import Iterable

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import cancel_queue
from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous
from cowsliprill.dispatch import context as context_lib
from cowsliprill.dispatch import messages

_MAX_SLEEP_S = 1.0
_CALL_TIMEOUT_S = 1.0
_SHUTDOWN_FLUSH_S = 1.0


class Canceller:
    """Owns the pending cancellations of this process.

    Args:
      context: Shared state and clients of the process.
    """

    def __init__(self, context: context_lib.DispatchContext) -> None:
        self._context = context
        self._queue = cancel_queue.CancelQueue()
        self._wakeup = asyncio.Event()
        self._calls: set[asyncio.Task] = set()

    @property
    def pending(self) -> int:
        """Number of cancellations that no engine has acknowledged yet."""
        return self._queue.pending

    def add(self, cancellations: Iterable[cancel_queue.Cancellation]) -> None:
        """Queues cancellations for sending.

        Args:
          cancellations: The cancellations. Those for unknown endpoints are
            dropped when the queue is next expired.
        """
        now = clock.now()
        for cancellation in cancellations:
            self._queue.add(cancellation, now)
        self._update_pending_gauge()
        self._wakeup.set()

    async def run(self) -> None:
        """Sends cancellations as they become due, until cancelled."""
        while True:
            self._wakeup.clear()
            self._send_due()
            await self._wait()

    async def hand_over(self) -> None:
        """Flushes the queue, then hands the rest to the next coordinators.

        Without the handover, a request that was cancelled just before the
        process stopped would hold engine memory until its output is complete:
        its owner is alive, so orphan detection doesn't cancel the request.
        """
        flush_deadline = clock.now() + _SHUTDOWN_FLUSH_S
        while self._queue.pending and clock.now() < flush_deadline:
            self._send_due()
            await asyncio.sleep(cancel_queue.MIN_RETRY_DELAY_S)
        for vm, cancellations in self._cancellations_by_next_coordinator():
            await self._send_to_vm(vm, cancellations)

    def _send_due(self) -> None:
        now = clock.now()
        known_ids = self._context.follower.snapshot.endpoints_by_id.keys()
        if known_ids and (dropped := self._queue.expire(known_ids, now)):
            self._context.log.warning("cancels_dropped", count=dropped)
            self._context.count("cancel_dropped", dropped)
        for cancellation in self._queue.due(now):
            endpoint = self._context.endpoint(cancellation.endpoint_id)
            if endpoint is None:
                continue
            call = asyncio.create_task(self._send(cancellation, endpoint))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _send(
        self, cancellation: cancel_queue.Cancellation, endpoint: model.Endpoint
    ) -> None:
        acknowledged = await self._context.engines.cancel(
            endpoint, cancellation.request_id, timeout_s=_CALL_TIMEOUT_S
        )
        now = clock.now()
        if acknowledged:
            self._queue.acknowledge(cancellation, now)
            self._context.count("cancel_acknowledged")
        else:
            self._queue.record_failure(cancellation, now)
            self._context.count("cancel_failed")
        self._update_pending_gauge()
        self._wakeup.set()

    async def _wait(self) -> None:
        next_at = self._queue.next_at()
        wait_s = _MAX_SLEEP_S if next_at is None else next_at - clock.now()
        try:
            async with asyncio.timeout(min(max(wait_s, 0.01), _MAX_SLEEP_S)):
                await self._wakeup.wait()
        except TimeoutError:
            pass

    def _cancellations_by_next_coordinator(
        self,
    ) -> list[tuple[model.Vm, list[cancel_queue.Cancellation]]]:
        own_id = self._context.environment.vm
        vms = [
            vm
            for vm in self._context.follower.fleet.vms_by_id.values()
            if vm.id != own_id
        ]
        cancellations_by_vm: dict[str, list[cancel_queue.Cancellation]] = {}
        vms_by_id = {vm.id: vm for vm in vms}
        for cancellation in self._queue.all():
            vm = rendezvous.coordinator_of(cancellation.endpoint_id, vms)
            if vm is not None:
                cancellations_by_vm.setdefault(vm.id, []).append(cancellation)
        return [
            (vms_by_id[vm_id], each)
            for vm_id, each in cancellations_by_vm.items()
        ]

    async def _send_to_vm(
        self, vm: model.Vm, cancellations: list[cancel_queue.Cancellation]
    ) -> None:
        body = codec.encode(
            messages.CancelsRequest(cancels=tuple(cancellations))
        )
        url = f"http://{vm.host}:{vm.dispatch_port}{peers.CANCELS_PATH}"
        try:
            response = await self._context.peers.call(
                "POST", url, body, headers=self._context.auth.headers(body)
            )
            answer = codec.decode(messages.CancelsResponse, response.body)
            accepted = answer.taken == len(cancellations)
        except (peer_client.PeerError, codec.CodecError):
            accepted = False
        event = "cancels_handed_over" if accepted else "cancels_lost"
        self._context.log.event(event, to=vm.id, count=len(cancellations))

    def _update_pending_gauge(self) -> None:
        self._context.metrics.pending_cancels.set({}, self._queue.pending)
