"""HTTP calls to engines, with the response checks common to all of them."""

import json
from typing import Any

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import model
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib
from cowsliprill.engines import http_client
from cowsliprill.engines import protocol
from cowsliprill.engines import silence
from cowsliprill.engines import token_stream

CONTROL_TIMEOUT_S = 2.0

_MAX_RESPONSE_BYTES = 4_194_304
_OK = 200
_JSON_HEADERS = {"Content-Type": "application/json"}


class EngineCaller:
    """Sends JSON requests to engines and checks the id in the responses.

    Args:
      http: HTTP client for all calls.
      stall_timeout_s: Maximum time in seconds between bytes of a token stream.
      feedback: Receives what the answers to requests say about an engine.
    """

    def __init__(
        self,
        http: http_client.HttpClient,
        stall_timeout_s: float,
        feedback: endpoint_feedback.EndpointFeedback,
    ) -> None:
        self._http = http
        self._stall_timeout_s = stall_timeout_s
        self._feedback = feedback

    async def open_stream(
        self,
        endpoint: model.Endpoint,
        request: tuple[str, dict[str, Any]],
        stream: token_stream.TokenStream,
        timeout_s: float,
    ) -> None:
        """Starts a streaming request and attaches the response to a stream.

        Args:
          endpoint: The engine.
          request: Path and JSON fields of the request.
          stream: Token stream that reads the response.
          timeout_s: Timeout of the whole call in seconds.

        Raises:
          errors.CallError: The engine refused or returned no usable response.
        """
        path, fields = request
        self._feedback.check(endpoint)
        sent_at = clock.now()
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            "POST",
            path,
            {**_JSON_HEADERS, protocol.REQUEST_ID_HEADER: stream.request_id},
            json.dumps(fields).encode(),
            timeout_s=timeout_s,
            silence=silence.FixedTimeout(self._stall_timeout_s),
            before_send=lambda: self._feedback.before_send(endpoint),
        )
        self._observe(endpoint, response, stream.request_id, sent_at)
        if response.status != _OK:
            await _raise_error_response(response, stream.request_id)
        _check_request_id(response, stream.request_id)
        stream.attach(response)

    async def fetch_json(
        self,
        endpoint: model.Endpoint,
        request: tuple[str, str, dict[str, Any] | None],
        *,
        request_id: str = "",
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> dict[str, Any]:
        """Calls an engine and returns the JSON object of the response.

        Args:
          endpoint: The engine.
          request: Method, path and JSON fields, None for no body.
          request_id: Id that the response must echo, empty for no check.
          timeout_s: Timeout of the whole call in seconds.

        Returns:
          The parsed JSON object.

        Raises:
          errors.CallError: The engine refused or returned no usable response.
        """
        body = await self.fetch_body(
            endpoint, request, request_id=request_id, timeout_s=timeout_s
        )
        payload = _parse_json(body)
        if not isinstance(payload, dict):
            raise errors.EngineFailed("response body is not a JSON object")
        return payload

    async def fetch_body(
        self,
        endpoint: model.Endpoint,
        request: tuple[str, str, dict[str, Any] | None],
        *,
        request_id: str = "",
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> bytes:
        """Calls an engine and returns the body of the response.

        Takes the same arguments as `fetch_json`.

        Returns:
          The complete body.

        Raises:
          errors.CallError: The engine refused or returned no usable response.
        """
        method, path, fields = request
        headers = dict(_JSON_HEADERS)
        if request_id:
            headers[protocol.REQUEST_ID_HEADER] = request_id
        self._feedback.check(endpoint)
        sent_at = clock.now()
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            method,
            path,
            headers,
            b"" if fields is None else json.dumps(fields).encode(),
            timeout_s=timeout_s,
            before_send=lambda: self._feedback.before_send(endpoint),
        )
        if request_id:
            self._observe(endpoint, response, request_id, sent_at)
        if response.status != _OK:
            await _raise_error_response(response, request_id)
        if request_id:
            _check_request_id(response, request_id)
        return await response.read(_MAX_RESPONSE_BYTES)

    def _observe(
        self,
        endpoint: model.Endpoint,
        response: exchange_lib.Response,
        request_id: str,
        sent_at: float,
    ) -> None:
        if response.headers.get(protocol.REQUEST_ID_HEADER) != request_id:
            return
        self._feedback.observe(
            protocol.parse_answer(
                endpoint,
                response.status,
                response.headers,
                sent_at,
                accepted=response.status == _OK,
            )
        )


def _parse_json(body: bytes) -> Any:
    try:
        return codec.load_json(body)
    except ValueError as error:
        raise errors.EngineFailed(
            f"response body is not JSON: {error}"
        ) from error


def _check_request_id(response: exchange_lib.Response, request_id: str) -> None:
    response_id = response.headers.get(protocol.REQUEST_ID_HEADER)
    if response_id != request_id:
        response.close()
        raise errors.ResponseIdMismatch(
            f"response carries the request id {response_id!r}"
        )


async def _raise_error_response(
    response: exchange_lib.Response, request_id: str
) -> None:
    body = await response.read(_MAX_RESPONSE_BYTES)
    error = protocol.parse_error(body)
    # Load reports and orders have no request id, so there is none to echo.
    response_id = response.headers.get(protocol.REQUEST_ID_HEADER, "")
    if error.code == protocol.CODE_STALE_FENCING:
        raise errors.StaleFencingToken(
            error.message, code=error.code, highest=error.highest
        )
    if call_lib.is_refusal(response.status, error.run, response_id, request_id):
        raise errors.EngineRefused(error.message, code=error.code)
    raise errors.EngineFailed(f"status {response.status}: {error.message}")


def parse_as(kind: Any, value: Any) -> Any:
    """Converts a JSON value from an engine response to a type.

    Args:
      kind: Type to convert to.
      value: Parsed JSON value.

    Returns:
      The value as an instance of `kind`.

    Raises:
      errors.EngineFailed: The value doesn't fit the type.
    """
    try:
        return codec.decode(kind, json.dumps(value))
    except (codec.CodecError, RecursionError) as error:
        raise errors.EngineFailed(str(error)) from error
