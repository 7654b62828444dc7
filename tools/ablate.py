"""Ablation study: simulated days with one scheduling mechanism switched off.

    python -m tools.ablate --bench PATH --site FILE [--site FILE ...]
        [--days N,...] [--off M,...] [--seeds N,...] [--jobs N]

Each variant runs in a git clone of the committed sources that differs only in
the process setting `mechanisms_off`. Results are appended to a JSON Lines file;
with `--table` that file is printed as the table of `docs/ABLATION.md`.
"""

import asyncio
import collections
import dataclasses
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
import tomllib
from typing import Annotated

import cappa

from cowsliprill.decisions import mechanisms

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_CLONES_FOLDER = _ROOT / "target" / "ablation"
_BASELINE = "none"
_ROW = re.compile(
    r"^(?P<day>\S+) +\S+/\S+ +\S+ +(?P<worth>-?[\d.]+) +(?P<served>[\d.]+) "
)
# The simulator prints the names of violated rules in capitals.
_BROKEN_RULE = re.compile(r"\b[A-Z]{3,}\b")


@dataclasses.dataclass
class Ablate:
    """Play days with each mechanism switched off."""

    bench: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="The bench's program.")
    ] = None
    site: Annotated[
        list[pathlib.Path], cappa.Arg(long=True, help="A deployment's file.")
    ] = dataclasses.field(default_factory=list)
    days: Annotated[
        str, cappa.Arg(long=True, help="Days by name; all if left out.")
    ] = ""
    off: Annotated[
        str, cappa.Arg(long=True, help="Mechanisms by name; all if left out.")
    ] = ""
    seeds: Annotated[
        str, cappa.Arg(long=True, help="Seeds; each day's own if left out.")
    ] = ""
    jobs: Annotated[
        int, cappa.Arg(long=True, help="Plays at the same time.")
    ] = 4
    results: Annotated[
        pathlib.Path, cappa.Arg(long=True, help="File of JSON lines.")
    ] = _CLONES_FOLDER / "results.jsonl"
    table: Annotated[
        bool, cappa.Arg(long=True, help="Only write the table.")
    ] = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DayResult:
    """Result of one simulated day of one deployment.

    The field names are the keys of the results file.

    Attributes:
      without: Mechanism that was switched off, or `none` for the baseline.
      site: Name of the deployment.
      day: Name of the simulated day.
      seed: Random seed; empty for the day's default seed.
      worth: Score that the simulator reports for the day.
      served: Fraction of the total request value that was served.
      broken: Name of a violated rule; empty if every rule was met.
    """

    without: str
    site: str
    day: str
    seed: str
    worth: float
    served: float
    broken: str


def main() -> int:
    """Runs the simulations or prints the table; returns the exit code."""
    arguments = cappa.parse(Ablate)
    arguments.site = [site.resolve() for site in arguments.site]
    if not arguments.table:
        if arguments.bench is None or not arguments.site:
            print("ablate: --bench and --site are needed", file=sys.stderr)
            return 2
        asyncio.run(_run_all(arguments))
    for line in table(read(arguments.results)):
        print(line)
    return 0


