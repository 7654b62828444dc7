"""Derives a deployment from an existing site file by changing some values.

    python -m tools.own_site BASE deploy/sites/NAME.toml FOLDER

BASE, a site file that the users supply, is only read. The second file lists the
differences: the name, the engines, and the sizes of prompts and outputs. The
new site file, and the file of wire names next to BASE, are written to FOLDER.
"""

import pathlib
import shutil
import sys
import tomllib
from typing import Any

import tomli_w

_WIRE_KEY = "wire"
_USAGE = "usage: python -m tools.own_site BASE CHANGES FOLDER"


def with_changes(
    site: dict[str, Any], changes: dict[str, Any]
) -> dict[str, Any]:
    """Returns a copy of a deployment with other engines and stream sizes.

    Args:
      site: Parsed site file to start from.
      changes: `name`; `engine` with `count` (engines per availability zone),
        `slots` and `llm`; `streams` with `prompt_tokens` and `pieces`, each a
        table of fields.

    Returns:
      The changed site.
    """
    services = [
        _service_with_changes(service, changes["engine"])
        for service in site["services"]
    ]
    classes = [
        _class_with_changes(item, changes["streams"])
        for item in site["classes"]
    ]
    return {
        **site,
        "name": changes["name"],
        "services": services,
        "classes": classes,
    }


def _service_with_changes(
    service: dict[str, Any], engine: dict[str, Any]
) -> dict[str, Any]:
    if "llm" not in service:
        return service
    return {
        **service,
        "slots": engine["slots"],
        "servers": [
            {**item, "count": engine["count"]} for item in service["servers"]
        ],
        "llm": {**service["llm"], **engine["llm"]},
    }


def _class_with_changes(
    item: dict[str, Any], sizes: dict[str, dict[str, Any]]
) -> dict[str, Any]:
    if "stream" not in item:
        return item
    stream = dict(item["stream"])
    for name, fields in sizes.items():
        stream[name] = {**stream[name], **fields}
    return {**item, "stream": stream}


def main(arguments: list[str]) -> int:
    """Writes the new site file, prints its path and returns the exit code."""
    if len(arguments) != 3:
        print(_USAGE, file=sys.stderr)
        return 2
    base, changes, folder = map(pathlib.Path, arguments)
    site = tomllib.loads(base.read_text(encoding="utf-8"))
    new_site = with_changes(
        site, tomllib.loads(changes.read_text(encoding="utf-8"))
    )
    folder.mkdir(parents=True, exist_ok=True)
    target = folder / changes.name
    target.write_text(tomli_w.dumps(new_site), encoding="utf-8")
    if _WIRE_KEY in site:
        shutil.copy2(base.parent / site[_WIRE_KEY], folder)
    print(target)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
