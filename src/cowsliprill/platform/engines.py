"""HTTP clients for the platform's engines and plain services."""

import asyncio
import dataclasses
import http
import re

from tornado import httputil

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import engine_silence
from cowsliprill.decisions import model
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import errors
from cowsliprill.engines import event_stream
from cowsliprill.engines import exchange
from cowsliprill.engines import hop_headers
from cowsliprill.engines import http_client
from cowsliprill.engines import protocol
from cowsliprill.engines import service_client
from cowsliprill.entry import context
from cowsliprill.entry import sinks
from cowsliprill.observability import log as log_lib
from cowsliprill.platform import answers
from cowsliprill.platform import headers as headers_lib

_MAX_RESPONSE_BYTES = 16_777_216
# Handles and reports.
_MAX_CONTROL_BYTES = 262_144
_MS_PER_S = 1_000
_RELEASE_TIMEOUT_S = 1.0
# Reports are answered within a few ms, whatever else the engine does.
_PROBE_TIMEOUT_S = 0.15
# Connecting takes a few ms. TCP retransmits a lost SYN only after a second, by
# which time another engine would have responded.
_CONNECT_TIMEOUT_S = 0.15
_HOST_HEADER = "Host"
# Handles are sent in a header and in a path.
_HANDLE = re.compile(r"[!-~]{1,256}")
# Clients read these statuses as a guarantee that a request was not executed. An
# engine that sends one without the `Not-Executed` header may have executed it,
# so they are not passed on.
_NOT_EXECUTED_STATUSES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FinishedPrefill:
    """A finished prefill whose KV cache waits to be fetched.

    Attributes:
      endpoint: Engine that holds the KV cache.
      handle: Engine's id of the KV cache, valid for one fetch.
    """

    endpoint: model.Endpoint
    handle: str


