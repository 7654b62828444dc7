"""Command line of the stand-ins: `cowsliprill-standins platform|...`."""

import asyncio
import importlib
import sys

import cappa

# Each stand-in is imported only when it is asked for, so that one which can't
# be imported doesn't stop the others.
_STANDINS = {
    "platform": ("cowsliprill.standins.platform", "PlatformCommand"),
    "engine": ("cowsliprill.standins.engine_server", "Command"),
    "service": ("cowsliprill.standins.service", "ServiceCommand"),
}


def main() -> int:
    """Runs one stand-in.

    Returns:
      The exit code.
    """
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in _STANDINS:
        known = ", ".join(_STANDINS)
        print(f"usage: cowsliprill-standins NAME ...; names: {known}")
        return 0 if name in {"-h", "--help"} else 2
    module_name, command = _STANDINS[name]
    module = importlib.import_module(module_name)
    arguments = cappa.parse(getattr(module, command), argv=sys.argv[2:])
    asyncio.run(module.serve(arguments))
    return 0


if __name__ == "__main__":
    sys.exit(main())
