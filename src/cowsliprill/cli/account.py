"""Aggregates request outcomes from the logs of all VMs.

Does no I/O. `explain` traces a single request; this module summarizes all of
them by arrival time, service, customer, availability zone and prompt size, and
counts failed attempts by reason.
"""

import collections
import dataclasses
import datetime
import statistics
from collections.abc import Callable
from collections.abc import Iterable

from cowsliprill.cli import explain

COMPLETED = "completed"
CALLER_GONE = "caller_gone"

# Outcomes of requests that were rejected before an engine or server was called.
_REFUSAL_OUTCOMES = frozenset(
    {
        "overloaded",
        "waited_too_long",
        "target_unreachable",
        "no_endpoint",
        "not_ready",
        "leaving",
        "request_quarantined",
        "settings_unconfirmed",
    }
)

# Outcomes of requests that the settings don't allow. These are errors of the
# caller and don't count as failures of the router.
_DENIAL_OUTCOMES = frozenset(
    {
        "path_not_found",
        "service_not_found",
        "invalid_api_key",
        "quota_exceeded",
    }
)
_NO_ROUTE = "(no route)"
_FAILURE_EVENTS = ("attempt_lost", "call_lost", "stream_broken")
_TIME_FORMATS = ("%Y-%m-%d %H:%M:%S,%f", "%Y-%m-%d %H:%M:%S")
_UNKNOWN = "?"
_MS_PER_S = 1_000

