"""Traces: what callers ask for and what fails, as JSON lines.

The first line is the header, a `Trace` without its requests. Each further line
is one `Demand`. A file that has only the header is synthetic: its demands are
drawn from the header's recipe with a seed (see `generate`).
"""

import dataclasses
import json
import pathlib

from cowsliprill import errors


class TraceError(errors.CowsliprillError):
    """Raised for a trace that can't be read."""

    code = "trace_invalid"
    exit_code = errors.ExitCode.USAGE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """One request that a caller wants answered.

    A caller that is refused comes back; that is the same demand.

    Attributes:
      at: When it first arrives, seconds from the start.
      user: The calling user.
      service: Id of the service.
      prompt_tokens: Length of the prompt.
      output_limit: Tokens asked for at most.
      output_tokens: Tokens that the engine will generate.
      prefix: Hashes of the prompt's blocks, first block first.
      gone_after: The caller leaves this long after arrival; 0 means never.
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
    """Something that goes wrong at one endpoint.

    Attributes:
      kind: `lost`, `slow` (engine) or `link` (its link).
      endpoint: Id of the endpoint.
      start: When it begins, seconds.
      end: When it ends, seconds.
      factor: By how much it is slower.
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
      name: Its name.
      note: Where it comes from.
      site: Which user's fleet it is played against, a key of `sites`.
      duration_s: Arrivals and measurement end then.
      load: Offered load as a multiple of the fleet's capacity.
      burst: Factor on the lengths of prompts in the middle fifth.
      cancel_share: Share of callers in the middle fifth who leave early.
      hot_prefixes: Share of the prompts that open with a popular prefix.
      skew: Factor on the first user's demand.
      report_lag_s: Age of load reports on arrival.
      event_gap: Share of cache events that are lost.
      faults: What goes wrong.
      demands: The requests, by time; empty in a header.
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
    """Reads a trace.

    Args:
      path: A file of JSON lines.

    Returns:
      The trace; without demands if the file has only a header.

    Raises:
      TraceError: The file is missing or not a trace.
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
    """Writes a trace.

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
