"""Messages between entry processes and the coordinators of pools."""

import dataclasses
from typing import Annotated
from typing import Literal

import pydantic

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import endpoint_pauses
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import stream_origins
from cowsliprill.decisions import unavailable_engines


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A model request as sent to a coordinator.

    Times are relative to when the message is sent, because the monotonic clocks
    of two VMs have different origins. The message carries the settings of the
    service, because the coordinator may not have the same settings version yet.

    Attributes:
      number: Id of the request within the entry process.
      service: Id of the service.
      pool: Name of the service's pool.
      prompt_tokens: Number of prompt tokens.
      output_tokens: Maximum number of output tokens.
      expected_tokens: The caller's estimate of the number of output tokens, 0
        for none.
      priority: Requests of higher priority are scheduled first.
      deadline_in_s: Seconds until the target time of the first token.
      useful_in_s: Seconds until the first token is of no use to the caller; 0
        if that is the deadline.
      repeatable: Whether the request is idempotent and may be executed more
        than once.
      attempts: Maximum number of attempts.
      retry_ratio: Retries added to the retry budget by each request.
      retry_burst: Maximum balance of the retry budget, per entry process.
      retry_group: Id of the group of services that share a retry budget.
      may_wait_s: Maximum time in a queue in seconds.
      ttft_target_s: Target of the time to first token (TTFT) in seconds.
      worth_by_size: Fraction of the request's value that is proportional to its
        tokens.
      customer: Id of the calling customer, empty for none.
      resumes: Whether the caller has events of the stream.
      version: Software version that began the stream, None if unknown.
      evidence: See `messages.Submit`.
      origin: Key of the caller's attempt that begins or has begun the stream.
      stream_age_max_s: See `messages.Submit`.
      sole_pool: See `messages.Submit`.
      last_part: See `messages.Submit`.
      fingerprint: See `messages.Submit`.
      prompt_parts: See `messages.Submit`.
    """

    number: int
    service: str
    pool: str
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int = 0
    priority: int = 0
    deadline_in_s: float
    useful_in_s: float
    repeatable: bool = False
    attempts: int = 1
    retry_ratio: float = 0.0
    retry_burst: int = 0
    retry_group: str = ""
    may_wait_s: float = 0.0
    ttft_target_s: float = 1.0
    worth_by_size: float = 0.0
    customer: str = ""
    resumes: bool = False
    version: str | None = None
    evidence: str = ""
    origin: str = ""
    stream_age_max_s: float = stream_origins.STREAM_AGE_MIN_S
    sole_pool: bool = True
    last_part: stream_origins.PromptPart = stream_origins.PromptPart()
    fingerprint: str = ""
    prompt_parts: Annotated[
        tuple[str, ...], pydantic.Field(max_length=crash_records.MAX_PARTS)
    ] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """A new request that has no decision yet."""

    kind: Literal["submit"]
    request: Request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """A running request that an earlier coordinator has placed."""

    kind: Literal["adopt"]
    request: Request
    stage: messages.Stage
    prefill_id: str
    decode_id: str
    slots: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A change of a request's stage; see the `messages` of the same names."""

    kind: Literal["prefill_finished", "first_token", "cancel"]
    number: int
    connection_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TokenCount:
    """The output tokens of a request so far, or of a finished one."""

    kind: Literal["progress", "finished"]
    number: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """A failed attempt; see `messages.AttemptFailed`."""

    kind: Literal["failed"]
    number: int
    endpoint_id: str
    stage: messages.Stage
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


