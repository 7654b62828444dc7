"""Cancel orders that are repeated until the engine acknowledges them.

Pure state machine, used by entry processes for their own requests and by homes
for orphans. A cancel order is idempotent, and engines accept it for ids they
have never seen, so that repeating one does no harm.
"""

import dataclasses
from collections.abc import Container

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 2.0
# While an engine doesn't answer, only this many of its orders are tried at a
# time: a dead engine must not turn the cancels of all its requests into load.
ORDERS_PER_TRY = 4
# An engine that is back after this long is swept by its home, which cancels
# requests of this age whoever owned them.
KEEP_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelOrder:
    """One request that an engine has to drop.

    Attributes:
      endpoint_id: The engine.
      request_id: Attempt id.
    """

    endpoint_id: str
    request_id: str


@dataclasses.dataclass(slots=True)
class _Order:
    since: float
    next_at: float
    tries: int = 0


@dataclasses.dataclass(slots=True)
class _Engine:
    orders_by_request: dict[str, _Order]
    failing: bool = False
    retry_s: float = FIRST_RETRY_S
    blocked_until: float = float("-inf")


class CancelBook:
    """The orders that no engine has acknowledged yet."""

    def __init__(self) -> None:
        self._engines_by_id: dict[str, _Engine] = {}

    def add(self, order: CancelOrder, now: float) -> None:
        """Takes an order; one that is already here stays as it is.

        Args:
          order: The order.
          now: Time, seconds.
        """
        engine = self._engines_by_id.setdefault(order.endpoint_id, _Engine({}))
        engine.orders_by_request.setdefault(
            order.request_id, _Order(since=now, next_at=now)
        )

    def due(self, now: float) -> list[CancelOrder]:
        """Returns the orders to send now.

        An order whose outcome is never reported is due again after
        `LONGEST_RETRY_S`, so that one that got lost on the way, or with the
        task that sent it, is repeated like a refused one.

        Args:
          now: Time, seconds.
        """
        found = []
        for endpoint_id, engine in self._engines_by_id.items():
            request_ids = self._due_at(engine, now)
            if request_ids and engine.failing:
                engine.retry_s = min(2 * engine.retry_s, LONGEST_RETRY_S)
                engine.blocked_until = now + engine.retry_s
            for request_id in request_ids:
                order = engine.orders_by_request[request_id]
                order.next_at = now + LONGEST_RETRY_S
                found.append(
                    CancelOrder(endpoint_id=endpoint_id, request_id=request_id)
                )
        return found

    def acknowledge(self, order: CancelOrder, now: float) -> None:
        """Notes that the engine holds nothing for an order any more.

        Args:
          order: The order.
          now: Time, seconds.
        """
        engine = self._engines_by_id.get(order.endpoint_id)
        if engine is None:
            return
        engine.orders_by_request.pop(order.request_id, None)
        if not engine.orders_by_request:
            del self._engines_by_id[order.endpoint_id]
        elif engine.failing:
            engine.failing = False
            engine.retry_s = FIRST_RETRY_S
            engine.blocked_until = now

    def fail(self, order: CancelOrder, now: float) -> None:
        """Notes that an order was refused or got no answer.

        Args:
          order: The order.
          now: Time, seconds.
        """
        engine = self._engines_by_id.get(order.endpoint_id)
        if engine is None or order.request_id not in engine.orders_by_request:
            return
        if not engine.failing:
            engine.failing = True
            engine.blocked_until = now + engine.retry_s
        state = engine.orders_by_request[order.request_id]
        state.next_at = now + min(
            FIRST_RETRY_S * 2**state.tries, LONGEST_RETRY_S
        )
        state.tries += 1

    def expire(self, known_endpoint_ids: Container[str], now: float) -> int:
        """Drops orders to endpoints that are no more, and very old ones.

        Args:
          known_endpoint_ids: Endpoints of the settings in force.
          now: Time, seconds.

        Returns:
          How many were dropped.
        """
        before = self.pending
        for endpoint_id, engine in list(self._engines_by_id.items()):
            engine.orders_by_request = {
                request_id: order
                for request_id, order in engine.orders_by_request.items()
                if endpoint_id in known_endpoint_ids
                and now - order.since < KEEP_S
            }
            if not engine.orders_by_request:
                del self._engines_by_id[endpoint_id]
        return before - self.pending

    def next_at(self) -> float | None:
        """Returns when `due` has orders again, None while there are none."""
        times = []
        for engine in self._engines_by_id.values():
            orders = engine.orders_by_request.values()
            earliest = min(order.next_at for order in orders)
            times.append(max(earliest, engine.blocked_until))
        return min(times, default=None)

    def all(self) -> list[CancelOrder]:
        """Returns every order, to hand them over when the process leaves."""
        return [
            CancelOrder(endpoint_id=endpoint_id, request_id=request_id)
            for endpoint_id, engine in self._engines_by_id.items()
            for request_id in engine.orders_by_request
        ]

    @property
    def pending(self) -> int:
        """Number of orders not yet acknowledged."""
        return sum(
            len(engine.orders_by_request)
            for engine in self._engines_by_id.values()
        )

    def _due_at(self, engine: _Engine, now: float) -> list[str]:
        if engine.failing and now < engine.blocked_until:
            return []
        request_ids = [
            request_id
            for request_id, order in engine.orders_by_request.items()
            if order.next_at <= now
        ]
        if not engine.failing:
            return request_ids
        # Those that have waited longest go first: orders which the engine
        # can't cope with must not keep back the rest.
        request_ids.sort(
            key=lambda request_id: engine.orders_by_request[request_id].next_at
        )
        return request_ids[:ORDERS_PER_TRY]