def read(path: pathlib.Path) -> list[DayResult]:
    """Reads the results from a JSON Lines file."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return [DayResult(**json.loads(line)) for line in lines]


def parse(text: str, day: str) -> tuple[float, float, str]:
    """Parses the result of one day from the simulator's output.

    Args:
      text: Output of the simulator.
      day: Name of the day to look up.

    Returns:
      The score, the served fraction of the request value and the name of a
      violated rule (empty if none was violated).

    Raises:
      ValueError: The output has no row for the day.
    """
    for line in text.splitlines():
        row = _ROW.match(line)
        if row and row["day"] == day:
            broken = _BROKEN_RULE.search(line)
            broken_rule = broken[0] if broken else ""
            return float(row["worth"]), float(row["served"]), broken_rule
    raise ValueError(f"no result of {day} in: {text[-500:]}")


def table(plays: list[DayResult]) -> list[str]:
    """Returns a Markdown table of the score change without each mechanism.

    Each variant is compared with the baseline over the days that both have.

    Args:
      plays: Results of the baseline and of the variants.

    Returns:
      The lines of the table.
    """
    values_by_variant: dict[str, dict[tuple[str, str, str], float]] = (
        collections.defaultdict(dict)
    )
    broken: collections.Counter[str] = collections.Counter()
    for play in plays:
        key = (play.site, play.day, play.seed)
        values_by_variant[play.without][key] = play.worth
        broken[play.without] += bool(play.broken)
    baseline = values_by_variant.get(_BASELINE, {})
    sites = sorted({site for site, _, _ in baseline})
    lines = [
        "| without | days | " + " | ".join(sites) + " | all | spread | rules |",
        "|---|---|" + "---|" * (len(sites) + 3),
    ]
    for name, variant_values in sorted(values_by_variant.items()):
        shared = sorted(variant_values.keys() & baseline.keys())
        if not shared:
            continue
        gains = {key: variant_values[key] - baseline[key] for key in shared}
        columns = []
        for site in sites:
            site_gains = [gain for key, gain in gains.items() if key[0] == site]
            columns.append(
                f"{statistics.fmean(site_gains):+.3f}" if site_gains else ""
            )
        spread = statistics.pstdev(gains.values())
        lines.append(
            f"| {name} | {len(shared)} | {' | '.join(columns)} |"
            f" {statistics.fmean(gains.values()):+.3f} | {spread:.3f} |"
            f" {broken[name]} broken |"
        )
    return lines


async def _run_all(arguments: Ablate) -> None:
    names = [item.value for item in mechanisms.Mechanism]
    variants = [_BASELINE, *(_split_names(arguments.off) or names)]
    arguments.results.parent.mkdir(parents=True, exist_ok=True)
    slots = asyncio.Semaphore(arguments.jobs)
    plays = []
    for variant in variants:
        copy = _clone_sources(variant)
        plays += [
            _run_day(arguments, slots, variant, copy, site, day, seed)
            for site in arguments.site
            for day in _split_names(arguments.days) or _days(site)
            for seed in _split_names(arguments.seeds) or [""]
        ]
    await asyncio.gather(*plays)


async def _run_day(
    arguments: Ablate,
    slots: asyncio.Semaphore,
    variant: str,
    copy: pathlib.Path,
    site: pathlib.Path,
    day: str,
    seed: str,
) -> None:
    command = [str(arguments.bench), "run", str(site), day]
    command += ["--jobs", "1", "--why", f"ablation: without {variant}"]
    command += ["--seed", seed] if seed else []
    async with slots:
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=copy,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
    try:
        worth, served, broken = parse(output.decode(), day)
    except ValueError as error:
        print(f"ablate: {variant} {site.stem} {day}: {error}", file=sys.stderr)
        return
    play = DayResult(
        without=variant,
        site=site.stem,
        day=day,
        seed=seed,
        worth=worth,
        served=served,
        broken=broken,
    )
    with arguments.results.open("a", encoding="utf-8") as results:
        results.write(json.dumps(dataclasses.asdict(play)) + "\n")
    _copy_journal_back(copy)


def _clone_sources(variant: str) -> pathlib.Path:
    """Clones the committed sources and switches one mechanism off there."""
    copy = _CLONES_FOLDER / variant
    if copy.exists():
        shutil.rmtree(copy)
    clone = ["git", "clone", "--quiet", str(_ROOT), str(copy)]
    subprocess.run(clone, check=True)
    libraries = _ROOT / "target" / "deps"
    if libraries.exists():
        shutil.copytree(libraries, copy / "target" / "deps", symlinks=True)
    if variant != _BASELINE:
        _switch_off(copy / "deploy" / "settings.json", variant)
    return copy


def _switch_off(template: pathlib.Path, variant: str) -> None:
    # The template has placeholders and isn't valid JSON until the platform
    # fills them in, so the setting is appended as text.
    text = template.read_text(encoding="utf-8").rstrip()
    setting = f',\n  "mechanisms_off": {json.dumps([variant])}\n}}\n'
    template.write_text(text.removesuffix("}").rstrip() + setting)


def _copy_journal_back(copy: pathlib.Path) -> None:
    """Copies new journal entries from the clone, including those of trials."""
    for entry in (copy / "journal").rglob("*"):
        target = _ROOT / "journal" / entry.relative_to(copy / "journal")
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(entry, target)


def _days(site: pathlib.Path) -> list[str]:
    document = tomllib.loads(site.read_text(encoding="utf-8"))
    return [day["name"] for day in document["day"]]


def _split_names(text: str) -> list[str]:
    return [item for item in text.split(",") if item]


if __name__ == "__main__":
    sys.exit(main())
