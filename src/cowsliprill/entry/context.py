"""Per-request state that the filters share, and the filter chain itself."""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from tornado import httputil

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import stream_origins
from cowsliprill.engines import http_client
from cowsliprill.engines import silence as silence_lib
from cowsliprill.entry import attempts
from cowsliprill.entry import errors
from cowsliprill.entry import held_stream
from cowsliprill.entry import relay_envelope
from cowsliprill.entry import response_writer as response_writer_lib
from cowsliprill.entry import schema


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """HTTP request as the caller sent it.

    Attributes:
      method: HTTP method.
      path: Path without the query.
      query: Query without the question mark.
      headers: Request headers.
      body: Request body; incomplete if the request is refused for its size.
      rejection: Error with which the request is refused before it reaches the
        filters (size limits, shutdown, forwarding by a stranger), or None.
      forwarded: Whether a peer forwarded the request because of its ticket.
      uri: Path and query exactly as sent, for services that get them unchanged.
      envelope: What the sending VM knows of a relayed request, None for a
        request that came from its caller.
    """

    method: str
    path: str
    query: str
    headers: httputil.HTTPHeaders
    body: bytes
    rejection: errors.EntryError | None = None
    forwarded: bool = False
    uri: str = ""
    envelope: relay_envelope.Envelope | None = None

    @property
    def target(self) -> str:
        """Path and query, joined by a question mark if there is a query."""
        return f"{self.path}?{self.query}" if self.query else self.path


