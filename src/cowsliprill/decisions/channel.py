"""Messages between two processes, in order and each taken once.

Pure. The sender repeats what isn't acknowledged, the receiver passes over what
it has had. Calls that carry the messages may be lost, repeated or overtake
each other.
"""

from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

_T = TypeVar("_T")


class Outbox(Generic[_T]):
    """What one side has sent and the other hasn't acknowledged.

    Attributes:
      last: Number of the newest message, 0 before the first.
    """

    def __init__(self) -> None:
        self.last = 0
        self._pending: list[_T] = []

    def add(self, message: _T) -> None:
        """Takes a message to send."""
        self.last += 1
        self._pending.append(message)

    @property
    def first(self) -> int:
        """Number of the first message that isn't acknowledged."""
        return self.last - len(self._pending) + 1

    def pending(self) -> tuple[_T, ...]:
        """Returns the messages to send, the first one numbered `first`."""
        return tuple(self._pending)

    def acknowledge(self, number: int) -> None:
        """Drops the messages up to a number."""
        done = min(max(number - self.first + 1, 0), len(self._pending))
        del self._pending[:done]


class Inbox:
    """What one side has had of the other.

    Attributes:
      last: Number of the newest message taken.
    """

    def __init__(self) -> None:
        self.last = 0

    def take(self, first: int, messages: Iterable[_T]) -> list[_T]:
        """Returns what is new and in order.

        Args:
          first: Number of the first message.
          messages: The messages.

        Returns:
          Those that follow the newest one taken; none after a gap.
        """
        listed = [*messages]
        if first > self.last + 1:
            return []
        new = listed[self.last + 1 - first :]
        self.last = max(self.last, first + len(listed) - 1)
        return new
