"""Reports the calls of this process to the coordinators of overloaded pools."""

import asyncio
import dataclasses
import math
import random

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.decisions import admission
from cowsliprill.decisions import coordinator_choice
from cowsliprill.decisions import model
from cowsliprill.decisions.overload import plain_limits
from cowsliprill.decisions.overload import plain_reports
from cowsliprill.observability import log as log_lib
from cowsliprill.plain_admission import server as server_lib
from cowsliprill.plain_admission import wire

_CALL_TIMEOUT_S = 0.25

# A process reports for this long after the last sign of overload. It sees only
# a few of the pool's rejections, so a shorter time would make reports come and
# go during one overload.
_REPORTING_S = 3.0

# Without reports the counts begin anew after this time.
_COUNT_RESET_S = 1.0

# Time for which a server that has rejected a call as full is avoided while
# others aren't known to be full. Servers drain a full queue in about this time.
_FULL_S = 0.25

_IDLE_SLEEP_S = 3_600.0


@dataclasses.dataclass(slots=True)
class _PoolState:
    choice: coordinator_choice.CoordinatorChoice
    counts: plain_reports.CallCounts
    thinning: plain_limits.Thinning
    schedule_by_customer: dict[str, admission.RetryAfterSchedule] = (
        dataclasses.field(default_factory=dict)
    )
    interval_s: float = plain_reports.MIN_INTERVAL_S
    report_at: float = math.inf
    overloaded_until: float = -math.inf


