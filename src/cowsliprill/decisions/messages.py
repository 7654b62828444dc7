"""Typed messages into and out of the decision code.

`scheduler.Scheduler` lives in an entry process: events go in, actions come
out, and the shell round it (the entry process, or the replay) performs the
actions and reports what became of them. `slots.SlotLedger` lives in the
dispatch process that is home to an endpoint and answers `SlotAsk` with
`SlotGrant`. All times are seconds on the shell's clock, which counts the time
that the VM was suspended.
"""

import dataclasses
import enum

from cowsliprill.decisions import model


class Run(enum.StrEnum):
    """What is known of whether a request was run, for the caller.

    NO is said only when no byte of the call left or the endpoint itself said
    that it did not run it. Everything else is UNKNOWN.
    """

    NO = "no"
    UNKNOWN = "unknown"


class Stage(enum.StrEnum):
    """Where a model request is on its way."""

    QUEUED = "queued"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    DECODE = "decode"


class RefusalCode(enum.StrEnum):
    """Why a request is refused; part of the callers' interface."""

    OVERLOADED = "overloaded"
    TARGET_UNREACHABLE = "target_unreachable"
    WAITED_TOO_LONG = "waited_too_long"
    NO_ENDPOINT = "no_endpoint"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    ENDPOINT_FAILED = "endpoint_failed"


# --- Events: from the shell to the scheduler -------------------------------


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """A caller's model request that passed the checks.

    Attributes:
      request_id: Key of the request within this scheduler.
      service: The service as resolved when the request arrived.
      customer: Id of the calling customer (the firm, for a consortium).
      prompt_tokens: Estimated tokens of the prompt.
      output_tokens: Limit of tokens asked for.
      prefix_hashes: Hashes of the prompt's successive blocks, customer salted,
        first block first; empty if unknown.
      priority: The service's priority plus the caller's own offset.
      deadline: Latest useful time of the first token.
      expected_tokens: The caller's own guess of the answer's length, 0 for
        none.
      useful_until: Latest time of the first token at which the answer is
        still of some use, 0 if that is the deadline.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """A request that another scheduler has placed and that runs.

    Attributes:
      submit: The request.
      start: Where it runs.
      stage: Where it is on its way.
    """

    submit: Submit
    start: "Start"
    stage: Stage


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller is gone, or the request's time is over."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillFinished:
    """The prefill engine has finished; its KV cache waits for transfer."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The decode engine has the KV cache and sent the first token."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Some tokens have come; shows a slow engine long before the end.

    Sent once or a few times per stream, not for each token.

    Attributes:
      request_id: The request.
      output_tokens: Tokens that came so far.
    """

    request_id: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The answer is complete and the decode slot is free.

    Attributes:
      request_id: The request.
      output_tokens: Tokens generated.
    """

    request_id: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt came to nothing before any token reached the caller.

    Attributes:
      request_id: The request.
      endpoint_id: The endpoint that failed or refused.
      stage: Where it failed.
      refused: Whether the endpoint refused because it is full or draining,
        rather than failed.
      unsent: Whether no engine has heard of the attempt, since the entry's
        own lease had run out before.
      not_run: Whether the request is known not to have run.
      unreachable: Whether no connection to the endpoint came about.
      answered: Whether the endpoint itself answered that it failed.
      kept_s: How long the finished prefill of the attempt is kept yet, for
        another decode engine to fetch; 0 if it is gone.
      resumable: Whether tokens have reached the caller and another engine may
        go on after the last of them.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotGrant:
    """A home's answer: slots of one endpoint, until a time.

    Attributes:
      endpoint_id: The endpoint.
      slots: Slots this entry holds now in all, those in use included.
      expires_at: End of the lease on the entry's clock; no new work may be
        placed on it from then on. Running work keeps its slot at the home
        while the entry goes on reporting it in use.
      report_age_s: Age of the endpoint's load report at the home.
      waiting: Asks by other entries that the home could not meet: above 0,
        slots are scarce and unused ones go back at once.
      prefix_hashes: Prefix blocks newly known to be cached there.
      prefix_hashes_gone: Prefix blocks newly known to be evicted there.
      prefix_epoch: Another number than in the grant before means that earlier
        news of prefixes may be stale; 0 means unknown.
      used: Slots of the endpoint in use by all entries, as last stated.
      sequence: The `SlotAsk.sequence` that this answers.
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
    """No answer from the home of these endpoints."""

    endpoint_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorldChanged:
    """New settings or a new VM list.

    Attributes:
      snapshot: The settings in force.
      fleet: The VM list with news.
    """

    snapshot: model.Snapshot
    fleet: model.Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent at the time `Scheduler.next_wakeup` names."""


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
    | WorldChanged
    | Tick
)


# --- Actions: from the scheduler to the shell ------------------------------


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """Run the prefill, then the transfer and the decode, on these engines.

    Where both are the same engine, it reads the prompt itself.

    Attributes:
      request_id: The request.
      attempt: Number of this attempt, from 0.
      prefill_id: The prefill engine.
      decode_id: The decode engine whose slot is promised.
      decided_at: When; noted by the shell, which checks before each act that
        the leases have held without a gap since.
      slots: Slots of the decode engine that it takes.
      used: Slots in use there besides, as last heard.
      waiting: Requests that wait here for the same pool.
      reuses_prefill: Whether the prefill of the attempt before is fetched.
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

    def has_prefill(self) -> bool:
        """Returns whether another engine than the decode engine prefills."""
        return self.prefill_id != self.decode_id


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Give the caller its final answer now.

    Attributes:
      request_id: The request.
      code: Why.
      retry_after_s: When the caller should come back.
      wait_s: Expected wait of the last request in the queue.
      waiting: Requests that wait here for the same pool.
    """

    request_id: int
    code: RefusalCode
    retry_after_s: float
    wait_s: float = 0.0
    waiting: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Tell the engines of a started attempt to drop it.

    Attributes:
      request_id: The request.
      attempt: The attempt.
      endpoint_ids: The engines that may hold memory for it.
    """

    request_id: int
    attempt: int
    endpoint_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotAsk:
    """An entry's standing with one endpoint, sent to the endpoint's home.

    One message carries all asks for one home. It is a full statement, not a
    difference, so a lost or repeated message does no harm.

    Attributes:
      endpoint_id: The endpoint.
      in_use: Slots that hold running work.
      want: Slots wanted in all, those in use included.
      priority: Highest priority among the waiting requests.
      deadline_in_s: Time left to the nearest deadline among these, seconds.
      customer_wants: Waiting requests by customer, for fair sharing. Their
        sum is the part of `want` that is needed now; the rest is a reserve.
      customer_in_use: Running requests by customer, for fair sharing.
      held: Slots that the entry goes on holding, those in use included; it
        gives up any others with this message. -1 keeps all.
      sequence: Rises with each statement of an entry, so that a home can tell
        one that was overtaken. 0 means unnumbered.
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


Decision = Start | Refuse
Action = Start | Refuse | CancelAttempt | SlotAsk
