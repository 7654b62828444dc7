"""Gives the homed engines their orders and reads back what became of them."""

import asyncio
import dataclasses

from cowsliprill import clock
from cowsliprill.decisions import fencing
from cowsliprill.decisions import model
from cowsliprill.dispatch import world as world_lib
from cowsliprill.dispatch import zone as zone_lib
from cowsliprill.engines import errors as engine_errors

_TURN_S = 0.25


class Orderer:
    """Owns the order book of the engines homed here.

    Args:
      world: What the tasks share.
      zone: Asks the zone's other VMs.
    """

    def __init__(self, world: world_lib.World, zone: zone_lib.Zone) -> None:
        self._world = world
        self._zone = zone
        self._book = fencing.TargetReconciler(clock.now())
        self._holds_by_endpoint: dict[str, fencing.HoldReason] = {}

    def update(self) -> None:
        """Takes new settings, or other homes, from the world."""
        self._book.update_engines(
            self._world.follower.snapshot.revision,
            self._world.homed_endpoints(),
        )

    def status(self) -> dict[str, str]:
        """Returns why orders are held, by endpoint."""
        return dict(self._holds_by_endpoint)

    async def run(self) -> None:
        """Reads back and orders, until cancelled."""
        pulse = asyncio.create_task(self._keep_looking())
        try:
            while True:
                await self._turn()
                await asyncio.sleep(_TURN_S)
        finally:
            pulse.cancel()

    async def _keep_looking(self) -> None:
        # Of its own, since a turn waits for engines: a slow engine must not
        # look like a pause of this process.
        while True:
            if self._book.detect_pause(clock.now()):
                self._world.log.warning("woke_from_pause")
                self._world.count("woke_from_pause")
            await asyncio.sleep(_TURN_S)

    async def _turn(self) -> None:
        due_read_backs = self._book.due_read_backs(clock.now())
        await asyncio.gather(
            *(self._read_back(each) for each in due_read_backs)
        )
        needed_orders = self._book.needed_orders(clock.now())
        wanted_ids = {order.endpoint_id for order in needed_orders}
        self._holds_by_endpoint = {
            endpoint_id: hold_reason
            for endpoint_id, hold_reason in self._holds_by_endpoint.items()
            if endpoint_id in wanted_ids
        }
        for order in needed_orders:
            await self._send_if_allowed(order)

    async def _read_back(self, endpoint_id: str) -> None:
        endpoint = self._world.endpoint(endpoint_id)
        if endpoint is None:
            return
        asked_at = clock.now()
        try:
            answer = await self._world.engines.read_order(endpoint)
        except engine_errors.CallError as error:
            self._book.record_read_back(endpoint_id, None, asked_at)
            await self._world.note_failure(endpoint, error)
            return
        read = fencing.ReadBack(fencing=answer.fencing, target=answer.target)
        self._book.record_read_back(endpoint_id, read, asked_at)

    async def _send_if_allowed(self, order: fencing.Order) -> None:
        zone = await self._zone.ask_if_older()
        # Nothing may be awaited between this check and the call: whatever
        # happens meanwhile would not be checked.
        hold_reason = self._book.hold_reason(
            order,
            is_coordinator=self._world.is_coordinator(order.endpoint_id),
            zone=zone,
            now=clock.now(),
        )
        if hold_reason is not None:
            self._note_hold(order, hold_reason)
            return
        endpoint = self._world.endpoint(order.endpoint_id)
        if endpoint is not None:
            await self._send(order, endpoint)

    async def _send(
        self, order: fencing.Order, endpoint: model.Endpoint
    ) -> None:
        outcome = "taken"
        try:
            await self._world.engines.order(
                endpoint, order.fencing, order.target
            )
        except engine_errors.StaleFencing as error:
            self._book.record_fencing_token(order.endpoint_id, error.highest)
            outcome = "stale_fencing"
        except engine_errors.CallError as error:
            outcome = error.code
        self._book.record_sent(order, clock.now())
        self._world.count(f"order_{outcome}")
        self._world.log.event(
            "order_sent",
            endpoint=order.endpoint_id,
            fencing=order.fencing,
            outcome=outcome,
        )
        await self._world.follower.audit(
            {
                "action": "order_sent",
                "endpoint": order.endpoint_id,
                "fencing": order.fencing,
                "outcome": outcome,
                **dataclasses.asdict(order.target),
            }
        )

    def _note_hold(
        self, order: fencing.Order, hold_reason: fencing.HoldReason
    ) -> None:
        if self._holds_by_endpoint.get(order.endpoint_id) is hold_reason:
            return
        self._holds_by_endpoint[order.endpoint_id] = hold_reason
        self._world.count(f"order_held_{hold_reason}")
        self._world.log.event(
            "order_held",
            endpoint=order.endpoint_id,
            fencing=order.fencing,
            reason=hold_reason,
        )
