"""What an entry asks the homes of a pool's endpoints for."""

from collections.abc import Iterator

from cowsliprill.decisions import health
from cowsliprill.decisions import leases
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import queue

# Slots kept at each endpoint beyond those in use while nobody waits, so that
# a calm pool needs no message for a request.
_RESERVE = 1


class SlotAsks:
    """States an entry's standing with the endpoints of one pool.

    Args:
      pool: The pool.
      engine_health: What is known of the engines.
    """

    def __init__(self, pool: pools.Pool, engine_health: health.Health) -> None:
        self._pool = pool
        self._health = engine_health

    def state(
        self, now: float, sequence: int, *, only_urgent: bool
    ) -> Iterator[messages.SlotAsk]:
        """States this entry's standing with the pool's endpoints.

        A decode slot is asked for first, and a prefill slot beyond the
        reserve only once a decode slot is held. With one order for all, no
        two entries can each hold what the other lacks.

        Args:
          now: Time, seconds.
          sequence: Number of these statements.
          only_urgent: Leave out those that can wait for the next renewal.

        Yields:
          One ask per endpoint.
        """
        waiting = len(self._pool.queue)
        if only_urgent and not waiting and not self._has_unsettled():
            return
        held = yield from self._asks_of(
            self._pool.decodes, waiting, now, sequence, only_urgent
        )
        yield from self._asks_of(
            self._pool.prefills, min(waiting, held), now, sequence, only_urgent
        )

    def _has_unsettled(self) -> bool:
        """Returns whether any home waits for a word of this entry."""
        return any(
            holding.others_waiting or holding.stated_need
            for holding in self._pool.holdings_by_endpoint.values()
        )

    def _asks_of(
        self,
        endpoints: list[model.Endpoint],
        needed: int,
        now: float,
        sequence: int,
        only_urgent: bool,
    ) -> Iterator[messages.SlotAsk]:
        """Yields asks and returns how many idle slots are held."""
        holdings = [self._pool.holding(item.id) for item in endpoints]
        # Idle slots of an engine that is left alone serve no one.
        idle = sum(
            holding.idle(now)
            for endpoint, holding in zip(endpoints, holdings, strict=True)
            if self._health.usable(endpoint.id, now)
        )
        unmet = max(needed - idle, 0)
        spare = max(idle - needed, 0)
        first: queue.Waiting | None = None
        for endpoint, holding in zip(endpoints, holdings, strict=True):
            own_idle = holding.idle(now)
            scarce = holding.others_waiting > 0
            if self._health.usable(endpoint.id, now):
                given_up = min(own_idle, spare) if scarce else 0
                spare -= given_up
                need = own_idle - given_up + unmet if needed else 0
            else:
                given_up = own_idle if scarce else 0
                need = 0
            stale = need > holding.stated_need or (
                need == 0 and holding.stated_need > 0
            )
            if only_urgent and not given_up and not stale:
                continue
            if first is None and need:
                first = self._pool.queue.first(self._pool.over_share)
            yield self._ask(
                endpoint.id, holding, need, given_up, first, now, sequence
            )
        return idle

    def _ask(
        self,
        endpoint_id: str,
        holding: leases.Holding,
        need: int,
        given_up: int,
        first: queue.Waiting | None,
        now: float,
        sequence: int,
    ) -> messages.SlotAsk:
        held = holding.held(now) - given_up
        usable = self._health.usable(endpoint_id, now)
        reserve = _RESERVE if usable and not holding.others_waiting else 0
        holding.stated_need = need
        holding.state(sequence, held)
        first = first if need else None
        return messages.SlotAsk(
            endpoint_id=endpoint_id,
            in_use=holding.in_use,
            want=max(holding.in_use + max(need, reserve), held),
            priority=first.submit.priority if first else 0,
            deadline_in_s=first.urgency() - now if first else 0.0,
            customer_wants=self._wants(need),
            customer_in_use=tuple(holding.in_use_by_customer.items()),
            held=held,
            sequence=sequence,
        )

    def _wants(self, need: int) -> tuple[tuple[str, int], ...]:
        wants = []
        left = need
        for customer, count in self._pool.queue.wants():
            taken = min(count, left)
            if taken:
                wants.append((customer, taken))
            left -= taken
        return tuple(wants)
