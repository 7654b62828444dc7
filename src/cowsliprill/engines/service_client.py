"""Adapter for plain services: one HTTP call, passed whole."""

import dataclasses
from collections.abc import Mapping

from tornado import httputil

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import model
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib
from cowsliprill.engines import hop_headers
from cowsliprill.engines import http_client
from cowsliprill.engines import protocol

_MAX_ANSWER_BYTES = 16_777_216


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceAnswer:
    """A plain service's whole answer.

    Attributes:
      status: HTTP status.
      headers: End-to-end headers.
      body: The body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRequest:
    """A call to a plain service.

    Attributes:
      request_id: Text of the attempt id.
      method: HTTP method.
      path: Path and query at the service.
      headers: The caller's headers; hop-by-hop ones aren't passed on, nor is
        `Authorization`, which holds the caller's key for this router.
      body: The body.
      idempotency_key: The caller's key, empty for none.
    """

    request_id: str
    method: str
    path: str
    headers: httputil.HTTPHeaders | Mapping[str, str]
    body: bytes = b""
    idempotency_key: str = ""


class ServiceClient:
    """Calls plain services.

    Args:
      http: The HTTP client.
    """

    def __init__(self, http: http_client.HttpClient) -> None:
        self._http = http

    async def call(
        self,
        endpoint: model.Endpoint,
        service: model.Service,
        request: ServiceRequest,
        progress: call_lib.CallProgress | None = None,
    ) -> ServiceAnswer:
        """Makes one call, never a second.

        An unrepeatable call goes out on a new connection: an idle one may be
        closed by the service just as the request goes out, and then nobody
        could say whether it was run.

        Args:
          endpoint: The server.
          service: The service as resolved for this request.
          request: What to send.
          progress: Told how far the call got, for use after a cancel.

        Returns:
          The whole answer, of any status.

        Raises:
          errors.ServiceRefused: The service says that it didn't run it.
          errors.CallError: There was no whole answer to this request; `run`
            says what is known.
        """
        progress = progress or call_lib.CallProgress()
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            request.method,
            request.path,
            request_headers(request),
            request.body,
            timeout_s=service.timeout_s,
            fresh=service.idempotency is model.Idempotency.NON_IDEMPOTENT,
            progress=progress,
        )
        body = await response.read(_MAX_ANSWER_BYTES)
        answer_id = response.headers.get(protocol.REQUEST_ID_HEADER)
        error = protocol.error_of(body)
        if call_lib.is_refusal(
            response.status, error.run, answer_id, request.request_id
        ):
            progress.mark_refused()
            raise errors.ServiceRefused(error.message, code=error.code)
        if service.echoes_request_id and answer_id != request.request_id:
            raise errors.ForeignAnswer(f"answer carries the id {answer_id!r}")
        return _answer(response, body)


def request_headers(request: ServiceRequest) -> httputil.HTTPHeaders:
    """Builds the headers that go to the service.

    Args:
      request: The call.

    Returns:
      The caller's end-to-end headers, less its key for this router, with the
      attempt's id and the idempotency key.
    """
    headers = hop_headers.end_to_end(request.headers)
    headers.pop("Authorization", None)
    headers[protocol.REQUEST_ID_HEADER] = request.request_id
    headers.pop(protocol.IDEMPOTENCY_KEY_HEADER, None)
    if request.idempotency_key:
        headers[protocol.IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
    return headers


def _answer(response: exchange_lib.Response, body: bytes) -> ServiceAnswer:
    return ServiceAnswer(
        status=response.status,
        headers=hop_headers.end_to_end(response.headers),
        body=body,
    )
