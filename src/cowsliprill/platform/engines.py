"""Engines and plain services on the platform."""

import asyncio
import dataclasses
import http
import json

from tornado import httputil

from cowsliprill import clock
from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import model
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
from cowsliprill.platform import headers as headers_lib

_MAX_ANSWER_BYTES = 16_777_216
_MS_PER_S = 1_000
_FREE_S = 1.0
# A port answers within some milliseconds. A lost packet is sent again after a
# second, by which time another engine would have answered.
_CONNECT_S = 0.15
_HOST = "Host"
# These promise to clients that a request has not run. An engine that says so
# without the header for it may have run it.
_PROMISES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FinishedPrefill:
    """A finished prefill.

    Attributes:
      endpoint: The engine that keeps it.
      handle: The engine's name for it; good for one fetch.
    """

    endpoint: model.Endpoint
    handle: str


class Engines:
    """`calls.EngineCalls` of the platform.

    Args:
      client: HTTP client.
      log: The process's log.
    """

    prefill_counts_as_execution = False
    disconnect_cancels = True
    can_resume_elsewhere = True

    def __init__(
        self, client: http_client.HttpClient, log: log_lib.Log
    ) -> None:
        self._http = client
        self._log = log
        self._frees: set[asyncio.Task] = set()

    def attempt_id(self, ctx: context.Context) -> str:
        """Returns the client's id, which engines echo."""
        return ctx.call.headers.get(headers_lib.ATTEMPT, "")

    async def prepare(
        self, ctx: context.Context, endpoint: model.Endpoint
    ) -> None:
        """Opens the connection by which the decode will be asked for."""
        ctx.connection = await self._http.connect(
            endpoint.host, endpoint.port, _CONNECT_S
        )

    async def prefill(
        self, ctx: context.Context, endpoint: model.Endpoint, timeout_s: float
    ) -> FinishedPrefill:
        """Has the prompt read and kept; the request doesn't run by that."""
        extra = {headers_lib.STAGE: headers_lib.STAGE_PREFILL}
        response = await _send(
            self._http, ctx, endpoint, extra, timeout_s=timeout_s
        )
        body = await response.read(_MAX_ANSWER_BYTES)
        _check(ctx, response, signed=False)
        try:
            handle = json.loads(body)["kvHandle"]
        except (ValueError, TypeError, KeyError) as error:
            raise errors.EngineFailed(f"no handle: {error!r}") from error
        return FinishedPrefill(endpoint=endpoint, handle=handle)

    async def decode(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        prefilled: FinishedPrefill | None,
        timeout_s: float,
    ) -> event_stream.EventStream:
        """Opens the stream of a request."""
        extra = {}
        if prefilled is not None:
            source = prefilled.endpoint
            address = f"{source.host}:{source.port}"
            extra[headers_lib.KV_SOURCE] = f"{address}/{prefilled.handle}"
        if ctx.progress.last_event_id:
            extra[headers_lib.LAST_EVENT] = ctx.progress.last_event_id
        connection, ctx.connection = ctx.connection, None
        response = await _send(
            self._http,
            ctx,
            endpoint,
            extra,
            timeout_s=timeout_s,
            connection=connection,
        )
        try:
            _check(ctx, response)
        except errors.CallError:
            response.close()
            raise
        return event_stream.EventStream(
            response,
            ctx.progress.last_event_id,
            ctx.service.tokens_per_event,
        )

    def discard(self, prefilled: FinishedPrefill) -> None:
        """Has the memory of a prefill freed that no decode will fetch."""
        task = asyncio.create_task(self._free(prefilled))
        self._frees.add(task)
        task.add_done_callback(self._frees.discard)

    def sink(
        self, ctx: context.Context, stream: event_stream.EventStream
    ) -> sinks.Sink:
        """Passes events on unchanged, under the engine's own headers."""
        return sinks.PassthroughSink(ctx, stream)

    async def _free(self, prefilled: FinishedPrefill) -> None:
        endpoint = prefilled.endpoint
        try:
            response = await self._http.call(
                endpoint.host,
                endpoint.port,
                "DELETE",
                f"/kv-handle/{prefilled.handle}",
                {headers_lib.EXPECTED_ENGINE: endpoint.id},
                connect_timeout_s=_CONNECT_S,
                timeout_s=_FREE_S,
            )
            await response.read(_MAX_ANSWER_BYTES)
        except errors.CallError as error:
            # It expires by itself within its engine's time for handles.
            self._log.event(
                "prefill_unfreed", endpoint=endpoint.id, reason=error.message
            )


