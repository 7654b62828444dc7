"""Parses callers' request headers and formats their error responses."""

import http

from tornado import httputil

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import stream_origins
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.platform import headers as headers_lib

_MS_PER_S = 1_000


async def parse_call(ctx: context.Context, proceed: context.Handler) -> None:
    """Copies the request headers into the context once the service is known.

    Args:
      ctx: Context of the request; its service and customer are set.
      proceed: Next filter of the chain.

    Raises:
      errors.EntryError: A header's value is invalid.
    """
    ctx.caller_id = ctx.call.headers.get(headers_lib.ATTEMPT_ID, "")
    ctx.service_path = ctx.call.uri
    ctx.priority = ctx.service.priority
    if ctx.customer.priority is not None:
        ctx.priority = ctx.customer.priority
    ctx.caller_timeout_s = _remaining_time_s(ctx.call.headers)
    prompt_tokens, output_tokens = _token_counts(ctx.call.headers)
    ctx.declared_tokens = prompt_tokens + output_tokens
    if ctx.service.kind is model.ServiceKind.MODEL:
        ctx.generation = _generation(
            ctx.call.headers, prompt_tokens, output_tokens
        )
        last_event = ctx.call.headers.get(headers_lib.LAST_EVENT_ID, "")
        ctx.progress.last_event_id = last_event
        ctx.resumes = ctx.call.headers.get(headers_lib.RESUMES, "")
        ctx.stream_attempt = ctx.resumes if last_event else ctx.caller_id
    await proceed(ctx)


def error_response(error: errors.EntryError) -> errors.ErrorResponse:
    """Returns the response to a caller for an error.

    Clients decide by the status alone whether to send a request again: 503
    guarantees that the request was not and will not be executed, 502 and 504
    guarantee nothing.

    Args:
      error: Error that ended the request.

    Returns:
      Status and headers of the response.
    """
    if error.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return errors.ErrorResponse(
            status=error.status, headers=_retry_after(error)
        )
    if error.run is messages.Executed.UNKNOWN:
        timeout = error.status == http.HTTPStatus.GATEWAY_TIMEOUT
        status = http.HTTPStatus.BAD_GATEWAY
        return errors.ErrorResponse(status=error.status if timeout else status)
    return errors.ErrorResponse(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        headers=_retry_after(error) or ((headers_lib.RETRY_AFTER, "0.000"),),
    )


def _retry_after(error: errors.EntryError) -> tuple[tuple[str, str], ...]:
    if error.retry_after_s is None:
        return ()
    return ((headers_lib.RETRY_AFTER, f"{error.retry_after_s:.3f}"),)


def _remaining_time_s(headers: httputil.HTTPHeaders) -> float:
    text = headers.get(headers_lib.DEADLINE_MS, "")
    return (
        _parse_number(text, headers_lib.DEADLINE_MS) / _MS_PER_S
        if text
        else 0.0
    )


def _token_counts(headers: httputil.HTTPHeaders) -> tuple[int, int]:
    """Returns the prompt tokens and the maximum of output tokens."""
    name = headers_lib.TOKEN_USAGE
    prompt, _, output = headers.get(name, "0,0").partition(",")
    return int(_parse_number(prompt, name)), int(
        _parse_number(output or "0", name)
    )


def _generation(
    headers: httputil.HTTPHeaders, prompt_tokens: int, output_tokens: int
) -> context.Generation:
    hint = headers.get(headers_lib.LENGTH_HINT, "0")
    prefix = headers.get(headers_lib.PREFIX_HASH, "")
    return context.Generation(
        prompt_tokens=prompt_tokens,
        part_ids=_shared_part_ids(prefix),
        last_part=_last_part(prefix),
        output_tokens=output_tokens,
        expected_tokens=int(_parse_number(hint, headers_lib.LENGTH_HINT)),
    )


def _shared_part_ids(text: str) -> tuple[str, ...]:
    # Engines get the header unchanged, so a malformed entry is theirs to judge.
    entries = text.split(",")[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(part_id for part_id in ids if part_id)


def _last_part(text: str) -> stream_origins.PromptPart:
    part_id, _, tokens = text.rpartition(",")[-1].partition(":")
    if not tokens.strip().isdecimal():
        return stream_origins.PromptPart()
    return stream_origins.PromptPart(
        id=part_id.strip().lower(), tokens=int(tokens)
    )


def _parse_number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        raise errors.EntryError(
            errors.Code.INVALID_HEADER, f"{name} is no number."
        )
    return value
