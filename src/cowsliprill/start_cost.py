"""What the start of a process has cost so far.

Imported before other modules of the package, so that their loading counts.
"""

import pathlib
import sys
import time

_BEGAN_S = time.monotonic()
_DIGITS = 3


def times() -> dict[str, float]:
    """Returns the time since the start, for logs.

    Returns:
      Wall time since this module was loaded and processor time of the process,
      in seconds.
    """
    return {
        "since_start_s": round(time.monotonic() - _BEGAN_S, _DIGITS),
        "processor_s": round(time.process_time(), _DIGITS),
    }


def modules_without_bytecode() -> int:
    """Returns the number of loaded modules that each start compiles again.

    That is so where the tree can't be written and nobody has compiled it.
    """
    specs = [
        getattr(module, "__spec__", None)
        for module in tuple(sys.modules.values())
    ]
    files = [spec.cached for spec in specs if spec is not None and spec.cached]
    return sum(not pathlib.Path(file).exists() for file in files)
