"""Traces one request through the logs of several VMs and explains its end."""

import dataclasses
import json
import re
from collections.abc import Iterable

_FIELD_PATTERN = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')

# Events that change what a process knows of the cluster, the registry or its
# settings. They affect how a request is handled, so a trace includes those of
# the processes that handled the request.
_CONTEXT_EVENTS = frozenset(
    {
        "cell_joined",
        "endpoint_listed",
        "endpoints_listed",
        "endpoint_leaving",
        "endpoint_pause_ended",
        "endpoint_paused",
        "endpoint_removed",
        "endpoint_rate_limit_changed",
        "endpoint_rate_limit_ended",
        "endpoint_rate_limit_named",
        "home_chosen",
        "home_failed",
        "members_changed",
        "path_lost",
        "path_restored",
        "rate_permit_failed",
        "registry_away",
        "registry_back",
        "registry_from_peer",
        "registry_history_lost",
        "registry_reading",
        "requests_cut",
        "settings_in_force",
        "draining",
        "started",
        "stopped",
    }
)

# Events of failed attempts; their lines name the engine or server.
_FAILURE_EVENTS = ("attempt_lost", "call_lost", "stream_broken")

# Events about a request wherever it was sent; their lines name its fingerprint.
_QUARANTINE_EVENTS = frozenset(
    {
        "engine_crash_suspected",
        "prompt_part_held",
        "prompt_part_quarantined",
        "prompt_part_released",
        "request_acquitted",
        "request_held",
        "request_quarantined",
        "request_released",
    }
)

# Context events further back from the request's first line are unlikely to
# affect the request.
_MAX_EARLIER_CONTEXT_LINES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line.

    Attributes:
      time: Timestamp as written, which sorts in order of time.
      process: Name of the process that wrote the line.
      event: Name of the event.
      fields: Other key=value pairs, without the level.
    """

    time: str
    process: str
    event: str
    fields: dict[str, str]

    def request_id(self) -> str:
        """Returns the router's ID of the request, empty if there is none."""
        return self.fields.get("request", "")


def read(texts: Iterable[str]) -> list[LogLine]:
    """Parses log lines.

    Lines that lack a time, a process or an event, such as those of a traceback,
    are skipped.
    """
    return [line for line in map(_parse_line, texts) if line is not None]


def trace(lines: list[LogLine], wanted_id: str) -> list[LogLine]:
    """Selects the lines that concern a request, sorted by time.

    Args:
      lines: Lines of all logs.
      wanted_id: The router's ID of the request, the ID that its caller sent, or
        the fingerprint of a request that was sent several times, or the digest
        of a part of the prompt. All attempts of a caller at one stream are
        selected together.

    Returns:
      Lines of the request, what any process decided about its repetitions, and
      context events of the processes that handled it:
      the latest few before its first line, and all up to its last line. Empty
      if no line has this ID.
    """
    request_ids = {
        line.request_id()
        for line in lines
        if wanted_id
        in (
            line.request_id(),
            line.fields.get("caller"),
            line.fields.get("fingerprint"),
            *_parts(line),
        )
    } - {""}
    request_ids |= _relayed_ids(lines, request_ids)
    request_ids |= _resumed_ids(lines, request_ids)
    request_lines = [line for line in lines if line.request_id() in request_ids]
    if not request_lines:
        return []
    request_lines.sort(key=lambda line: line.time)
    request_processes = {line.process for line in request_lines}
    context_lines = [
        line
        for line in lines
        if line.process in request_processes
        and line.event in _CONTEXT_EVENTS
        and line.time <= request_lines[-1].time
    ]
    context_lines.sort(key=lambda line: line.time)
    earlier_context = [
        line for line in context_lines if line.time < request_lines[0].time
    ]
    concurrent_context = [
        line for line in context_lines if line.time >= request_lines[0].time
    ]
    selected = [
        *earlier_context[-_MAX_EARLIER_CONTEXT_LINES:],
        *concurrent_context,
        *request_lines,
        *_quarantine_lines(lines, request_lines),
    ]
    return sorted(selected, key=lambda line: line.time)


def _relayed_ids(lines: list[LogLine], request_ids: set[str]) -> set[str]:
    """Returns the ids that the requests have at other VMs that relay them."""
    pairs = {
        (line.request_id(), line.fields["relayed_as"])
        for line in lines
        if "relayed_as" in line.fields
    }
    return {
        request_id
        for pair in pairs
        if not request_ids.isdisjoint(pair)
        for request_id in pair
    }


def _resumed_ids(lines: list[LogLine], request_ids: set[str]) -> set[str]:
    """Returns the ids of the other attempts of a caller at a stream."""
    attempts = {
        attempt
        for line in lines
        if line.request_id() in request_ids
        for attempt in (line.fields.get("caller"), line.fields.get("resumes"))
    } - {None, ""}
    return {
        line.request_id()
        for line in lines
        if line.fields.get("caller") in attempts
        or line.fields.get("resumes") in attempts
    } - {""}


def _quarantine_lines(
    lines: list[LogLine], request_lines: list[LogLine]
) -> list[LogLine]:
    """Returns what processes decided about repetitions of the request."""
    features = {
        feature
        for line in request_lines
        for feature in (line.fields.get("fingerprint", ""), *_parts(line))
    } - {""}
    return [
        line
        for line in lines
        if line.event in _QUARANTINE_EVENTS
        and not features.isdisjoint(
            (line.fields.get("fingerprint"), line.fields.get("part"))
        )
    ]


