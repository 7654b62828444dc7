"""Command line of the fakes: `cowsliprill-standins platform|...`."""

import asyncio
import importlib
import sys

import cappa

# Modules are imported on demand, so that a failing import of one fake doesn't
# affect the others. The values are the module and class of its command line.
_COMMANDS = {
    "platform": ("cowsliprill.standins.platform", "PlatformCommand"),
    "engine": ("cowsliprill.standins.engine_server", "Command"),
    "service": ("cowsliprill.standins.service", "ServiceCommand"),
}


def main() -> int:
    """Runs the fake that the first argument names, until it is stopped.

    Returns:
      Exit code: 2 for an unknown name, else 0.
    """
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in _COMMANDS:
        known_names = ", ".join(_COMMANDS)
        print(f"usage: cowsliprill-standins NAME ...; names: {known_names}")
        return 0 if name in {"-h", "--help"} else 2
    module_name, command_class = _COMMANDS[name]
    module = importlib.import_module(module_name)
    arguments = cappa.parse(getattr(module, command_class), argv=sys.argv[2:])
    asyncio.run(module.serve(arguments))
    return 0


if __name__ == "__main__":
    sys.exit(main())
