"""The story of one request, out of the logs of several VMs."""

import dataclasses
import json
import re
from collections.abc import Iterable

_PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')

# What a request's line is read together with: news of the same VM that change
# what it believes, shortly before.
_CONTEXT_EVENTS = frozenset(
    {
        "cell_joined",
        "endpoint_listed",
        "endpoints_listed",
        "endpoint_removed",
        "home_chosen",
        "home_failed",
        "members_changed",
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

# Lines that say what an engine or server did.
_LOSSES = ("attempt_lost", "call_lost", "stream_broken")

# News so much older than the request's first line don't belong to its story.
_CONTEXT_LINES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    Attributes:
      time: Its time, as written.
      process: The process that wrote it.
      event: What happened.
      fields: Further pairs.
    """

    time: str
    process: str
    event: str
    fields: dict[str, str]

    def request(self) -> str:
        """Returns our id of the request that it is about, empty for none."""
        return self.fields.get("request", "")


def read(text: Iterable[str]) -> list[Line]:
    """Reads lines of a log; what is no line of ours is passed over."""
    return [line for line in map(_read_line, text) if line is not None]


def story(lines: list[Line], wanted: str) -> list[Line]:
    """Picks what tells of a request, in order of time.

    Args:
      lines: Lines of all logs.
      wanted: Our id of the request or its caller's own.

    Returns:
      Lines about the request, and before them the newest news of its VM.
    """
    requests = {
        line.request()
        for line in lines
        if wanted in (line.request(), line.fields.get("caller"))
    } - {""}
    own = [line for line in lines if line.request() in requests]
    if not own:
        return []
    own.sort(key=lambda line: line.time)
    processes = {line.process for line in own}
    news = [
        line
        for line in lines
        if line.process in processes
        and line.event in _CONTEXT_EVENTS
        and line.time <= own[-1].time
    ]
    news.sort(key=lambda line: line.time)
    before = [line for line in news if line.time < own[0].time]
    amid = [line for line in news if line.time >= own[0].time]
    picked = [*before[-_CONTEXT_LINES:], *amid, *own]
    return sorted(picked, key=lambda line: line.time)


def tell(line: Line) -> str:
    """Writes a line of the story for a person."""
    words = _WORDS_BY_EVENT.get(line.event, line.event)
    hidden = {"request", "caller", "customer"}
    pairs = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden and value
    ]
    mark = "*" if line.request() else " "
    return f"{mark} {line.time}  {line.process}  {words}  {' '.join(pairs)}"


def cause(lines: list[Line]) -> str:
    """Says in one sentence how a request ended, and why."""
    ended = [line for line in lines if line.event == "request_ended"]
    if not ended:
        return (
            "No line tells of its end: the process was killed, or still runs."
        )
    last = ended[-1]
    outcome = last.fields.get("outcome", "")
    reasons = [
        f"{line.fields.get('endpoint', '')}: {line.fields['reason']}"
        for line in lines
        if line.event in _LOSSES
    ]
    words = _WORDS_BY_OUTCOME.get(outcome, f"It ended as {outcome}.")
    unknown = last.fields.get("run") == "unknown"
    ran = "It may have run." if unknown else "It was not run."
    if outcome == "completed":
        ran = ""
    told = f" Lost attempts: {'; '.join(reasons)}." if reasons else ""
    return f"{words} {ran}{told}".replace("  ", " ").strip()


def _read_line(text: str) -> Line | None:
    pairs = {
        name: json.loads(value) if value.startswith('"') else value
        for name, value in _PAIR.findall(text)
    }
    if not {"time", "process", "event"} <= pairs.keys():
        return None
    time = pairs.pop("time")
    process = pairs.pop("process")
    event = pairs.pop("event")
    pairs.pop("level", None)
    return Line(time, process, event, pairs)


_WORDS_BY_EVENT = {
    "placed": "placed on engines",
    "refused": "refused",
    "attempt_lost": "an attempt came to nothing",
    "call_lost": "a call came to nothing",
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
    "endpoint_removed": "an endpoint is gone",
    "requests_cut": "cut what was left at its end",
}

_WORDS_BY_OUTCOME = {
    "completed": "It got its whole answer.",
    "caller_gone": "Its caller left, or this process ended.",
    "overloaded": "It was refused: there was no room in time.",
    "waited_too_long": "It was refused: no room came free in time.",
    "target_unreachable": "It was refused: it came too late to be of use.",
    "no_endpoint": "It was refused: no engine serves this.",
    "retry_budget_spent": "It failed, and too many retries ran already.",
    "endpoint_failed": "Its engines or servers failed.",
    "stream_broken": "Its stream broke and couldn't go on.",
    "timeout": "Its time was over.",
    "leaving": "It was refused: this process was about to end.",
    "not_ready": "It was refused: this process knew no settings yet.",
    "path_not_found": "No route leads to its path.",
}
