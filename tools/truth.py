"""The naive reference of a run under faults.

Compares what callers were told with what the endpoints say that they ran.
"""

import collections
import dataclasses
import hashlib
import json
import time

import xxhash

from tools import local_fleet
from tools import traffic

_RELEASE_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.2
_OUTPUT_TOKENS = 12
_NON_IDEMPOTENT_KINDS = {traffic.Kind.BOOKING, traffic.Kind.PICKUP}
_MODEL_KINDS = {traffic.Kind.BRIEF, traffic.Kind.SUMMARY}


@dataclasses.dataclass(frozen=True, slots=True)
class Executions:
    """What the plain services ran.

    Attributes:
      counts_by_digest: Runs by the body's SHA-256 digest.
      counts_by_path: Runs by path.
    """

    counts_by_digest: collections.Counter
    counts_by_path: collections.Counter


def plain_runs(fleet: local_fleet.LocalFleet) -> Executions:
    """Reads the journals of all plain services."""
    by_digest: collections.Counter = collections.Counter()
    by_path: collections.Counter = collections.Counter()
    for endpoint_id in fleet.endpoint_ids("plain"):
        journal = fleet.standin(endpoint_id, "GET", "/standin/journal")
        for entry in journal["ran"]:
            by_digest[entry["body_sha256"]] += 1
            by_path[entry["path"]] += 1
    return Executions(by_digest, by_path)


def lies(record: traffic.RequestRecord, run: Executions) -> list[str]:
    """Finds what is wrong with the answers to one request.

    Args:
      record: The request with its outcomes.
      run: What the plain services ran.

    Returns:
      A sentence for each fault, none if all is well.
    """
    found = []
    for outcome in record.outcomes:
        found.extend(_error_violations(outcome))
        if outcome.end is traffic.End.WHOLE:
            found.extend(_output_violations(record, outcome))
    if record.kind not in _MODEL_KINDS:
        found.extend(_execution_violations(record, run))
    return [f"{record.body}: {problem}" for problem in found]


def _error_violations(outcome: traffic.Outcome) -> list[str]:
    if outcome.end is not traffic.End.REFUSED:
        return []
    problems = []
    if outcome.run not in {"no", "unknown"}:
        problems.append(f"run is {outcome.run!r}")
    if outcome.run == "no" and outcome.text:
        problems.append("tokens came, yet it is said not to have run")
    if outcome.status == 500:
        problems.append(f"internal error {outcome.code}")
    return problems


def expected_text(prompt: str) -> str:
    """Returns the text with which an engine's stand-in answers a prompt."""
    digest = xxhash.xxh3_64_hexdigest(prompt.encode())[:8]
    return "".join(
        f" {digest}-{number}" for number in range(1, _OUTPUT_TOKENS + 1)
    )


def _output_violations(
    record: traffic.RequestRecord, outcome: traffic.Outcome
) -> list[str]:
    if record.kind in _MODEL_KINDS:
        if outcome.text != expected_text(record.body):
            return [f"got another text: {outcome.text!r}"]
        return []
    response = json.loads(outcome.text)
    matches = (
        response["path"].endswith(record.body)
        if record.kind is traffic.Kind.LOOKUP
        else response["received"] == record.body
    )
    return [] if matches else [f"got another's answer: {outcome.text}"]


def _execution_violations(
    record: traffic.RequestRecord, run: Executions
) -> list[str]:
    if record.kind is traffic.Kind.LOOKUP:
        execution_count = run.counts_by_path[f"/{record.body}"]
    else:
        digest = hashlib.sha256(record.body.encode()).hexdigest()
        execution_count = run.counts_by_digest[digest]
    problems = []
    if record.kind in _NON_IDEMPOTENT_KINDS and execution_count > 1:
        problems.append(f"unrepeatable, yet run {execution_count} times")
    ends = {outcome.end for outcome in record.outcomes}
    if traffic.End.WHOLE in ends and execution_count == 0:
        problems.append("answered, yet never run")
    not_run = record.outcomes and all(
        outcome.end is traffic.End.REFUSED and outcome.run == "no"
        for outcome in record.outcomes
    )
    if not_run and execution_count:
        problems.append("every call was told that it was not run, yet it was")
    return problems


def wait_until_nothing_is_held(
    fleet: local_fleet.LocalFleet,
) -> dict[str, dict[str, int]]:
    """Waits until no engine holds anything for a request.

    Args:
      fleet: The fleet; no caller is left.

    Returns:
      What is still held after the bound, by engine; empty if nothing.
    """
    end = time.monotonic() + _RELEASE_TIMEOUT_S
    while True:
        held = {}
        for endpoint_id in fleet.endpoint_ids("prefill", "decode"):
            state = fleet.standin(endpoint_id, "GET", "/standin/held")
            if state["slots"] or state["kv_blocks"] or state["exports"]:
                held[endpoint_id] = state
        if not held or time.monotonic() > end:
            return held
        time.sleep(_POLL_INTERVAL_S)
