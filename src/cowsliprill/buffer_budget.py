"""Bound on the bytes that a process holds for slow readers.

Each connection reserves what it holds unread. Beyond the bound, the connection
is cut that has the largest product of bytes held and time since some of them
were read. Connections that are read at some pace are the last to be cut.
"""

import weakref
from collections.abc import Callable

from cowsliprill import clock

# Parts of the process's memory for unread responses and for bodies of requests,
# which are copied when they are sent. A process at rest takes about half of its
# memory, and the largest response takes 16 MiB.
_RESPONSES_FRACTION = 3 / 16
_BODIES_FRACTION = 1 / 8
_DEFAULT_MEMORY_MB = 128.0
_BYTES_PER_MB = 1_048_576
# Added to the time since a connection was read. Among connections that were
# read just now, the bytes decide.
_AGE_BASE_S = 0.1


def response_bytes(memory_mb: float) -> int:
    """Returns how many bytes of unread responses a process may hold.

    Args:
      memory_mb: Memory limit of the process in MB, 0 if it isn't known.
    """
    return int(_memory_bytes(memory_mb) * _RESPONSES_FRACTION)


def body_bytes(memory_mb: float) -> int:
    """Returns how many bytes of request bodies a process may hold.

    Args:
      memory_mb: Memory limit of the process in MB, 0 if it isn't known.
    """
    return int(_memory_bytes(memory_mb) * _BODIES_FRACTION)


def _memory_bytes(memory_mb: float) -> float:
    return (memory_mb or _DEFAULT_MEMORY_MB) * _BYTES_PER_MB


class BufferBudget:
    """Bytes that all connections of a process may hold together.

    Args:
      limit_bytes: Bound in bytes.

    Attributes:
      held_bytes: Bytes held at present.
      cuts: Number of connections cut so far.
    """

    def __init__(self, limit_bytes: int = response_bytes(0)) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self.cuts = 0
        self._reservations: weakref.WeakSet[Reservation] = weakref.WeakSet()

    def reserve(self, cut: Callable[[], None]) -> "Reservation":
        """Returns an empty reservation.

        Args:
          cut: Bound method, which is referenced weakly. It is called at most
            once, if the connection must be cut, and must not close it before it
            returns: data may be being read from it or written to it.
        """
        return Reservation(self, cut)

    def change(self, reservation: "Reservation", added_bytes: int) -> None:
        """Counts a change of a reservation; called by the reservation."""
        self.held_bytes += added_bytes
        if added_bytes <= 0:
            return
        self._reservations.add(reservation)
        while self.held_bytes > self._limit_bytes:
            now = clock.now()
            worst = max(self._reservations, key=lambda item: item.weight(now))
            if worst.held_bytes == self.held_bytes:
                # Nothing else needs the memory, and each response is bounded.
                return
            self._reservations.discard(worst)
            self.cuts += 1
            worst.cut()


class Reservation:
    """Bytes that one connection holds.

    Args:
      budget: Budget that they count toward.
      cut: Bound method that cuts the connection, referenced weakly.

    Attributes:
      held_bytes: Bytes that the connection holds.
    """

    def __init__(self, budget: BufferBudget, cut: Callable[[], None]) -> None:
        self._budget = budget
        self._cut = weakref.WeakMethod(cut)
        self._is_cut = False
        self.held_bytes = 0
        self._read_at = 0.0

    def weight(self, now: float) -> float:
        """Returns the bytes held times the seconds for which none was read."""
        return self.held_bytes * (now - self._read_at + _AGE_BASE_S)

    def hold(self, held_bytes: int) -> None:
        """Sets how many bytes the connection holds, none once it is cut."""
        added_bytes = held_bytes - self.held_bytes
        if added_bytes and not self._is_cut:
            if added_bytes < 0 or not self.held_bytes:
                self._read_at = clock.now()
            self.held_bytes = held_bytes
            self._budget.change(self, added_bytes)

    def cut(self) -> None:
        """Counts the bytes as released, and cuts the connection."""
        self.hold(0)
        self._is_cut = True
        cut = self._cut()
        if cut is not None:
            cut()

    def __del__(self) -> None:
        """Releases what a connection held that nobody reads any more."""
        self.hold(0)
