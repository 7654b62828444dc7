"""Figures of a replay, for tables and JSON."""

import collections
import dataclasses
import statistics
from collections.abc import Iterable

from cowsliprill.replay import outcomes
from cowsliprill.replay import sites
from cowsliprill.replay import trace as traces

_QUANTILES = (0.5, 0.95, 0.99)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rate:
    """Good requests out of demands."""

    good: int
    demands: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Figures of one run.

    Attributes:
      demands: Requests that callers wanted, returns not counted again.
      good: Those answered whole, within both targets counted from when the
        caller last came, before the trace's end.
      finished: Those answered whole, late ones included.
      good_share: `good` over `demands`.
      bound: No router can have more good ones.
      prefills: Prefills on which an engine began to work.
      wasted: Those of them whose results were never used.
      wasted_share: `wasted` over `prefills`.
      refusals: Refusals, each return's counted.
      refused_after_s: Time to refusal, p50, p95, p99.
      late_refusal_s: Worst time from a refusal's cause to the refusal.
      ttft_s: Time to first token, p50, p95, p99.
      tpot_s: Time between tokens, p50, p95, p99.
      by_user: Goodput of each user.
      by_service: Goodput of each service.
      by_priority: Goodput of each priority.
      share_by_user: Decode slot time of each user over its fair share.
      fairness: The least of these.
      messages: Messages between entries and homes.
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
    by_user: dict[str, Rate]
    by_service: dict[str, Rate]
    by_priority: dict[str, Rate]
    share_by_user: dict[str, float]
    fairness: float
    messages: int


def quantiles(values: Iterable[float]) -> tuple[float, ...]:
    """Returns p50, p95 and p99 by nearest rank, zeros for no values."""
    ordered = sorted(values)
    if not ordered:
        return tuple(0.0 for _ in _QUANTILES)
    last = len(ordered) - 1
    return tuple(
        round(ordered[min(int(q * len(ordered)), last)], 4) for q in _QUANTILES
    )


def max_min_fair_shares(total: float, demand_by_user: dict[str, float]) -> dict:
    """Splits a total max-min fairly.

    Args:
      total: What there is.
      demand_by_user: What each user asks for.

    Returns:
      What each user's fair share is; no one gets more than it asks for.
    """
    shares = {}
    remaining = total
    by_demand = sorted(demand_by_user.items(), key=lambda item: item[1])
    for index, (user, demand) in enumerate(by_demand):
        shares[user] = min(demand, remaining / (len(by_demand) - index))
        remaining -= shares[user]
    return shares


def _is_good(outcome: outcomes.Outcome, site: sites.Site) -> bool:
    return (
        outcome.finished_at > 0
        and outcome.ttft_s() <= site.ttft_target_s
        and outcome.tpot_s() <= site.tpot_target_s
    )


def _rates(keys: list[str], good: list[bool]) -> dict[str, Rate]:
    demands = collections.Counter(keys)
    successes = collections.Counter(
        key for key, ok in zip(keys, good, strict=True) if ok
    )
    return {
        key: Rate(good=successes[key], demands=count)
        for key, count in sorted(demands.items())
    }


def _shares(
    result: outcomes.Result, site: sites.Site
) -> tuple[dict[str, float], float]:
    demand_by_user: dict[str, float] = {}
    for outcome in result.outcomes:
        user = outcome.demand.user
        wanted = outcome.demand.output_tokens * site.seconds_per_token
        demand_by_user[user] = demand_by_user.get(user, 0.0) + wanted
    used: dict[str, float] = {}
    for usage in result.slot_usages:
        # Answers still running at the end count as far as they got.
        running = (
            not usage.ended_at and usage.job.key in result.in_flight_keys_at_end
        )
        ended_at = result.ended_at if running else usage.ended_at
        if ended_at:
            seconds = used.get(usage.user, 0.0) + ended_at - usage.acquired_at
            used[usage.user] = seconds
    fair = max_min_fair_shares(sum(used.values()), demand_by_user)
    shares = {
        user: round(used.get(user, 0.0) / share, 3) if share else 1.0
        for user, share in sorted(fair.items())
    }
    return shares, min(shares.values(), default=1.0)


def figures(
    trace: traces.Trace, result: outcomes.Result, bound: int
) -> Figures:
    """Works out the figures of a run.

    Args:
      trace: What was played.
      result: What happened.
      bound: The bound on goodput.

    Returns:
      The figures.
    """
    site = sites.SITES_BY_NAME[trace.site]
    all_outcomes = result.outcomes
    good = [_is_good(outcome, site) for outcome in all_outcomes]
    started = [job for job in result.jobs if job.prefill_started]
    wasted = sum(
        not job.used and job.key not in result.in_flight_keys_at_end
        for job in started
    )
    shares, fairness = _shares(result, site)
    with_first_token = [item for item in all_outcomes if item.first_token_at]
    finished = [item for item in all_outcomes if item.finished_at]
    delays_s = [time for item in all_outcomes for time in item.refusal_delays_s]
    lateness_s = [
        time for item in all_outcomes for time in item.refusal_lateness_s
    ]
    return Figures(
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
        by_user=_rates([item.demand.user for item in all_outcomes], good),
        by_service=_rates([item.demand.service for item in all_outcomes], good),
        by_priority=_rates([str(item.priority) for item in all_outcomes], good),
        share_by_user=shares,
        fairness=fairness,
        messages=result.messages_sent,
    )


def median(runs: list[Figures], name: str) -> float:
    """Returns the median of one figure over runs of different seeds."""
    return statistics.median(getattr(run, name) for run in runs)
