"""What a replay notes of demands, attempts and slots."""

import dataclasses

from cowsliprill.replay import engines
from cowsliprill.replay import trace as traces


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one demand.

    Attributes:
      demand: The demand.
      priority: Of its service.
      submitted_at: Last time the caller came.
      returns: How often the caller came back.
      first_token_at: When its caller saw the first token, 0 if never.
      finished_at: When its caller had it all, 0 if never.
      refused_after: Time from coming to each refusal.
      late_refusals: How long after the last possible start, or after the
        failure that caused it, each refusal came.
      failed: Whether its stream was cut after the first token.
      gone: Whether the caller left before the end.
      failed_at: Time of the newest failed attempt.
    """

    demand: traces.Demand
    priority: int
    submitted_at: float
    returns: int = 0
    first_token_at: float = 0.0
    finished_at: float = 0.0
    refused_after: list[float] = dataclasses.field(default_factory=list)
    late_refusals: list[float] = dataclasses.field(default_factory=list)
    failed: bool = False
    gone: bool = False
    failed_at: float = 0.0

    def ttft_s(self) -> float:
        """Returns the time to first token since the caller last came."""
        return self.first_token_at - self.submitted_at

    def tpot_s(self) -> float:
        """Returns the mean time between tokens."""
        tokens = max(self.demand.output_tokens - 1, 1)
        return (self.finished_at - self.first_token_at) / tokens


@dataclasses.dataclass(slots=True)
class SlotUse:
    """A decode slot used by an attempt.

    Attributes:
      user: Whose request it is.
      work: The attempt.
      endpoint_id: The decode engine.
      began_at: When the slot was taken.
      ended_at: When the answer was complete, 0 if it isn't.
    """

    user: str
    work: engines.Work
    endpoint_id: str
    began_at: float
    ended_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """What a replay saw.

    Attributes:
      outcomes: One per demand that arrived.
      works: Every attempt that reached a prefill engine.
      runs: Use of decode slots that brought tokens.
      messages_sent: Messages between entries and homes.
      ended_at: Time of the end.
      unused_at_end: Keys of attempts still on their way at the end.
    """

    outcomes: list[Outcome]
    works: list[engines.Work] = dataclasses.field(default_factory=list)
    runs: list[SlotUse] = dataclasses.field(default_factory=list)
    messages_sent: int = 0
    ended_at: float = 0.0
    unused_at_end: set[tuple[int, int, int]] = dataclasses.field(
        default_factory=set
    )
