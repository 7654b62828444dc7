"""Events, actions and lease messages of the request scheduler.

`scheduler.Scheduler` does no I/O: it consumes events and returns actions. The
I/O layer (a process of the router, or the simulator) performs the actions and
reports their outcomes as events. `slots.SlotLedger` runs in the dispatch
process of an endpoint's coordinator and answers a `SlotDemand` with a
`SlotGrant`. All times are in seconds on the clock of the I/O layer, which keeps
counting while the VM is suspended.
"""

import dataclasses
import enum
from collections.abc import Mapping

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import model
from cowsliprill.decisions import rate_limits
from cowsliprill.decisions import stream_origins


class Executed(enum.StrEnum):
    """Whether a failed request was executed, as reported to the caller.

    Attributes:
      NO: No byte of the request was sent, or the endpoint itself reported that
        it didn't execute it.
      UNKNOWN: Any other case.
    """

    NO = "no"
    UNKNOWN = "unknown"


class Stage(enum.StrEnum):
    """Processing stage of a model request."""

    QUEUED = "queued"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    DECODE = "decode"


class RefusalCode(enum.StrEnum):
    """Error codes of rejected requests; part of the public API."""

    OVERLOADED = "overloaded"
    TARGET_UNREACHABLE = "target_unreachable"
    WAITED_TOO_LONG = "waited_too_long"
    NO_ENDPOINT = "no_endpoint"
    RATE_LIMITED = "rate_limited"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    ENDPOINT_FAILED = "endpoint_failed"
    VERSION_UNAVAILABLE = "version_unavailable"
    ORIGIN_UNKNOWN = "stream_origin_unknown"


