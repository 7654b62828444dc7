"""Upper bound on the goodput that any router can reach on a trace.

The bound relaxes the scheduling problem. Each resource (decode slots, prefill
engines, links) is considered alone, work may be split freely over all engines
of a kind, future arrivals and true output lengths are known, and work only has
to be done between its arrival and the end of the trace. The maximum number of
requests that fit is then exact: the Moore-Hodgson algorithm, run backwards from
the end of the trace, finds it.
"""

import heapq
from collections.abc import Callable

from cowsliprill.decisions import model
from cowsliprill.replay import sites
from cowsliprill.replay import trace as traces


def max_feasible_jobs(
    jobs: list[tuple[float, float]], capacity_after: Callable[[float], float]
) -> int:
    """Returns the maximum number of jobs that fit into the capacity.

    Args:
      jobs: Pairs of release time and cost.
      capacity_after: Returns the capacity between a time and the end.

    Returns:
      The size of the largest feasible set of jobs. A set is feasible if, for
      every time, the jobs released from then on cost no more than the capacity
      that remains.
    """
    negated_costs: list[float] = []
    total = 0.0
    for released, cost in sorted(jobs, reverse=True):
        heapq.heappush(negated_costs, -cost)
        total += cost
        if total > capacity_after(released):
            total += heapq.heappop(negated_costs)
    return len(negated_costs)


class _GoodputBound:
    """Computes the bound of one trace from its three resources."""

    def __init__(self, trace: traces.Trace) -> None:
        self._trace = trace
        self._site = sites.SITES_BY_NAME[trace.site]
        self._endpoints = self._site.endpoints()
        self._services = self._site.service_models()

    def compute(self) -> int:
        """Returns the bound on the requests that meet both latency targets."""
        decode_jobs = []
        prefill_jobs = []
        link_jobs = []
        seen_blocks: set[int] = set()
        for demand in self._trace.demands:
            prefill_s = self._prefill_s(demand, seen_blocks)
            seen_blocks.update(demand.prefix)
            link_s = demand.prompt_tokens * 100_000 / 4e9
            decode_s = demand.output_tokens * self._site.seconds_per_token
            if not self._can_meet_targets(demand, prefill_s + link_s, decode_s):
                continue
            decode_jobs.append((demand.at, decode_s + link_s))
            prefill_jobs.append((demand.at, prefill_s))
            link_jobs.append((demand.at, link_s))
        kinds = model.EndpointKind
        return min(
            max_feasible_jobs(
                decode_jobs, self._capacity_function(kinds.DECODE)
            ),
            max_feasible_jobs(
                prefill_jobs, self._capacity_function(kinds.PREFILL)
            ),
            max_feasible_jobs(
                link_jobs, self._capacity_function(kinds.PREFILL)
            ),
        )

    def _prefill_s(self, demand: traces.Demand, seen_blocks: set[int]) -> float:
        cached = 0
        for block in demand.prefix:
            if block not in seen_blocks:
                break
            cached += sites.BLOCK_TOKENS
        tokens = demand.prompt_tokens - cached
        return 0.01 + tokens / self._site.prefill_tokens_per_s

    def _can_meet_targets(
        self, demand: traces.Demand, start_s: float, decode_s: float
    ) -> bool:
        target = self._services[demand.service].ttft_target_s
        if start_s + self._site.seconds_per_token > target:
            return False
        needed_s = start_s + decode_s
        if demand.gone_after and demand.gone_after < needed_s:
            return False
        return demand.at + needed_s < self._trace.duration_s

    def _capacity_function(
        self, kind: model.EndpointKind
    ) -> Callable[[float], float]:
        engines = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.kind is kind
        ]

        def capacity_after(time: float) -> float:
            return sum(
                self._engine_capacity_after(engine, time) for engine in engines
            )

        return capacity_after

    def _engine_capacity_after(
        self, endpoint: model.Endpoint, time: float
    ) -> float:
        is_decode = endpoint.kind is model.EndpointKind.DECODE
        concurrency = endpoint.slots if is_decode else 1
        useful_s = self._trace.duration_s - time
        for fault in self._trace.faults:
            if fault.endpoint != endpoint.id or fault.kind == "link":
                continue
            lost_s = max(fault.end - max(fault.start, time), 0.0)
            if fault.kind == "slow":
                lost_s *= self._lost_capacity_fraction(fault.factor, is_decode)
            useful_s -= lost_s
        return concurrency * useful_s

    def _lost_capacity_fraction(self, factor: float, is_decode: bool) -> float:
        """Returns the fraction of an engine's capacity that a slowdown costs.

        A decode engine loses all of it once its time per token exceeds the
        TPOT target, and nothing below that. A prefill engine loses capacity in
        proportion to its speed.
        """
        token_interval_s = self._site.seconds_per_token * factor
        if is_decode and token_interval_s > self._site.tpot_target_s:
            return 1.0
        return 0.0 if is_decode else 1 - 1 / factor


def max_good_requests(trace: traces.Trace) -> int:
    """Returns an upper bound on the goodput of a trace.

    Args:
      trace: A trace with demands.

    Returns:
      A number of requests within both latency targets that no router exceeds.
    """
    return _GoodputBound(trace).compute()
