"""How long a call waits for data."""

from typing import Protocol

from cowsliprill.decisions import engine_silence


class SilencePolicy(Protocol):
    """Decides what becomes of one call while it gets no data.

    All times are in seconds on the clock of the event loop.
    """

    def begin(self, now: float) -> None:
        """The request has been sent."""

    def hear(self, now: float) -> None:
        """Data of the response has been received."""

    def excuse(self, standstill_s: float) -> None:
        """This process itself stood still and received nothing meanwhile."""

    def check(self, now: float) -> engine_silence.Verdict:
        """Decides whether the call goes on."""

    def describe(self, now: float) -> str:
        """Returns what decided that the call ends, for errors."""

    def end(self) -> None:
        """The call has ended; may be called more than once."""


class FixedTimeout:
    """Gives a call up after a fixed time without data.

    Args:
      timeout_s: The time in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._heard_at = 0.0

    def begin(self, now: float) -> None:
        """Starts the time."""
        self._heard_at = now

    def hear(self, now: float) -> None:
        """Starts the time anew."""
        self._heard_at = now

    def excuse(self, standstill_s: float) -> None:
        """Extends the time."""
        self._heard_at += standstill_s

    def check(self, now: float) -> engine_silence.Verdict:
        """Gives the call up once the time is over."""
        left_s = self._timeout_s - (now - self._heard_at)
        return (
            engine_silence.Wait(left_s) if left_s > 0 else engine_silence.Gone()
        )

    def describe(self, now: float) -> str:
        """Returns the timeout as text."""
        del now
        return f"no data received for {self._timeout_s} s"

    def end(self) -> None:
        """Does nothing."""
