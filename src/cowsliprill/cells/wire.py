"""Messages between entries and the homes of pools."""

import dataclasses
from typing import Annotated
from typing import Literal

import pydantic

from cowsliprill.decisions import messages
from cowsliprill.decisions import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A model request as a home needs it.

    Times are seconds from when it is sent: two VMs' clocks count from
    different boots. What the service says goes along, since the home may not
    have the same settings yet.

    Attributes:
      number: The entry's own number of it.
      service: Id of the service.
      pool: Its pool.
      prompt_tokens: Tokens of the prompt.
      output_tokens: Limit of the answer.
      expected_tokens: The caller's guess of its length, 0 for none.
      priority: Larger goes first.
      deadline_in_s: Time left for the first token to be in time.
      useful_in_s: Time left for it to be of any use.
      repeatable: Whether it may run more than once.
      attempts: Attempts at most.
      retry_ratio: Retries earned by each request.
      retry_burst: Retries that may be saved up, at each entry.
      retry_group: Services that share a budget of retries.
      may_wait_s: Longest time in a queue.
      ttft_target_s: Target for the time to first token.
      worth_by_size: Part of its worth that goes by its tokens.
      customer: Id of the calling customer, empty for none.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """A request that waits for a decision."""

    kind: Literal["submit"]
    request: Request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """A request that runs where an earlier home placed it."""

    kind: Literal["adopt"]
    request: Request
    stage: messages.Stage
    prefill_id: str
    decode_id: str
    slots: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A request came a step further; see the `messages` of the same names."""

    kind: Literal["prefill_finished", "first_token", "cancel"]
    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TokenCount:
    """A request has come to a number of tokens, or has ended with it."""

    kind: Literal["progress", "finished"]
    number: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """An attempt came to nothing; see `messages.AttemptFailed`."""

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


Event = Annotated[
    Submit | Adopt | Step | TokenCount | Failed,
    pydantic.Field(discriminator="kind"),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingRequest:
    """Body of `POST /v1/cells`.

    Attributes:
      entry: Id of the asking process.
      pool: The pool.
      epoch: Tells channels of one entry apart.
      first: Number of the first event.
      events: Events that aren't acknowledged.
      acknowledged: Number of the newest decision that was taken.
      wait_s: How long the answer may be held back while there is no decision.
      avoids: Ids of VMs that the entry can't reach just now; none of them is
        named to it as the home.
    """

    entry: str
    pool: str
    epoch: int
    first: int = 1
    events: tuple[Event, ...] = ()
    acknowledged: int = 0
    wait_s: float = 0.0
    avoids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Coordinator:
    """A VM that another holds for a pool's home.

    Attributes:
      id: Its id.
      host: IP number.
      port: Port for peers.
      availability_zone: Where it is.
    """

    id: str
    host: str
    port: int
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingResponse:
    """Answer of `POST /v1/cells`.

    Attributes:
      known: Whether the home knows the channel; the entry else begins anew.
      first: Number of the first decision.
      starts: Decisions to start, with their numbers.
      refusals: Decisions to refuse, with their numbers.
      acknowledged: Number of the newest event that was taken.
      prompt_part: Part of the pool's work that prompts are, from 0 to 1; 0
        while the home doesn't know.
      home: Who is the home, where the one that was asked is not; it has then
        taken no event.
    """

    known: bool = True
    first: int = 1
    starts: tuple[tuple[int, messages.Start], ...] = ()
    refusals: tuple[tuple[int, messages.Refuse], ...] = ()
    acknowledged: int = 0
    prompt_part: float = 0.0
    home: Coordinator | None = None


def coordinator_to_wire(vm: model.Vm) -> Coordinator:
    """Writes a VM that is a home."""
    return Coordinator(
        id=vm.id,
        host=vm.host,
        port=vm.dispatch_port,
        availability_zone=vm.availability_zone,
    )


def coordinator_from_wire(coordinator: Coordinator) -> model.Vm:
    """Reads a VM that is a coordinator."""
    return model.Vm(
        id=coordinator.id,
        host=coordinator.host,
        availability_zone=coordinator.availability_zone,
        role=model.VmRole.ENTRY,
        dispatch_port=coordinator.port,
        entry_ports=(coordinator.port,),
    )


def request_to_wire(submit: messages.Submit, now: float) -> Request:
    """Writes a request for its home.

    Args:
      submit: The request.
      now: Time, seconds.

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
        repeatable=service.idempotency is model.Idempotency.REPEATABLE,
        attempts=service.retries.attempts,
        retry_ratio=service.retries.ratio,
        retry_burst=service.retries.burst,
        retry_group=service.retry_group,
        may_wait_s=service.may_wait_s,
        ttft_target_s=service.ttft_target_s,
        worth_by_size=service.worth_by_size,
        customer=submit.customer,
    )


def request_from_wire(request: Request, now: float) -> messages.Submit:
    """Reads a request at its home.

    Args:
      request: The message.
      now: Time, seconds.

    Returns:
      The request.
    """
    idempotency = (
        model.Idempotency.REPEATABLE
        if request.repeatable
        else model.Idempotency.UNREPEATABLE
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
        retries=model.RetryRules(
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
    )


def event_from_wire(event: Event, now: float) -> messages.Event:
    """Reads an event at the home.

    Args:
      event: The message.
      now: Time, seconds.

    Returns:
      The event.
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
            return messages.Cancel(number)
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
            )


def event_to_wire(event: messages.Event) -> Event:
    """Writes an event that follows a submitted request.

    Args:
      event: Any but `Submit` and those of the world.

    Returns:
      The message.
    """
    match event:
        case messages.PrefillFinished(number):
            return Step(kind="prefill_finished", number=number)
        case messages.FirstToken(number):
            return Step(kind="first_token", number=number)
        case messages.Cancel(number):
            return Step(kind="cancel", number=number)
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
            )
        case _:
            raise TypeError(f"no message to a home: {event}")
