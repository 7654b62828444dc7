"""What is known of one request on its way through the filters."""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from tornado import httputil

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import http_client
from cowsliprill.entry import errors
from cowsliprill.entry import response_writer as response_writer_lib
from cowsliprill.entry import schema


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """What the caller sent.

    Attributes:
      method: HTTP method.
      path: Path without the query.
      query: Query without the question mark.
      headers: Headers.
      body: Body.
      fault: What is wrong with its size, None if nothing.
      forwarded: Whether a peer passed it on because of its ticket.
      uri: Path and query exactly as sent, where they must stay unchanged.
    """

    method: str
    path: str
    query: str
    headers: httputil.HTTPHeaders
    body: bytes
    fault: errors.EntryError | None = None
    forwarded: bool = False
    uri: str = ""

    @property
    def target(self) -> str:
        """Path and query."""
        return f"{self.path}?{self.query}" if self.query else self.path


@dataclasses.dataclass(slots=True, kw_only=True)
class Generation:
    """A model request, as checked.

    Attributes:
      request: The checked body, None where bodies are passed on unread.
      fields: The body's fields as the caller sent them.
      path: The engines' path of this kind of request.
      prompt_tokens: Estimated tokens of the prompt.
      prefix_hashes: Hashes of its first blocks, salted by the customer.
      output_tokens: Limit of the answer.
      expected_tokens: The caller's own guess of the answer's length, 0 for
        none.
    """

    request: schema.GenerationRequest | None = None
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)
    path: str = ""
    prompt_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    output_tokens: int
    expected_tokens: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """How far a request has come; read for logs, metrics and errors.

    Attributes:
      run: What may be said of whether it was run. It never turns back from
        UNKNOWN to NO.
      prefills: Prefills started.
      prefills_used: Prefills whose decode gave a token.
      first_token_at: When the first token was there, 0 if none was.
      last_token_at: When the last token was there.
      tokens: Tokens that the caller was sent.
      attempts: Attempts made.
      resumes_since_token: Tries to resume its stream since the last new token.
      resumed_at_token: The last token when it was last resumed.
      prefilled_at: When the newest prefill was finished.
      last_event_id: Id of the last event that the caller was sent.
      outcome: The request's end, for logs and metrics.
    """

    run: messages.Executed = messages.Executed.NO
    prefills: int = 0
    prefills_used: int = 0
    first_token_at: float = 0.0
    last_token_at: float = 0.0
    tokens: int = 0
    attempts: int = 0
    resumes_since_token: int = 0
    resumed_at_token: int = -1
    prefilled_at: float = 0.0
    last_event_id: str = ""
    outcome: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class Context:
    """One request; each filter fills in what it finds out.

    Attributes:
      number: Number of the request within this incarnation.
      request_id: `<incarnation>.<number>`, in every log line about it.
      call: What the caller sent.
      response_writer: Where the answer goes.
      arrived_at: Time of arrival, seconds.
      snapshot: Settings in force at arrival; they hold for all of the request.
      caller_id: The caller's own id of this attempt, for logs; empty for none.
      customer: The calling customer; by `identify`.
      key_hash: Digest of the API key that must hold until it runs, empty for
        none; by `identify`.
      route: The route called, None where callers name a service; by `route`.
      service: The service called; by `resolve` or `route`.
      generation: The model request, None for plain calls; by `resolve`.
      service_path: Rest of the path of a plain call; by `resolve`.
      priority: The service's priority with the caller's offset; by `urgency`.
      deadline: Latest useful time of the first token; by `urgency`.
      ends_at: When the final answer is due; by `urgency`.
      useful_until: Latest time of the first token at which the answer is still
        of some use, 0 if that is the deadline; by `urgency`.
      time_given_s: How long the caller says that it will wait, 0 if it says
        nothing.
      stated_tokens: Tokens of prompt and longest answer as the caller states
        them, 0 if it doesn't.
      stall_s: Silence after which the present call is given up, None to wait
        until the end; by `placement`.
      connection: An open connection to the decode engine of the present
        attempt, not used yet.
      exported_prefill: A finished prefill that no decode engine has fetched
        yet.
      idempotency_key: Key or ticket, empty for none; by `idempotency`.
      survives_caller: Whether the run goes on without its caller; by
        `idempotency`.
      start: Where the present attempt runs; by `placement`.
      endpoint: Endpoint of a plain call; by `placement`.
      progress: How far it has come.
    """

    number: int
    request_id: str
    call: Call
    response_writer: response_writer_lib.ResponseWriter
    arrived_at: float
    snapshot: model.Snapshot
    caller_id: str = ""
    customer: model.Customer | None = None
    key_hash: str = ""
    route: model.Route | None = None
    service: model.Service | None = None
    generation: Generation | None = None
    service_path: str = ""
    priority: int = 0
    deadline: float = 0.0
    ends_at: float = 0.0
    useful_until: float = 0.0
    time_given_s: float = 0.0
    stated_tokens: int = 0
    stall_s: float | None = None
    connection: http_client.Connection | None = None
    exported_prefill: Any = None
    idempotency_key: str = ""
    survives_caller: bool = False
    start: messages.Start | None = None
    endpoint: model.Endpoint | None = None
    progress: Progress = dataclasses.field(default_factory=Progress)


Handle = Callable[[Context], Awaitable[None]]
Filter = Callable[[Context, Handle], Awaitable[None]]


def chain(filters: list[Filter], last: Handle) -> Handle:
    """Joins filters into one handler.

    Args:
      filters: The filters, outermost first.
      last: What the innermost filter passes the request to.

    Returns:
      The handler.
    """
    handle = last
    for outer in reversed(filters):
        handle = _link(outer, handle)
    return handle


def _link(outer: Filter, inner: Handle) -> Handle:
    async def handle(ctx: Context) -> None:
        await outer(ctx, inner)

    return handle
