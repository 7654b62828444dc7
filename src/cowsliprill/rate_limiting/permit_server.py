"""Hands out the permits of the pools that this process coordinates."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill import record_exchange
from cowsliprill.decisions import endpoint_rates
from cowsliprill.decisions import permit_queue
from cowsliprill.decisions import quorum
from cowsliprill.decisions import rendezvous
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.rate_limiting import ledger as ledger_lib
from cowsliprill.rate_limiting import wire

_MIN_SLEEP_S = 0.001

# A process that hasn't asked for this long no longer counts as a requester.
_REQUESTER_TTL_S = 10.0

# All requesters of a pool that is short of permits together ask at this rate,
# or at so many times the rate of its permits, whichever is more.
_MIN_CALLS_PER_S = 30.0
_CALLS_PER_PERMIT = 4.0

# Rates may rise before an expected wait is over: a limit ends, or another VM
# becomes the coordinator.
_MAX_QUIET_S = 2.0

_IDLE_SLEEP_S = 3_600.0


@dataclasses.dataclass(slots=True)
class _PoolPermits:
    """Permits of one pool."""

    rates: endpoint_rates.EndpointRates
    queue: permit_queue.PermitQueue
    answers_by_number: dict[int, asyncio.Future[permit_queue.Decision]] = (
        dataclasses.field(default_factory=dict)
    )
    asked_at_by_requester: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


class PermitServer:
    """Answers requests for permits, of this process and of others.

    The coordinator of a pool is the first VM in its rendezvous ranking. Another
    VM that is asked acts for processes that can't reach the coordinator; it
    hands out only as large a fraction of each rate as they are of the fleet.

    Args:
      network: Access to the peers.
      ledger: Rate limits known to this process.
      reachable_fraction: Returns the fraction of the known VMs that this VM
        receives heartbeats from.
      log: Log of the process.
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        network: record_exchange.Network,
        ledger: ledger_lib.RateLimitLedger,
        reachable_fraction: Callable[[], float],
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._network = network
        self._ledger = ledger
        self._reachable_fraction = reachable_fraction
        self._log = log
        self._metrics = metrics
        self._numbers = itertools.count()
        self._ranking = rendezvous.VmRankingCache()
        self._permits_by_pool: dict[str, _PoolPermits] = {}
        self._wake = asyncio.Event()
        ledger.subscribe(lambda _: self.update())

    def update(self) -> None:
        """Applies new rate limits, settings or VMs."""
        now = clock.now()
        for pool, permits in list(self._permits_by_pool.items()):
            self._set_limits(permits, now)
            permits.rates.fraction = self._fraction(pool, permits, now)
            if not permits.rates.limits_any(now) and not len(permits.queue):
                del self._permits_by_pool[pool]
        self._wake.set()

    async def handle(self, call: wire.PermitCall) -> wire.PermitAnswer:
        """Decides on one request; waits until a permit is due or out of reach.

        Args:
          call: The request.

        Returns:
          The permit, or when there may be one.
        """
        now = clock.now()
        # A coordinator that has just started may not know a limit yet.
        if not call.limits and call.digest != self._ledger.table.digest():
            return wire.PermitAnswer(needs_limits=True)
        self._ledger.merge(wire.from_wire(limit, now) for limit in call.limits)
        permits = self._permits_of(call.pool, now)
        self._record_requester(call.pool, permits, call.requester, now)
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        permits.answers_by_number[number] = answer
        permits.queue.add(
            permit_queue.PermitRequest(
                number=number,
                endpoint_ids=call.endpoint_ids,
                priority=call.priority,
                customer=call.customer,
                expires_at=now + call.max_wait_s,
            )
        )
        self._decide(permits, now)
        self._wake.set()
        try:
            decision = await answer
        finally:
            permits.answers_by_number.pop(number, None)
            permits.queue.remove(number)
        return self._answer(permits, call, decision)

    def waiting(self, pool: str) -> int:
        """Returns the number of requests that wait for a permit of a pool."""
        permits = self._permits_by_pool.get(pool)
        return len(permits.queue) if permits else 0

    async def run(self) -> None:
        """Grants the permits that become due until cancelled."""
        while True:
            self._wake.clear()
            now = clock.now()
            for permits in self._permits_by_pool.values():
                self._decide(permits, now)
            wakeup = min(
                (
                    permits.queue.next_wakeup(now)
                    for permits in self._permits_by_pool.values()
                ),
                default=now + _IDLE_SLEEP_S,
            )
            sleep_s = min(max(wakeup - now, _MIN_SLEEP_S), _IDLE_SLEEP_S)
            try:
                async with asyncio.timeout(sleep_s):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _permits_of(self, pool: str, now: float) -> _PoolPermits:
        permits = self._permits_by_pool.get(pool)
        if permits is None:
            rates = endpoint_rates.EndpointRates()
            permits = _PoolPermits(rates, permit_queue.PermitQueue(rates))
            self._set_limits(permits, now)
            self._permits_by_pool[pool] = permits
            self._log.event(
                "rate_limits_coordinated",
                pool=pool,
                coordinator=self._is_coordinator(pool),
            )
        return permits

    def _set_limits(self, permits: _PoolPermits, now: float) -> None:
        endpoints_by_id = self._network.cluster_state.snapshot.endpoints_by_id
        # Other VMs may list an endpoint before this one does.
        limits = [
            limit
            for limit in self._ledger.table
            if limit.endpoint_id not in endpoints_by_id
            or limit.is_of(endpoints_by_id)
        ]
        permits.rates.set_limits(limits, now)

    def _record_requester(
        self, pool: str, permits: _PoolPermits, requester: str, now: float
    ) -> None:
        permits.asked_at_by_requester[requester] = now
        permits.rates.fraction = self._fraction(pool, permits, now)

    def _requesters(self, permits: _PoolPermits, now: float) -> int:
        if len(permits.asked_at_by_requester) > 1:
            permits.asked_at_by_requester = {
                requester: asked_at
                for requester, asked_at in permits.asked_at_by_requester.items()
                if now - asked_at < _REQUESTER_TTL_S
            }
        return max(len(permits.asked_at_by_requester), 1)

    def _fraction(self, pool: str, permits: _PoolPermits, now: float) -> float:
        if not self._is_coordinator(pool):
            processes = len(self._network.peers()) + 1
            return min(self._requesters(permits, now) / processes, 1.0)
        return quorum.usable_fraction(self._reachable_fraction())

    def _is_coordinator(self, pool: str) -> bool:
        vms_by_id = self._network.cluster_state.fleet.vms_by_id
        ranked = self._ranking.ranked_vms(pool, vms_by_id)
        return not ranked or ranked[0].id == self._network.vm_id

    def _decide(self, permits: _PoolPermits, now: float) -> None:
        for decision in permits.queue.decide(now):
            answer = permits.answers_by_number.get(decision.number)
            if answer is not None and not answer.done():
                answer.set_result(decision)

    def _answer(
        self,
        permits: _PoolPermits,
        call: wire.PermitCall,
        decision: permit_queue.Decision,
    ) -> wire.PermitAnswer:
        match decision:
            case permit_queue.Granted(endpoint_id=endpoint_id):
                self._metrics.rate_permits.inc({"endpoint": endpoint_id})
                return wire.PermitAnswer(endpoint_id=endpoint_id)
            case permit_queue.Denied(wait_s=wait_s, rate_per_s=rate_per_s):
                self._metrics.rate_permits_denied.inc({"pool": call.pool})
                requesters = self._requesters(permits, clock.now())
                calls_per_s = max(
                    rate_per_s * _CALLS_PER_PERMIT, _MIN_CALLS_PER_S
                )
                # The queue is too long for this request until it has shrunk to
                # what the request can wait for.
                excess_s = min(max(wait_s - call.max_wait_s, 0.0), _MAX_QUIET_S)
                return wire.PermitAnswer(
                    wait_s=min(wait_s, wire.MAX_WAIT_S),
                    interval_s=requesters / max(rate_per_s, 1e-3),
                    quiet_s=excess_s + requesters / calls_per_s,
                )
