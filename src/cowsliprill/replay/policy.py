"""Interface of the scheduling policies that a replay compares."""

from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import messages


class Policy(Protocol):
    """A scheduling policy: `scheduler.Scheduler` or a baseline."""

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Handles an event and returns the actions to perform, in order."""

    def asks(self, now: float) -> list[messages.SlotDemand]:
        """Returns the slot demands of this entry process, one per endpoint."""

    def next_wakeup(self, now: float) -> float:
        """Returns the time at which `Tick` must be delivered."""


PolicyFactory = Callable[[str, int], Policy]
