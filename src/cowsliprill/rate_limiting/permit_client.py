"""Asks the coordinators of pools for permits to send requests."""

import dataclasses
import math
import random
from collections.abc import Iterable
from collections.abc import Sequence

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.decisions import admission
from cowsliprill.decisions import coordinator_choice
from cowsliprill.decisions import model
from cowsliprill.observability import log as log_lib
from cowsliprill.rate_limiting import ledger as ledger_lib
from cowsliprill.rate_limiting import permit_server as permit_server_lib
from cowsliprill.rate_limiting import wire

# Time for a call besides the wait that it allows.
_CALL_TIMEOUT_S = 0.15

# Calls for a request that can wait, until one is answered.
_MAX_CALLS = 2

# Time for which a pool's coordinator isn't asked again after a failed call for
# a request that has other endpoints.
_FAILURE_BACKOFF_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request that needs a permit.

    Attributes:
      pool: Pool of the endpoints.
      priority: Priority of the request; higher is more urgent.
      customer: Id of its customer.
      max_wait_s: Time for which it can wait, in seconds; 0 if other endpoints
        can serve it at once.
    """

    pool: str
    priority: int
    customer: str
    max_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """The request may be sent now.

    Attributes:
      endpoint_id: Endpoint to send it to.
    """

    endpoint_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The request must not be sent.

    Attributes:
      wait_s: Expected wait for a permit in seconds.
      retry_after_s: When its caller may come back, in seconds from now; 0 for
        a request that other endpoints can serve.
    """

    wait_s: float
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class _PoolState:
    choice: coordinator_choice.CoordinatorChoice
    retry_schedule: admission.RetryAfterSchedule
    quiet_until: float = -math.inf
    denied: wire.PermitAnswer = dataclasses.field(
        default_factory=wire.PermitAnswer
    )
    denied_endpoint_ids: frozenset[str] = frozenset()
    denied_priority: int = 0
    denied_max_wait_s: float = 0.0


