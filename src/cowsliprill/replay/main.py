"""Implementation of the `replay` command."""

import collections
import concurrent.futures
import dataclasses
import json
import pathlib
import sys

from cowsliprill import errors
from cowsliprill.decisions import scheduler
from cowsliprill.replay import baselines
from cowsliprill.replay import command as commands
from cowsliprill.replay import demand_generator
from cowsliprill.replay import goodput_bound
from cowsliprill.replay import naive
from cowsliprill.replay import policy as policies
from cowsliprill.replay import report
from cowsliprill.replay import simulation
from cowsliprill.replay import trace as traces

_DEFAULT_SEEDS = (1, 2, 3)

COWSLIPRILL = "cowsliprill"
NAIVE = "naive"

POLICIES_BY_NAME: dict[str, policies.PolicyFactory] = {
    COWSLIPRILL: scheduler.Scheduler,
    "round-robin": baselines.RoundRobin,
    "least-outstanding": baselines.LeastOutstanding,
    "prefix-affinity": baselines.PrefixAffinity,
    NAIVE: naive.NaiveScheduler,
}

MetricsByRun = dict[tuple[str, str], list[report.ReplayMetrics]]


def replay_trace(
    trace: traces.Trace, policy: str, seed: int
) -> report.ReplayMetrics:
    """Replays one trace with one policy and one seed.

    Args:
      trace: The trace, with or without demands.
      policy: A key of `POLICIES_BY_NAME`.
      seed: Random seed.

    Returns:
      The metrics of the run.
    """
    filled = demand_generator.with_demands(trace, seed)
    result = simulation.Simulation(filled, POLICIES_BY_NAME[policy], seed).run()
    return report.compute_metrics(
        filled, result, goodput_bound.max_good_requests(filled)
    )


def _replay_all(
    loaded_traces: list[traces.Trace],
    policies: list[str],
    seeds: list[int],
    jobs: int,
) -> MetricsByRun:
    runs: MetricsByRun = collections.defaultdict(list)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        futures = [
            (trace.name, policy, pool.submit(replay_trace, trace, policy, seed))
            for trace in loaded_traces
            for policy in policies
            for seed in seeds
        ]
        for name, policy, future in futures:
            runs[name, policy].append(future.result())
    return runs


def _format_row(
    name: str, policy: str, runs: list[report.ReplayMetrics]
) -> str:
    def median(field: str) -> float:
        return report.median(runs, field)

    bound_fraction = median("good") / max(median("bound"), 1)
    ttft = sorted(run.ttft_s for run in runs)[len(runs) // 2]
    tpot = sorted(run.tpot_s for run in runs)[len(runs) // 2]
    refused = sorted(run.refused_after_s for run in runs)[len(runs) // 2]
    urgent = sorted(
        run.by_priority["1"].good / run.by_priority["1"].demands
        for run in runs
        if "1" in run.by_priority
    )
    urgent_share = urgent[len(urgent) // 2] if urgent else 0.0
    return (
        f"{name:24} {policy:18} {median('demands'):6.0f} {median('good'):6.0f}"
        f" {bound_fraction:6.1%} {urgent_share:6.1%} {median('prefills'):6.0f}"
        f" {median('wasted'):6.0f} {median('wasted_share'):6.2%}"
        f" {median('refusals'):6.0f} {refused[0]:6.2f} {refused[1]:6.2f}"
        f" {median('late_refusal_s') * 1000:6.1f}"
        f" {ttft[0]:5.2f} {ttft[1]:5.2f} {ttft[2]:5.2f}"
        f" {tpot[1] * 1000:5.1f} {median('fairness'):5.2f}"
        f" {median('messages'):7.0f}"
    )


_HEADER = (
    f"{'trace':24} {'policy':18} {'demand':>6} {'good':>6} {'/bound':>6}"
    f" {'urgent':>6} {'prefil':>6} {'wasted':>6} {'waste%':>6} {'refuse':>6}"
    f" {'rf p50':>6} {'rf p95':>6} {'late':>6} {'ttft':>5} {'p95':>5}"
    f" {'p99':>5} {'tpot':>5} {'fair':>5} {'msgs':>7}"
)


def _write_json(path: pathlib.Path, runs: MetricsByRun) -> None:
    document = [
        {
            "trace": name,
            "policy": policy,
            "runs": [dataclasses.asdict(run) for run in run_metrics],
        }
        for (name, policy), run_metrics in runs.items()
    ]
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


def _default_policies(command: commands.ReplayCommand) -> list[str]:
    if not command.all:
        return list(POLICIES_BY_NAME)
    print(f"{NAIVE} is slow and left out of --all: name it by --policy")
    return [name for name in POLICIES_BY_NAME if name != NAIVE]


def run(command: commands.ReplayCommand) -> int:
    """Replays traces, prints a table and optionally writes JSON.

    Args:
      command: Parsed command-line arguments.

    Returns:
      The exit code of the process.
    """
    try:
        paths = commands.trace_paths(command)
        loaded_traces = [traces.read(path) for path in paths]
    except errors.CowsliprillError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return error.exit_code
    unknown = set(command.policies) - set(POLICIES_BY_NAME)
    if unknown:
        print(f"unknown policy: {sorted(unknown)}", file=sys.stderr)
        return errors.ExitCode.USAGE
    policies = list(command.policies) or _default_policies(command)
    seeds = list(command.seeds) or list(_DEFAULT_SEEDS)
    runs = _replay_all(loaded_traces, policies, seeds, command.jobs)
    print(_HEADER)
    for (name, policy), run_metrics in runs.items():
        print(_format_row(name, policy, run_metrics))
    if command.json:
        _write_json(command.json, runs)
    return errors.ExitCode.OK
