"""Client for plain services that forwards a call as one HTTP request."""

import dataclasses
from collections.abc import Mapping

from tornado import httputil

from cowsliprill import clock
from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import model
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib
from cowsliprill.engines import hop_headers
from cowsliprill.engines import http_client
from cowsliprill.engines import protocol

_MAX_RESPONSE_BYTES = 16_777_216


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceResponse:
    """Complete response of a plain service.

    Attributes:
      status: HTTP status.
      headers: End-to-end headers of the response.
      body: Response body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRequest:
    """A request to a plain service.

    Attributes:
      request_id: Attempt id as text.
      method: HTTP method.
      path: Path and query string at the service.
      headers: The caller's headers. Hop-by-hop headers are not forwarded, nor
        is `Authorization`, which holds the caller's API key for this router.
      body: Request body.
      idempotency_key: The caller's idempotency key, empty for none.
    """

    request_id: str
    method: str
    path: str
    headers: httputil.HTTPHeaders | Mapping[str, str]
    body: bytes = b""
    idempotency_key: str = ""


class ServiceClient:
    """Sends requests to plain services.

    Args:
      http: HTTP client for all calls.
      feedback: Receives what answers say about their servers, None if nobody
        wants to know.
    """

    def __init__(
        self,
        http: http_client.HttpClient,
        feedback: endpoint_feedback.EndpointFeedback | None = None,
    ) -> None:
        self._http = http
        self._feedback = feedback or endpoint_feedback.NoFeedback()

    async def call(
        self,
        endpoint: model.Endpoint,
        service: model.Service,
        request: ServiceRequest,
        progress: call_lib.CallProgress | None = None,
    ) -> ServiceResponse:
        """Sends a request once, without retries.

        A non-idempotent request uses a new connection. The service may close
        an idle connection just as a request is sent on it, which leaves
        unknown whether the request was executed.

        Args:
          endpoint: The server.
          service: Settings of the service, as resolved for this request.
          request: The request to send.
          progress: Records how far the call got, to be read after a
            cancellation.

        Returns:
          The complete response, of any status.

        Raises:
          errors.ServiceRefused: The service did not execute the request.
          errors.CallError: No complete response to this request was received;
            `run` tells whether it was executed, as far as known.
        """
        progress = progress or call_lib.CallProgress()
        self._feedback.check(endpoint)
        sent_at = clock.now()
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            request.method,
            request.path,
            request_headers(request),
            request.body,
            timeout_s=service.timeout_s,
            new_connection=service.idempotency
            is model.Idempotency.NON_IDEMPOTENT,
            progress=progress,
            before_send=lambda: self._feedback.before_send(endpoint),
        )
        body = await response.read(_MAX_RESPONSE_BYTES)
        response_id = response.headers.get(protocol.REQUEST_ID_HEADER)
        error = protocol.parse_error(body)
        refused = call_lib.is_refusal(
            response.status, error.run, response_id, request.request_id
        )
        if response_id == request.request_id or not service.echoes_request_id:
            self._feedback.observe(
                protocol.parse_answer(
                    endpoint,
                    response.status,
                    response.headers,
                    sent_at,
                    accepted=not refused,
                )
            )
        if refused:
            progress.mark_refused()
            raise errors.ServiceRefused(error.message, code=error.code)
        if service.echoes_request_id and response_id != request.request_id:
            raise errors.ResponseIdMismatch(
                f"response carries the request id {response_id!r}"
            )
        return _build_response(response, body)


def request_headers(request: ServiceRequest) -> httputil.HTTPHeaders:
    """Builds the headers to send to the service.

    Args:
      request: The request to send.

    Returns:
      The caller's end-to-end headers without `Authorization`, plus the attempt
      id and the idempotency key.
    """
    headers = hop_headers.end_to_end(request.headers)
    headers.pop("Authorization", None)
    headers[protocol.REQUEST_ID_HEADER] = request.request_id
    headers.pop(protocol.IDEMPOTENCY_KEY_HEADER, None)
    if request.idempotency_key:
        headers[protocol.IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
    return headers


def _build_response(
    response: exchange_lib.Response, body: bytes
) -> ServiceResponse:
    return ServiceResponse(
        status=response.status,
        headers=hop_headers.end_to_end(response.headers),
        body=body,
    )
