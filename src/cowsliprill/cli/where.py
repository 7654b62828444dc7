"""Prints where a model request would go, as the pool's coordinator tells."""

import dataclasses
from collections.abc import Iterator
from typing import Any
from urllib import parse

from cowsliprill import peers
from cowsliprill.cli import commands

_HEADER = ("role", "engine", "zone", "free", "ejected", "cost", "parts")


def url(command: commands.WhereCommand) -> str:
    """Returns the URL to ask for the placement."""
    arguments = {
        name: value
        for name, value in dataclasses.asdict(command).items()
        if name != "url" and value not in (None, "")
    }
    query = parse.urlencode(arguments)
    return f"{command.url}{peers.PLACEMENT_PATH}?{query}"


def format_lines(preview: dict[str, Any]) -> Iterator[str]:
    """Yields the lines that tell a preview.

    Args:
      preview: Fields of `placement_preview.Preview`.
    """
    yield _verdict(preview)
    share = "over" if preview["over_share"] else "within"
    yield (
        f"Priority {preview['priority']}, service {preview['service'] or '-'}; "
        f"the customer is {share} its share; "
        f"{preview['requests_ahead']} requests with "
        f"{preview['slots_ahead']} slots are ahead."
    )
    rows = [_HEADER, *map(_row, preview["engines"])]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        yield "  ".join(f"{text:<{width}}" for text, width in cells).rstrip()


def _verdict(preview: dict[str, Any]) -> str:
    wait = f"{preview['wait_s']:.3f} s"
    match preview["verdict"]:
        case "start":
            return (
                f"Starts now at {preview['prefill_id']} (prefill) and "
                f"{preview['decode_id']} (decode)."
            )
        case "wait":
            late = ", behind those in time" if preview["late"] else ""
            return f"Waits, expected for {wait}{late}."
        case _:
            return f"Refused: {preview['code']}, expected wait {wait}."


def _row(engine: dict[str, Any]) -> tuple[str, ...]:
    cost_s = engine["cost_s"]
    parts = [
        f"{name}={seconds:.4f}"
        for name, seconds in engine["cost_parts"].items()
        if seconds
    ]
    return (
        engine["role"],
        engine["id"],
        engine["availability_zone"],
        str(engine["free_slots"]),
        "yes" if engine["ejected"] else "no",
        "-" if cost_s is None else f"{cost_s:.4f}",
        " ".join(parts),
    )
