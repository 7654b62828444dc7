"""Tells engines that stand still for a moment from those that are gone.

A process that stands still answers nobody for a second or so and then goes on
where it was, while its host still accepts connections for it. A host that has
ended accepts none. A single call may also hang at an engine that answers
others.
"""

import dataclasses
import math

# Silence after which the engine's host is probed. Full engines pause for a few
# tenths of a second only.
PROBE_AFTER_S = 0.8

# Silence after which a call is given up unless the engine may stand still.
_LOST_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The call goes on.

    Attributes:
      check_in_s: When to check again, in seconds from now.
    """

    check_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The engine won't answer the call."""


Verdict = Wait | Gone


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What is known when a call gets no data.

    Attributes:
      call_silent_s: Seconds since the last data of the call.
      engine_silent_s: Seconds since the last data of any call to the engine.
      reachable: Whether the engine's host accepted a connection meanwhile, None
        while that isn't known.
    """

    call_silent_s: float
    engine_silent_s: float
    reachable: bool | None


class EngineActivity:
    """What one VM receives from an engine over all its calls.

    Attributes:
      calls: Number of calls in progress.
      reachable: Whether the engine's host accepted a connection since the
        engine fell silent, None while that isn't known.
      reported: Whether the silence has been reported.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.reachable: bool | None = None
        self.reported = False
        self._heard_at = -math.inf

    def begin_call(self, now: float) -> None:
        """Records a call that is sent.

        Args:
          now: Current time in seconds.
        """
        if not self.calls:
            self._heard_at = now
        self.calls += 1

    def end_call(self) -> None:
        """Records the end of a call."""
        self.calls -= 1

    def hear(self, now: float) -> float:
        """Records data of any call.

        Args:
          now: Current time in seconds.

        Returns:
          How long the engine had been silent, in seconds.
        """
        silent_s = self.silent_s(now)
        self._heard_at = now
        if silent_s >= PROBE_AFTER_S:
            self.reachable = None
            self.reported = False
        return silent_s

    def silent_s(self, now: float) -> float:
        """Returns the seconds since the last data of any call."""
        return now - self._heard_at


def judge(evidence: Evidence) -> Verdict:
    """Decides what becomes of a call that gets no data.

    Args:
      evidence: What is known.

    Returns:
      The verdict.
    """
    silent_s = evidence.call_silent_s
    if silent_s < PROBE_AFTER_S:
        return Wait(PROBE_AFTER_S - silent_s)
    if silent_s < _LOST_AFTER_S:
        return Wait(_LOST_AFTER_S - silent_s)
    return Gone()
