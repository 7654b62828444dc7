"""Fault-injection test: mixed traffic over several VMs under random faults.

`python -m tools.mixed_run SEED...` runs each seed and prints its faults, the
outcomes of the calls and the violated invariants.
"""

import collections
import dataclasses
import sys

from tools import child
from tools import faults
from tools import local_fleet
from tools import small_site
from tools import traffic
from tools import truth

_VMS = 3
_CALLERS = 8
_REQUESTS_PER_CALLER = 16
_ROUNDS = 10
# The faults of a round are cleared after this many further requests, or after
# this many seconds, since a suspended process may block all callers.
_REQUESTS_PER_ROUND = 10
_MAX_ROUND_S = 3.0
# Long enough for faults to hit calls in progress.
_PLAIN_CALL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a run.

    Attributes:
      rounds: Injected faults by round.
      outcomes: Number of calls by request kind, result and error code.
      faults: Messages about violated invariants, such as a wrong response or a
        resource that wasn't released.
    """

    rounds: list[tuple[faults.Fault, ...]]
    outcomes: collections.Counter
    faults: list[str]


def run(seed: int) -> Report:
    """Runs one seed against real processes.

    Args:
      seed: Random seed of the traffic and the faults.

    Returns:
      The injected faults, the outcomes and the violated invariants.
    """
    document = small_site.document()
    with local_fleet.LocalFleet(document, plain_call_s=_PLAIN_CALL_S) as fleet:
        fleet.start(vms=_VMS)
        rounds = faults.schedule(fleet, seed, _ROUNDS)
        load = traffic.Traffic(
            fleet, seed, callers=_CALLERS, requests=_REQUESTS_PER_CALLER
        )
        load.start()
        _inject_faults(fleet, load, rounds)
        records = load.finish()
        return Report(
            rounds, _count_outcomes(records), _find_violations(fleet, records)
        )


def _inject_faults(
    fleet: local_fleet.LocalFleet,
    load: traffic.Traffic,
    rounds: list[tuple[faults.Fault, ...]],
) -> None:
    for number, round_faults in enumerate(rounds, start=1):
        for fault in round_faults:
            faults.inject(fleet, fault)
        load.wait_for(number * _REQUESTS_PER_ROUND, _MAX_ROUND_S)
        for fault in round_faults:
            faults.clear(fleet, fault)


def _count_outcomes(
    records: list[traffic.RequestRecord],
) -> collections.Counter:
    return collections.Counter(
        (record.kind.value, outcome.end.value, outcome.code)
        for record in records
        for outcome in record.outcomes
    )


def _find_violations(
    fleet: local_fleet.LocalFleet, records: list[traffic.RequestRecord]
) -> list[str]:
    held = truth.wait_until_released(fleet)
    violations = [f"{name} still holds {state}" for name, state in held.items()]
    executions = truth.plain_executions(fleet)
    for record in records:
        violations.extend(truth.invariant_violations(record, executions))
    for name, process in fleet.children_by_name.items():
        violations.extend(_revision_decreases(name, process))
        violations.extend(_logged_tracebacks(name, process))
    return violations


def _revision_decreases(name: str, process: child.Child) -> list[str]:
    """Finds log lines where a process puts an older revision into force."""
    highest = 0
    decreases = []
    for line in process.lines:
        pairs = child.parse_line(line)
        if pairs.get("event") != "settings_in_force":
            continue
        revision = int(pairs["revision"])
        if revision < highest:
            decreases.append(
                f"{name}: revision fell from {highest} to {revision}"
            )
        highest = max(highest, revision)
    return decreases


def _logged_tracebacks(name: str, process: child.Child) -> list[str]:
    return [f"{name}: {line}" for line in process.lines if "Traceback" in line]


def main(seeds: list[str]) -> int:
    """Runs each seed and prints its report.

    Args:
      seeds: Random seeds as decimal numbers.

    Returns:
      The exit code: 0 if no invariant was violated.
    """
    failed = False
    for seed in seeds:
        report = run(int(seed))
        print(f"seed {seed}")
        for round_faults in report.rounds:
            print("  fault  ", *round_faults)
        for key, count in sorted(report.outcomes.items()):
            print("  outcome", *key, count)
        for fault in report.faults:
            print("  UNTRUE ", fault)
        failed = failed or bool(report.faults)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
