"""One pool of engines as an entry sees it: leases, queue and backlog."""

import dataclasses
import math
import random
import statistics
from collections.abc import Mapping

from cowsliprill.decisions import admission
from cowsliprill.decisions import demand
from cowsliprill.decisions import estimates
from cowsliprill.decisions import health
from cowsliprill.decisions import leases
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import queue
from cowsliprill.decisions import speeds
from cowsliprill.decisions import workload
from cowsliprill.decisions import worth

_LEARNING_RATE = 0.05
_HOLD_START_S = 5.0

# So many that the fixed part of a transfer's time doesn't matter.
_MANY_TOKENS = 100_000

# A prefill engine that lately took this many times the expected time is no
# worse than one that is slower still; both come last.
_SLOWNESS_MAX = 10.0
_SLOWNESS_RATE = 0.15
_PREFILL_START_S = 0.2

# Part of an expected answer for which memory is promised. Answers grow while
# others beside them end, so all of them are never at their full length at
# once. Promised less, engines put requests back and read them anew; promised
# more, memory stays empty while callers are refused.
_ANSWER_PROMISED = 0.7

# An entry sees a part of each customer's work, so small differences say
# nothing. Only a customer clearly above its share here has to stand back.
_OVER_SHARE = 1.5
_OVER_SLOTS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BestTimes:
    """What a request takes on free engines, in seconds.

    Attributes:
      prefill_s: Its prefill, with what is cached.
      transfer_s: The transfer of its KV cache.
      token_s: One token.
      export_ttl_s: How long a finished prefill is kept for its transfer.
    """

    prefill_s: float
    transfer_s: float
    token_s: float
    export_ttl_s: float

    def first_token_s(self) -> float:
        """Returns the least time to first token."""
        return self.prefill_s + self.transfer_s + self.token_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """How full a pool is.

    Attributes:
      promised: Decode slots that running requests take.
      running: Requests with work at decode engines.
      prefilling: Requests with work at prefill engines.
      slots: Decode slots in all.
      waiting: Requests that wait.
      prompt_tokens_per_s: Speed of a prefill engine, as far as known.
      seconds_per_token: Time between tokens of an answer, as far as known.
      prompt_part: Part of the work that prompts are, 0 while unknown.
    """

    promised: int
    running: int
    prefilling: int
    slots: int
    waiting: int
    prompt_tokens_per_s: float
    seconds_per_token: float
    prompt_part: float


