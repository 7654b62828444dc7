"""Errors of the entry process and their HTTP representation for callers."""

import dataclasses
import enum
import http
import json
import math
from typing import Protocol

from cowsliprill import errors
from cowsliprill.decisions import messages


class Code(enum.StrEnum):
    """Error codes of the public API, besides `messages.RefusalCode`."""

    INVALID_JSON = "invalid_json"
    INVALID_REQUEST = "invalid_request"
    INVALID_HEADER = "invalid_header"
    PROMPT_TOO_LARGE = "prompt_too_large"
    OUTPUT_TOO_LARGE = "output_too_large"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    INVALID_API_KEY = "invalid_api_key"
    QUOTA_EXCEEDED = "quota_exceeded"
    SETTINGS_UNCONFIRMED = "settings_unconfirmed"
    NOT_A_PEER = "not_a_peer"
    SERVICE_NOT_FOUND = "service_not_found"
    PATH_NOT_FOUND = "path_not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    IN_PROGRESS = "in_progress"
    KEY_REUSED = "idempotency_key_reused"
    REQUEST_QUARANTINED = "request_quarantined"
    RESPONSE_NOT_STORED = "answer_not_stored"
    TICKET_INVALID = "ticket_invalid"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_OWNER_GONE = "ticket_owner_gone"
    TICKET_OWNER_UNREACHABLE = "ticket_owner_unreachable"
    TOO_MANY_KEYS = "too_many_keys"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    INTERRUPTED = "interrupted"
    NO_ENDPOINT = "no_endpoint"
    PATH_LOST = "path_lost"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    STREAM_BROKEN = "stream_broken"
    TIMEOUT = "timeout"
    INTERNAL = "internal_error"


_STATUS_BY_CODE = {
    Code.INVALID_JSON: http.HTTPStatus.BAD_REQUEST,
    Code.INVALID_REQUEST: http.HTTPStatus.BAD_REQUEST,
    Code.INVALID_HEADER: http.HTTPStatus.BAD_REQUEST,
    Code.PROMPT_TOO_LARGE: http.HTTPStatus.BAD_REQUEST,
    Code.OUTPUT_TOO_LARGE: http.HTTPStatus.BAD_REQUEST,
    Code.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Code.HEADERS_TOO_LARGE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Code.INVALID_API_KEY: http.HTTPStatus.UNAUTHORIZED,
    Code.QUOTA_EXCEEDED: http.HTTPStatus.TOO_MANY_REQUESTS,
    Code.NOT_A_PEER: http.HTTPStatus.FORBIDDEN,
    Code.SERVICE_NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    Code.PATH_NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    Code.METHOD_NOT_ALLOWED: http.HTTPStatus.METHOD_NOT_ALLOWED,
    Code.IN_PROGRESS: http.HTTPStatus.CONFLICT,
    Code.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    Code.RESPONSE_NOT_STORED: http.HTTPStatus.CONFLICT,
    Code.TICKET_INVALID: http.HTTPStatus.BAD_REQUEST,
    Code.TICKET_EXPIRED: http.HTTPStatus.GONE,
    Code.TICKET_OWNER_GONE: http.HTTPStatus.GONE,
    Code.INTERNAL: http.HTTPStatus.INTERNAL_SERVER_ERROR,
    Code.ENDPOINT_FAILED: http.HTTPStatus.BAD_GATEWAY,
    Code.STREAM_BROKEN: http.HTTPStatus.BAD_GATEWAY,
    Code.INTERRUPTED: http.HTTPStatus.BAD_GATEWAY,
    Code.TIMEOUT: http.HTTPStatus.GATEWAY_TIMEOUT,
}


# A path is probed more often than this, and other VMs may serve a retry.
_PATH_RETRY_AFTER_S = 0.5


class CoordinatorError(errors.CowsliprillError):
    """Raised when the coordinator of an endpoint fails to serve a request."""

    code = "home_failed"


