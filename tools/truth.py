"""Invariant checks of a run under faults.

Compares the responses that callers received with the executions that the
endpoint stand-ins recorded.
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
    """Executions that the stand-ins of plain services recorded.

    Attributes:
      counts_by_digest: Number of executions by SHA-256 digest of the body.
      counts_by_path: Number of executions by request path.
    """

    counts_by_digest: collections.Counter
    counts_by_path: collections.Counter


def plain_executions(fleet: local_fleet.LocalFleet) -> Executions:
    """Reads the execution journals of all plain services' stand-ins."""
    by_digest: collections.Counter = collections.Counter()
    by_path: collections.Counter = collections.Counter()
    for endpoint_id in fleet.endpoint_ids("plain"):
        journal = fleet.standin(endpoint_id, "GET", "/standin/journal")
        for entry in journal["ran"]:
            by_digest[entry["body_sha256"]] += 1
            by_path[entry["path"]] += 1
    return Executions(by_digest, by_path)


def invariant_violations(
    record: traffic.RequestRecord, executions: Executions
) -> list[str]:
    """Finds the invariants that the outcomes of one request violate.

    Args:
      record: The request with its outcomes.
      executions: Executions that the plain services recorded.

    Returns:
      A message for each violation.
    """
    found = []
    for outcome in record.outcomes:
        found.extend(_error_violations(outcome))
        if outcome.end is traffic.CallEnd.COMPLETE:
            found.extend(_output_violations(record, outcome))
    if record.kind not in _MODEL_KINDS:
        found.extend(_execution_violations(record, executions))
    return [f"{record.body}: {problem}" for problem in found]


def _error_violations(outcome: traffic.Outcome) -> list[str]:
    if outcome.end is not traffic.CallEnd.REFUSED:
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
    """Returns the output that an engine's stand-in generates for a prompt."""
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
    record: traffic.RequestRecord, executions: Executions
) -> list[str]:
    if record.kind is traffic.Kind.LOOKUP:
        execution_count = executions.counts_by_path[f"/{record.body}"]
    else:
        digest = hashlib.sha256(record.body.encode()).hexdigest()
        execution_count = executions.counts_by_digest[digest]
    problems = []
    if record.kind in _NON_IDEMPOTENT_KINDS and execution_count > 1:
        problems.append(f"unrepeatable, yet run {execution_count} times")
    ends = {outcome.end for outcome in record.outcomes}
    if traffic.CallEnd.COMPLETE in ends and execution_count == 0:
        problems.append("answered, yet never run")
    not_run = record.outcomes and all(
        outcome.end is traffic.CallEnd.REFUSED and outcome.run == "no"
        for outcome in record.outcomes
    )
    if not_run and execution_count:
        problems.append("every call was told that it was not run, yet it was")
    return problems


def wait_until_released(
    fleet: local_fleet.LocalFleet,
) -> dict[str, dict[str, int]]:
    """Waits until the engines have released all resources, or a timeout.

    Resources are slots, KV cache blocks and exported KV caches.

    Args:
      fleet: The fleet, with no requests in progress.

    Returns:
      The resources still held at the timeout, by engine ID; empty if none.
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
