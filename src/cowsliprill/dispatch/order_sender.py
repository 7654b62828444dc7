"""Sends target orders to the coordinated engines and reads back their state."""

import asyncio
import dataclasses

from cowsliprill import clock
from cowsliprill.decisions import fencing
from cowsliprill.decisions import model
from cowsliprill.dispatch import context as context_lib
from cowsliprill.dispatch import zone_monitor as zone_monitor_lib
from cowsliprill.engines import errors as engine_errors

_INTERVAL_S = 0.25


class OrderSender:
    """I/O layer of the target reconciler of the coordinated engines.

    Args:
      context: Shared state and clients of the process.
      zone_monitor: Queries the other entry VMs of the availability zone.
    """

    def __init__(
        self,
        context: context_lib.DispatchContext,
        zone_monitor: zone_monitor_lib.ZoneMonitor,
    ) -> None:
        self._context = context
        self._zone_monitor = zone_monitor
        self._reconciler = fencing.TargetReconciler(clock.now())
        self._hold_reason_by_endpoint: dict[str, fencing.HoldReason] = {}

    def update(self) -> None:
        """Applies new settings or a changed set of coordinated engines."""
        self._reconciler.update_engines(
            self._context.follower.snapshot.revision,
            self._context.coordinated_engines(),
        )

    def status(self) -> dict[str, str]:
        """Returns why orders are held back, by endpoint id."""
        return dict(self._hold_reason_by_endpoint)

    async def run(self) -> None:
        """Reads back engine state and sends orders, until cancelled."""
        pause_detector = asyncio.create_task(self._detect_pauses())
        try:
            while True:
                await self._reconcile()
                await asyncio.sleep(_INTERVAL_S)
        finally:
            pause_detector.cancel()

    async def _detect_pauses(self) -> None:
        # A separate task, since reconciling waits for engines: a slow engine
        # must not look like a pause of this process.
        while True:
            if self._reconciler.detect_pause(clock.now()):
                self._context.log.warning("woke_from_pause")
                self._context.count("woke_from_pause")
            await asyncio.sleep(_INTERVAL_S)

    async def _reconcile(self) -> None:
        due_ids = self._reconciler.due_read_backs(clock.now())
        await asyncio.gather(*(self._read_back(each) for each in due_ids))
        orders = self._reconciler.needed_orders(clock.now())
        ordered_ids = {order.endpoint_id for order in orders}
        self._hold_reason_by_endpoint = {
            endpoint_id: reason
            for endpoint_id, reason in self._hold_reason_by_endpoint.items()
            if endpoint_id in ordered_ids
        }
        for order in orders:
            await self._send_if_allowed(order)

    async def _read_back(self, endpoint_id: str) -> None:
        endpoint = self._context.endpoint(endpoint_id)
        if endpoint is None:
            return
        requested_at = clock.now()
        try:
            reported = await self._context.engines.read_order(endpoint)
        except engine_errors.CallError as error:
            self._reconciler.record_read_back(endpoint_id, None, requested_at)
            await self._context.report_if_draining(endpoint, error)
            return
        read_back = fencing.ReadBack(
            fencing=reported.fencing, target=reported.target
        )
        self._reconciler.record_read_back(endpoint_id, read_back, requested_at)

    async def _send_if_allowed(self, order: fencing.Order) -> None:
        zone_report = await self._zone_monitor.query_if_stale()
        # There must be no await between this check and the start of the call:
        # a change in between would go unchecked.
        hold_reason = self._reconciler.hold_reason(
            order,
            is_coordinator=self._context.is_coordinator_of(order.endpoint_id),
            zone=zone_report,
            now=clock.now(),
        )
        if hold_reason is not None:
            self._record_hold(order, hold_reason)
            return
        endpoint = self._context.endpoint(order.endpoint_id)
        if endpoint is not None:
            await self._send(order, endpoint)

    async def _send(
        self, order: fencing.Order, endpoint: model.Endpoint
    ) -> None:
        outcome = "taken"
        try:
            await self._context.engines.order(
                endpoint, order.fencing, order.target
            )
        except engine_errors.StaleFencingToken as error:
            self._reconciler.record_fencing_token(
                order.endpoint_id, error.highest
            )
            outcome = "stale_fencing"
        except engine_errors.CallError as error:
            outcome = error.code
        self._reconciler.record_sent(order, clock.now())
        self._context.count(f"order_{outcome}")
        self._context.log.event(
            "order_sent",
            endpoint=order.endpoint_id,
            fencing=order.fencing,
            outcome=outcome,
        )
        await self._context.follower.audit(
            {
                "action": "order_sent",
                "endpoint": order.endpoint_id,
                "fencing": order.fencing,
                "outcome": outcome,
                **dataclasses.asdict(order.target),
            }
        )

    def _record_hold(
        self, order: fencing.Order, hold_reason: fencing.HoldReason
    ) -> None:
        if self._hold_reason_by_endpoint.get(order.endpoint_id) is hold_reason:
            return
        self._hold_reason_by_endpoint[order.endpoint_id] = hold_reason
        self._context.count(f"order_held_{hold_reason}")
        self._context.log.event(
            "order_held",
            endpoint=order.endpoint_id,
            fencing=order.fencing,
            reason=hold_reason,
        )
