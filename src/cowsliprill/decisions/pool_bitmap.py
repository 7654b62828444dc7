"""Sets of pools in messages whose size must not grow with the services.

Several pools share a bit, so that a set may seem to contain a pool that it
doesn't.
"""

import zlib
from collections.abc import Iterable

_BITS = 32


def encode(pools: Iterable[str]) -> int:
    """Returns the bitmap of some pools.

    Args:
      pools: Names of the pools.
    """
    bitmap = 0
    for pool in pools:
        bitmap |= _bit(pool)
    return bitmap


def may_contain(bitmap: int, pool: str) -> bool:
    """Returns whether a bitmap may contain a pool.

    Args:
      bitmap: Result of `encode`.
      pool: Name of the pool.
    """
    return bool(bitmap & _bit(pool))


def _bit(pool: str) -> int:
    return 1 << zlib.crc32(pool.encode()) % _BITS