def _parts(line: LogLine) -> list[str]:
    """Returns the parts of the prompt that a line of a request names."""
    if not line.request_id():
        return []
    return line.fields.get("prompt_parts", "").split(",")


def format_line(line: LogLine) -> str:
    """Formats a line of a trace; `*` marks the lines of the request itself."""
    summary = _DESCRIPTIONS_BY_EVENT.get(line.event, line.event)
    hidden_fields = {"request", "caller", "customer"}
    pairs = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden_fields and value
    ]
    marker = "*" if line.request_id() else " "
    return f"{marker} {line.time}  {line.process}  {summary}  {' '.join(pairs)}"


def describe_outcome(lines: list[LogLine]) -> str:
    """Describes how a request ended, whether it ran, and why attempts failed.

    Args:
      lines: Trace of the request.

    Returns:
      The description, on one line.
    """
    # The VM that got the request from its caller tells how it ended.
    end_lines = [
        line
        for line in lines
        if line.event == "request_ended" and "relayed_as" not in line.fields
    ]
    if not end_lines:
        return (
            "No line tells of its end: the process was killed, or still runs."
        )
    end_line = end_lines[-1]
    outcome = end_line.fields.get("outcome", "")
    reasons = [
        f"{line.fields.get('endpoint', '')}: {line.fields['reason']}"
        for line in lines
        if line.event in _FAILURE_EVENTS
    ]
    description = _DESCRIPTIONS_BY_OUTCOME.get(
        outcome, f"It ended as {outcome}."
    )
    may_have_executed = end_line.fields.get("run") == "unknown"
    execution = "It may have run." if may_have_executed else "It was not run."
    if outcome == "completed":
        execution = ""
    failures = f" Lost attempts: {'; '.join(reasons)}." if reasons else ""
    return f"{description} {execution}{failures}".replace("  ", " ").strip()


def _parse_line(text: str) -> LogLine | None:
    pairs = {
        name: json.loads(value) if value.startswith('"') else value
        for name, value in _FIELD_PATTERN.findall(text)
    }
    if not {"time", "process", "event"} <= pairs.keys():
        return None
    time = pairs.pop("time")
    process = pairs.pop("process")
    event = pairs.pop("event")
    pairs.pop("level", None)
    return LogLine(time, process, event, pairs)


_DESCRIPTIONS_BY_EVENT = {
    "engine_crash_suspected": "an engine seems to have ended with it",
    "request_acquitted": "an engine gave output for it",
    "prompt_part_held": "part of prompts held back until ends are confirmed",
    "prompt_part_quarantined": "part of prompts quarantined",
    "prompt_part_released": "part of prompts may be sent again",
    "request_held": "held back until ends of engines are confirmed",
    "request_quarantined": "quarantined, as engines ended with it",
    "request_released": "may be sent again",
    "placed": "placed on engines",
    "refused": "refused",
    "attempt_lost": "an attempt came to nothing",
    "call_lost": "a call came to nothing",
    "path_lost": "can connect to no endpoint",
    "path_restored": "can connect to endpoints again",
    "relay_declined": "a peer couldn't serve it either",
    "relay_failed": "the peer that served it gave no whole answer",
    "stream_broken": "its stream broke",
    "request_ended": "ended",
    "home_chosen": "asks another home",
    "home_failed": "a home gave no answer",
    "members_changed": "other VMs came or went",
    "registry_away": "the registry doesn't answer",
    "registry_back": "the registry answers again",
    "registry_reading": "begins or ends to read the registry itself",
    "settings_in_force": "new settings",
    "endpoint_listed": "an endpoint is listed",
    "endpoints_listed": "many endpoints are listed",
    "endpoint_leaving": "an endpoint says that it leaves",
    "endpoint_pause_ended": "an endpoint takes requests again",
    "endpoint_paused": "an endpoint wants no requests for a while",
    "endpoint_removed": "an endpoint is gone",
    "endpoint_rate_limit_changed": "an endpoint limits its requests otherwise",
    "endpoint_rate_limit_ended": "an endpoint no longer limits its requests",
    "endpoint_rate_limit_named": "an endpoint limits its requests",
    "rate_permit_failed": "the coordinator of limited servers didn't answer",
    "requests_cut": "cut what was left at its end",
}

_DESCRIPTIONS_BY_OUTCOME = {
    "completed": "It got its whole answer.",
    "caller_gone": "Its caller left.",
    "interrupted": "This process ended it, or ended before it.",
    "overloaded": "It was refused: there was no room in time.",
    "waited_too_long": "It was refused: no room came free in time.",
    "target_unreachable": "It was refused: it came too late to be of use.",
    "rate_limited": "It was refused: all servers limited their requests.",
    "no_endpoint": "It was refused: no engine serves this.",
    "path_lost": "Its VM lost its path to the endpoints.",
    "retry_budget_spent": "It failed, and too many retries ran already.",
    "endpoint_failed": "Its engines or servers failed.",
    "stream_broken": "Its stream broke and couldn't go on.",
    "timeout": "Its time was over.",
    "request_quarantined": (
        "It was refused: engines had ended when they began to run it."
    ),
    "leaving": "It was refused: this process was about to end.",
    "not_ready": "It was refused: this process knew no settings yet.",
    "path_not_found": "No route leads to its path.",
}
