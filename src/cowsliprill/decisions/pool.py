"""State of one engine pool at a scheduler: leases, queue and averages."""

import copy
import dataclasses
import math
import random
import statistics
from collections.abc import Mapping
from typing import Self

from cowsliprill.decisions import admission
from cowsliprill.decisions import demand
from cowsliprill.decisions import endpoint_lease
from cowsliprill.decisions import endpoint_rates
from cowsliprill.decisions import estimates
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import request_queue
from cowsliprill.decisions import request_value
from cowsliprill.decisions import workload
from cowsliprill.decisions.engine_health import health
from cowsliprill.decisions.engine_health import needed_engines
from cowsliprill.decisions.engine_speeds import changes
from cowsliprill.decisions.engine_speeds import estimator
from cowsliprill.decisions.overload import first_token_delays
from cowsliprill.decisions.overload import ranked_queue
from cowsliprill.decisions.overload import ranking

_EMA_WEIGHT = 0.05
_INITIAL_HOLD_S = 5.0

# Prompt length from which the transfer time per token is derived. It is large,
# so that the fixed part of a transfer's duration doesn't matter.
_TRANSFER_SAMPLE_TOKENS = 100_000

# Upper bound of a prefill engine's slowdown, the ratio of actual to expected
# prefill times. Engines beyond it are chosen last anyway.
_SLOWDOWN_MAX = 10.0
_SLOWDOWN_EMA_WEIGHT = 0.15
_INITIAL_PREFILL_S = 0.2

# Fraction of the expected output length for which memory is reserved. Outputs
# grow while others on the same engine end, so not all are at full length at
# once. With a lower fraction, engines preempt requests and prefill them again;
# with a higher one, memory stays empty while requests are refused.
_RESERVED_OUTPUT_FRACTION = 0.7

# Assumed time between a request's failure and its caller's next attempt, on top
# of the time that the failed attempt took.
_RETRY_DELAY_S = 2.0

# One process sees only some of each customer's requests, so small differences
# mean nothing. Only customers beyond their share by this factor and number of
# requests are put behind others.
_SHARE_TOLERANCE_FACTOR = 1.5
_SHARE_TOLERANCE_REQUESTS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnloadedLatency:
    """Expected latency of a request on idle engines, in seconds.

    Attributes:
      prefill_s: Duration of its prefill, given the engines' prefix caches.
      transfer_s: Duration of the transfer of its KV cache.
      token_interval_s: Time per output token.
      export_ttl_s: How long an engine keeps the KV cache of a finished prefill
        for its transfer.
    """

    prefill_s: float
    transfer_s: float
    token_interval_s: float
    export_ttl_s: float

    def min_ttft_s(self) -> float:
        """Returns the expected time to first token, in seconds."""
        return self.prefill_s + self.transfer_s + self.token_interval_s


