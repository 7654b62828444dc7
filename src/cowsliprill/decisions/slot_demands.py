"""Builds the slot demands that an entry process sends to coordinators."""

from collections.abc import Iterator

from cowsliprill.decisions import endpoint_lease
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import request_queue
from cowsliprill.decisions.engine_health import health

# Idle slots kept leased at each endpoint while no requests wait, so that a
# request to a pool with free capacity is placed without a slot demand.
_RESERVE_SLOTS = 1


class SlotDemands:
    """Builds slot demands for the slots of one pool's endpoints.

    Args:
      pool: The pool.
      engine_health: Health of the engines.
    """

    def __init__(
        self, pool: pools.Pool, engine_health: health.EngineHealth
    ) -> None:
        self._pool = pool
        self._health = engine_health
        self._last_choice_ids = pool.last_choice_ids(
            pool.prefills
        ) | pool.last_choice_ids(pool.decodes)

    def build(
        self, now: float, sequence: int, *, only_urgent: bool
    ) -> Iterator[messages.SlotDemand]:
        """Builds the slot demands for the pool's endpoints.

        Decode slots are requested first, and prefill slots beyond the reserve
        only for as many requests as idle decode slots are held. The same
        acquisition order in all entry processes prevents deadlocks, in which
        two processes each hold the slot that the other one needs.

        Args:
          now: Current time in seconds.
          sequence: Sequence number of these slot demands.
          only_urgent: Skip those that can wait for the next renewal.

        Yields:
          At most one slot demand per endpoint.
        """
        waiting = len(self._pool.queue)
        if only_urgent and not waiting and not self._may_need_update():
            return
        held = yield from self._build_for(
            self._pool.decodes, waiting, now, sequence, only_urgent
        )
        yield from self._build_for(
            self._pool.prefills, min(waiting, held), now, sequence, only_urgent
        )

    def _may_need_update(self) -> bool:
        """Returns whether a coordinator may need an update before renewal.

        That is so where other entry processes wait for slots, or where the last
        slot demand stated a need that no longer exists.
        """
        return any(
            lease.others_waiting or lease.demanded_slots
            for lease in self._pool.leases_by_endpoint.values()
        )

    def _build_for(
        self,
        endpoints: list[model.Endpoint],
        needed: int,
        now: float,
        sequence: int,
        only_urgent: bool,
    ) -> Iterator[messages.SlotDemand]:
        """Yields slot demands and returns how many idle slots are held."""
        endpoint_leases = [self._pool.lease(item.id) for item in endpoints]
        # Idle slots of an engine that isn't usable can't serve requests.
        idle = sum(
            lease.idle_slots(now)
            for endpoint, lease in zip(endpoints, endpoint_leases, strict=True)
            if self._is_usable(endpoint.id, now)
        )
        missing = max(needed - idle, 0)
        surplus = max(idle - needed, 0)
        first_waiting: request_queue.QueuedRequest | None = None
        for endpoint, lease in zip(endpoints, endpoint_leases, strict=True):
            endpoint_idle = lease.idle_slots(now)
            contended = lease.others_waiting > 0
            if self._is_usable(endpoint.id, now):
                released = min(endpoint_idle, surplus) if contended else 0
                surplus -= released
                need = endpoint_idle - released + missing if needed else 0
            else:
                released = endpoint_idle if contended else 0
                need = 0
            outdated = need > lease.demanded_slots or (
                need == 0 and lease.demanded_slots > 0
            )
            if only_urgent and not released and not outdated:
                continue
            if first_waiting is None and need:
                first_waiting = self._pool.queue.first(self._pool.over_share)
            yield self._build_one(
                endpoint.id,
                lease,
                need,
                released,
                first_waiting,
                now,
                sequence,
            )
        return idle

    def _build_one(
        self,
        endpoint_id: str,
        lease: endpoint_lease.EndpointLease,
        need: int,
        released: int,
        first_waiting: request_queue.QueuedRequest | None,
        now: float,
        sequence: int,
    ) -> messages.SlotDemand:
        held = lease.held_slots(now) - released
        usable = self._is_usable(endpoint_id, now)
        reserve = _RESERVE_SLOTS if usable and not lease.others_waiting else 0
        lease.demanded_slots = need
        lease.record_demand(sequence, held)
        first_waiting = first_waiting if need else None
        return messages.SlotDemand(
            endpoint_id=endpoint_id,
            in_use=lease.in_use,
            want=max(lease.in_use + max(need, reserve), held),
            priority=first_waiting.submit.priority if first_waiting else 0,
            deadline_in_s=first_waiting.adjusted_start_deadline() - now
            if first_waiting
            else 0.0,
            customer_wants=self._customer_wants(need),
            customer_in_use=tuple(lease.in_use_by_customer.items()),
            held=held,
            sequence=sequence,
        )

    def _is_usable(self, endpoint_id: str, now: float) -> bool:
        return endpoint_id in self._last_choice_ids or self._health.usable(
            endpoint_id, now
        )

    def _customer_wants(self, need: int) -> tuple[tuple[str, int], ...]:
        waiting_by_customer = []
        remaining = need
        for customer, count in self._pool.queue.waiting_by_customer():
            allotted = min(count, remaining)
            if allotted:
                waiting_by_customer.append((customer, allotted))
            remaining -= allotted
        return tuple(waiting_by_customer)
