"""Sends cancellations to engines until the engines acknowledge them.

A disconnected caller must not hold an engine's memory. Closing the connection
to the engine isn't enough: engines continue a request whose connection breaks,
so that its stream can be resumed. A cancellation that was lost without a retry
would occupy a slot forever; the symptoms are a `cowsliprill_pending_cancels`
that doesn't fall, or full decode engines while no request is queued.
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
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import errors
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0
_HANDOVER_TIMEOUT_S = 2.0


@dataclasses.dataclass(slots=True)
class _PendingCancellations:
    endpoint: model.Endpoint
    request_ids: collections.deque[str]
    task: asyncio.Task | None = None


class NoOpCanceller:
    """No-op canceller for engines that abort a request on disconnect.

    Attributes:
      pending: Number of unacknowledged cancellations, always 0.
    """

    pending = 0

    def enqueue(self, endpoint_id: str, request_id: str) -> None:
        """Does nothing."""

    async def drain(self, timeout_s: float) -> None:
        """Does nothing."""


class Canceller:
    """Sends cancellations to engines, with retries.

    One task per engine sends that engine's cancellations sequentially, so a
    dead engine costs one attempt per backoff interval, however many
    cancellations are pending.

    Args:
      client: Client of the engines.
      coordinators: Sends requests to coordinators.
      cluster_state: The current settings snapshot and VM list.
      metrics: The process's metrics.
      log: The process's log.
      random_source: Jitters the retry delays.
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        coordinators: coordinator_client.CoordinatorClient,
        cluster_state: cluster_state_lib.ClusterState,
        metrics: metrics_lib.Metrics,
        log: log_lib.Log,
        random_source: random.Random,
    ) -> None:
        self._client = client
        self._coordinators = coordinators
        self._cluster_state = cluster_state
        self._metrics = metrics
        self._log = log
        self._random = random_source
        self._queues_by_endpoint: dict[str, _PendingCancellations] = {}
        self._idle = asyncio.Event()
        self._idle.set()
        self._update_pending_metric()

    @property
    def pending(self) -> int:
        """Number of cancellations that are not yet acknowledged."""
        return sum(
            len(pending.request_ids)
            for pending in self._queues_by_endpoint.values()
        )

    def enqueue(self, endpoint_id: str, request_id: str) -> None:
        """Queues a cancellation.

        The cancellation is dropped if the engine isn't in the settings.

        Args:
          endpoint_id: ID of the engine.
          request_id: Attempt ID as the engine knows it.
        """
        pending = self._queues_by_endpoint.get(endpoint_id)
        if pending is None:
            endpoint = self._cluster_state.snapshot.endpoints_by_id.get(
                endpoint_id
            )
            if endpoint is None:
                self._log.warning(
                    "cancel_without_endpoint",
                    endpoint=endpoint_id,
                    request=request_id,
                )
                return
            pending = _PendingCancellations(endpoint, collections.deque())
            self._queues_by_endpoint[endpoint_id] = pending
            pending.task = asyncio.create_task(self._send_pending(pending))
        pending.request_ids.append(request_id)
        self._idle.clear()
        self._update_pending_metric()

    async def drain(self, timeout_s: float) -> None:
        """Waits for acknowledgements, then hands the rest to coordinators.

        Args:
          timeout_s: How long to wait before the handover, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            await self._hand_over()
        for pending in self._queues_by_endpoint.values():
            pending.task.cancel()

    async def _send_pending(self, pending: _PendingCancellations) -> None:
        backoff_s = _INITIAL_BACKOFF_S
        while pending.request_ids:
            request_id = pending.request_ids[0]
            if await self._client.cancel(pending.endpoint, request_id):
                pending.request_ids.popleft()
                self._update_pending_metric()
                self._log.event(
                    "cancelled",
                    request=request_id,
                    endpoint=pending.endpoint.id,
                )
                backoff_s = _INITIAL_BACKOFF_S
                continue
            self._metrics.events.inc({"event": "cancel_retried"})
            # The engine may acknowledge another cancellation though it failed
            # this one.
            pending.request_ids.rotate(-1)
            await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
        del self._queues_by_endpoint[pending.endpoint.id]
        if not self._queues_by_endpoint:
            self._idle.set()

    async def _hand_over(self) -> None:
        cancellations_by_vm: dict[str, list[cancel_queue.Cancellation]] = {}
        vms_by_id: dict[str, model.Vm] = {}
        for endpoint_id, pending in self._queues_by_endpoint.items():
            vm = self._cluster_state.coordinator_of(endpoint_id)
            if vm is None:
                continue
            vms_by_id[vm.id] = vm
            cancellations_by_vm.setdefault(vm.id, []).extend(
                cancel_queue.Cancellation(
                    endpoint_id=endpoint_id, request_id=request_id
                )
                for request_id in pending.request_ids
            )
        for vm_id, cancellations in cancellations_by_vm.items():
            await self._send_to_coordinator(vms_by_id[vm_id], cancellations)

    async def _send_to_coordinator(
        self, vm: model.Vm, cancellations: list[cancel_queue.Cancellation]
    ) -> None:
        body = dispatch_messages.CancelsRequest(cancels=tuple(cancellations))
        try:
            await self._coordinators.post(
                vm, peers.CANCELS_PATH, body, _HANDOVER_TIMEOUT_S
            )
            accepted = True
        except errors.CoordinatorError:
            accepted = False
        # If the coordinator didn't accept the cancellations, its orphan
        # detection finds these requests once this incarnation has ended.
        self._log.event(
            "cancels_handed_over",
            vm=vm.id,
            orders=len(cancellations),
            taken=accepted,
        )

    def _update_pending_metric(self) -> None:
        self._metrics.pending_cancels.set({}, self.pending)
