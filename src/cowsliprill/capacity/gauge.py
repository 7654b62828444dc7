"""Measures memory and processor time of one step in this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

_REPEATS = 3


def memory_bytes(build: Callable[[], Any]) -> float:
    """Returns what the built object holds, by tracemalloc.

    Args:
      build: Makes the object anew.

    Returns:
      Bytes still allocated while only the object is kept.
    """
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def cpu_s(step: Callable[[], Any], times: int = 1) -> float:
    """Returns the processor time of one step, the least of a few rounds.

    Args:
      step: What to measure.
      times: How often it is run in a round.

    Returns:
      Seconds a step.
    """
    best = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        for _ in range(times):
            step()
        best = min(best, (time.process_time() - start) / times)
    return best
