"""Reliable, ordered message channel between two processes.

Messages have sequence numbers. The sender repeats messages until they are
acknowledged, and the receiver skips duplicates, so that each message is
processed once. The calls that carry the messages may be lost, repeated or
reordered.
"""

from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

_T = TypeVar("_T")


class Outbox(Generic[_T]):
    """Messages that were sent and not yet acknowledged.

    Attributes:
      last: Sequence number of the newest message, 0 before the first.
    """

    def __init__(self) -> None:
        self.last = 0
        self._pending: list[_T] = []

    def add(self, message: _T) -> None:
        """Appends a message to send."""
        self.last += 1
        self._pending.append(message)

    @property
    def first(self) -> int:
        """Sequence number of the first unacknowledged message."""
        return self.last - len(self._pending) + 1

    def pending(self) -> tuple[_T, ...]:
        """Returns the unacknowledged messages, starting at number `first`."""
        return tuple(self._pending)

    def acknowledge(self, number: int) -> None:
        """Removes the messages up to a sequence number."""
        acknowledged_count = min(
            max(number - self.first + 1, 0), len(self._pending)
        )
        del self._pending[:acknowledged_count]


class Inbox:
    """Receiving end of a channel.

    Attributes:
      last: Sequence number of the newest message that was received in order.
    """

    def __init__(self) -> None:
        self.last = 0

    def receive(self, first: int, messages: Iterable[_T]) -> list[_T]:
        """Accepts messages and returns those that are new.

        Args:
          first: Sequence number of the first message.
          messages: Messages with consecutive sequence numbers.

        Returns:
          The messages after the newest one received; none if there is a gap.
        """
        received = [*messages]
        if first > self.last + 1:
            return []
        new = received[self.last + 1 - first :]
        self.last = max(self.last, first + len(received) - 1)
        return new