class PermitClient:
    """Gets permits from the coordinator of each pool.

    Args:
      process_id: Id of this process, different after each restart.
      network: Access to the peers.
      ledger: Rate limits known to this process.
      local_server: Answers for the pools that this process coordinates.
      log: Log of the process.
      rng: Spreads the times at which callers may come back.
    """

    def __init__(
        self,
        process_id: str,
        network: record_exchange.Network,
        ledger: ledger_lib.RateLimitLedger,
        local_server: permit_server_lib.PermitServer,
        log: log_lib.Log,
        rng: random.Random,
    ) -> None:
        self._process_id = process_id
        self._network = network
        self._ledger = ledger
        self._local_server = local_server
        self._log = log
        self._random = rng
        self._pools_by_name: dict[str, _PoolState] = {}

    async def acquire(
        self, request: Request, endpoints: Sequence[model.Endpoint]
    ) -> Permit | Refusal:
        """Gets a permit to send a request to one of some limited endpoints.

        Args:
          request: The request.
          endpoints: Endpoints to any of which it may be sent.

        Returns:
          The permit, or a refusal at once if there is none in time.
        """
        state = self._state(request.pool)
        now = clock.now()
        endpoint_ids = frozenset(endpoint.id for endpoint in endpoints)
        if self._was_denied(state, request, endpoint_ids, now):
            return self._refusal(state, request, now)
        answer = await self._ask_until_answered(state, request, endpoints)
        if answer.endpoint_id:
            return Permit(endpoint_id=answer.endpoint_id)
        now = clock.now()
        self._record_denial(state, request, endpoint_ids, answer, now)
        return self._refusal(state, request, now)

    def retain(self, endpoints: Iterable[model.Endpoint]) -> None:
        """Drops the state of pools that none of the endpoints belongs to."""
        if not self._pools_by_name:
            return
        pools = {endpoint.pool for endpoint in endpoints}
        for pool in self._pools_by_name.keys() - pools:
            del self._pools_by_name[pool]

    def _state(self, pool: str) -> _PoolState:
        state = self._pools_by_name.get(pool)
        if state is None:
            state = _PoolState(
                coordinator_choice.CoordinatorChoice(pool),
                admission.RetryAfterSchedule(self._random),
            )
            self._pools_by_name[pool] = state
        return state

    @staticmethod
    def _was_denied(
        state: _PoolState,
        request: Request,
        endpoint_ids: frozenset[str],
        now: float,
    ) -> bool:
        """Returns whether the coordinator would deny the request as well."""
        return (
            now < state.quiet_until
            and endpoint_ids <= state.denied_endpoint_ids
            and request.priority <= state.denied_priority
            and request.max_wait_s <= state.denied_max_wait_s
        )

    @staticmethod
    def _record_denial(
        state: _PoolState,
        request: Request,
        endpoint_ids: frozenset[str],
        answer: wire.PermitAnswer,
        now: float,
    ) -> None:
        state.denied = answer
        state.denied_endpoint_ids = endpoint_ids
        state.denied_priority = request.priority
        state.denied_max_wait_s = request.max_wait_s
        state.quiet_until = now + answer.quiet_s

    @staticmethod
    def _refusal(state: _PoolState, request: Request, now: float) -> Refusal:
        wait_s = state.denied.wait_s
        if not request.max_wait_s:
            # It goes to another endpoint, so its caller doesn't come back.
            return Refusal(wait_s=wait_s, retry_after_s=0.0)
        return Refusal(
            wait_s=wait_s,
            retry_after_s=state.retry_schedule.retry_after_s(
                now, wait_s, state.denied.interval_s
            ),
        )

    async def _ask_until_answered(
        self,
        state: _PoolState,
        request: Request,
        endpoints: Sequence[model.Endpoint],
    ) -> wire.PermitAnswer:
        """Asks the coordinator, and again if the request can wait.

        A coordinator that doesn't answer counts as a denial.
        """
        deadline = clock.now() + request.max_wait_s
        for _ in range(_MAX_CALLS if request.max_wait_s else 1):
            remaining_s = max(deadline - clock.now(), 0.0)
            answer = await self._ask(state, request, endpoints, remaining_s)
            if answer is not None:
                return answer
        return wire.PermitAnswer(
            wait_s=_FAILURE_BACKOFF_S,
            quiet_s=0.0 if request.max_wait_s else _FAILURE_BACKOFF_S,
        )

    async def _ask(
        self,
        state: _PoolState,
        request: Request,
        endpoints: Sequence[model.Endpoint],
        max_wait_s: float,
    ) -> wire.PermitAnswer | None:
        """Asks the coordinator; returns None if it gives no valid answer."""
        state.choice.update(
            self._network.cluster_state.fleet.vms_by_id, clock.now()
        )
        coordinator = state.choice.home
        if coordinator is None:
            return None
        call = self._call(request, endpoints, max_wait_s)
        try:
            answer = await self._send(coordinator, call)
            if answer.needs_limits:
                call = self._with_limits(call, endpoints)
                answer = await self._send(coordinator, call)
        except errors.CowsliprillError as error:
            state.choice.record_failure(coordinator, clock.now())
            self._log.warning(
                "rate_permit_failed",
                pool=request.pool,
                vm=coordinator.id,
                reason=error.message,
            )
            return None
        state.choice.answered()
        return answer

    def _call(
        self,
        request: Request,
        endpoints: Sequence[model.Endpoint],
        max_wait_s: float,
    ) -> wire.PermitCall:
        return wire.PermitCall(
            requester=self._process_id,
            pool=request.pool,
            endpoint_ids=tuple(endpoint.id for endpoint in endpoints),
            priority=request.priority,
            customer=request.customer,
            max_wait_s=max_wait_s,
            digest=self._ledger.table.digest(),
        )

    def _with_limits(
        self, call: wire.PermitCall, endpoints: Sequence[model.Endpoint]
    ) -> wire.PermitCall:
        now = clock.now()
        limits = [self._ledger.table.get(endpoint) for endpoint in endpoints]
        return dataclasses.replace(
            call,
            limits=tuple(
                wire.to_wire(limit, now)
                for limit in limits
                if limit is not None
            ),
        )

    async def _send(
        self, coordinator: model.Vm, call: wire.PermitCall
    ) -> wire.PermitAnswer:
        # Of the processes of a VM, the one with the first port coordinates.
        port = next(iter(coordinator.entry_ports), 0)
        own = (self._network.vm_id, self._network.own_port())
        if (coordinator.id, port) == own:
            return await self._local_server.handle(call)
        text = await self._network.client.post(
            dataclasses.replace(coordinator, dispatch_port=port),
            peers.RATE_PERMITS_PATH,
            call,
            call.max_wait_s + _CALL_TIMEOUT_S,
        )
        return codec.decode(wire.PermitAnswer, text)