class Services:
    """`calls.PlainCalls` of the platform.

    Args:
      client: HTTP client.
    """

    def __init__(self, client: http_client.HttpClient) -> None:
        self._http = client

    async def call(
        self, ctx: context.Context, progress: call_lib.CallProgress
    ) -> service_client.ServiceResponse:
        """Calls `ctx.endpoint` once."""
        timeout_s = max(ctx.response_due_at - clock.now(), 1 / _MS_PER_S)
        response = await _send(
            self._http,
            ctx,
            ctx.endpoint,
            {},
            timeout_s=timeout_s,
            progress=progress,
        )
        body = await response.read(_MAX_ANSWER_BYTES)
        try:
            _check(ctx, response, failures=True)
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
    ctx: context.Context,
    endpoint: model.Endpoint,
    extra: dict[str, str],
    *,
    timeout_s: float,
    progress: call_lib.CallProgress | None = None,
    connection: http_client.Connection | None = None,
) -> exchange.Response:
    unrepeatable = ctx.service.idempotency is model.Idempotency.NON_IDEMPOTENT
    prefills = headers_lib.STAGE in extra
    return await client.call(
        endpoint.host,
        endpoint.port,
        ctx.call.method,
        ctx.call.uri,
        _headers(ctx, endpoint, extra),
        ctx.call.body,
        connect_timeout_s=_CONNECT_S,
        timeout_s=timeout_s,
        stall_timeout_s=ctx.stall_timeout_s,
        # An engine may close a kept connection just as a request goes out on
        # it, and then nobody could say whether that was run.
        new_connection=unrepeatable and not prefills,
        allow_close_delimited=True,
        connection=connection,
        progress=progress,
    )


def _headers(
    ctx: context.Context, endpoint: model.Endpoint, extra: dict[str, str]
) -> httputil.HTTPHeaders:
    headers = hop_headers.end_to_end(ctx.call.headers, headers_lib.OURS)
    left_ms = int((ctx.response_due_at - clock.now()) * _MS_PER_S)
    headers[_HOST] = ctx.call.headers.get(_HOST, "")
    headers[headers_lib.DEADLINE] = str(max(left_ms, 1))
    headers[headers_lib.EXPECTED_ENGINE] = endpoint.id
    if ctx.snapshot.keys_required:
        # An engine that got the key could call in the customer's name.
        headers.pop(headers_lib.AUTHORIZATION, None)
    if ctx.customer.id:
        headers[headers_lib.CUSTOMER] = ctx.customer.id
    headers.update(extra)
    return headers


def _check(
    ctx: context.Context,
    response: exchange.Response,
    *,
    failures: bool = False,
    signed: bool = True,
) -> None:
    """Checks that an answer is an engine's own answer to this request.

    Args:
      ctx: The request.
      response: The answer.
      failures: Whether an engine's own failure is an answer.
      signed: Whether a success must bear the engine's signature.

    Raises:
      errors.EngineRefused: The engine has not run the request.
      errors.CallError: It isn't an answer to this request.
    """
    headers = response.headers
    attempt = ctx.call.headers.get(headers_lib.ATTEMPT, "")
    if headers.get(headers_lib.ATTEMPT, attempt) != attempt:
        raise errors.ResponseIdMismatch(
            "the answer carries another request's id"
        )
    status = response.status
    if headers_lib.NOT_RUN in headers:
        raise errors.EngineRefused(f"status {status}", code=protocol.CODE_FULL)
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        raise errors.EngineRefused(
            "another engine has this address", code=protocol.CODE_MISDIRECTED
        )
    if status < http.HTTPStatus.MULTIPLE_CHOICES:
        _check_success(headers, signed=signed)
        return
    if not failures or status in _PROMISES:
        raise errors.EngineFailed(f"status {status}")


def _check_success(headers: httputil.HTTPHeaders, *, signed: bool) -> None:
    if headers_lib.ATTEMPT not in headers:
        raise errors.ResponseIdMismatch("the answer carries no id")
    if signed and headers_lib.SIGNATURE not in headers:
        raise errors.EngineFailed("the answer bears no signature")
    if headers_lib.CONTENT_ENCODING in headers:
        raise errors.EngineFailed("the answer is encoded")