class EntryError(errors.CowsliprillError):
    """Raised when a request ends with an error instead of its response.

    Attributes:
      status: HTTP status.
      run: Whether the request was executed, as far as known.
      retry_after_s: Seconds after which the caller may retry, None if a retry
        isn't suggested.
    """

    def __init__(
        self,
        code: Code | messages.RefusalCode,
        message: str,
        *,
        run: messages.Executed = messages.Executed.NO,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, code=code.value)
        self.status = _STATUS_BY_CODE.get(
            Code(code.value) if code.value in _CODE_VALUES else None,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        )
        self.run = run
        self.retry_after_s = retry_after_s

    def body(self) -> bytes:
        """Returns the JSON body of the error response."""
        fields = {
            "code": self.code,
            "message": self.message,
            "run": self.run.value,
        }
        if self.retry_after_s is not None:
            fields["retry_after_s"] = round(self.retry_after_s, 3)
        return json.dumps({"error": fields}).encode()

    def headers(self) -> dict[str, str]:
        """Returns the headers of the error response."""
        headers = {"Content-Type": "application/json"}
        if self.retry_after_s is not None:
            # The header holds whole seconds; with rounding down the caller
            # would retry before there is capacity.
            headers["Retry-After"] = str(math.ceil(self.retry_after_s))
        if self.status == http.HTTPStatus.UNAUTHORIZED:
            headers["WWW-Authenticate"] = "Bearer"
        return headers

    def event(self) -> bytes:
        """Returns the server-sent event that reports a broken stream."""
        return b"data: " + self.body() + b"\n\n"


_CODE_VALUES = frozenset(code.value for code in Code)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """HTTP response for an error.

    Attributes:
      status: HTTP status.
      headers: Headers besides `Content-Length`.
      body: The body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class ErrorFormatter(Protocol):
    """Formats errors for the callers of one dialect."""

    def error_response(self, error: EntryError) -> ErrorResponse:
        """Returns the HTTP response for an error."""

    def error_event(self, error: EntryError) -> bytes:
        """Returns the last event of a broken stream, empty to send none."""


class JsonErrorFormatter:
    """Formats errors as JSON, as in the project's own API."""

    def error_response(self, error: EntryError) -> ErrorResponse:
        """Returns the error's status, headers and JSON body."""
        return ErrorResponse(
            status=error.status,
            headers=tuple(error.headers().items()),
            body=error.body(),
        )

    def error_event(self, error: EntryError) -> bytes:
        """Returns the error as a server-sent event."""
        return error.event()


def path_lost(run: messages.Executed) -> EntryError:
    """Returns the error for a request at a VM that can't reach the endpoints.

    Args:
      run: Whether the request was executed, as far as known.
    """
    return EntryError(
        Code.PATH_LOST,
        "Its endpoints can't be reached from here now.",
        run=run,
        retry_after_s=(
            _PATH_RETRY_AFTER_S if run is messages.Executed.NO else None
        ),
    )


def leaving() -> EntryError:
    """Returns the error for a request that a process on its way out refuses."""
    return EntryError(
        Code.LEAVING, "This process is leaving.", retry_after_s=0.0
    )


def interrupted(run: messages.Executed) -> EntryError:
    """Returns the error for a request in flight when its process ends.

    Args:
      run: Whether the request was executed, as far as known.
    """
    if run is messages.Executed.NO:
        return leaving()
    return EntryError(
        Code.INTERRUPTED,
        "This process ended before the request did.",
        run=run,
    )


def from_status(status: int) -> EntryError:
    """Returns the error for a status that tornado itself has set.

    Args:
      status: HTTP status.

    Returns:
      The error; after an internal error (status 500 or above) it is unknown
      whether the request was executed.
    """
    match status:
        case http.HTTPStatus.METHOD_NOT_ALLOWED:
            return EntryError(Code.METHOD_NOT_ALLOWED, "No such method.")
        case _ if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return EntryError(Code.INVALID_REQUEST, "The request isn't valid.")
        case _:
            return EntryError(
                Code.INTERNAL,
                "Something went wrong here.",
                run=messages.Executed.UNKNOWN,
            )
