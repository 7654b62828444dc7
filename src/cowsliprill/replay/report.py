"""Metrics of a replay, for the printed table and for JSON."""

import collections
import dataclasses
import statistics
from collections.abc import Iterable

from cowsliprill.replay import records
from cowsliprill.replay import sites
from cowsliprill.replay import trace as traces

_QUANTILES = (0.5, 0.95, 0.99)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Goodput:
    """Goodput of a group of demands.

    Attributes:
      good: Demands that were served within both latency targets.
      demands: All demands of the group.
    """

    good: int
    demands: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplayMetrics:
    """Metrics of one run. Ratios are between 0 and 1 unless noted.

    Attributes:
      demands: Demands that arrived; a retry after a refusal counts as the same
        demand.
      good: Demands that finished before the end of the trace within both
        latency targets, counted from the caller's last submission.
      finished: Demands that finished, including those past their targets.
      good_share: `good` divided by `demands`.
      bound: Upper bound on `good` for any router.
      prefills: Prefills that an engine began to compute.
      wasted: Prefills whose KV cache was never used.
      wasted_share: `wasted` divided by `prefills`.
      refusals: Refusals, including those of retries.
      refused_after_s: Time from submission to refusal: p50, p95, p99.
      late_refusal_s: Maximum time from a refusal's cause to the refusal.
      ttft_s: Time to first token: p50, p95, p99.
      tpot_s: Time per output token: p50, p95, p99.
      by_user: Goodput by calling customer.
      by_service: Goodput by service.
      by_priority: Goodput by priority.
      share_by_user: Decode slot time of each calling customer divided by its
        max-min fair share; can exceed 1.
      fairness: Minimum of `share_by_user`.
      messages: Messages between entry processes and coordinators.
    """

    demands: int
    good: int
    finished: int
    good_share: float
    bound: int
    prefills: int
    wasted: int
    wasted_share: float
    refusals: int
    refused_after_s: tuple[float, ...]
    late_refusal_s: float
    ttft_s: tuple[float, ...]
    tpot_s: tuple[float, ...]
    by_user: dict[str, Goodput]
    by_service: dict[str, Goodput]
    by_priority: dict[str, Goodput]
    share_by_user: dict[str, float]
    fairness: float
    messages: int


def quantiles(values: Iterable[float]) -> tuple[float, ...]:
    """Returns p50, p95 and p99 by nearest rank, or zeros for no values."""
    ordered = sorted(values)
    if not ordered:
        return tuple(0.0 for _ in _QUANTILES)
    last = len(ordered) - 1
    return tuple(
        round(ordered[min(int(q * len(ordered)), last)], 4) for q in _QUANTILES
    )


def max_min_fair_shares(total: float, demand_by_user: dict[str, float]) -> dict:
    """Splits a total by max-min fairness.

    Args:
      total: The amount to split.
      demand_by_user: Demand of each customer.

    Returns:
      The fair share of each customer, at most its demand.
    """
    shares = {}
    remaining = total
    by_demand = sorted(demand_by_user.items(), key=lambda item: item[1])
    for index, (user, demand) in enumerate(by_demand):
        shares[user] = min(demand, remaining / (len(by_demand) - index))
        remaining -= shares[user]
    return shares


def _is_good(outcome: records.Outcome, site: sites.Site) -> bool:
    return (
        outcome.finished_at > 0
        and outcome.ttft_s() <= site.ttft_target_s
        and outcome.tpot_s() <= site.tpot_target_s
    )


def _goodput_by_key(keys: list[str], good: list[bool]) -> dict[str, Goodput]:
    demands = collections.Counter(keys)
    successes = collections.Counter(
        key for key, is_good in zip(keys, good, strict=True) if is_good
    )
    return {
        key: Goodput(good=successes[key], demands=count)
        for key, count in sorted(demands.items())
    }


def _slot_time_shares(
    result: records.Result, site: sites.Site
) -> tuple[dict[str, float], float]:
    demand_by_user: dict[str, float] = {}
    for outcome in result.outcomes:
        user = outcome.demand.user
        demand_s = outcome.demand.output_tokens * site.seconds_per_token
        demand_by_user[user] = demand_by_user.get(user, 0.0) + demand_s
    slot_s_by_user: dict[str, float] = {}
    for usage in result.slot_usages:
        # Decodes still running at the end count up to the end.
        is_running = (
            not usage.ended_at and usage.job.key in result.in_flight_keys_at_end
        )
        ended_at = result.ended_at if is_running else usage.ended_at
        if ended_at:
            seconds = (
                slot_s_by_user.get(usage.user, 0.0)
                + ended_at
                - usage.acquired_at
            )
            slot_s_by_user[usage.user] = seconds
    fair_share_by_user = max_min_fair_shares(
        sum(slot_s_by_user.values()), demand_by_user
    )
    shares = {
        user: round(slot_s_by_user.get(user, 0.0) / share, 3) if share else 1.0
        for user, share in sorted(fair_share_by_user.items())
    }
    return shares, min(shares.values(), default=1.0)


def compute_metrics(
    trace: traces.Trace, result: records.Result, bound: int
) -> ReplayMetrics:
    """Computes the metrics of a run.

    Args:
      trace: The replayed trace.
      result: The result of the run.
      bound: Upper bound on the goodput.

    Returns:
      The metrics.
    """
    site = sites.SITES_BY_NAME[trace.site]
    all_outcomes = result.outcomes
    good = [_is_good(outcome, site) for outcome in all_outcomes]
    started = [job for job in result.jobs if job.prefill_started]
    wasted = sum(
        not job.used and job.key not in result.in_flight_keys_at_end
        for job in started
    )
    shares, fairness = _slot_time_shares(result, site)
    with_first_token = [item for item in all_outcomes if item.first_token_at]
    finished = [item for item in all_outcomes if item.finished_at]
    delays_s = [time for item in all_outcomes for time in item.refusal_delays_s]
    lateness_s = [
        time for item in all_outcomes for time in item.refusal_lateness_s
    ]
    return ReplayMetrics(
        demands=len(all_outcomes),
        good=sum(good),
        finished=len(finished),
        good_share=round(sum(good) / max(len(all_outcomes), 1), 4),
        bound=bound,
        prefills=len(started),
        wasted=wasted,
        wasted_share=round(wasted / max(len(started), 1), 4),
        refusals=len(delays_s),
        refused_after_s=quantiles(delays_s),
        late_refusal_s=round(max(lateness_s, default=0.0), 4),
        ttft_s=quantiles(item.ttft_s() for item in with_first_token),
        tpot_s=quantiles(item.tpot_s() for item in finished),
        by_user=_goodput_by_key(
            [item.demand.user for item in all_outcomes], good
        ),
        by_service=_goodput_by_key(
            [item.demand.service for item in all_outcomes], good
        ),
        by_priority=_goodput_by_key(
            [str(item.priority) for item in all_outcomes], good
        ),
        share_by_user=shares,
        fairness=fairness,
        messages=result.messages_sent,
    )


def median(runs: list[ReplayMetrics], name: str) -> float:
    """Returns the median of one metric over runs with different seeds."""
    return statistics.median(getattr(run, name) for run in runs)