@dataclasses.dataclass(slots=True, kw_only=True)
class Generation:
    """Validated parameters of a model request.

    Attributes:
      request: Validated body, None where bodies are passed on unparsed.
      fields: Fields of the body as the caller sent them.
      path: Path of this kind of request at the engines.
      prompt_tokens: Estimated number of prompt tokens.
      prefix_hashes: Hashes of the first blocks of the prompt, salted by the
        customer so that no customer can observe another's cached prefixes.
      part_ids: Identify the parts of the prompt that other requests may share,
        in their order; the last part belongs to the request alone.
      last_part: That last part.
      output_tokens: Limit of output tokens.
      expected_tokens: Caller's own estimate of the output tokens, 0 for none.
    """

    request: schema.GenerationRequest | None = None
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)
    path: str = ""
    prompt_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    part_ids: tuple[str, ...] = ()
    last_part: stream_origins.PromptPart = stream_origins.PromptPart()
    output_tokens: int
    expected_tokens: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Progress of a request, for logs, metrics and errors.

    Attributes:
      run: Whether the request was executed, as far as known. Once an attempt
        has ended as UNKNOWN, the value stays UNKNOWN.
      prefills: Number of prefills started.
      prefills_used: Number of prefills whose decode produced a token.
      first_token_at: Time of the first token in seconds, 0 if there is none.
      last_token_at: Time of the last token in seconds.
      tokens: Number of tokens sent to the caller.
      attempts: Number of attempts made.
      resumes_since_token: Attempts to resume the stream since the last new
        token.
      resumed_at_token: Number of the last token at the latest resumption.
      prefilled_at: Time in seconds at which the latest prefill finished.
      sent_at: Time in seconds at which the request was last sent to an
        endpoint.
      last_event_id: Id of the last event sent to the caller.
      software_version: Software version that began the stream, None before its
        first event or while it is unknown.
      resumable: Whether an engine that other VMs reach may continue the broken
        stream after that event.
      connection_lost: Whether the engine of the newest attempt closed the
        connection before any output.
      outcome: Outcome of the request, for logs and metrics.
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
    sent_at: float = 0.0
    last_event_id: str = ""
    software_version: str | None = None
    resumable: bool = False
    connection_lost: bool = False
    outcome: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class Context:
    """One request and what the filters have determined about it so far.

    The text after "set by" names the filter that fills an attribute in.

    Attributes:
      number: Number of the request within this incarnation.
      request_id: `<incarnation>.<number>`, in every log line of the request.
      call: HTTP request as the caller sent it.
      response_writer: Writer of the response.
      arrived_at: Time of arrival in seconds.
      snapshot: Settings at arrival; used for the whole request.
      caller_id: Caller's own id of this attempt, for logs; empty for none.
      resumes: Caller's id of its attempt that began the stream which this
        request resumes, empty for none.
      stream_attempt: Caller's id of the attempt that begins the stream, or has
        begun it; empty if it named none.
      customer: Calling customer; set by `identify`.
      key_hash: Digest of the API key, which must still be valid at each
        attempt; empty for none; set by `identify`.
      fingerprint: Digest that is the same each time the caller sends this
        request; set by `fingerprint`.
      prompt_parts: Digests of the parts of the prompt that other requests may
        share; set by `prompt_parts`.
      route: Matched route, None where callers name a service; set by `route`.
      service: Requested service; set by `resolve` or `route`.
      generation: Model request, None for plain services; set by `resolve`.
      service_path: Path at the plain service; set by `resolve`.
      priority: Priority of the service plus the caller's offset; set by
        `priority_and_deadline`.
      deadline: Time in seconds by which the first token is due; set by
        `priority_and_deadline` or `arrival`.
      response_due_at: Time in seconds by which the complete response must have
        been sent; set by `priority_and_deadline` or `arrival`.
      useful_until: Time in seconds until which a late first token is still of
        use, 0 if only until the deadline; set by `arrival`.
      caller_timeout_s: Timeout that the caller declares in seconds, 0 for none.
      declared_tokens: Sum of prompt tokens and limit of output tokens that the
        caller declares, 0 for none.
      silence: Decides what becomes of the current call to an endpoint while it
        gets no data, None to wait until the response is due; set by the relay
        or the placement.
      connection: Open, unused connection to the decode engine of the current
        attempt.
      exported_prefill: Exported KV cache of a finished prefill that no decode
        engine has fetched yet.
      engine_wait: Wait for the output of the attempt's decode engine, None
        before it has got the request.
      held: Stream whose engine is silent, kept until it or another engine goes
        on; set by the relay.
      idempotency_key: Idempotency key or ticket, empty for none; set by
        `idempotency`.
      continues_after_disconnect: Whether the request continues after its
        caller has disconnected; set by `idempotency`.
      is_interrupted: Whether it is cancelled because the process ends.
      start: Engines chosen for the current attempt; set by `model_placement`.
      endpoint: Endpoint of a plain service; set by `plain_placement`.
      relayed_to: VM that serves the request for this one, empty for none; set
        by `failover`.
      no_peer_serves: Whether the path to the pool is lost and no peer can
        serve the request either; set by `failover`.
      progress: Progress of the request.
    """

    number: int
    request_id: str
    call: Call
    response_writer: response_writer_lib.ResponseWriter
    arrived_at: float
    snapshot: model.Snapshot
    caller_id: str = ""
    resumes: str = ""
    stream_attempt: str = ""
    customer: model.Customer | None = None
    key_hash: str = ""
    fingerprint: str = ""
    prompt_parts: tuple[str, ...] = ()
    route: model.Route | None = None
    service: model.Service | None = None
    generation: Generation | None = None
    service_path: str = ""
    priority: int = 0
    deadline: float = 0.0
    response_due_at: float = 0.0
    useful_until: float = 0.0
    caller_timeout_s: float = 0.0
    declared_tokens: int = 0
    silence: silence_lib.SilencePolicy | None = None
    connection: http_client.Connection | None = None
    exported_prefill: Any = None
    engine_wait: attempts.EngineWait | None = None
    held: held_stream.HeldStream | None = None
    idempotency_key: str = ""
    continues_after_disconnect: bool = False
    is_interrupted: bool = False
    start: messages.Start | None = None
    endpoint: model.Endpoint | None = None
    relayed_to: str = ""
    no_peer_serves: bool = False
    progress: Progress = dataclasses.field(default_factory=Progress)


Handler = Callable[[Context], Awaitable[None]]
Filter = Callable[[Context, Handler], Awaitable[None]]


def chain(filters: list[Filter], final_handler: Handler) -> Handler:
    """Composes filters and a final handler into one handler.

    Args:
      filters: Filters, outermost first.
      final_handler: Handler that the innermost filter passes the request to.

    Returns:
      The composed handler.
    """
    handle = final_handler
    for outer in reversed(filters):
        handle = _wrap(outer, handle)
    return handle


def _wrap(outer: Filter, inner: Handler) -> Handler:
    async def handle(ctx: Context) -> None:
        await outer(ctx, inner)

    return handle
