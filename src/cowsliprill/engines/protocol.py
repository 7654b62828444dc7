r"""HTTP protocol of engines and plain services: paths, headers and fields.

The protocol follows the APIs of current inference engines. The clients and the
simulated engines both take names from this module, so that the protocol can be
replaced in one place.

Prefill engine:
  `POST /v1/completions` with `X-Request-Id`; the body is the caller's plus
  `"max_tokens": 1, "kv_transfer_params": {"do_remote_decode": true}`. The
  response is JSON with `id` (the request id), `kv_transfer_params`
  (`remote_engine_id`, `remote_host`, `remote_port`, `remote_handle`) and
  `usage.prompt_tokens`. The engine keeps the exported KV cache until it is
  fetched, cancelled or evicted.
  `GET /v1/kv/<handle>` returns the KV cache as a chunked body of opaque bytes,
  with `X-Request-Id` of the attempt; 410 `kv_evicted` after eviction.

Decode engine:
  `POST /v1/completions` with `X-Request-Id`, `"stream": true` and the
  `kv_transfer_params` that the prefill returned plus
  `"do_remote_prefill": true`. The engine imports the KV cache from the prefill
  engine and streams server-sent events. Each event is
  `id: <request id>/<tokens so far>\ndata: <json>\n\n`; the JSON is an
  OpenAI completion chunk whose `id` is the request id. The last JSON carries
  `finish_reason` and `usage.completion_tokens`; then `data: [DONE]\n\n`.
  Token numbers increase by one per event; the last event carries the last
  token. When the connection is lost, the request keeps running and keeps its
  memory.
  `POST /v1/resume` `{"request_id", "after_token"}` continues the stream after
  that token; 404 `unknown_request` if the engine has no such request.

Both:
  `POST /v1/cancel` `{"request_id"}` -> `{"request_id", "held": false}`; also
  for unknown ids, which the engine then rejects for one minute. A cancellation
  that arrives before its request thus still takes effect.
  `GET /v1/running` -> `{"requests": [{"request_id", "stage", "age_s"}]}`.
  `GET /metrics`: load report in Prometheus text format; may be out of date.
  `GET /v1/cache_events?after=N` -> `{"events": [{"seq", "kind":
  "stored"|"removed", "block"}]}`; events may be late, with gaps in `seq`.
  `POST /v1/orders` `{"fencing", "role", "model", "adapter", "version"}` ->
  200, or 409 `stale_fencing` with `"highest"` in the error.
  `GET /v1/orders` returns the order in force.
  Refusals: 429 `engine_full`, 503 `engine_draining`, 410 `kv_evicted`, 404,
  each with JSON `{"error": {"code", "message", "run": "no"}}`. Only a
  response with `run: "no"` that echoes `X-Request-Id` proves that the request
  was not executed. Every response to a request with that header echoes it.
  In need an engine names in its responses to prefills and decodes
  `X-Rate-Limit`, the prefills and decodes a second (a decimal number) that it
  takes from all callers together, for as long as it says so. With 503 it may
  say in `Retry-After` (RFC 9110) for how long it wants none from this caller.

Plain service:
  Any method and path, with `X-Request-Id` and, if the caller sent one,
  `Idempotency-Key`. The service echoes `X-Request-Id`. It may name
  `X-Rate-Limit` and, with 503, `Retry-After` as engines do.
"""

import dataclasses
import http
from collections.abc import Mapping
from typing import Any

from cowsliprill import codec
from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model
from cowsliprill.engines import model as engine_model

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
KV_PATH = "/v1/kv/"
RESUME_PATH = "/v1/resume"
CANCEL_PATH = "/v1/cancel"
RUNNING_PATH = "/v1/running"
METRICS_PATH = "/metrics"
CACHE_EVENTS_PATH = "/v1/cache_events"
ORDERS_PATH = "/v1/orders"

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
RATE_LIMIT_HEADER = "X-Rate-Limit"
RETRY_AFTER_HEADER = "Retry-After"
FENCING_FIELD = "fencing"

END_MARKER = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"

METRIC_RUNNING = "engine_num_requests_running"
METRIC_WAITING = "engine_num_requests_waiting"
METRIC_KV_USAGE = "engine_kv_cache_usage_ratio"
METRIC_SLOTS = "engine_slots"

CODE_FULL = "engine_full"
CODE_DRAINING = "engine_draining"
CODE_MISDIRECTED = "engine_misdirected"
CODE_EVICTED = "kv_evicted"
CODE_UNKNOWN_REQUEST = "unknown_request"
CODE_STALE_FENCING = "stale_fencing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorDetails:
    """Error details parsed from the JSON body of a response.

    Attributes:
      code: Error code, empty if the body has none.
      message: Error message.
      run: Field `run` of the error, None if absent.
      highest: Highest fencing token that the engine has seen, 0 if absent.
    """

    code: str = ""
    message: str = ""
    run: object = None
    highest: int = 0


def parse_error(body: bytes) -> ErrorDetails:
    """Parses the error details from a response body.

    Args:
      body: The complete body, of any content.

    Returns:
      The error details, with an empty code if the body contains no error.
    """
    try:
        error = codec.load_json(body)["error"]
        return ErrorDetails(
            code=str(error["code"]),
            message=str(error.get("message", "")),
            run=error.get("run"),
            highest=int(error.get("highest", 0)),
        )
    except (
        ArithmeticError,
        AttributeError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return ErrorDetails(message="response has no error code")


def parse_answer(
    endpoint: model.Endpoint,
    status: int,
    headers: Mapping[str, str],
    sent_at: float,
    *,
    accepted: bool,
) -> endpoint_answers.Answer:
    """Returns what the response to a request says about its endpoint.

    Args:
      endpoint: The endpoint that responded.
      status: HTTP status.
      headers: HTTP headers of the response.
      sent_at: When the request was sent, in seconds.
      accepted: Whether the endpoint took the request.
    """
    turned_away = status == http.HTTPStatus.SERVICE_UNAVAILABLE
    return endpoint_answers.Answer(
        endpoint=endpoint,
        sent_at=sent_at,
        limit_text=headers.get(RATE_LIMIT_HEADER),
        conclusive=status < http.HTTPStatus.MULTIPLE_CHOICES,
        retry_after=headers.get(RETRY_AFTER_HEADER) if turned_away else None,
        date=headers.get("Date"),
        accepted=accepted,
    )


def prefill_body(body: dict[str, Any]) -> dict[str, Any]:
    """Builds the JSON fields of a prefill request.

    Args:
      body: JSON fields of the caller's request.

    Returns:
      The JSON fields.
    """
    fields = {**body, "max_tokens": 1, "stream": False}
    fields["kv_transfer_params"] = {"do_remote_decode": True}
    return fields


def decode_body(
    body: dict[str, Any], params: engine_model.KvTransferParams
) -> dict[str, Any]:
    """Builds the JSON fields of a decode request.

    Args:
      body: JSON fields of the caller's request.
      params: Address of the exported KV cache.

    Returns:
      The JSON fields.
    """
    transfer = {"do_remote_prefill": True, **dataclasses.asdict(params)}
    return {**body, "stream": True, "kv_transfer_params": transfer}


def order_body(
    fencing_token: int, target: model.EngineTarget
) -> dict[str, Any]:
    """Builds the JSON fields of an order to an engine.

    Args:
      fencing_token: Fencing token of the order.
      target: Role and model that the engine should have.

    Returns:
      The JSON fields.
    """
    return {FENCING_FIELD: fencing_token, **dataclasses.asdict(target)}
