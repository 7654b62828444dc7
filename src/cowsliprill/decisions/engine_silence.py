"""Tells engines that stand still for a moment from those that are gone.

A process that stands still answers nobody for a second or so and then goes on
where it was, while its host still accepts connections for it. A host that has
ended accepts none. A single call may also hang, or wait for its turn, at an
engine that answers others.
"""

import dataclasses
import enum
import math

# Silence after which the engine is probed. Full engines pause for a few tenths
# of a second only.
PROBE_AFTER_S = 0.7

# Silence after which a probe may decide. A call that has begun to answer is
# silent for less than this at an engine that runs.
STREAM_PAUSE_MAX_S = 1.0

# Sound processes stand still for up to a second and a half.
STANDSTILL_MAX_S = 1.6

# A probe takes less time than this, and its outcome is used for as long.
_PROBE_TTL_S = 0.35

# Interval at which the outcome of a probe is awaited.
_PROBE_CHECK_S = 0.05


class Liveness(enum.StrEnum):
    """What a probe of a silent engine has found."""

    UNREACHABLE = "unreachable"
    STANDS_STILL = "stands_still"
    ANSWERS = "answers"


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


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Another engine should take over; this one may still go on."""


Verdict = Wait | Leave | Gone


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What is known when a call gets no data.

    Attributes:
      silent_s: Seconds since the last data of the call, or since the engine was
        found to answer again after it had stood still.
      liveness: What a probe has just found, None for no probe.
      patience_s: How long the call may be silent at an engine that runs, in
        seconds.
    """

    silent_s: float
    liveness: Liveness | None
    patience_s: float


class EngineActivity:
    """What one VM receives from an engine over all its calls.

    Attributes:
      calls: Number of calls in progress.
      reported: Whether the silence has been reported.
      spoke_again_at: Time in seconds at which the engine was found to answer
        after it had stood still.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.reported = False
        self.spoke_again_at = -math.inf
        self._heard_at = -math.inf
        self._probed_at = -math.inf
        self._liveness = Liveness.ANSWERS

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
        if self.stands_still:
            self.spoke_again_at = now
            self._liveness = Liveness.ANSWERS
        if silent_s >= PROBE_AFTER_S:
            self.reported = False
        return silent_s

    def silent_s(self, now: float) -> float:
        """Returns the seconds since the last data of any call."""
        return now - self._heard_at

    def record_probe(self, liveness: Liveness, now: float) -> None:
        """Records the outcome of a probe.

        Args:
          liveness: The outcome.
          now: Current time in seconds.
        """
        if self.stands_still and liveness is Liveness.ANSWERS:
            self.spoke_again_at = now
        self._probed_at = now
        self._liveness = liveness

    @property
    def stands_still(self) -> bool:
        """Whether the engine was last found mute and hasn't spoken since."""
        return self._liveness is Liveness.STANDS_STILL

    def liveness(self, now: float) -> Liveness | None:
        """Returns the outcome of the last probe, None if that is too old."""
        if now - self._probed_at > _PROBE_TTL_S:
            return None
        return self._liveness


def judge(evidence: Evidence) -> Verdict:
    """Decides what becomes of a call that gets no data.

    Args:
      evidence: What is known.

    Returns:
      The verdict.
    """
    if evidence.silent_s < PROBE_AFTER_S:
        return Wait(PROBE_AFTER_S - evidence.silent_s)
    if evidence.liveness is None:
        return Wait(_PROBE_CHECK_S)
    match evidence.liveness:
        case Liveness.UNREACHABLE:
            limit_s, verdict = STREAM_PAUSE_MAX_S, Gone()
        case Liveness.STANDS_STILL:
            limit_s, verdict = STANDSTILL_MAX_S, Leave()
        case Liveness.ANSWERS:
            limit_s, verdict = evidence.patience_s, Leave()
    left_s = limit_s - evidence.silent_s
    if left_s <= 0:
        return verdict
    # The next verdict needs a new probe, unless it is due soon.
    return Wait(left_s if left_s < _PROBE_TTL_S else left_s - _PROBE_TTL_S)
