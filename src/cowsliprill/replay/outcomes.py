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
      retries: How often the caller came back.
      first_token_at: When its caller saw the first token, 0 if never.
      finished_at: When its caller had it all, 0 if never.
      refusal_delays_s: Time from coming to each refusal.
      refusal_lateness_s: How long after the last possible start, or after the
        failure that caused it, each refusal came.
      failed: Whether its stream was cut after the first token.
      abandoned: Whether the caller left before the end.
      last_failed_at: Time of the newest failed attempt.
    """

    demand: traces.Demand
    priority: int
    submitted_at: float
    retries: int = 0
    first_token_at: float = 0.0
    finished_at: float = 0.0
    refusal_delays_s: list[float] = dataclasses.field(default_factory=list)
    refusal_lateness_s: list[float] = dataclasses.field(default_factory=list)
    stream_cut: bool = False
    abandoned: bool = False
    last_failed_at: float = 0.0

    def ttft_s(self) -> float:
        """Returns the time to first token since the caller last came."""
        return self.first_token_at - self.submitted_at

    def tpot_s(self) -> float:
        """Returns the mean time between tokens."""
        tokens = max(self.demand.output_tokens - 1, 1)
        return (self.finished_at - self.first_token_at) / tokens


@dataclasses.dataclass(slots=True)
class SlotUsage:
    """A decode slot used by an attempt.

    Attributes:
      user: Whose request it is.
      job: The attempt.
      endpoint_id: The decode engine.
      acquired_at: When the slot was taken.
      ended_at: When the answer was complete, 0 if it isn't.
    """

    user: str
    job: engines.EngineJob
    endpoint_id: str
    acquired_at: float
    ended_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """What a replay saw.

    Attributes:
      outcomes: One per demand that arrived.
      jobs: Every attempt that reached a prefill engine.
      runs: Use of decode slots that brought tokens.
      messages_sent: Messages between entries and homes.
      ended_at: Time of the end.
      in_flight_keys_at_end: Keys of attempts still on their way at the end.
    """

    outcomes: list[Outcome]
    jobs: list[engines.EngineJob] = dataclasses.field(default_factory=list)
    slot_usages: list[SlotUsage] = dataclasses.field(default_factory=list)
    messages_sent: int = 0
    ended_at: float = 0.0
    in_flight_keys_at_end: set[tuple[int, int, int]] = dataclasses.field(
        default_factory=set
    )