class EngineClient:
    """Implements `calls.EngineCalls` for the platform's engines.

    Args:
      client: HTTP client.
      log: Log of the process.
      feedback: Receives what answers say about their engines.
      sends_priority: Whether engines are told the priority of each request.
    """

    prefill_counts_as_execution = False
    disconnect_cancels = True
    can_resume_elsewhere = True

    def __init__(
        self,
        client: http_client.HttpClient,
        log: log_lib.Log,
        feedback: endpoint_feedback.EndpointFeedback,
        *,
        sends_priority: bool = False,
    ) -> None:
        self._http = client
        self._log = log
        self._sends_priority = sends_priority
        self._feedback = feedback
        self._release_tasks: set[asyncio.Task] = set()

    def attempt_id(self, ctx: context.Context) -> str:
        """Returns the client's id of its attempt, which engines echo."""
        return ctx.call.headers.get(headers_lib.ATTEMPT_ID, "")

    async def prepare(
        self, ctx: context.Context, endpoint: model.Endpoint
    ) -> None:
        """Opens the connection for the later decode request."""
        self._feedback.check(endpoint)
        ctx.connection = await self._http.connect(
            endpoint.host, endpoint.port, _CONNECT_TIMEOUT_S
        )

    async def prefill(
        self, ctx: context.Context, endpoint: model.Endpoint, timeout_s: float
    ) -> FinishedPrefill:
        """Prefills the prompt and exports its KV cache.

        A prefill doesn't count as an execution of the request.
        """
        extra_headers = {
            headers_lib.STAGE: headers_lib.STAGE_PREFILL,
            **self._priority_header(ctx),
        }
        response = await _send(
            self._http,
            self._feedback,
            ctx,
            endpoint,
            extra_headers,
            timeout_s=timeout_s,
        )
        body = await response.read(_MAX_CONTROL_BYTES)
        _check_response(ctx, response, require_signature=False)
        try:
            handle = codec.load_json(body)["kvHandle"]
        except (ValueError, TypeError, KeyError) as error:
            raise errors.EngineFailed(f"no handle: {error!r}") from error
        if not isinstance(handle, str) or not _HANDLE.fullmatch(handle):
            raise errors.EngineFailed("malformed handle")
        return FinishedPrefill(endpoint=endpoint, handle=handle)

    async def decode(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        prefilled: FinishedPrefill | None,
        timeout_s: float,
    ) -> event_stream.EventStream:
        """Starts decoding and returns the stream of events."""
        extra_headers = self._priority_header(ctx)
        if prefilled is not None:
            source = prefilled.endpoint
            address = f"{source.host}:{source.port}"
            extra_headers[headers_lib.KV_SOURCE] = (
                f"{address}/{prefilled.handle}"
            )
        if ctx.progress.last_event_id:
            extra_headers[headers_lib.LAST_EVENT_ID] = (
                ctx.progress.last_event_id
            )
        connection, ctx.connection = ctx.connection, None
        response = await _send(
            self._http,
            self._feedback,
            ctx,
            endpoint,
            extra_headers,
            timeout_s=timeout_s,
            connection=connection,
        )
        try:
            _check_response(ctx, response)
        except errors.CallError:
            response.close()
            raise
        return event_stream.EventStream(
            response,
            ctx.progress.last_event_id,
            ctx.service.tokens_per_event,
        )

    async def probe(self, endpoint: model.Endpoint) -> engine_silence.Liveness:
        """Asks an engine for its report, which takes no slot."""
        try:
            self._feedback.check(endpoint)
            response = await self._http.call(
                endpoint.host,
                endpoint.port,
                "GET",
                "/report",
                {headers_lib.EXPECTED_INSTANCE: endpoint.id},
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                timeout_s=_PROBE_TIMEOUT_S,
                new_connection=True,
            )
            await response.read(_MAX_CONTROL_BYTES)
        except errors.CallError as error:
            self._log.event(
                "probe_unanswered", endpoint=endpoint.id, reason=error.message
            )
            return error.liveness
        return engine_silence.Liveness.ANSWERS

    def discard(self, prefilled: FinishedPrefill) -> None:
        """Releases a KV cache that no decode will fetch, in the background."""
        task = asyncio.create_task(self._release(prefilled))
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    def sink(
        self, ctx: context.Context, stream: event_stream.EventStream
    ) -> sinks.Sink:
        """Returns a sink that relays events and engine headers unchanged."""
        return sinks.PassthroughSink(ctx, stream)

    def _priority_header(self, ctx: context.Context) -> dict[str, str]:
        if not self._sends_priority:
            return {}
        return {headers_lib.PRIORITY: headers_lib.priority_value(ctx.priority)}

    async def _release(self, prefilled: FinishedPrefill) -> None:
        endpoint = prefilled.endpoint
        pause_s = self._feedback.pause_left_s(endpoint)
        if pause_s:
            if pause_s >= endpoint.export_ttl_s:
                self._log_unreleased(endpoint, "the engine wants a pause")
                return
            await asyncio.sleep(pause_s)
        sent_at = clock.now()
        try:
            response = await self._http.call(
                endpoint.host,
                endpoint.port,
                "DELETE",
                f"/kv-handle/{prefilled.handle}",
                {headers_lib.EXPECTED_INSTANCE: endpoint.id},
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                timeout_s=_RELEASE_TIMEOUT_S,
            )
            answers.observe_control(self._feedback, endpoint, response, sent_at)
            await response.read(_MAX_CONTROL_BYTES)
        except errors.CallError as error:
            self._log_unreleased(endpoint, error.message)

    def _log_unreleased(self, endpoint: model.Endpoint, reason: str) -> None:
        # The engine drops the KV cache when the TTL of its handle ends.
        self._log.event("prefill_unfreed", endpoint=endpoint.id, reason=reason)


