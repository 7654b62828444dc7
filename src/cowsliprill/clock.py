"""Monotonic clock that includes time in suspension."""

import time


def now() -> float:
    """Returns seconds since boot, including the time the VM was suspended.

    A lease has to expire while its holder is suspended. CLOCK_MONOTONIC stops
    during suspension, so a resumed holder would still use a lease that its
    grantor has meanwhile given to another holder.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
