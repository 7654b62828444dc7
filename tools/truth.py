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

_HELD_BOUND_S = 60.0
_LOOK_AGAIN_S = 0.2
_ANSWER_TOKENS = 12
_UNREPEATABLE = {traffic.Kind.BOOKING, traffic.Kind.PICKUP}
_MODELS = {traffic.Kind.BRIEF, traffic.Kind.SUMMARY}


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What the plain services ran.

    Attributes:
      runs_by_digest: Runs by the body's SHA-256 digest.
      runs_by_path: Runs by path.
    """

    runs_by_digest: collections.Counter
    runs_by_path: collections.Counter


def plain_runs(fleet: local_fleet.LocalFleet) -> Run:
    """Reads the journals of all plain services."""
    by_digest: collections.Counter = collections.Counter()
    by_path: collections.Counter = collections.Counter()
    for endpoint_id in fleet.endpoint_ids("plain"):
        journal = fleet.standin(endpoint_id, "GET", "/standin/journal")
        for entry in journal["ran"]:
            by_digest[entry["body_sha256"]] += 1
            by_path[entry["path"]] += 1
    return Run(by_digest, by_path)


def lies(asked: traffic.Asked, run: Run) -> list[str]:
    """Finds what is wrong with the answers to one request.

    Args:
      asked: The request with its outcomes.
      run: What the plain services ran.

    Returns:
      A sentence for each fault, none if all is well.
    """
    found = []
    for outcome in asked.outcomes:
        found.extend(_shape_faults(outcome))
        if outcome.end is traffic.End.WHOLE:
            found.extend(_answer_faults(asked, outcome))
    if asked.kind not in _MODELS:
        found.extend(_run_faults(asked, run))
    return [f"{asked.body}: {fault}" for fault in found]


def _shape_faults(outcome: traffic.Outcome) -> list[str]:
    if outcome.end is not traffic.End.REFUSED:
        return []
    faults = []
    if outcome.run not in {"no", "unknown"}:
        faults.append(f"run is {outcome.run!r}")
    if outcome.run == "no" and outcome.text:
        faults.append("tokens came, yet it is said not to have run")
    if outcome.status == 500:
        faults.append(f"internal error {outcome.code}")
    return faults


def expected_text(prompt: str) -> str:
    """Returns the text with which an engine's stand-in answers a prompt."""
    digest = xxhash.xxh3_64_hexdigest(prompt.encode())[:8]
    return "".join(
        f" {digest}-{number}" for number in range(1, _ANSWER_TOKENS + 1)
    )


def _answer_faults(asked: traffic.Asked, outcome: traffic.Outcome) -> list[str]:
    if asked.kind in _MODELS:
        if outcome.text != expected_text(asked.body):
            return [f"got another text: {outcome.text!r}"]
        return []
    answer = json.loads(outcome.text)
    own = (
        answer["path"].endswith(asked.body)
        if asked.kind is traffic.Kind.LOOKUP
        else answer["received"] == asked.body
    )
    return [] if own else [f"got another's answer: {outcome.text}"]


def _run_faults(asked: traffic.Asked, run: Run) -> list[str]:
    if asked.kind is traffic.Kind.LOOKUP:
        runs = run.runs_by_path[f"/{asked.body}"]
    else:
        digest = hashlib.sha256(asked.body.encode()).hexdigest()
        runs = run.runs_by_digest[digest]
    faults = []
    if asked.kind in _UNREPEATABLE and runs > 1:
        faults.append(f"unrepeatable, yet run {runs} times")
    ends = {outcome.end for outcome in asked.outcomes}
    if traffic.End.WHOLE in ends and runs == 0:
        faults.append("answered, yet never run")
    not_run = asked.outcomes and all(
        outcome.end is traffic.End.REFUSED and outcome.run == "no"
        for outcome in asked.outcomes
    )
    if not_run and runs:
        faults.append("every call was told that it was not run, yet it was")
    return faults


def wait_until_nothing_is_held(
    fleet: local_fleet.LocalFleet,
) -> dict[str, dict[str, int]]:
    """Waits until no engine holds anything for a request.

    Args:
      fleet: The fleet; no caller is left.

    Returns:
      What is still held after the bound, by engine; empty if nothing.
    """
    end = time.monotonic() + _HELD_BOUND_S
    while True:
        held = {}
        for endpoint_id in fleet.endpoint_ids("prefill", "decode"):
            state = fleet.standin(endpoint_id, "GET", "/standin/held")
            if state["slots"] or state["kv_blocks"] or state["exports"]:
                held[endpoint_id] = state
        if not held or time.monotonic() > end:
            return held
        time.sleep(_LOOK_AGAIN_S)