# Text beyond this length differs between failures that have the same cause.
_MAX_REASON_CHARACTERS = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedRequest:
    """A finished request, as its `request_ended` log line describes it.

    Attributes:
      arrival_s: Arrival time in seconds since the earliest log line.
      service: Service ID, or a placeholder if the request had none.
      customer: Customer ID, empty if unknown.
      zone: Availability zone of the VM that received the request.
      outcome: Outcome, such as `completed` or `overloaded`.
      in_time: Whether the response met its latency targets.
      prompt_tokens: Prompt length in tokens, 0 for a request to a plain
        service.
      ttft_s: Time in seconds from arrival to the first token or the response,
        or to the end of the request if there was neither.
      wasted_prefills: Number of prefills whose result was not used.
    """

    arrival_s: float
    service: str
    customer: str
    zone: str
    outcome: str
    in_time: bool
    prompt_tokens: int
    ttft_s: float
    wasted_prefills: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Load of a pool at one point in time, as reported by its coordinator.

    Attributes:
      time_s: Time in seconds since the earliest log line.
      pool: Name of the pool.
      reserved_fraction: Fraction of the pool's decode slots that was reserved.
      queued: Number of queued requests.
    """

    time_s: float
    pool: str
    reserved_fraction: float
    queued: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """A failed attempt to serve a request at an engine or server.

    Attributes:
      time_s: Time in seconds since the earliest log line.
      event: Log event: `attempt_lost`, `call_lost` or `stream_broken`.
      stage: Stage that failed, such as prefill or decode; empty for a request
        to a plain service.
      reason: Reason, without addresses, so that equal failures compare equal.
    """

    time_s: float
    event: str
    stage: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogRecords:
    """Records collected from the logs.

    Attributes:
      requests: Finished requests.
      pool_loads: Samples of the load of each pool.
      failed_attempts: Failed attempts at engines and servers.
      refusals_by_reason: Log lines of refused requests by reason.
    """

    requests: list[EndedRequest]
    pool_loads: list[PoolLoad]
    failed_attempts: list[FailedAttempt]
    refusals_by_reason: dict[str, list[explain.LogLine]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupSummary:
    """Totals of one group of requests.

    Attributes:
      name: Value that the requests of the group share, for display.
      request_count: Number of requests.
      in_time: Number of requests completed within their latency targets.
      late: Number of requests completed past their latency targets.
      refused: Number of requests rejected before an engine or server was
        called.
      denied: Number of requests that the settings don't allow: no matching
        route, no valid API key, or over a quota.
      failed: Number of requests that ended in any other way, except for those
        counted as disconnected.
      disconnected: Number of requests whose caller disconnected.
      ttft_median_s: Median TTFT of completed requests in seconds.
      ttft_p99_s: 99th percentile of the TTFT of completed requests in seconds.
      wasted_fraction: Tokens of wasted prefills in the whole group, divided by
        the tokens prefilled for completed requests.
    """

    name: str
    request_count: int
    in_time: int
    late: int
    refused: int
    denied: int
    failed: int
    disconnected: int
    ttft_median_s: float
    ttft_p99_s: float
    wasted_fraction: float


def collect(lines: Iterable[explain.LogLine]) -> LogRecords:
    """Collects requests, pool loads and failures from log lines.

    Args:
      lines: Log lines of all VMs, in any order.

    Returns:
      The records, with times relative to the earliest line.
    """
    timed_lines = [(_parse_timestamp_s(line.time), line) for line in lines]
    start_s = min((timestamp_s for timestamp_s, _ in timed_lines), default=0.0)
    zones_by_process = {
        line.process: line.fields["availability_zone"]
        for _, line in timed_lines
        if line.event == "started" and "availability_zone" in line.fields
    }
    requests: list[EndedRequest] = []
    pool_loads: list[PoolLoad] = []
    failed_attempts: list[FailedAttempt] = []
    refusals_by_reason: dict[str, list[explain.LogLine]] = (
        collections.defaultdict(list)
    )
    for timestamp_s, line in timed_lines:
        match line.event:
            case "request_ended" if "relayed_as" in line.fields:
                # Counted at the VM that the caller sent it to.
                pass
            case "request_ended":
                zone = zones_by_process.get(line.process, _UNKNOWN)
                requests.append(
                    _parse_request(line, timestamp_s - start_s, zone)
                )
            case "pool_standing":
                pool_loads.append(_parse_pool_load(line, timestamp_s - start_s))
            case "refused":
                refusals_by_reason[line.fields.get("reason", _UNKNOWN)].append(
                    line
                )
            case event if event in _FAILURE_EVENTS:
                failed_attempts.append(
                    _parse_failed_attempt(line, timestamp_s - start_s)
                )
    return LogRecords(
        requests=requests,
        pool_loads=pool_loads,
        failed_attempts=failed_attempts,
        refusals_by_reason=refusals_by_reason,
    )


def summarize_by_time(records: LogRecords, step_s: float) -> list[GroupSummary]:
    """Summarizes requests by arrival time, in intervals of `step_s` seconds."""

    def group_name(item: EndedRequest) -> str:
        return _interval_name(item.arrival_s, step_s)

    return _summarize_groups(
        records.requests, group_name, lambda group: group[0].arrival_s
    )


def summarize_by_service(records: LogRecords) -> list[GroupSummary]:
    """Summarizes requests by service, the largest group first."""
    return _summarize_groups(
        records.requests, lambda item: item.service, _negative_group_size
    )


def summarize_by_customer(records: LogRecords) -> list[GroupSummary]:
    """Summarizes requests of known customers, the largest group first."""
    with_customer = [item for item in records.requests if item.customer]
    return _summarize_groups(
        with_customer, lambda item: item.customer, _negative_group_size
    )


def summarize_by_zone(records: LogRecords) -> list[GroupSummary]:
    """Summarizes requests by availability zone, the largest group first."""
    return _summarize_groups(
        records.requests, lambda item: item.zone, _negative_group_size
    )


def summarize_by_prompt_size(records: LogRecords) -> list[GroupSummary]:
    """Summarizes model requests by the length of their prompts.

    The longest 10% of prompts and the next 20% are separate groups: a mean over
    all requests would hide both failures of long prompts and what long prompts
    cost other requests.
    """
    model_requests = [item for item in records.requests if item.prompt_tokens]
    sizes = sorted(item.prompt_tokens for item in model_requests)
    if not sizes:
        return []
    p90_tokens = sizes[int(len(sizes) * 0.9)]
    p70_tokens = sizes[int(len(sizes) * 0.7)]

    def group_name(item: EndedRequest) -> str:
        if item.prompt_tokens >= p90_tokens:
            return f"largest tenth, from {p90_tokens}"
        if item.prompt_tokens >= p70_tokens:
            return f"fifth below, from {p70_tokens}"
        return "others"

    return _summarize_groups(model_requests, group_name, _negative_group_size)


def peak_load_by_interval(
    records: LogRecords, step_s: float
) -> dict[str, tuple[float, int]]:
    """Returns the peak pool load in each time interval.

    Args:
      records: Records of the logs.
      step_s: Length of an interval in seconds.

    Returns:
      The maximum fraction of reserved decode slots and the maximum number of
      queued requests over all pools, by the name of the interval.
    """
    peak_by_interval: dict[str, tuple[float, int]] = {}
    for item in sorted(records.pool_loads, key=lambda item: item.time_s):
        name = _interval_name(item.time_s, step_s)
        reserved_fraction, queued = peak_by_interval.get(name, (0.0, 0))
        peak_by_interval[name] = (
            max(reserved_fraction, item.reserved_fraction),
            max(queued, item.queued),
        )
    return peak_by_interval


def count_failed_attempts(
    records: LogRecords,
) -> list[tuple[str, str, str, int]]:
    """Returns (event, stage, reason, count) tuples, the most frequent first."""
    counts = collections.Counter(
        (item.event, item.stage, item.reason)
        for item in records.failed_attempts
    )
    return [(*key, count) for key, count in counts.most_common()]


def _summarize_groups(
    items: Iterable[EndedRequest],
    name_of: Callable[[EndedRequest], str],
    sort_key: Callable[[list[EndedRequest]], float],
) -> list[GroupSummary]:
    groups: dict[str, list[EndedRequest]] = {}
    for item in sorted(items, key=lambda item: item.arrival_s):
        groups.setdefault(name_of(item), []).append(item)
    sorted_groups = sorted(groups.items(), key=lambda pair: sort_key(pair[1]))
    return [
        _summarize(group_name, group) for group_name, group in sorted_groups
    ]


def _interval_name(time_s: float, step_s: float) -> str:
    """Returns the name of the time interval that contains a time."""
    return f"{time_s // step_s * step_s:g} s"


def _negative_group_size(group: list[EndedRequest]) -> float:
    return -len(group)


def _summarize(name: str, group: list[EndedRequest]) -> GroupSummary:
    completed = [item for item in group if item.outcome == COMPLETED]
    in_time = sum(item.in_time for item in completed)
    refused = sum(item.outcome in _REFUSAL_OUTCOMES for item in group)
    denied = sum(item.outcome in _DENIAL_OUTCOMES for item in group)
    disconnected = sum(item.outcome == CALLER_GONE for item in group)
    ttfts_s = sorted(item.ttft_s for item in completed)
    prefilled_tokens = sum(
        item.prompt_tokens * (1 + item.wasted_prefills) for item in completed
    )
    wasted_prompt_tokens = sum(
        item.prompt_tokens * item.wasted_prefills for item in group
    )
    return GroupSummary(
        name=name,
        request_count=len(group),
        in_time=in_time,
        late=len(completed) - in_time,
        refused=refused,
        denied=denied,
        disconnected=disconnected,
        failed=len(group) - len(completed) - refused - denied - disconnected,
        ttft_median_s=statistics.median(ttfts_s) if ttfts_s else 0.0,
        ttft_p99_s=ttfts_s[int(len(ttfts_s) * 0.99)] if ttfts_s else 0.0,
        wasted_fraction=wasted_prompt_tokens / max(prefilled_tokens, 1),
    )


def _parse_request(
    line: explain.LogLine, time_s: float, zone: str
) -> EndedRequest:
    fields = line.fields
    duration_s = _parse_number(fields, "took_ms") / _MS_PER_S
    outcome = fields.get("outcome", _UNKNOWN)
    default_service = _NO_ROUTE if outcome == "path_not_found" else _UNKNOWN
    return EndedRequest(
        arrival_s=time_s - duration_s,
        service=fields.get("service") or default_service,
        customer=fields.get("customer", ""),
        zone=zone,
        outcome=outcome,
        in_time=fields.get("in_time") == "true",
        prompt_tokens=int(_parse_number(fields, "prompt_tokens")),
        ttft_s=_parse_number(fields, "ttft_ms") / _MS_PER_S,
        wasted_prefills=int(_parse_number(fields, "wasted_prompts")),
    )


def _parse_pool_load(line: explain.LogLine, time_s: float) -> PoolLoad:
    fields = line.fields
    return PoolLoad(
        time_s=time_s,
        pool=fields.get("pool", _UNKNOWN),
        reserved_fraction=_parse_number(fields, "promised")
        / max(_parse_number(fields, "slots"), 1.0),
        queued=int(_parse_number(fields, "waiting")),
    )


def _parse_failed_attempt(
    line: explain.LogLine, time_s: float
) -> FailedAttempt:
    segments = line.fields.get("reason", _UNKNOWN).split(": ")
    # A reason starts with the peer's address and ends with the operating
    # system's message. Segments that start with a digit, such as addresses, are
    # dropped so that failures with the same cause are counted together.
    kept_segments = [
        segment for segment in segments if not segment[:1].isdigit()
    ]
    return FailedAttempt(
        time_s=time_s,
        event=line.event,
        stage=line.fields.get("stage", ""),
        reason=": ".join(kept_segments)[:_MAX_REASON_CHARACTERS],
    )


def _parse_number(fields: dict[str, str], name: str) -> float:
    try:
        return float(fields.get(name) or 0.0)
    except ValueError:
        # The line was truncated when its process ended. The other lines remain
        # usable.
        return 0.0


def _parse_timestamp_s(text: str) -> float:
    for time_format in _TIME_FORMATS:
        try:
            parsed_time = datetime.datetime.strptime(text, time_format)
        except ValueError:
            continue
        return parsed_time.replace(tzinfo=datetime.UTC).timestamp()
    return 0.0
