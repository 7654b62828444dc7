"""Entry point of the `cowsliprill` command."""

import dataclasses
import importlib.util
import sys
from typing import Any

import cappa

from cowsliprill.cli import commands
from cowsliprill.cli import runner

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
    commands.WhereCommand,
)


def _all_commands() -> tuple[type, ...]:
    if importlib.util.find_spec("cowsliprill.replay.command") is None:
        return _COMMANDS
    replay = importlib.import_module("cowsliprill.replay.command")
    return (*_COMMANDS, replay.ReplayCommand)


def _parse(arguments: list[str] | None) -> Any:
    command_types = _all_commands()
    union = command_types[0]
    for command_type in command_types[1:]:
        union = union | command_type
    root_type = dataclasses.make_dataclass(
        "Cowsliprill", [("command", cappa.Subcommands[union])]
    )
    root_type.__doc__ = "Check settings and inspect running VMs."
    return cappa.parse(
        cappa.command(name="cowsliprill")(root_type), argv=arguments
    ).command


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line.

    Args:
      arguments: Arguments without the program name; those of the process if
        None.

    Returns:
      The exit code.
    """
    return runner.run(_parse(arguments), runner.standard_terminal())


if __name__ == "__main__":
    sys.exit(main())