# Attributes of a pool that change in place when a request arrives or waits.
_TRIAL_STATE = (
    "queue",
    "constrained",
    "_waiting",
    "demand",
    "_workload",
    "prompt_load",
    "request_values",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Load of a pool.

    Attributes:
      promised: Decode slots reserved for running requests.
      running: Requests with reserved slots at decode engines.
      prefilling: Requests in the prefill stage.
      slots: Total number of decode slots.
      waiting: Queued requests.
      prompt_tokens_per_s: Speed of the fastest prefill engine, 0 if unknown.
      seconds_per_token: Mean time per output token of decode engines.
      prompt_part: Fraction of the engine time spent on prefills, 0 if unknown.
      ejected: Ids of the engines that get no requests because others failed
        there, separated by commas.
      lossy: Engines whose failure rate is that of an ejected one, as
        `EngineHealth.describe_lossy` writes them.
      slowest_engine: Least speed of an engine in its role relative to the
        pool's estimate; 1.0 where all are equal.
      fastest_engine: Largest relative speed of an engine.
    """

    promised: int
    running: int
    prefilling: int
    slots: int
    waiting: int
    prompt_tokens_per_s: float
    seconds_per_token: float
    prompt_part: float
    ejected: str = ""
    lossy: str = ""
    slowest_engine: float = 1.0
    fastest_engine: float = 1.0


class Pool:
    """Engines, queue, slot leases and moving averages of one pool.

    Args:
      rng: Random number generator for retry-after times.
      engine_health: Health of the engines as seen by this process.
      overload_control: Whether the overload ranking orders the requests.
    """

    def __init__(
        self,
        rng: random.Random,
        engine_health: health.EngineHealth,
        *,
        overload_control: bool = False,
    ) -> None:
        self._health = engine_health
        self.overload_control = overload_control
        self._running = ranking.SlotUse()
        self._waiting = ranking.SlotUse()
        # It is kept while its inputs are the same, as it is asked for several
        # times after each event.
        self._ranking: ranking.Ranking | None = None
        self._ranked_state: tuple | None = None
        self.queue = self._new_queue()
        # Streams that only engines of one software version may continue, and
        # requests that start one after the other. In the other queue they would
        # block the requests that any engine can serve now.
        self.constrained = self._new_queue()
        self.demand = demand.DemandWindow()
        self.prefills: list[model.Endpoint] = []
        self.decodes: list[model.Endpoint] = []
        self.endpoints_by_id: dict[str, model.Endpoint] = {}
        self.leases_by_endpoint: dict[str, endpoint_lease.EndpointLease] = {}
        # Also of engines that aren't listed but have a lease.
        self._lives_by_endpoint: dict[str, str] = {}
        self._former_leases: dict[
            tuple[str, str], endpoint_lease.EndpointLease
        ] = {}
        self.rates = endpoint_rates.EndpointRates()
        self.in_use_by_customer: dict[str, int] = {}
        self.shares_by_customer: Mapping[str, float] = {}
        self.block_tokens = 0
        self.mean_slots_per_request = 1.0
        self.mean_prompt_tokens = 0.0
        self._speeds = estimator.SpeedEstimator()
        self._speed_changes = changes.SpeedChanges()
        self._configured_prefills: list[model.Endpoint] = []
        self._configured_decodes: list[model.Endpoint] = []
        self._mean_prefill_speed = 0.0
        self._workload = workload.Workload()
        self.prompt_load = needed_engines.PromptLoad()
        self.output_lengths = estimates.OutputLengths()
        self.request_values = request_value.RequestValues()
        self.mean_hold_s = _INITIAL_HOLD_S
        self._has_hold_samples = False
        self.prefill_s = _INITIAL_PREFILL_S
        self.first_token_delays = first_token_delays.FirstTokenDelays(
            by_priority=overload_control
        )
        self.prefill_shortage_since = math.inf
        self.slowdown_by_prefill: dict[str, float] = {}
        self._token_interval_s = 0.0
        self._transfer_s_per_token = 0.0
        self._export_ttl_s = 1.0
        self.retry_schedule = admission.RetryAfterSchedule(rng)

    def trial_copy(self) -> Self:
        """Returns a copy on which a request can be tried.

        To record, queue and demote a new request there leaves this pool as it
        is. Engines' leases and rates are shared: no request may start there.
        """
        trial = copy.copy(self)
        # The queues share `_waiting`, so they are copied together.
        state = {name: getattr(self, name) for name in _TRIAL_STATE}
        for name, value in copy.deepcopy(state).items():
            setattr(trial, name, value)
        trial._ranking = None  # It refers to this pool's `_waiting`.
        return trial

    def set_engines(
        self, prefills: list[model.Endpoint], decodes: list[model.Endpoint]
    ) -> None:
        """Sets the engines to use.

        Leases of removed engines are kept while requests run there.

        Args:
          prefills: Prefill engines.
          decodes: Decode engines.
        """
        self._configured_prefills, self._configured_decodes = prefills, decodes
        self._speeds.set_engines(prefills + decodes)
        for endpoint in prefills + decodes:
            previous = self.endpoints_by_id.get(endpoint.id)
            if previous is not None and _incarnation(previous) != _incarnation(
                endpoint
            ):
                # Health data from before an engine's restart or change of role
                # doesn't apply any more. Without the reset, an engine that
                # rejected a prompt during its role change could stay ejected
                # for good.
                self._health.reset(endpoint.id)
                self.slowdown_by_prefill.pop(endpoint.id, None)
            life = self._lives_by_endpoint.get(endpoint.id, endpoint.life)
            if life != endpoint.life:
                # It may have been unlisted while it drained.
                self._health.reset(endpoint.id)
                self._end_lease(endpoint.id, life)
                self._resume_lease(endpoint)
            self._lives_by_endpoint[endpoint.id] = endpoint.life
        self._apply_speeds()
        self.block_tokens = max(
            (item.block_tokens for item in decodes), default=self.block_tokens
        )
        self._transfer_s_per_token = min(
            (
                estimates.transfer_s(prefill, decode, _TRANSFER_SAMPLE_TOKENS)
                / _TRANSFER_SAMPLE_TOKENS
                for prefill in prefills
                for decode in decodes
            ),
            default=0.0,
        )
        self._export_ttl_s = min(
            (item.export_ttl_s for item in prefills), default=1.0
        )
        current_ids = {endpoint.id for endpoint in prefills + decodes}
        for endpoint_id in current_ids:
            self.lease(endpoint_id)
        for endpoint_id, lease in list(self.leases_by_endpoint.items()):
            if endpoint_id not in current_ids and not lease.in_use:
                del self.leases_by_endpoint[endpoint_id]
                self._lives_by_endpoint.pop(endpoint_id, None)

    def _end_lease(self, endpoint_id: str, life: str) -> None:
        """Ends the lease of an engine that has restarted under its id.

        Requests that ran there release their slots once they are lost. Until
        then they must not count against the restarted engine, which knows
        nothing of them nor of the prompts cached before.
        """
        lease = self.leases_by_endpoint.pop(endpoint_id, None)
        self._former_leases = {
            incarnation: item
            for incarnation, item in self._former_leases.items()
            if item.running
        }
        if lease is not None and lease.running:
            self._former_leases[endpoint_id, life] = lease

    def _resume_lease(self, endpoint: model.Endpoint) -> None:
        """Takes back the lease of an incarnation that is listed once more.

        An outdated entry may be read between two newer ones. Requests release
        their slots at the lease at which they acquired them.
        """
        lease = self._former_leases.pop(endpoint.incarnation, None)
        if lease is not None:
            self.leases_by_endpoint[endpoint.id] = lease

    def is_former(self, endpoint: model.Endpoint) -> bool:
        """Returns whether an engine has restarted under its id since."""
        life = self._lives_by_endpoint.get(endpoint.id, endpoint.life)
        return life != endpoint.life

    def _apply_speeds(self) -> None:
        """Sets the estimated speeds of all engines."""
        self.prefills = [
            self._speeds.apply_to(item) for item in self._configured_prefills
        ]
        self.decodes = [
            self._speeds.apply_to(item) for item in self._configured_decodes
        ]
        self.slowdown_by_prefill = {
            item.id: self._remaining_slowdown(item)
            for item in self.prefills
            if item.id in self.slowdown_by_prefill
        }
        self.endpoints_by_id = {
            item.id: item for item in self.prefills + self.decodes
        }
        self._token_interval_s = estimates.seconds_per_token(self.decodes)
        self._mean_prefill_speed = estimates.mean_prefill_speed(
            self.prefills or self.decodes
        )

    def _remaining_slowdown(self, endpoint: model.Endpoint) -> float:
        """Returns the slowdown that an engine's estimated speed leaves.

        The recorded slowdown is relative to the speed estimated before. The
        part that a new estimate explains must not count twice.
        """
        slowdown = self.slowdown_by_prefill[endpoint.id]
        previous = self.endpoints_by_id.get(endpoint.id)
        if previous is None or previous.prefill_tokens_per_s <= 0:
            return slowdown
        speed_ratio = (
            endpoint.prefill_tokens_per_s / previous.prefill_tokens_per_s
        )
        return min(max(slowdown * speed_ratio, 1.0), _SLOWDOWN_MAX)

    def lease(self, endpoint_id: str) -> endpoint_lease.EndpointLease:
        """Returns the slots leased at an endpoint, a new lease if unknown."""
        lease = self.leases_by_endpoint.get(endpoint_id)
        if lease is None:
            lease = endpoint_lease.EndpointLease()
            self.leases_by_endpoint[endpoint_id] = lease
        return lease

    def slots_for(self, submit: messages.Submit) -> int:
        """Returns the number of decode slots that a request takes.

        This is one if a slot is a request. If slots are KV cache blocks, it is
        the number of blocks reserved for its prompt and its expected output.
        """
        if not self.block_tokens:
            return 1
        reserved_output_tokens = (
            self.output_lengths.expected_tokens(submit)
            * _RESERVED_OUTPUT_FRACTION
        )
        tokens = submit.prompt_tokens + reserved_output_tokens
        return math.ceil(tokens / self.block_tokens)

    def record_slots(self, slots: int) -> None:
        """Records the number of decode slots of a new request."""
        if self.mean_slots_per_request == 1.0:
            self.mean_slots_per_request = float(slots)
        self.mean_slots_per_request += (
            slots - self.mean_slots_per_request
        ) * _EMA_WEIGHT

    def record_prompt_tokens(self, tokens: int) -> None:
        """Records the prompt length of a new request."""
        if not self.mean_prompt_tokens:
            self.mean_prompt_tokens = float(tokens)
        change = tokens - self.mean_prompt_tokens
        self.mean_prompt_tokens += change * _EMA_WEIGHT

    def record_hold(self, seconds: float) -> None:
        """Records how long a finished request held its decode slots."""
        self._has_hold_samples = True
        self.mean_hold_s += (seconds - self.mean_hold_s) * _EMA_WEIGHT

    def record_prefill_speed(
        self,
        endpoint: model.Endpoint,
        tokens: int,
        seconds: float,
        now: float,
    ) -> None:
        """Records a prefill that ran without concurrent prefills.

        Args:
          endpoint: The prefill engine.
          tokens: Prompt tokens that were not cached.
          seconds: Duration of the prefill.
          now: Current time in seconds.
        """
        if self._speeds.add_prefill(endpoint, tokens, seconds, now):
            self._apply_speeds()

    def record_decode_speed(
        self,
        endpoint: model.Endpoint,
        tokens: int,
        seconds: float,
        now: float,
    ) -> None:
        """Records the decode speed of a stream.

        Args:
          endpoint: The decode engine.
          tokens: Output tokens after the first one.
          seconds: Time since the first token.
          now: Current time in seconds.
        """
        if self._speeds.add_decode(endpoint, tokens, seconds, now):
            self._apply_speeds()

    def usual_seconds_per_token(self, endpoint: model.Endpoint) -> float:
        """Returns the decode time per token that isn't slow for an engine."""
        return self._speeds.usual_seconds_per_token(endpoint)

    def next_speed_change(self, now: float) -> changes.SpeedChange | None:
        """Returns a clear change of an engine's speed to log, if any.

        Args:
          now: Current time in seconds.
        """
        return self._speed_changes.next_change(
            [
                (item, self._speeds.relative_speed(item))
                for item in self.endpoints_by_id.values()
            ],
            now,
        )

    def record_work(
        self,
        submit: messages.Submit,
        slots: int,
        min_ttft_s: float,
        now: float,
    ) -> None:
        """Records the engine time that a new request needs.

        Nothing is recorded until the speeds of the engines are known.

        Args:
          submit: Request.
          slots: Decode slots that it takes.
          min_ttft_s: Expected time to its first token, during which its slots
            are already reserved.
          now: Current time in seconds.
        """
        if not (
            self.prefills
            and self.decodes
            and self._mean_prefill_speed > 0
            and self._speeds.has_estimates()
        ):
            return
        decode = self.decodes[0]
        occupancy = max(
            slots / decode.slots, 1 / (decode.places or decode.slots)
        )
        output_tokens = self.output_lengths.expected_tokens(submit)
        self._workload.add(
            prefill_s=submit.prompt_tokens / self._mean_prefill_speed,
            decode_s=(min_ttft_s + output_tokens * self._token_interval_s)
            * occupancy,
            now=now,
        )

    def prompt_part(self) -> float | None:
        """Returns the fraction of engine time spent on prefills, if known."""
        return self._workload.prompt_part()

    def record_prefill_estimate(
        self, endpoint: model.Endpoint, seconds: float
    ) -> None:
        """Records the expected duration of a prefill that starts.

        Args:
          endpoint: Its engine. The mean is kept for an engine of mean speed.
          seconds: Expected duration there.
        """
        seconds *= self._prefill_capacity(endpoint)
        self.prefill_s += (seconds - self.prefill_s) * _EMA_WEIGHT

    def _prefill_capacity(self, endpoint: model.Endpoint) -> float:
        """Returns an engine's prefill speed relative to the engines' mean."""
        if endpoint.prefill_tokens_per_s <= 0 or self._mean_prefill_speed <= 0:
            return 1.0
        return endpoint.prefill_tokens_per_s / self._mean_prefill_speed

    def record_prefill_slowdown(self, endpoint_id: str, ratio: float) -> None:
        """Records the ratio of a prefill's actual to its expected duration."""
        slowdown = self.slowdown_by_prefill.get(endpoint_id, 1.0)
        slowdown += (
            min(ratio, _SLOWDOWN_MAX) - slowdown
        ) * _SLOWDOWN_EMA_WEIGHT
        self.slowdown_by_prefill[endpoint_id] = max(slowdown, 1.0)

    def prefill_wait_s(
        self,
        endpoint: model.Endpoint,
        submit: messages.Submit,
        *,
        ignore_slowdown: bool = False,
    ) -> float:
        """Returns the expected time until a prefill is done, in seconds.

        Args:
          endpoint: Prefill engine.
          submit: Request.
          ignore_slowdown: Whether to ignore the slowdown recorded for the
            engine.
        """
        lease = self.lease(endpoint.id)
        cached = lease.cached.cached_tokens(submit.prefix_hashes)
        processing_s = estimates.prefill_s(endpoint, submit, cached)
        prefill_s = self.prefill_s / self._prefill_capacity(endpoint)
        seconds = processing_s + lease.used * prefill_s
        slowdown = self.slowdown_by_prefill.get(endpoint.id, 1.0)
        return seconds if ignore_slowdown else seconds * slowdown

    def _new_queue(self) -> request_queue.RequestQueue:
        if self.overload_control:
            return ranked_queue.RankedQueue(self._waiting)
        return request_queue.RequestQueue()

    def acquire(self, customer: str, priority: int, slots: int) -> None:
        """Counts a started request, for fair sharing."""
        self.in_use_by_customer[customer] = (
            self.in_use_by_customer.get(customer, 0) + 1
        )
        self._running.add(customer, priority, slots)

    def release(self, customer: str, priority: int, slots: int) -> None:
        """Counts a request that has ended or failed, for fair sharing."""
        remaining = self.in_use_by_customer[customer] - 1
        if remaining:
            self.in_use_by_customer[customer] = remaining
        else:
            del self.in_use_by_customer[customer]
        self._running.remove(customer, priority, slots)

    def ranking(self) -> ranking.Ranking:
        """Returns the ranking of the waiting requests, valid for this moment.

        The capacity to share is what runs, and one more request. The engines'
        slots would be too much where prefills limit the pool before decode
        slots do: no customer would be beyond its share then.
        """
        state = (
            self._running.changes,
            self._waiting.changes,
            self.mean_slots_per_request,
            # Comparing the contents would read all customers.
            id(self.shares_by_customer),
        )
        if self._ranking is None or state != self._ranked_state:
            self._ranked_state = state
            self._ranking = ranking.Ranking(
                self._running.total + self.mean_slots_per_request,
                self._running,
                self._waiting,
                self.shares_by_customer,
            )
        return self._ranking

    def first_waiting(self) -> request_queue.QueuedRequest | None:
        """Returns the request of `queue` to place next, None if it is empty."""
        match self.queue:
            case ranked_queue.RankedQueue() as queue:
                return queue.first_ranked(self.ranking())
            case queue:
                return queue.first(self.over_share)

    def last_waiting(self) -> request_queue.QueuedRequest | None:
        """Returns the request of `queue` to shed first, None if it is empty."""
        match self.queue:
            case ranked_queue.RankedQueue() as queue:
                return queue.last_ranked(self.ranking())
            case queue:
                return queue.last(self.over_share)

    def constrained_in_order(self) -> list[request_queue.QueuedRequest]:
        """Returns the requests of `constrained` in the order of placement."""
        match self.constrained:
            case ranked_queue.RankedQueue() as queue:
                return queue.ordered(self.ranking())
            case queue:
                return sorted(queue, key=request_queue.QueuedRequest.key)

    def over_share(self, customer: str) -> float:
        """Returns how far a customer's running requests exceed its fair share.

        Returns:
          Running requests per unit of weight, less the fair share and its
          tolerance; at least 0.
        """
        active = self.in_use_by_customer.keys() | set(self.queue.customers())
        weight = sum(self.shares_by_customer.get(name, 1.0) for name in active)
        total = sum(self.in_use_by_customer.values())
        fair_share = (total + 1) / weight if weight else 0.0
        share = self.shares_by_customer.get(customer, 1.0)
        used = (self.in_use_by_customer.get(customer, 0) + 1) / share
        return max(
            used
            - fair_share * _SHARE_TOLERANCE_FACTOR
            - _SHARE_TOLERANCE_REQUESTS,
            0.0,
        )

    def pool_load(self) -> PoolLoad:
        """Returns the load of the pool."""
        relative_speeds = [
            self._speeds.relative_speed(item)
            for item in self.endpoints_by_id.values()
        ]
        return PoolLoad(
            promised=sum(self.lease(item.id).used for item in self.decodes),
            running=sum(self.lease(item.id).running for item in self.decodes),
            prefilling=sum(
                self.lease(item.id).running for item in self.prefills
            ),
            slots=sum(item.slots for item in self.decodes),
            waiting=len(self.queue) + len(self.constrained),
            prompt_tokens_per_s=max(
                (item.prefill_tokens_per_s for item in self.prefills),
                default=0.0,
            ),
            seconds_per_token=self._token_interval_s,
            prompt_part=self.prompt_part() or 0.0,
            ejected=",".join(
                sorted(
                    self.ejected_ids(self.prefills)
                    | self.ejected_ids(self.decodes)
                )
            ),
            lossy=self._describe_lossy(),
            slowest_engine=round(min(relative_speeds, default=1.0), 3),
            fastest_engine=round(max(relative_speeds, default=1.0), 3),
        )

    def _describe_lossy(self) -> str:
        if not self._health.has_ejected():
            return ""
        texts = [
            self._health.describe_lossy(items, self.needed_count(items))
            for items in (self.prefills, self.decodes)
        ]
        return ",".join(filter(None, texts))

    def ejected_ids(self, endpoints: list[model.Endpoint]) -> set[str]:
        """Returns which engines may only get probe requests.

        Args:
          endpoints: Engines of one kind.
        """
        if not self._health.any_ejected(endpoints):
            return set()
        return self._health.ejected_engine_ids(
            endpoints, self.needed_count(endpoints)
        )

    def last_choice_ids(self, endpoints: list[model.Endpoint]) -> set[str]:
        """Returns which engines only the load keeps from being ejected.

        Args:
          endpoints: Engines of one kind.
        """
        if not self._health.any_ejected(endpoints):
            return set()
        return self._health.last_choice_ids(
            endpoints, self.needed_count(endpoints)
        )

    def none_sound(self, endpoints: list[model.Endpoint]) -> bool:
        """Returns whether all of some engines are ejected or last choices.

        Ejected engines are then probed early, since a last choice is likely to
        fail too.

        Args:
          endpoints: Engines of one kind.
        """
        # What the load needs is costly to tell and matters only here.
        if not self._health.all_ejected(endpoints):
            return False
        count = len(self.ejected_ids(endpoints))
        count += len(self.last_choice_ids(endpoints))
        return count == len(endpoints)

    def needed_count(self, endpoints: list[model.Endpoint]) -> float:
        """Returns how many of some engines the recent load needs.

        Args:
          endpoints: Engines of one kind: all, or those of one version.
        """
        if not endpoints:
            return 0.0
        if endpoints[0].kind is model.EndpointKind.PREFILL:
            return needed_engines.prefill_engines(
                self.prompt_load.tokens_per_s(),
                estimates.mean_prefill_speed(endpoints),
                len(endpoints),
            )
        waiting = sum(item.slots for item in self.queue)
        waiting += sum(item.slots for item in self.constrained)
        return needed_engines.decode_engines(
            sum(self.lease(item.id).used for item in endpoints),
            waiting * len(endpoints) / len(self.decodes),
            statistics.fmean(item.slots for item in endpoints),
        )

    def failed_attempt_s(self) -> float:
        """Returns the time that a failed attempt costs its caller.

        The caller gets the response later by the time of one request and by its
        delay before the retry, in seconds.
        """
        return self.mean_hold_s + _RETRY_DELAY_S

    def lacks_prefill(self) -> bool:
        """Returns whether prefill engines are ejected."""
        return bool(self.ejected_ids(self.prefills))

    def local_prefill_engines(self) -> float:
        """Returns the prefill capacity that decode engines add.

        They add some only while prefill engines are ejected: decode engines
        then run prefills at once. Only their free slots count, since a request
        whose prefill runs there needs slots too.

        Returns:
          Capacity relative to a prefill engine of mean speed, as that of
          `_usable_prefill`.
        """
        if not self.lacks_prefill():
            return 0.0
        speed = self._mean_prefill_speed
        if speed <= 0:
            return 0.0
        return sum(
            item.own_prefill_tokens_per_s
            / speed
            * max(1 - self.lease(item.id).used / max(item.slots, 1), 0.0)
            for item in self._healthy(self.decodes)
        )

    def slots(self) -> int:
        """Returns the decode slots of the pool, whichever process uses them.

        Ejected engines don't count. If their slots were taken for free, more
        requests would be admitted than the other engines can serve.
        """
        return sum(
            self._usable_slots(endpoint)
            for endpoint in self._healthy(self.decodes)
        )

    def _usable_slots(self, endpoint: model.Endpoint) -> int:
        """Returns the slots that requests within a rate limit can fill."""
        per_s = self.rates.named_per_s(endpoint.id)
        if per_s == math.inf:
            return endpoint.slots
        fillable = per_s * self.mean_hold_s * self.mean_slots_per_request
        return min(endpoint.slots, math.ceil(fillable))

    def _usable_prefill(self, endpoint: model.Endpoint) -> float:
        """Returns the usable capacity of a prefill engine.

        Returns:
          Capacity relative to an engine of mean speed that has no rate limit.
        """
        per_s = self.rates.named_per_s(endpoint.id)
        return min(per_s * self.prefill_s, self._prefill_capacity(endpoint))

    def has_healthy_prefill(self) -> bool:
        """Returns whether any prefill engine is not ejected."""
        return len(self.ejected_ids(self.prefills)) < len(self.prefills)

    def decodes_can_prefill(self) -> bool:
        """Returns whether any decode engine can run prefills."""
        return any(
            endpoint.own_prefill_tokens_per_s for endpoint in self.decodes
        )

    def serves_version(self, version: str) -> bool:
        """Returns whether a decode engine has this software version."""
        return any(
            endpoint.software_version == version for endpoint in self.decodes
        )

    def can_prefill(self) -> bool:
        """Returns whether any engine can run prefills."""
        return bool(self.prefills) or self.decodes_can_prefill()

    def _healthy(self, endpoints: list[model.Endpoint]) -> list[model.Endpoint]:
        ejected_engine_ids = self.ejected_ids(endpoints)
        if not ejected_engine_ids:
            return endpoints
        healthy = [
            item for item in endpoints if item.id not in ejected_engine_ids
        ]
        # If all engines are ejected, all count: they are probed soon, and
        # requests have the time to wait for that.
        return healthy or endpoints

    def backlog(
        self, priority: int, version: str | None = None
    ) -> admission.Backlog:
        """Returns the backlog ahead of a new request of some priority.

        Args:
          priority: Least priority of the requests that count. The priorities of
            requests that wait at other entry processes aren't known; they are
            assumed to be distributed as those of recent requests here.
          version: Software version of the engines that the request needs, None
            for any.
        """
        queue = self.queue if version is None else self.constrained
        queued = [
            item
            for item in queue
            if item.submit.priority >= priority and item.version == version
        ]
        return self.backlog_of(
            queued, version, self.demand.fraction_at_or_above(priority)
        )

    def backlog_of(
        self,
        queued: list[request_queue.QueuedRequest],
        version: str | None = None,
        others_fraction: float = 1.0,
    ) -> admission.Backlog:
        """Returns the backlog of some queued requests.

        Args:
          queued: The requests.
          version: Software version of the engines that they need, None for any.
          others_fraction: Fraction that counts of the requests that wait at
            other entry processes.
        """
        usable = [
            item
            for item in self.decodes
            if version in (None, item.software_version)
        ]
        decodes = self._healthy(usable)
        endpoint_leases = [self.lease(item.id) for item in decodes]
        others = max(
            (item.others_waiting for item in endpoint_leases), default=0
        )
        ahead = others * others_fraction
        slots = sum(map(self._usable_slots, decodes))
        used = sum(
            min(self.lease(item.id).used, self._usable_slots(item))
            for item in decodes
        )
        prefills = self._healthy(self.prefills)
        if not prefills and self.decodes_can_prefill():
            # Without prefill engines, decode engines run the prefills.
            prefills = self._healthy(self.decodes)
        return admission.Backlog(
            waiting=sum(item.slots for item in queued) + ahead,
            free_slots=max(slots - used, 0),
            slots=slots,
            mean_hold_s=self._expected_hold_s(queued),
            prefills=sum(map(self._usable_prefill, prefills))
            + self.local_prefill_engines(),
            prefill_s=self._expected_prefill_s(queued),
            slots_per_request=self.mean_slots_per_request,
        )

    def _expected_hold_s(
        self, waiting: list[request_queue.QueuedRequest]
    ) -> float:
        # Before the first request has finished, the estimate comes from the
        # queued requests. The initial value would refuse a first burst of
        # requests with short outputs.
        if self._has_hold_samples or not waiting:
            return self.mean_hold_s
        return statistics.fmean(item.cost_s for item in waiting)

    def _expected_prefill_s(
        self, waiting: list[request_queue.QueuedRequest]
    ) -> float:
        # The lengths of the queued prompts are known. After some long prompts,
        # the moving average would refuse short ones that drain at once.
        if not waiting or not self._mean_prefill_speed:
            return self.prefill_s
        tokens = statistics.fmean(item.submit.prompt_tokens for item in waiting)
        return min(self.prefill_s, tokens / self._mean_prefill_speed)

    def unloaded_latency(self, submit: messages.Submit) -> UnloadedLatency:
        """Returns the expected latency of a request on idle engines."""
        prefill_s = min(
            (
                estimates.prefill_s(
                    endpoint,
                    submit,
                    self.lease(endpoint.id).cached.cached_tokens(
                        submit.prefix_hashes
                    ),
                )
                for endpoint in self.prefills
            ),
            default=0.0,
        )
        return UnloadedLatency(
            prefill_s=prefill_s,
            transfer_s=self._transfer_s_per_token * submit.prompt_tokens,
            token_interval_s=self._token_interval_s,
            export_ttl_s=self._export_ttl_s,
        )


def _incarnation(endpoint: model.Endpoint) -> tuple[str, model.EndpointKind]:
    return endpoint.life, endpoint.kind
