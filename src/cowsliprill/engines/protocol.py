r"""The wire protocol of engines and plain services, in one exchangeable place.

It follows what today's engines speak. Stand-ins and adapters both take their
paths, headers and field names from here.

Prefill engine:
  `POST /v1/completions` with `X-Request-Id`, body as the caller's plus
  `"max_tokens": 1, "kv_transfer_params": {"do_remote_decode": true}`. The
  answer is JSON with `id` (the request id), `kv_transfer_params`
  (`remote_engine_id`, `remote_host`, `remote_port`, `remote_handle`) and
  `usage.prompt_tokens`. The KV cache is held until it is fetched, cancelled
  or evicted.
  `GET /v1/kv/<handle>` exports it: a chunked body of opaque bytes, with
  `X-Request-Id` of the attempt; 410 `kv_evicted` once evicted.

Decode engine:
  `POST /v1/completions` with `X-Request-Id`, `"stream": true` and the
  `kv_transfer_params` that the prefill returned plus
  `"do_remote_prefill": true`. It imports the KV cache from the prefill engine
  and streams server-sent events. Each event is
  `id: <request id>/<tokens so far>\ndata: <json>\n\n`; the JSON is an
  OpenAI completion chunk whose `id` is the request id. The last JSON carries
  `finish_reason` and `usage.completion_tokens`; then `data: [DONE]\n\n`.
  The token numbers rise by one an event; the last event carries the last
  token. A connection that is cut leaves the request held and running.
  `POST /v1/resume` `{"request_id", "after_token"}` streams on from there; 404
  `unknown_request` when it holds no such request.

Both:
  `POST /v1/cancel` `{"request_id"}` -> `{"request_id", "held": false}`; also
  for ids it has never seen, which it then refuses for a minute, so that a
  cancel which overtakes its request still wins.
  `GET /v1/running` -> `{"requests": [{"request_id", "stage", "age_s"}]}`.
  `GET /metrics`: Prometheus text, the load report (lagging).
  `GET /v1/cache_events?after=N` -> `{"events": [{"seq", "kind":
  "stored"|"removed", "block"}]}`; late and with gaps in `seq`.
  `POST /v1/orders` `{"fencing", "role", "model", "adapter", "version"}` ->
  200, or 409 `stale_fencing` with `"highest"` in the error.
  `GET /v1/orders` reads back what is in force.
  Refusals: 429 `engine_full`, 503 `engine_draining`, 410 `kv_evicted`, 404,
  each with JSON `{"error": {"code", "message", "run": "no"}}`. Only an
  answer with `run: "no"` proves that nothing was run, and only if it echoes
  `X-Request-Id`, as every answer to a request that has one does.

Plain service:
  Any method and path, with `X-Request-Id` and, where the caller gave one,
  `Idempotency-Key`. It echoes `X-Request-Id`.
"""

import dataclasses
import json
from typing import Any

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
class AnswerError:
    """The error in an answer's JSON, as far as it has one.

    Attributes:
      code: Its code, empty if none.
      message: Its message.
      run: Its field `run`, None if none.
      highest: Highest fencing number that the engine has seen, else 0.
    """

    code: str = ""
    message: str = ""
    run: object = None
    highest: int = 0


def error_of(text: bytes) -> AnswerError:
    """Reads the error out of an answer's body.

    Args:
      text: The whole body, of any content.

    Returns:
      The error; without code if the body holds none.
    """
    try:
        error = json.loads(text)["error"]
        return AnswerError(
            code=str(error["code"]),
            message=str(error.get("message", "")),
            run=error.get("run"),
            highest=int(error.get("highest", 0)),
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return AnswerError(message="answer without an error code")


def prefill_body(body: dict[str, Any]) -> dict[str, Any]:
    """Builds a prefill's body.

    Args:
      body: The caller's body.

    Returns:
      JSON fields.
    """
    fields = {**body, "max_tokens": 1, "stream": False}
    fields["kv_transfer_params"] = {"do_remote_decode": True}
    return fields


def decode_body(
    body: dict[str, Any], params: engine_model.KvTransferParams
) -> dict[str, Any]:
    """Builds a decode's body.

    Args:
      body: The caller's body.
      params: Where the KV cache is.

    Returns:
      JSON fields.
    """
    transfer = {"do_remote_prefill": True, **dataclasses.asdict(params)}
    return {**body, "stream": True, "kv_transfer_params": transfer}


def order_body(fencing: int, target: model.EngineTarget) -> dict[str, Any]:
    """Builds an order's body.

    Args:
      fencing: The order's fencing number.
      target: What the engine should be.

    Returns:
      JSON fields.
    """
    return {FENCING_FIELD: fencing, **dataclasses.asdict(target)}
