"""Callers on the platform: what their headers say, and how errors read."""

import http

from tornado import httputil

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.platform import headers as headers_lib

_MS_PER_S = 1_000


async def parse_call(ctx: context.Context, proceed: context.Handler) -> None:
    """Reads the headers of a call whose service is known.

    Args:
      ctx: The request.
      proceed: The next filter.

    Raises:
      errors.EntryError: A header can't be read.
    """
    ctx.caller_id = ctx.call.headers.get(headers_lib.ATTEMPT, "")
    ctx.service_path = ctx.call.uri
    ctx.priority = ctx.service.priority
    if ctx.customer.priority is not None:
        ctx.priority = ctx.customer.priority
    ctx.caller_timeout_s = _time_given_s(ctx.call.headers)
    prompt_tokens, output_tokens = _tokens(ctx.call.headers)
    ctx.declared_tokens = prompt_tokens + output_tokens
    if ctx.service.kind is model.ServiceKind.MODEL:
        ctx.generation = _generation(
            ctx.call.headers, prompt_tokens, output_tokens
        )
        last_event = ctx.call.headers.get(headers_lib.LAST_EVENT, "")
        ctx.progress.last_event_id = last_event
    await proceed(ctx)


def error_response(error: errors.EntryError) -> errors.ErrorResponse:
    """Writes an error as the platform's clients understand it.

    Their status alone says whether a request may be sent again: 503 promises
    that it has not run and never will, 502 and 504 promise nothing.

    Args:
      error: The error.

    Returns:
      The answer.
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


def _time_given_s(headers: httputil.HTTPHeaders) -> float:
    text = headers.get(headers_lib.DEADLINE, "")
    return _number(text, headers_lib.DEADLINE) / _MS_PER_S if text else 0.0


def _tokens(headers: httputil.HTTPHeaders) -> tuple[int, int]:
    """Returns the tokens of the prompt and of the longest answer."""
    name = headers_lib.TOKENS
    prompt, _, output = headers.get(name, "0,0").partition(",")
    return int(_number(prompt, name)), int(_number(output or "0", name))


def _generation(
    headers: httputil.HTTPHeaders, prompt_tokens: int, output_tokens: int
) -> context.Generation:
    hint = headers.get(headers_lib.LENGTH_HINT, "0")
    return context.Generation(
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        expected_tokens=int(_number(hint, headers_lib.LENGTH_HINT)),
    )


def _number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        raise errors.EntryError(
            errors.Code.INVALID_HEADER, f"{name} is no number."
        )
    return value