Event = Annotated[
    Submit | Adopt | Step | TokenCount | Failed,
    pydantic.Field(discriminator="kind"),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnavailableEngine:
    """An engine that the sender can't use for a while.

    Attributes:
      engine_id: Id of the engine.
      left_s: For how long from now, in seconds.
    """

    engine_id: str
    left_s: Annotated[
        float,
        pydantic.Field(ge=0.0, le=endpoint_pauses.MAX_PAUSE_S),
    ]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingRequest:
    """Body of `POST /v1/cells`.

    Attributes:
      entry: Id of the sending entry process.
      pool: Name of the pool.
      epoch: Incarnation of the channel; rises each time the entry process
        resets it.
      first: Sequence number of the first event.
      events: Events that have not been acknowledged.
      acknowledged: Sequence number of the newest decision received.
      wait_s: Maximum delay of the response in seconds while there is no
        decision (long poll).
      avoids: Ids of VMs that the entry process currently can't reach; it is not
        redirected to any of them.
      origins: Streams of the pool that the entry process knows of; sent to a
        new coordinator.
      unavailable: Engines that the entry process can't use now.
    """

    entry: str
    pool: str
    epoch: int
    first: int = 1
    events: tuple[Event, ...] = ()
    acknowledged: int = 0
    wait_s: float = 0.0
    avoids: tuple[str, ...] = ()
    origins: tuple[stream_origins.Origin, ...] = ()
    unavailable: Annotated[
        tuple[UnavailableEngine, ...],
        pydantic.Field(max_length=unavailable_engines.MAX_ENGINES),
    ] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Coordinator:
    """The VM that another VM considers the coordinator of a pool.

    Attributes:
      id: Id of the VM.
      host: IP address.
      port: Port for calls between VMs.
      availability_zone: Availability zone of the VM.
    """

    id: str
    host: str
    port: int
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingResponse:
    """Response to `POST /v1/cells`.

    Attributes:
      known: Whether the coordinator has state of the channel; if not, the entry
        process resets it.
      first: Sequence number of the first decision.
      starts: Decisions to start, with their sequence numbers.
      refusals: Decisions to refuse, with their sequence numbers.
      acknowledged: Sequence number of the newest event received.
      prompt_part: Fraction of the pool's work that is prefill, from 0 to 1; 0
        while unknown.
      home: The coordinator to call instead, if the called VM is not the
        coordinator; the call's events were not applied.
    """

    known: bool = True
    first: int = 1
    starts: tuple[tuple[int, messages.Start], ...] = ()
    refusals: tuple[tuple[int, messages.Refuse], ...] = ()
    acknowledged: int = 0
    prompt_part: float = 0.0
    home: Coordinator | None = None


def coordinator_to_wire(vm: model.Vm) -> Coordinator:
    """Converts the VM of a coordinator to its message."""
    return Coordinator(
        id=vm.id,
        host=vm.host,
        port=vm.dispatch_port,
        availability_zone=vm.availability_zone,
    )


def coordinator_from_wire(coordinator: Coordinator) -> model.Vm:
    """Converts the message of a coordinator to its VM."""
    return model.Vm(
        id=coordinator.id,
        host=coordinator.host,
        availability_zone=coordinator.availability_zone,
        role=model.VmRole.ENTRY,
        dispatch_port=coordinator.port,
        entry_ports=(coordinator.port,),
    )


def request_to_wire(submit: messages.Submit, now: float) -> Request:
    """Converts a request to its message.

    Args:
      submit: The request.
      now: Current time in seconds.

    Returns:
      The message.
    """
    service = submit.service
    return Request(
        number=submit.request_id,
        service=service.id,
        pool=service.pool,
        prompt_tokens=submit.prompt_tokens,
        output_tokens=submit.output_tokens,
        expected_tokens=submit.expected_tokens,
        priority=submit.priority,
        deadline_in_s=submit.deadline - now,
        useful_in_s=submit.useful_until - now if submit.useful_until else 0.0,
        repeatable=service.idempotency is model.Idempotency.IDEMPOTENT,
        attempts=service.retries.attempts,
        retry_ratio=service.retries.ratio,
        retry_burst=service.retries.burst,
        retry_group=service.retry_group,
        may_wait_s=service.may_wait_s,
        ttft_target_s=service.ttft_target_s,
        worth_by_size=service.worth_by_size,
        customer=submit.customer,
        resumes=submit.resumes,
        version=submit.version,
        evidence=submit.evidence,
        origin=submit.origin,
        stream_age_max_s=submit.stream_age_max_s,
        sole_pool=submit.sole_pool,
        last_part=submit.last_part,
        fingerprint=submit.fingerprint,
        prompt_parts=submit.prompt_parts,
    )


def request_from_wire(request: Request, now: float) -> messages.Submit:
    """Converts the message of a request to a scheduler event.

    Args:
      request: The message.
      now: Current time in seconds.

    Returns:
      The event that submits the request.
    """
    idempotency = (
        model.Idempotency.IDEMPOTENT
        if request.repeatable
        else model.Idempotency.NON_IDEMPOTENT
    )
    service = model.Service(
        id=request.service,
        customer="",
        name=request.service,
        kind=model.ServiceKind.MODEL,
        pool=request.pool,
        ttft_target_s=request.ttft_target_s,
        worth_by_size=request.worth_by_size,
        idempotency=idempotency,
        retries=model.RetryPolicy(
            ratio=request.retry_ratio,
            burst=request.retry_burst,
            attempts=request.attempts,
        ),
        may_wait_s=request.may_wait_s,
        retry_group=request.retry_group,
    )
    return messages.Submit(
        request_id=request.number,
        service=service,
        customer=request.customer,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        expected_tokens=request.expected_tokens,
        priority=request.priority,
        deadline=now + request.deadline_in_s,
        useful_until=now + request.useful_in_s if request.useful_in_s else 0.0,
        resumes=request.resumes,
        version=request.version,
        evidence=request.evidence,
        origin=request.origin,
        stream_age_max_s=request.stream_age_max_s,
        sole_pool=request.sole_pool,
        last_part=request.last_part,
        fingerprint=request.fingerprint,
        prompt_parts=request.prompt_parts,
    )


def event_from_wire(event: Event, now: float) -> messages.Event:
    """Converts the message of an event to a scheduler event.

    Args:
      event: The message.
      now: Current time in seconds.

    Returns:
      The scheduler event.
    """
    match event:
        case Submit(request=request):
            return request_from_wire(request, now)
        case Adopt(request=request):
            return messages.Adopt(
                submit=request_from_wire(request, now),
                start=messages.Start(
                    request_id=request.number,
                    attempt=event.attempt,
                    prefill_id=event.prefill_id,
                    decode_id=event.decode_id,
                    slots=event.slots,
                ),
                stage=event.stage,
            )
        case Step(kind="prefill_finished", number=number):
            return messages.PrefillFinished(number)
        case Step(kind="first_token", number=number):
            return messages.FirstToken(number)
        case Step(number=number):
            return messages.Cancel(number, event.connection_lost)
        case TokenCount(kind="progress", number=number, tokens=tokens):
            return messages.Progress(number, tokens)
        case TokenCount(number=number, tokens=tokens):
            return messages.Finished(number, tokens)
        case Failed():
            return messages.AttemptFailed(
                request_id=event.number,
                endpoint_id=event.endpoint_id,
                stage=event.stage,
                refused=event.refused,
                unsent=event.unsent,
                not_run=event.not_run,
                unreachable=event.unreachable,
                answered=event.answered,
                kept_s=event.kept_s,
                resumable=event.resumable,
                version=event.version,
                connection_lost=event.connection_lost,
                silent=event.silent,
            )


def event_to_wire(event: messages.Event) -> Event:
    """Converts an event of a submitted request to its message.

    Args:
      event: Any event of a request except `Submit` and `Adopt`.

    Returns:
      The message.

    Raises:
      TypeError: The event has no message.
    """
    match event:
        case messages.PrefillFinished(number):
            return Step(kind="prefill_finished", number=number)
        case messages.FirstToken(number):
            return Step(kind="first_token", number=number)
        case messages.Cancel(number, connection_lost):
            return Step(
                kind="cancel", number=number, connection_lost=connection_lost
            )
        case messages.Progress(number, tokens):
            return TokenCount(kind="progress", number=number, tokens=tokens)
        case messages.Finished(number, tokens):
            return TokenCount(kind="finished", number=number, tokens=tokens)
        case messages.AttemptFailed():
            return Failed(
                kind="failed",
                number=event.request_id,
                endpoint_id=event.endpoint_id,
                stage=event.stage,
                refused=event.refused,
                unsent=event.unsent,
                not_run=event.not_run,
                unreachable=event.unreachable,
                answered=event.answered,
                kept_s=event.kept_s,
                resumable=event.resumable,
                version=event.version,
                connection_lost=event.connection_lost,
                silent=event.silent,
            )
        case _:
            raise TypeError(f"event has no message to a coordinator: {event}")
