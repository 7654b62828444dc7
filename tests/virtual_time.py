"""Runs coroutines in virtual time, so that waits take no real time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from cowsliprill import clock


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None):
        if timeout is None:
            raise RuntimeError(
                "no timer is pending, so virtual time cannot advance"
            )
        self.now += max(timeout, 0.0)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the virtual time of its selector."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


def run(scenario: Coroutine[Any, Any, Any], monkeypatch) -> Any:
    """Runs a coroutine in virtual time; the coroutine must not use the network.

    Args:
      scenario: The coroutine to run.
      monkeypatch: Pytest fixture that replaces `clock.now` for the test.

    Returns:
      The result of the coroutine.
    """
    loop = _VirtualTimeLoop()
    monkeypatch.setattr(clock, "now", loop.time)
    try:
        return loop.run_until_complete(scenario)
    finally:
        loop.close()
