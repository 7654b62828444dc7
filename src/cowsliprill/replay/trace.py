"""Trace files: workload and injected faults, as JSON lines.

The first line is the header, a `Trace` without demands. Each further line is
one `Demand`. A file with only a header is a synthetic trace: its demands are
drawn from the parameters in the header and a seed when the trace is replayed.
"""

import dataclasses
import json
import pathlib

from cowsliprill import errors


class TraceError(errors.CowsliprillError):
    """Raised for a trace that is missing or invalid."""

    code = "trace_invalid"
    exit_code = errors.ExitCode.USAGE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """One request of a caller.

    Retries after a refusal belong to the same demand.

    Attributes:
      at: Time of the first arrival in seconds from the start of the trace.
      user: Id of the calling customer.
      service: Id of the service.
      prompt_tokens: Length of the prompt.
      output_limit: Maximum number of output tokens that the caller requests.
      output_tokens: Number of output tokens that the engine generates.
      prefix: Hashes of the prompt's blocks, in order.
      gone_after: Seconds after submission at which the caller disconnects;
        0 means never.
    """

    at: float
    user: str
    service: str
    prompt_tokens: int
    output_limit: int
    output_tokens: int
    prefix: tuple[int, ...] = ()
    gone_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault injected at one endpoint.

    Attributes:
      kind: `lost` (the engine is down), `slow` (the engine is slower) or
        `link` (its network link is slower).
      endpoint: Id of the endpoint.
      start: Start in seconds from the start of the trace.
      end: End in seconds from the start of the trace.
      factor: Factor by which the engine or the link is slower.
    """

    kind: str
    endpoint: str
    start: float
    end: float
    factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trace:
    """A trace and the conditions under which it is replayed.

    Attributes:
      name: Name of the trace.
      note: Origin of the trace.
      site: Simulated fleet, a key of `sites.SITES_BY_NAME`.
      duration_s: Time at which arrivals and measurement end.
      load: Offered load as a multiple of the fleet's capacity.
      burst: Factor on the prompt lengths in the middle fifth of the trace.
      cancel_share: Fraction of the callers in the middle fifth of the trace
        that disconnect early.
      hot_prefixes: Fraction of the prompts that start with a popular prefix.
      skew: Factor on the request rate of the first customer.
      report_lag_s: Age of load reports on arrival, in seconds.
      event_gap: Fraction of cache events that are lost.
      faults: Injected faults.
      demands: Demands in order of arrival; empty in a header.
    """

    name: str
    note: str
    site: str
    duration_s: float = 120.0
    load: float = 0.7
    burst: float = 1.0
    cancel_share: float = 0.0
    hot_prefixes: float = 0.2
    skew: float = 1.0
    report_lag_s: float = 2.0
    event_gap: float = 0.05
    faults: tuple[Fault, ...] = ()
    demands: tuple[Demand, ...] = ()


def read(path: pathlib.Path) -> Trace:
    """Reads a trace file.

    Args:
      path: A file of JSON lines.

    Returns:
      The trace; without demands if the file has only a header.

    Raises:
      TraceError: The file is missing or is not a valid trace.
    """
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
        header = json.loads(lines[0])
        faults = tuple(Fault(**fault) for fault in header.pop("faults", ()))
        demands = []
        for line in lines[1:]:
            fields = json.loads(line)
            fields["prefix"] = tuple(fields.get("prefix", ()))
            demands.append(Demand(**fields))
        return Trace(**header, faults=faults, demands=tuple(demands))
    except (OSError, IndexError, ValueError, TypeError) as error:
        raise TraceError(f"{path}: {error}") from error


def write(trace: Trace, path: pathlib.Path) -> None:
    """Writes a trace file.

    Args:
      trace: The trace.
      path: The file to write.
    """
    header = dataclasses.asdict(trace)
    del header["demands"]
    lines = [json.dumps(header)]
    lines.extend(
        json.dumps(dataclasses.asdict(demand)) for demand in trace.demands
    )
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