# --- Events: input of the scheduler ------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """A validated model request to schedule.

    Attributes:
      request_id: Key of the request within this scheduler.
      service: The service as resolved when the request arrived.
      customer: Id of the calling customer; for a customer with child
        customers, that of the child.
      prompt_tokens: Estimated tokens of the prompt.
      output_tokens: Maximum number of output tokens.
      prefix_hashes: Hashes of the prompt's successive blocks, salted per
        customer, first block first; empty if unknown.
      priority: The service's priority plus the caller's own offset.
      deadline: Latest time of the first token that meets the target.
      expected_tokens: Number of output tokens that the caller expects, 0 if it
        states none.
      useful_until: Time of the first token after which the caller is expected
        to have disconnected, 0 if that is the deadline.
      resumes: Whether the caller has events of the stream, so that only engines
        of the software version that began it may go on.
      version: That version, None if the sender doesn't know it.
      evidence: By what it is known; see `stream_origins.Evidence`.
      origin: Key of the caller's attempt that begins the stream, or has begun
        it; empty if it named none.
      stream_age_max_s: Time in seconds for which the stream can be resumed.
      sole_pool: Whether the stream can have begun in this pool only. If not,
        only a record tells its version.
      last_part: Last part of the prompt, if the stream is resumed.
      fingerprint: Fingerprint of the request, empty if the sender doesn't know
        of it.
      prompt_parts: Digests of the parts of its prompt that other requests may
        share and that its entry process doesn't know engines to survive.
      entry: Id of its entry process at a scheduler that serves several.
      availability_zone: Availability zone of its entry process, empty if that
        is the scheduler's own or unknown.
    """

    request_id: int
    service: model.Service
    customer: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    priority: int = 0
    deadline: float = 0.0
    expected_tokens: int = 0
    useful_until: float = 0.0
    resumes: bool = False
    version: str | None = None
    evidence: str = ""
    origin: str = ""
    stream_age_max_s: float = stream_origins.STREAM_AGE_MIN_S
    sole_pool: bool = True
    last_part: stream_origins.PromptPart = stream_origins.PromptPart()
    fingerprint: str = ""
    prompt_parts: tuple[str, ...] = ()
    entry: str = ""
    availability_zone: str = ""

    @property
    def features(self) -> tuple[str, ...]:
        """What may be to blame if engines end as they begin to run it."""
        own = (self.fingerprint,) if self.fingerprint else ()
        return (*own, *self.prompt_parts)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """A running request that was placed by another scheduler.

    Attributes:
      submit: The request.
      start: Its placement.
      stage: Its current stage.
    """

    submit: Submit
    start: "Start"
    stage: Stage


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller disconnected, the request timed out or was given up.

    Attributes:
      request_id: The request.
      connection_lost: Whether its engine had closed the connection before any
        output.
    """

    request_id: int
    connection_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillFinished:
    """The prefill is complete; its KV cache can be transferred."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The decode engine received the KV cache and sent the first token."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """A stream has progressed; reveals a slow engine before the stream ends.

    Sent once or a few times per stream, not for each token.

    Attributes:
      request_id: The request.
      output_tokens: Tokens received so far.
    """

    request_id: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The output is complete and the decode slots are free.

    Attributes:
      request_id: The request.
      output_tokens: Tokens generated.
    """

    request_id: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt failed before its first token or may be resumed elsewhere.

    Attributes:
      request_id: The request.
      endpoint_id: The endpoint that failed or rejected the attempt.
      stage: Stage in which it failed.
      refused: Whether the endpoint rejected the attempt because it is full or
        draining, rather than failed.
      unsent: Whether the attempt wasn't sent to any engine, because the
        entry process's slot lease expired first.
      not_run: Whether the request is known not to have been executed.
      unreachable: Whether no connection to the endpoint could be established.
      answered: Whether the endpoint itself returned an error response.
      kept_s: Remaining time for which the attempt's exported KV cache is kept,
        so that another decode engine can fetch it; 0 if it isn't kept.
      resumable: Whether tokens have reached the caller and another engine may
        continue after the last of them.
      version: Software version that began the stream, None if it has not begun
        or the sender doesn't know.
      connection_lost: Whether the endpoint closed the connection before any
        output.
      silent: Whether the endpoint stands still. Its stream is kept until it
        goes on or another engine has begun to.
    """

    request_id: int
    endpoint_id: str
    stage: Stage
    refused: bool = False
    unsent: bool = False
    not_run: bool = False
    unreachable: bool = False
    answered: bool = False
    kept_s: float = 0.0
    resumable: bool = False
    version: str | None = None
    connection_lost: bool = False
    silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotGrant:
    """A lease on slots of one endpoint, granted to an entry process.

    Attributes:
      endpoint_id: The endpoint.
      slots: Total slots that the entry process holds now, those in use
        included.
      expires_at: End of the lease on the entry process's clock, after which no
        new request may be placed on it. Running requests keep their slots as
        long as the entry process reports them in use.
      report_age_s: Age of the endpoint's latest load report at its
        coordinator.
      waiting: Unmet demand of other entry processes. Above 0, slots are scarce
        and unused ones must be released at once.
      prefix_hashes: Prefix blocks newly reported as cached.
      prefix_hashes_gone: Prefix blocks newly reported as evicted.
      prefix_epoch: Epoch of the prefix block reports. If it differs from that
        of the previous grant, earlier reports may be stale; 0 means unknown.
      used: Slots of the endpoint in use by all entry processes, as last
        reported.
      sequence: The `SlotDemand.sequence` that this answers.
    """

    endpoint_id: str
    slots: int
    expires_at: float
    report_age_s: float = 0.0
    waiting: int = 0
    prefix_hashes: tuple[int, ...] = ()
    prefix_hashes_gone: tuple[int, ...] = ()
    prefix_epoch: int = 0
    used: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HomeUnreachable:
    """The coordinator of these endpoints didn't respond."""

    endpoint_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterStateChanged:
    """The settings or the VM list changed.

    Attributes:
      snapshot: The settings in force.
      fleet: The VM list with later updates.
    """

    snapshot: model.Snapshot
    fleet: model.Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitsChanged:
    """The rate limits that endpoints name have changed.

    Attributes:
      limits: All limits that are known now.
    """

    limits: tuple[rate_limits.RateLimit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecordsChanged:
    """Ends of engines, as all VMs know them, are new or have changed.

    Attributes:
      records: Their records.
    """

    records: tuple[crash_records.CrashRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EnginesUnavailable:
    """Which engines an entry process can't use now.

    Attributes:
      entry: Id of the entry process; see `Submit.entry`.
      until_by_engine: Until when, in seconds, by engine; replaces all that were
        named before.
    """

    entry: str = ""
    until_by_engine: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The time returned by `Scheduler.next_wakeup` has come."""


Event = (
    Submit
    | Adopt
    | Cancel
    | PrefillFinished
    | FirstToken
    | Progress
    | Finished
    | AttemptFailed
    | SlotGrant
    | HomeUnreachable
    | ClusterStateChanged
    | RateLimitsChanged
    | CrashRecordsChanged
    | EnginesUnavailable
    | Tick
)


# --- Actions: output of the scheduler ----------------------------------------


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """Run the prefill, the KV cache transfer and the decode on these engines.

    If both ids name the same engine, the prefill is local to the decode engine.

    Attributes:
      request_id: The request.
      attempt: Number of this attempt, from 0.
      prefill_id: The prefill engine.
      decode_id: The decode engine on which slots are reserved.
      decided_at: Time of the decision, set by the I/O layer. Before each
        step the I/O layer checks that the slot leases were held without
        interruption since.
      slots: Slots of the decode engine that the request takes.
      used: Slots of the decode engine in use by other requests, as last
        reported.
      waiting: Requests queued here for the same pool.
      reuses_prefill: Whether the KV cache of the previous attempt's prefill is
        fetched instead of running the prefill again.
      version: Software version that began the stream which the request resumes,
        None if it begins a stream.
      evidence: By what that version is known; see `stream_origins.Evidence`.
    """

    request_id: int
    attempt: int
    prefill_id: str
    decode_id: str
    decided_at: float = 0.0
    slots: int = 1
    used: int = 0
    waiting: int = 0
    reuses_prefill: bool = False
    version: str | None = None
    evidence: str = ""

    def has_prefill(self) -> bool:
        """Returns whether the prefill runs on an engine of its own."""
        return self.prefill_id != self.decode_id


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rank:
    """Where a request stood in the overload ranking.

    Attributes:
      priority: Its priority; higher is more urgent.
      over_share: Whether it was beyond the share of its customer.
      ahead: Waiting requests that ranked before it.
      wait_s: Expected wait for those, in seconds.
    """

    priority: int
    over_share: bool
    ahead: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Reject the request with an error response.

    Attributes:
      request_id: The request.
      code: The error code.
      retry_after_s: Time after which the caller should retry.
      wait_s: Expected queueing time of the last request in the queue.
      waiting: Requests queued here for the same pool.
      rank: Where it stood in the overload ranking, None without one.
    """

    request_id: int
    code: RefusalCode
    retry_after_s: float
    wait_s: float = 0.0
    waiting: int = 0
    rank: Rank | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Cancel a started attempt on its engines.

    Attributes:
      request_id: The request.
      attempt: Number of the attempt.
      endpoint_ids: The engines that may hold KV cache memory for it.
    """

    request_id: int
    attempt: int
    endpoint_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotDemand:
    """An entry process's demand for slots, sent to an endpoint's coordinator.

    A message carries the demand for all endpoints of one coordinator. It states
    the full demand rather than a difference, so a lost or repeated message does
    no harm.

    Attributes:
      endpoint_id: The endpoint.
      in_use: Slots taken by running requests.
      want: Total slots wanted, those in use included.
      priority: Highest priority among the queued requests.
      deadline_in_s: Time in seconds until the earliest deadline of the queued
        requests.
      customer_wants: Queued requests by customer, for fair sharing.
        Their sum is the part of `want` that is needed now; the rest is a
        reserve.
      customer_in_use: Running requests by customer, for fair sharing.
      held: Slots that the entry process keeps, those in use included; it
        releases any others with this message. -1 keeps all.
      sequence: Increases with each message of an entry process, so that the
        coordinator can ignore reordered ones. 0 means unnumbered.
    """

    endpoint_id: str
    in_use: int
    want: int
    priority: int = 0
    deadline_in_s: float = 0.0
    customer_wants: tuple[tuple[str, int], ...] = ()
    customer_in_use: tuple[tuple[str, int], ...] = ()
    held: int = -1
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Recheck:
    """Check again whether the request may be sent; never leaves the process."""


Decision = Start | Refuse
Action = Start | Refuse | CancelAttempt | SlotDemand
