"""Records of demands, attempts and slot usage in a replay."""

import dataclasses

from cowsliprill.replay import engines
from cowsliprill.replay import trace as traces


@dataclasses.dataclass(slots=True)
class Outcome:
    """Outcome of one demand. All times are virtual and in seconds.

    Attributes:
      demand: The demand.
      priority: Priority of the demand's service.
      submitted_at: Time of the caller's last submission.
      retries: Number of times the caller submitted again after a refusal.
      first_token_at: Time at which the caller received the first token, 0 if
        never.
      finished_at: Time at which the caller received the last token, 0 if never.
      refusal_delays_s: Time from submission to refusal, for each refusal.
      refusal_lateness_s: For each refusal, its delay after its cause: after the
        latest useful start or after the failed attempt; 0 for a refusal before
        either.
      stream_cut: Whether the stream was cut after the first token.
      abandoned: Whether the caller disconnected before the end of the output.
      last_failed_at: Time of the last failed attempt, 0 if none failed.
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
        """Returns the time from the last submission to the first token."""
        return self.first_token_at - self.submitted_at

    def tpot_s(self) -> float:
        """Returns the mean time between output tokens in seconds."""
        tokens = max(self.demand.output_tokens - 1, 1)
        return (self.finished_at - self.first_token_at) / tokens


@dataclasses.dataclass(slots=True)
class SlotUsage:
    """Usage of a decode slot by one attempt.

    Attributes:
      user: Customer that sent the request.
      job: The attempt's job.
      endpoint_id: Id of the decode engine.
      acquired_at: Time at which the slot was acquired.
      ended_at: Time at which the output was complete, 0 if it never was.
    """

    user: str
    job: engines.EngineJob
    endpoint_id: str
    acquired_at: float
    ended_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """Result of a replay.

    Attributes:
      outcomes: One outcome per demand that arrived.
      jobs: The job of every attempt that was started.
      slot_usages: One record per job that acquired a decode slot.
      messages_sent: Messages between entry processes and coordinators.
      ended_at: Virtual time of the end, in seconds.
      in_flight_keys_at_end: Keys of jobs that held a slot at the end or whose
        KV cache was exported in the last second; unused ones among them do not
        count as wasted.
    """

    outcomes: list[Outcome]
    jobs: list[engines.EngineJob] = dataclasses.field(default_factory=list)
    slot_usages: list[SlotUsage] = dataclasses.field(default_factory=list)
    messages_sent: int = 0
    ended_at: float = 0.0
    in_flight_keys_at_end: set[tuple[int, int, int]] = dataclasses.field(
        default_factory=set
    )
