"""Fault injection for runs under mixed traffic."""

import dataclasses
import random
import signal

from tools import local_fleet

_PROCESSES = ("settings", "dispatch", "e0")

_ENGINE_FAULT_MODES = (
    {"cut_at_token": 5, "times": 3},
    {"cut_at_byte": 700, "times": 3},
    {"refuse": "engine_full", "times": 3},
    {"cut_before_run": True, "times": 2},
    {"foreign_id": True, "times": 2},
    {"swap": True, "times": 2},
    {"omit_end_marker": True, "times": 2},
    {"wrong_count": True, "times": 2},
    {"cut_export_at_byte": 100, "times": 2},
    {"slow_factor": 3.0},
    {"cancel": "lose"},
    {"cancel": "refuse"},
)
_SERVICE_FAULT_MODES = (
    {"cut_before_run": True, "times": 2},
    {"cut_at_byte": 20, "times": 2},
    {"refuse": "engine_draining", "times": 2},
    {"foreign_id": True, "times": 2},
    {"swap": True, "times": 2},
    {"delay_s": 0.3, "times": 3},
)
_PLATFORM_MODES = (
    {"mode": "down", "how": "close"},
    {"mode": "down", "how": "503"},
    {"mode": "down", "how": "hang"},
    {"mode": "stale", "back": 1},
    {"mode": "half"},
    {"mode": "garbage"},
    {"mode": "flap", "fail": 3, "of": 4},
)


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """A process crashes and is restarted."""

    vm_id: str
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A process is suspended with SIGSTOP and resumed later."""

    vm_id: str
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A VM shuts down gracefully and restarts."""

    vm_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Misconduct:
    """An endpoint's stand-in violates the protocol, fails or slows down."""

    endpoint_id: str
    conduct: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """The platform's stand-in is down, stale or returns invalid data."""

    mode: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """An operator publishes a new revision of the settings."""


Fault = Kill | Freeze | Restart | Misconduct | Outage | Publication


def schedule(
    fleet: local_fleet.LocalFleet, seed: int, count: int
) -> list[tuple[Fault, ...]]:
    """Draws a random schedule of rounds with one or two concurrent faults.

    Args:
      fleet: Fleet whose VMs and endpoints the faults may hit.
      seed: Random seed; the same seed gives the same schedule.
      count: Number of rounds.

    Returns:
      The rounds in order, each with its faults.
    """
    rng = random.Random(f"faults/{seed}")
    return [
        tuple(_random_fault(fleet, rng) for _ in range(rng.choice((1, 2))))
        for _ in range(count)
    ]


def _random_fault(fleet: local_fleet.LocalFleet, rng: random.Random) -> Fault:
    vm_id = rng.choice(sorted(fleet.vms_by_id))
    process = rng.choice(_PROCESSES)
    engine = rng.choice(fleet.endpoint_ids("prefill", "decode"))
    service = rng.choice(fleet.endpoint_ids("plain"))
    faults: tuple[Fault, ...] = (
        Kill(vm_id, process),
        Freeze(vm_id, process),
        Restart(vm_id),
        Misconduct(engine, rng.choice(_ENGINE_FAULT_MODES)),
        Misconduct(service, rng.choice(_SERVICE_FAULT_MODES)),
        Outage(rng.choice(_PLATFORM_MODES)),
        Publication(),
    )
    return rng.choice(faults)


def inject(fleet: local_fleet.LocalFleet, fault: Fault) -> None:
    """Injects a fault into the fleet."""
    match fault:
        case Kill(vm_id, process):
            fleet.kill(f"{vm_id}.{process}")
        case Freeze(vm_id, process):
            fleet.signal(f"{vm_id}.{process}", signal.SIGSTOP)
        case Restart(vm_id):
            fleet.vms_by_id[vm_id].state = "leaving"
            fleet.publish_vms()
            for process in reversed(_PROCESSES):
                fleet.signal(f"{vm_id}.{process}", signal.SIGTERM)
        case Misconduct(endpoint_id, conduct):
            fleet.standin(endpoint_id, "POST", "/standin/misbehave", conduct)
        case Outage(mode):
            fleet.platform("POST", "/standin/mode", mode)
        case Publication():
            fleet.document["revision"] += 1
            fleet.publish()


def clear(fleet: local_fleet.LocalFleet, fault: Fault) -> None:
    """Clears a fault and restarts the processes that it ended."""
    match fault:
        case Kill(vm_id, process):
            fleet.restart_process(vm_id, process)
        case Freeze(vm_id, process):
            fleet.signal(f"{vm_id}.{process}", signal.SIGCONT)
        case Restart(vm_id):
            for process in _PROCESSES:
                # A process that crashed in the meantime was restarted and
                # needs SIGTERM again; a suspended process has to be resumed
                # before it can exit.
                fleet.signal(f"{vm_id}.{process}", signal.SIGTERM)
                fleet.signal(f"{vm_id}.{process}", signal.SIGCONT)
                fleet.children_by_name[f"{vm_id}.{process}"].wait()
                fleet.restart_process(vm_id, process)
            fleet.vms_by_id[vm_id].state = "live"
            fleet.publish_vms()
        case Misconduct(endpoint_id, _):
            fleet.standin(endpoint_id, "POST", "/standin/misbehave", {})
        case Outage():
            fleet.platform("POST", "/standin/mode", {"mode": "up"})
        case Publication():
            pass
