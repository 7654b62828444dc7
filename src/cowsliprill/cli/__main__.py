"""Entry point of `cowsliprill`."""

import dataclasses
import importlib.util
import sys
from typing import Any

import cappa

from cowsliprill.cli import commands
from cowsliprill.cli import core

_COMMANDS = (
    commands.CheckCommand,
    commands.ShowCommand,
    commands.DiffCommand,
    commands.PackCommand,
    commands.HashCommand,
    commands.ExplainCommand,
    commands.AccountCommand,
    commands.StatusCommand,
    commands.AuditCommand,
)


def _all_commands() -> tuple[type, ...]:
    if importlib.util.find_spec("cowsliprill.replay.command") is None:
        return _COMMANDS
    replay = importlib.import_module("cowsliprill.replay.command")
    return (*_COMMANDS, replay.ReplayCommand)


def _parse(arguments: list[str] | None) -> Any:
    kinds = _all_commands()
    union = kinds[0]
    for kind in kinds[1:]:
        union = union | kind
    root = dataclasses.make_dataclass(
        "Cowsliprill", [("command", cappa.Subcommands[union])]
    )
    root.__doc__ = "Check settings and look at running VMs."
    return cappa.parse(
        cappa.command(name="cowsliprill")(root), argv=arguments
    ).command


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line.

    Args:
      arguments: Arguments; the process's own if None.

    Returns:
      The exit code.
    """
    return core.run(_parse(arguments), core.terminal())


if __name__ == "__main__":
    sys.exit(main())
