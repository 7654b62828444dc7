"""The interface of whatever a replay plays."""

from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import messages


class Policy(Protocol):
    """What a replay needs of `scheduler.Scheduler` or of a baseline."""

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Takes an event and says what to do."""

    def asks(self, now: float) -> list[messages.SlotDemand]:
        """States this entry's standing with every endpoint."""

    def next_wakeup(self, now: float) -> float:
        """Says when to send `Tick`."""


PolicyFactory = Callable[[str, int], Policy]