class Pool:
    """State of one pool.

    Args:
      rng: Random numbers for the times to come back.
      engine_health: What is known of the engines.
    """

    def __init__(
        self, rng: random.Random, engine_health: health.Health
    ) -> None:
        self._health = engine_health
        self.queue = queue.WaitingQueue()
        self.demand = demand.DemandWindow()
        self.prefills: list[model.Endpoint] = []
        self.decodes: list[model.Endpoint] = []
        self.endpoints_by_id: dict[str, model.Endpoint] = {}
        self.holdings_by_endpoint: dict[str, leases.Holding] = {}
        self.in_use_by_customer: dict[str, int] = {}
        self.shares_by_customer: Mapping[str, float] = {}
        self.block_tokens = 0
        self.usual_slots = 1.0
        self.usual_prompt_tokens = 0.0
        self._speeds = speeds.Speeds()
        self._work = workload.Workload()
        self.lengths = estimates.AnswerLengths()
        self.worths = worth.Worths()
        self.hold_s = _HOLD_START_S
        self._holds_learnt = False
        self.prefill_s = _PREFILL_START_S
        self.start_delay_s = 0.0
        self.prefills_short_since = math.inf
        self.slowness_by_prefill: dict[str, float] = {}
        self._token_s = 0.0
        self._transfer_s_per_token = 0.0
        self._export_ttl_s = 1.0
        self.returns = admission.ReturnTimes(rng)

    def set_engines(
        self, prefills: list[model.Endpoint], decodes: list[model.Endpoint]
    ) -> None:
        """Takes over the engines to use; running work keeps its holdings."""
        self.prefills = [self._speeds.describe(item) for item in prefills]
        self.decodes = [self._speeds.describe(item) for item in decodes]
        prefills, decodes = self.prefills, self.decodes
        for endpoint in prefills + decodes:
            before = self.endpoints_by_id.get(endpoint.id)
            if before is not None and _state(before) != _state(endpoint):
                # What was learnt of an engine's last life, or of its work as a
                # prefill engine, says nothing of what has begun under the same
                # id. One that turned a prompt away while it changed would be
                # left alone for as long as it lives.
                self._health.forget(endpoint.id)
        self.endpoints_by_id = {item.id: item for item in prefills + decodes}
        self.block_tokens = max(
            (item.block_tokens for item in decodes), default=self.block_tokens
        )
        self._token_s = estimates.seconds_per_token(decodes)
        self._transfer_s_per_token = min(
            (
                estimates.transfer_s(prefill, decode, _MANY_TOKENS)
                / _MANY_TOKENS
                for prefill in prefills
                for decode in decodes
            ),
            default=0.0,
        )
        self._export_ttl_s = min(
            (item.export_ttl_s for item in prefills), default=1.0
        )
        wanted = {endpoint.id for endpoint in prefills + decodes}
        for endpoint_id in wanted:
            self.holding(endpoint_id)
        for endpoint_id, holding in list(self.holdings_by_endpoint.items()):
            if endpoint_id not in wanted and not holding.in_use:
                del self.holdings_by_endpoint[endpoint_id]

    def holding(self, endpoint_id: str) -> leases.Holding:
        """Returns what this entry holds at an endpoint."""
        holding = self.holdings_by_endpoint.get(endpoint_id)
        if holding is None:
            holding = leases.Holding()
            self.holdings_by_endpoint[endpoint_id] = holding
        return holding

    def slots_for(self, submit: messages.Submit) -> int:
        """Returns the slots of a decode engine that a request takes.

        One, where slots are places. Where they are blocks of memory, what its
        prompt and its answer are expected to fill.
        """
        if not self.block_tokens:
            return 1
        answer = self.lengths.expected_tokens(submit) * _ANSWER_PROMISED
        tokens = submit.prompt_tokens + answer
        return math.ceil(tokens / self.block_tokens)

    def learn_slots(self, slots: int) -> None:
        """Takes in how many slots a request takes."""
        if self.usual_slots == 1.0:
            self.usual_slots = float(slots)
        self.usual_slots += (slots - self.usual_slots) * _LEARNING_RATE

    def learn_prompt(self, tokens: int) -> None:
        """Takes in the length of a prompt that arrived."""
        if not self.usual_prompt_tokens:
            self.usual_prompt_tokens = float(tokens)
        change = tokens - self.usual_prompt_tokens
        self.usual_prompt_tokens += change * _LEARNING_RATE

    def learn_hold(self, seconds: float) -> None:
        """Takes in how long a request held its decode slot."""
        self._holds_learnt = True
        self.hold_s += (seconds - self.hold_s) * _LEARNING_RATE

    def learn_reading(self, tokens: int, seconds: float) -> None:
        """Takes in how long a prefill engine read a prompt alone."""
        if self._speeds.read(tokens, seconds):
            self.set_engines(self.prefills, self.decodes)

    def learn_writing(self, tokens: int, seconds: float) -> None:
        """Takes in how long tokens of an answer took, without the first."""
        if self._speeds.wrote(tokens, seconds):
            self.set_engines(self.prefills, self.decodes)

    def learn_work(
        self,
        submit: messages.Submit,
        slots: int,
        first_token_s: float,
        now: float,
    ) -> None:
        """Takes in what a request that arrived asks of the engines.

        Args:
          submit: The request.
          slots: Slots of a decode engine that it takes.
          first_token_s: Least time to its first token, in which its slots are
            kept for it.
          now: Time, seconds.
        """
        if not (self.prefills and self.decodes and self._speeds.are_known()):
            return
        prefill, decode = self.prefills[0], self.decodes[0]
        filled = max(slots / decode.slots, 1 / (decode.places or decode.slots))
        answer_tokens = self.lengths.expected_tokens(submit)
        self._work.add(
            prompt_s=submit.prompt_tokens / prefill.prefill_tokens_per_s,
            answer_s=(first_token_s + answer_tokens * self._token_s) * filled,
            now=now,
        )

    def prompt_part(self) -> float | None:
        """Returns the part of the work that prompts are, None if unknown."""
        return self._work.prompt_part()

    def learn_start_delay(self, seconds: float) -> None:
        """Takes in by how much a first token came later than unhindered."""
        change = max(seconds, 0.0) - self.start_delay_s
        self.start_delay_s += change * _LEARNING_RATE

    def learn_prefill(self, seconds: float) -> None:
        """Takes in the expected time of a prefill that is started."""
        self.prefill_s += (seconds - self.prefill_s) * _LEARNING_RATE

    def learn_prefill_speed(self, endpoint_id: str, ratio: float) -> None:
        """Takes in how long a prefill took over what was expected."""
        slowness = self.slowness_by_prefill.get(endpoint_id, 1.0)
        slowness += (min(ratio, _SLOWNESS_MAX) - slowness) * _SLOWNESS_RATE
        self.slowness_by_prefill[endpoint_id] = max(slowness, 1.0)

    def prefill_wait_s(
        self,
        endpoint: model.Endpoint,
        submit: messages.Submit,
        *,
        usual: bool = False,
    ) -> float:
        """Returns the expected time until a request's prefill is done.

        Args:
          endpoint: The prefill engine.
          submit: The request.
          usual: Whether to ignore how slow the engine was lately.
        """
        holding = self.holding(endpoint.id)
        cached = holding.cached.cached_tokens(submit.prefix_hashes)
        own_s = estimates.prefill_s(endpoint, submit, cached)
        seconds = own_s + holding.used * self.prefill_s
        slowness = self.slowness_by_prefill.get(endpoint.id, 1.0)
        return seconds if usual else seconds * slowness

    def take(self, customer: str) -> None:
        """Counts a request that starts, for fair sharing."""
        self.in_use_by_customer[customer] = (
            self.in_use_by_customer.get(customer, 0) + 1
        )

    def release(self, customer: str) -> None:
        """Counts a request that ends."""
        left = self.in_use_by_customer[customer] - 1
        if left:
            self.in_use_by_customer[customer] = left
        else:
            del self.in_use_by_customer[customer]

    def over_share(self, customer: str) -> float:
        """Returns how far a customer's running work is above its fair share."""
        active = self.in_use_by_customer.keys() | set(self.queue.customers())
        weight = sum(self.shares_by_customer.get(name, 1.0) for name in active)
        total = sum(self.in_use_by_customer.values())
        fair = (total + 1) / weight if weight else 0.0
        share = self.shares_by_customer.get(customer, 1.0)
        used = (self.in_use_by_customer.get(customer, 0) + 1) / share
        return max(used - fair * _OVER_SHARE - _OVER_SLOTS, 0.0)

    def standing(self) -> Standing:
        """Returns how full the pool is."""
        return Standing(
            promised=sum(self.holding(item.id).used for item in self.decodes),
            running=sum(self.holding(item.id).running for item in self.decodes),
            prefilling=sum(
                self.holding(item.id).running for item in self.prefills
            ),
            slots=sum(item.slots for item in self.decodes),
            waiting=len(self.queue),
            prompt_tokens_per_s=max(
                (item.prefill_tokens_per_s for item in self.prefills),
                default=0.0,
            ),
            seconds_per_token=self._token_s,
            prompt_part=self.prompt_part() or 0.0,
        )

    def slots(self) -> int:
        """Returns the decode slots of the pool, those of others included.

        Engines that are left alone don't count: were they taken for free, more
        would be admitted than the others can serve.
        """
        return sum(endpoint.slots for endpoint in self._well(self.decodes))

    def has_sound_prefill(self) -> bool:
        """Returns whether a prefill engine isn't left alone."""
        return len(self._health.left_alone(self.prefills)) < len(self.prefills)

    def decodes_read_prompts(self) -> bool:
        """Returns whether a decode engine can read prompts itself."""
        return any(
            endpoint.own_prefill_tokens_per_s for endpoint in self.decodes
        )

    def can_read_prompts(self) -> bool:
        """Returns whether any engine reads prompts."""
        return bool(self.prefills) or self.decodes_read_prompts()

    def _well(self, endpoints: list[model.Endpoint]) -> list[model.Endpoint]:
        left_alone = self._health.left_alone(endpoints)
        if not left_alone:
            return endpoints
        well = [item for item in endpoints if item.id not in left_alone]
        # All of them are soon tried again, and callers have the time to wait
        # for that.
        return well or endpoints

    def backlog(self, priority: int) -> admission.Backlog:
        """Returns what stands before the last request of a priority.

        Args:
          priority: Requests of a lower one don't stand before it. How many
            of the requests at other entries do isn't known; they are taken
            to have the same mix as those here.
        """
        holdings = [self.holding(item.id) for item in self._well(self.decodes)]
        others = max((item.others_waiting for item in holdings), default=0)
        own = [item for item in self.queue if item.submit.priority >= priority]
        ahead = others * self.demand.share_at_least(priority)
        slots = self.slots()
        used = sum(item.used for item in holdings)
        prefills = self._well(self.prefills)
        if not prefills and self.decodes_read_prompts():
            # Decode engines read prompts then, each as well as it can.
            prefills = self._well(self.decodes)
        return admission.Backlog(
            waiting=sum(item.slots for item in own) + ahead,
            free_slots=max(slots - used, 0),
            slots=slots,
            hold_s=self._usual_hold_s(own),
            prefills=len(prefills),
            prefill_s=self._usual_prefill_s(own, prefills),
            slots_a_request=self.usual_slots,
        )

    def _usual_hold_s(self, waiting: list[queue.Waiting]) -> float:
        # What was learnt counts; before that, what the waiting ones ask for.
        # The start value alone would refuse a first burst of short answers.
        if self._holds_learnt or not waiting:
            return self.hold_s
        return statistics.fmean(item.cost_s for item in waiting)

    def _usual_prefill_s(
        self, waiting: list[queue.Waiting], prefills: list[model.Endpoint]
    ) -> float:
        # The prompts that wait are known. After some long ones, their mean
        # would refuse short ones that drain at once.
        speeds = [
            endpoint.prefill_tokens_per_s
            for endpoint in prefills
            if endpoint.prefill_tokens_per_s > 0
        ]
        if not waiting or not speeds:
            return self.prefill_s
        tokens = statistics.fmean(item.submit.prompt_tokens for item in waiting)
        return min(self.prefill_s, tokens / statistics.fmean(speeds))

    def best_times(self, submit: messages.Submit) -> BestTimes:
        """Returns what a request takes on free engines.

        Args:
          submit: The request.
        """
        prefill_s = min(
            (
                estimates.prefill_s(
                    endpoint,
                    submit,
                    self.holding(endpoint.id).cached.cached_tokens(
                        submit.prefix_hashes
                    ),
                )
                for endpoint in self.prefills
            ),
            default=0.0,
        )
        return BestTimes(
            prefill_s=prefill_s,
            transfer_s=self._transfer_s_per_token * submit.prompt_tokens,
            token_s=self._token_s,
            export_ttl_s=self._export_ttl_s,
        )


def _state(endpoint: model.Endpoint) -> tuple[str, model.EndpointKind]:
    return endpoint.life, endpoint.kind
