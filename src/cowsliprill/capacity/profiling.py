"""Measures memory and CPU time of an operation in the current process."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

_ROUNDS = 3


def memory_bytes(build: Callable[[], Any]) -> float:
    """Returns the memory that a newly built object retains, by tracemalloc.

    Args:
      build: Builds a new object.

    Returns:
      Bytes that remain allocated after garbage collection while the object is
      referenced.
    """
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(retained_bytes)


def cpu_s(operation: Callable[[], Any], iterations: int = 1) -> float:
    """Returns the CPU time of one operation, the minimum of several rounds.

    Args:
      operation: Operation to measure.
      iterations: Calls of the operation in each round.

    Returns:
      CPU seconds per call.
    """
    min_s = float("inf")
    for _ in range(_ROUNDS):
        start = time.process_time()
        for _ in range(iterations):
            operation()
        min_s = min(min_s, (time.process_time() - start) / iterations)
    return min_s
