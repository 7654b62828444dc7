"""Command-line arguments of the `replay` command."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from cowsliprill.replay import trace as traces

TRACES_FOLDER = pathlib.Path("traces")


@cappa.command(
    name="replay",
    help="Play traces through the decision code in virtual time.",
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayCommand:
    """Replays traces and compares policies with baselines and a bound.

    Attributes:
      traces: Trace files.
      all: Whether to play every trace of `traces/`.
      seeds: Seeds; figures of the table are medians over these.
      policies: Names of policies to play; all if none is named, but for the
        naive one, which is slow, with `all`.
      json: Where to write all figures as JSON.
      jobs: Processes that share the work.
    """

    traces: Annotated[list[pathlib.Path], cappa.Arg(help="Trace files.")] = (
        dataclasses.field(default_factory=list)
    )
    all: Annotated[bool, cappa.Arg(long=True, help="Play traces/*.jsonl.")] = (
        False
    )
    seeds: Annotated[
        list[int], cappa.Arg(long="--seed", help="A seed; default 1 2 3.")
    ] = dataclasses.field(default_factory=list)
    policies: Annotated[
        list[str], cappa.Arg(long="--policy", help="A policy; default all.")
    ] = dataclasses.field(default_factory=list)
    json: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="JSON file to write.")
    ] = None
    jobs: Annotated[int, cappa.Arg(long=True, help="Processes to use.")] = 4


def trace_paths(command: ReplayCommand) -> list[pathlib.Path]:
    """Returns the paths of the traces to replay.

    Args:
      command: Parsed command-line arguments.

    Returns:
      Paths of trace files.

    Raises:
      trace.TraceError: The arguments select no trace.
    """
    paths = list(command.traces)
    if command.all:
        paths.extend(sorted(TRACES_FOLDER.glob("*.jsonl")))
    if not paths:
        raise traces.TraceError("no trace named: give files or --all")
    return paths