class AdmissionClient:
    """Counts calls, reports under overload and applies the verdicts.

    Args:
      process_id: Id of this process, different after each restart.
      network: Access to the peers.
      local_server: Answers for the pools that this process coordinates.
      log: Log of the process.
      rng: Spreads the times at which callers may come back.
    """

    def __init__(
        self,
        process_id: str,
        network: record_exchange.Network,
        local_server: server_lib.AdmissionServer,
        log: log_lib.Log,
        rng: random.Random,
    ) -> None:
        self._process_id = process_id
        self._network = network
        self._local_server = local_server
        self._log = log
        self._random = rng
        self._state_by_pool: dict[str, _PoolState] = {}
        self._full_until_by_server: dict[str, float] = {}
        self._wake = asyncio.Event()

    def arrived(self, pool: str, customer: str, priority: int) -> float | None:
        """Counts a call and decides on it.

        Args:
          pool: Pool of the call.
          customer: Id of its customer.
          priority: Its priority; higher is more urgent.

        Returns:
          None if the call is admitted, else the time in seconds after which
          its caller may come back.
        """
        now = clock.now()
        state = self._state(pool, now)
        state.counts.arrived(customer, priority)
        limit = state.thinning.refusing_limit(customer, priority, now)
        if limit is None:
            return None
        schedule = state.schedule_by_customer.setdefault(
            customer, admission.RetryAfterSchedule(self._random)
        )
        interval_s = 1 / max(limit.calls_per_s, 1e-3)
        return schedule.retry_after_s(now, 0.0, interval_s)

    def rejected(self, pool: str, server: str) -> None:
        """Counts an attempt that a server rejected as it was full."""
        now = clock.now()
        state = self._state(pool, now)
        state.counts.rejected(server)
        self._full_until_by_server[server] = now + _FULL_S
        self._extend_reporting(state, now)

    def completed(self, pool: str, *, late: bool) -> None:
        """Counts a call that a server completed."""
        now = clock.now()
        state = self._state(pool, now)
        state.counts.completed(late=late)
        if late:
            self._extend_reporting(state, now)

    def unanswered(self, pool: str) -> None:
        """Counts a call that got no response in time."""
        now = clock.now()
        state = self._state(pool, now)
        state.counts.unanswered()
        self._extend_reporting(state, now)

    def is_limiting(self, pool: str) -> bool:
        """Returns whether a verdict limits some customers of a pool."""
        state = self._state_by_pool.get(pool)
        return state is not None and state.thinning.is_limiting(clock.now())

    def is_full(self, server: str) -> bool:
        """Returns whether a server has just rejected a call as full."""
        return self._full_until_by_server.get(server, -math.inf) > clock.now()

    def update(self) -> None:
        """Drops the state of pools and servers that are gone."""
        endpoints_by_id = self._network.cluster_state.snapshot.endpoints_by_id
        pools = {endpoint.pool for endpoint in endpoints_by_id.values()}
        for pool in self._state_by_pool.keys() - pools:
            del self._state_by_pool[pool]
        for server in self._full_until_by_server.keys() - endpoints_by_id:
            del self._full_until_by_server[server]

    async def run(self) -> None:
        """Sends the reports that are due until cancelled."""
        while True:
            self._wake.clear()
            now = clock.now()
            due = [
                (pool, state)
                for pool, state in self._state_by_pool.items()
                if state.report_at <= now
            ]
            await asyncio.gather(*(self._report(*item) for item in due))
            next_at = min(
                (state.report_at for state in self._state_by_pool.values()),
                default=math.inf,
            )
            sleep_s = min(max(next_at - clock.now(), 0.0), _IDLE_SLEEP_S)
            try:
                async with asyncio.timeout(sleep_s):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _state(self, pool: str, now: float) -> _PoolState:
        state = self._state_by_pool.get(pool)
        if state is None:
            state = _PoolState(
                coordinator_choice.CoordinatorChoice(pool),
                plain_reports.CallCounts(now),
                plain_limits.Thinning(self._random.random()),
            )
            self._state_by_pool[pool] = state
        is_reporting = math.isfinite(state.report_at)
        if not is_reporting and now - state.counts.since > _COUNT_RESET_S:
            state.counts = plain_reports.CallCounts(now)
        return state

    def _extend_reporting(self, state: _PoolState, now: float) -> None:
        state.overloaded_until = now + _REPORTING_S
        if not math.isfinite(state.report_at):
            state.report_at = now + plain_reports.FIRST_REPORT_S
            self._wake.set()

    async def _report(self, pool: str, state: _PoolState) -> None:
        report = state.counts.report(clock.now())
        message = wire.report_to_wire(self._process_id, pool, report)
        verdict = await self._ask(state.choice, message)
        now = clock.now()
        if verdict is not None:
            state.thinning.apply(verdict, now)
            state.interval_s = verdict.interval_s
        goes_on = now < state.overloaded_until or state.thinning.is_limiting(
            now
        )
        state.report_at = now + state.interval_s if goes_on else math.inf
        if not goes_on:
            state.schedule_by_customer = {}

    async def _ask(
        self,
        choice: coordinator_choice.CoordinatorChoice,
        message: wire.CallReport,
    ) -> plain_limits.Verdict | None:
        """Reports to the coordinator; returns None without a valid answer."""
        choice.update(self._network.cluster_state.fleet.vms_by_id, clock.now())
        coordinator = choice.home
        if coordinator is None:
            return None
        try:
            verdict = await self._send(coordinator, message)
        except errors.CowsliprillError as error:
            choice.record_failure(coordinator, clock.now())
            self._log.warning(
                "plain_report_failed",
                pool=message.pool,
                vm=coordinator.id,
                reason=error.message,
            )
            return None
        choice.answered()
        return wire.verdict_from_wire(verdict)

    async def _send(
        self, coordinator: model.Vm, message: wire.CallReport
    ) -> wire.CallVerdict:
        # Of the processes of a VM, the one with the first port coordinates.
        port = next(iter(coordinator.entry_ports), 0)
        own = (self._network.vm_id, self._network.own_port())
        if (coordinator.id, port) == own:
            return self._local_server.handle(message)
        text = await self._network.client.post(
            dataclasses.replace(coordinator, dispatch_port=port),
            peers.PLAIN_REPORTS_PATH,
            message,
            _CALL_TIMEOUT_S,
        )
        return codec.decode(wire.CallVerdict, text)
