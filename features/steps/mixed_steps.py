"""Behave steps for the mixed run: traffic of all customers under faults."""

import behave
from tools import mixed_run


@behave.when(
    "both customers' traffic runs over 3 VMs under the faults of seed {seed:d}"
)
def step_run(context, seed) -> None:
    context.report = mixed_run.run(seed)


@behave.then("each request has one outcome and each outcome is correct")
def step_outcomes_correct(context) -> None:
    assert context.report.outcomes.total() > 0
    assert not context.report.faults, "\n".join(context.report.faults)


@behave.then("the engines hold nothing and no revision decreased")
def step_nothing_held(context) -> None:
    leaks = [
        fault
        for fault in context.report.faults
        if "still holds" in fault or "revision fell" in fault
    ]
    assert not leaks, "\n".join(leaks)
