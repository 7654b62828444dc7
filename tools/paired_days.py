"""Writes days that pair each kind of planned work with each kind of fault.

The days of a deployment draw from its own list of troubles; pairs that it
doesn't list are missed. Usage: python -m tools.paired_days SITE SEED COUNT DIR
"""

import dataclasses
import itertools
import math
import pathlib
import random
import sys
import tomllib
from collections.abc import Iterator
from typing import Any

import tomli_w

_Entry = dict[str, Any]

# Seconds of a day at which pairs begin. Requests that one pair has met are over
# before the next.
_STARTS_S = (3.0, 9.0, 15.0, 21.0, 27.0)
# A fault begins up to this long before or after its planned work, in seconds.
_MAX_OFFSET_S = 1.0

_PLANNED_WORK: tuple[_Entry, ...] = (
    {"kind": "config_change", "how": "route"},
    {"kind": "config_change", "how": "weights"},
    {"kind": "config_change", "how": "timeout"},
    {"kind": "config_change", "how": "idle"},
    {"kind": "config_storm", "for_s": 1.5, "gap_s": 0.1},
    {"kind": "big_config", "count": 350},
    {"kind": "hup", "share": 1.0, "gap_s": 0.2},
    {"kind": "roll_term", "share": 0.3, "gap_s": 0.8},
    {"kind": "roll_term", "share": 0.3, "gap_s": 0.8, "how": "busy"},
    {"kind": "release", "share": 0.3, "gap_s": 0.5},
    {"kind": "scale_in", "share": 0.2},
    {"kind": "scale_out", "share": 0.3, "gap_s": 0.3},
)

# Kinds that strike the engines of one service.
_ENGINE_FAULTS: tuple[_Entry, ...] = (
    {"kind": "srv_slow", "how": "pause", "share": 1.0, "for_s": 1.2},
    {"kind": "srv_slow", "how": "pause", "share": 0.5, "for_s": 2.4},
    {"kind": "srv_slow", "how": "pause", "share": 0.6, "for_s": 0.6},
    {"kind": "srv_slow", "share": 0.4, "x": 6.0, "for_s": 2.0},
    {"kind": "srv_crash", "share": 0.3, "for_s": 2.0},
    {"kind": "srv_crash", "share": 0.3, "for_s": 2.0, "how": "dark"},
    {"kind": "srv_cut", "share": 0.3, "for_s": 2.0},
    {"kind": "srv_cut", "share": 0.3, "for_s": 2.0, "how": "fronts"},
    {"kind": "srv_cut", "share": 0.3, "for_s": 2.0, "how": "one_way"},
    {"kind": "srv_cut", "share": 0.3, "for_s": 2.0, "how": "reset"},
    {"kind": "replace_with_reuse", "share": 0.2},
    {"kind": "replace_with_reuse", "share": 0.2, "how": "dark"},
    {"kind": "srv_grey", "share": 0.3, "x": 0.5, "for_s": 2.0, "how": "errors"},
    {"kind": "srv_grey", "share": 0.3, "x": 0.5, "for_s": 2.0, "how": "hang"},
    {"kind": "srv_grey", "share": 0.3, "x": 0.5, "for_s": 2.0, "how": "mute"},
    {"kind": "srv_grey", "share": 0.3, "x": 0.5, "for_s": 2.0, "how": "busy"},
    {"kind": "answer_lost", "share": 0.5, "x": 0.1, "for_s": 2.0},
    {"kind": "garble", "share": 0.5, "x": 0.05, "for_s": 2.0, "how": "early"},
    {"kind": "garble", "share": 0.5, "x": 0.05, "for_s": 2.0},
)

_OTHER_FAULTS: tuple[_Entry, ...] = (
    {"kind": "node_slow", "share": 0.3, "x": 5.0, "for_s": 2.0},
    {"kind": "node_freeze", "share": 0.2, "for_s": 1.5},
    {"kind": "reset_conns", "share": 0.5, "x": 0.5},
    {"kind": "clock_step", "share": 0.3, "x": 2000.0, "for_s": 2.0},
    {"kind": "lossy", "x": 0.05, "for_s": 2.0},
    {"kind": "platform_down", "for_s": 2.0, "how": "silent"},
    {"kind": "platform_slow", "x": 50.0, "for_s": 2.0},
    {"kind": "platform_compact", "for_s": 2.0, "how": "drain"},
    {"kind": "give_up", "share": 0.4, "for_s": 2.0},
    {"kind": "retry_abuse", "share": 0.4, "x": 3.0, "for_s": 2.0},
    {"kind": "burst", "x": 1.8, "for_s": 2.0},
)


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """A day of pairs.

    Attributes:
      name: Its name.
      plan: Planned work.
      faults: Faults beside it.
    """

    name: str
    plan: list[_Entry]
    faults: list[_Entry]

    def text(self) -> str:
        """Returns the day as a TOML file."""
        day = {
            "name": self.name,
            "slot": "trouble",
            "timing": {"stands": True},
            "plan": self.plan,
            "faults": self.faults,
        }
        return tomli_w.dumps({"day": [day]})


def pairs(services: list[str]) -> list[tuple[_Entry, _Entry]]:
    """Returns each kind of planned work with each kind of fault.

    Args:
      services: Names of the services whose engines may be struck.
    """
    faults = [
        {**fault, "service": service}
        for fault in _ENGINE_FAULTS
        for service in services
    ]
    return list(itertools.product(_PLANNED_WORK, [*faults, *_OTHER_FAULTS]))


def days(services: list[str], seed: int) -> Iterator[Day]:
    """Yields days until each pair has come once.

    Args:
      services: Names of the services whose engines may be struck.
      seed: Orders the pairs, and sets when faults begin beside their work.
    """
    rng = random.Random(seed)
    shuffled = pairs(services)
    rng.shuffle(shuffled)
    for number in range(math.ceil(len(shuffled) / len(_STARTS_S))):
        first = number * len(_STARTS_S)
        plan, faults = [], []
        for start_s, (work, fault) in zip(
            _STARTS_S, shuffled[first:], strict=False
        ):
            offset_s = rng.uniform(-_MAX_OFFSET_S, _MAX_OFFSET_S)
            plan.append({"at": start_s, **work})
            faults.append({"at": round(start_s + offset_s, 2), **fault})
        yield Day(f"pairs-{seed}-{number}", plan, faults)


def main(arguments: list[str]) -> None:
    """Writes the first days of a seed.

    Args:
      arguments: Site file, seed, number of days, folder.
    """
    site, seed, count, folder = arguments
    services = tomllib.loads(pathlib.Path(site).read_text("utf-8"))["services"]
    names = [service["name"] for service in services]
    for day in itertools.islice(days(names, int(seed)), int(count)):
        path = pathlib.Path(folder) / f"{day.name}.toml"
        path.write_text(day.text(), "utf-8")
        print(path)


if __name__ == "__main__":
    main(sys.argv[1:])
