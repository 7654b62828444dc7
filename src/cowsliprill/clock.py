"""Clocks."""

import time


def now() -> float:
    """Returns seconds since boot, the time the VM was suspended included.

    A lease must run out while its holder sleeps. CLOCK_MONOTONIC stands still
    during suspension, so a holder that wakes would believe in a lease which
    its grantor has long given to another.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