class ServiceClient:
    """Implements `calls.PlainCalls` for the platform's plain services.

    Args:
      client: HTTP client.
      feedback: Receives what answers say about their servers.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        feedback: endpoint_feedback.EndpointFeedback,
    ) -> None:
        self._http = client
        self._feedback = feedback

    async def call(
        self, ctx: context.Context, progress: call_lib.CallProgress
    ) -> service_client.ServiceResponse:
        """Sends the request to `ctx.endpoint` once, without a retry."""
        timeout_s = max(ctx.response_due_at - clock.now(), 1 / _MS_PER_S)
        response = await _send(
            self._http,
            self._feedback,
            ctx,
            ctx.endpoint,
            {},
            timeout_s=timeout_s,
            progress=progress,
        )
        body = await response.read(_MAX_RESPONSE_BYTES)
        try:
            _check_response(ctx, response, accept_failures=True)
        except errors.EngineRefused:
            progress.mark_refused()
            raise
        return service_client.ServiceResponse(
            status=response.status,
            headers=hop_headers.end_to_end(response.headers),
            body=body,
        )


async def _send(
    client: http_client.HttpClient,
    feedback: endpoint_feedback.EndpointFeedback,
    ctx: context.Context,
    endpoint: model.Endpoint,
    extra_headers: dict[str, str],
    *,
    timeout_s: float,
    progress: call_lib.CallProgress | None = None,
    connection: http_client.Connection | None = None,
) -> exchange.Response:
    non_idempotent = ctx.service.idempotency is model.Idempotency.NON_IDEMPOTENT
    is_prefill = headers_lib.STAGE in extra_headers
    feedback.check(endpoint)
    sent_at = clock.now()
    response = await client.call(
        endpoint.host,
        endpoint.port,
        ctx.call.method,
        ctx.call.uri,
        _headers(ctx, endpoint, extra_headers),
        ctx.call.body,
        connect_timeout_s=_CONNECT_TIMEOUT_S,
        timeout_s=timeout_s,
        silence=ctx.silence,
        # An engine may close an idle connection just as a request is sent on
        # it; whether that request was executed would be unknown.
        new_connection=non_idempotent and not is_prefill,
        allow_close_delimited=True,
        connection=connection,
        progress=progress,
        before_send=lambda: feedback.before_send(endpoint),
    )
    if _is_answer_of(ctx, response, require_signature=not is_prefill):
        feedback.observe(answers.of_request(endpoint, response, sent_at))
    return response


def _headers(
    ctx: context.Context,
    endpoint: model.Endpoint,
    extra_headers: dict[str, str],
) -> httputil.HTTPHeaders:
    headers = hop_headers.end_to_end(
        ctx.call.headers, headers_lib.ROUTER_ONLY_HEADERS
    )
    remaining_ms = int((ctx.response_due_at - clock.now()) * _MS_PER_S)
    headers[_HOST_HEADER] = ctx.call.headers.get(_HOST_HEADER, "")
    headers[headers_lib.DEADLINE_MS] = str(max(remaining_ms, 1))
    headers[headers_lib.EXPECTED_INSTANCE] = endpoint.id
    if ctx.snapshot.keys_required:
        # An engine that received the API key could impersonate the customer.
        headers.pop(headers_lib.AUTHORIZATION, None)
    if ctx.customer.id:
        headers[headers_lib.CUSTOMER] = ctx.customer.id
    headers.update(extra_headers)
    return headers


def _check_response(
    ctx: context.Context,
    response: exchange.Response,
    *,
    accept_failures: bool = False,
    require_signature: bool = True,
) -> None:
    """Checks that a response comes from the engine and is for this request.

    Args:
      ctx: Context of the request.
      response: Response with its headers read.
      accept_failures: Whether an error status that doesn't claim that the
        request was not executed is a valid response.
      require_signature: Whether a success must have a signature header.

    Raises:
      errors.EngineRefused: The engine has not executed the request.
      errors.CallError: The response is invalid or for another request.
    """
    headers = response.headers
    attempt_id = ctx.call.headers.get(headers_lib.ATTEMPT_ID, "")
    if headers.get(headers_lib.ATTEMPT_ID, attempt_id) != attempt_id:
        raise errors.ResponseIdMismatch(
            "the answer carries another request's id"
        )
    status = response.status
    if headers_lib.NOT_EXECUTED in headers:
        raise errors.EngineRefused(f"status {status}", code=protocol.CODE_FULL)
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        raise errors.EngineRefused(
            "another engine has this address", code=protocol.CODE_MISDIRECTED
        )
    if status < http.HTTPStatus.MULTIPLE_CHOICES:
        _check_success(headers, require_signature=require_signature)
        return
    if not accept_failures or status in _NOT_EXECUTED_STATUSES:
        raise errors.EngineFailed(f"status {status}")


def _is_answer_of(
    ctx: context.Context,
    response: exchange.Response,
    *,
    require_signature: bool = True,
) -> bool:
    """Returns whether the addressed engine gave an answer to this request.

    Args:
      ctx: Context of the request.
      response: Response with its headers read.
      require_signature: Whether a success must have a signature header.
    """
    try:
        _check_response(
            ctx,
            response,
            accept_failures=True,
            require_signature=require_signature,
        )
    except errors.EngineRefused as error:
        return error.code != protocol.CODE_MISDIRECTED
    except errors.EngineFailed:
        # An engine's failure is its own answer, a malformed success isn't.
        return response.status >= http.HTTPStatus.MULTIPLE_CHOICES
    except errors.CallError:
        return False
    return True


def _check_success(
    headers: httputil.HTTPHeaders, *, require_signature: bool
) -> None:
    if headers_lib.ATTEMPT_ID not in headers:
        raise errors.ResponseIdMismatch("the answer carries no id")
    if require_signature and headers_lib.SIGNATURE not in headers:
        raise errors.EngineFailed("the answer bears no signature")
    if headers_lib.CONTENT_ENCODING in headers:
        raise errors.EngineFailed("the answer is encoded")
