"""Calls to engines, with the checks that all of them share."""

import json
from typing import Any

from cowsliprill import codec
from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import model
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib
from cowsliprill.engines import http_client
from cowsliprill.engines import protocol
from cowsliprill.engines import token_stream

ORDER_TIMEOUT_S = 2.0

_MAX_ANSWER_BYTES = 4_194_304
_OK = 200
_JSON_HEADERS = {"Content-Type": "application/json"}


class EngineCaller:
    """Sends JSON to engines, and checks whose answer comes back.

    Args:
      http: The HTTP client.
      stall_s: Time without a byte after which a token stream is broken.
    """

    def __init__(self, http: http_client.HttpClient, stall_s: float) -> None:
        self._http = http
        self._stall_s = stall_s

    async def stream(
        self,
        endpoint: model.Endpoint,
        request: tuple[str, dict[str, Any]],
        stream: token_stream.TokenStream,
        timeout_s: float,
    ) -> None:
        """Opens a connection by which a stream's next events come.

        Args:
          endpoint: The engine.
          request: Path and JSON fields.
          stream: Where to attach the connection.
          timeout_s: Time for the whole call.

        Raises:
          errors.CallError: The engine refused, or gave no usable answer.
        """
        path, fields = request
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            "POST",
            path,
            {**_JSON_HEADERS, protocol.REQUEST_ID_HEADER: stream.request_id},
            json.dumps(fields).encode(),
            timeout_s=timeout_s,
            stall_s=self._stall_s,
        )
        if response.status != _OK:
            await _raise_refusal(response, stream.request_id)
        _check_id(response, stream.request_id)
        stream.attach(response)

    async def json(
        self,
        endpoint: model.Endpoint,
        request: tuple[str, str, dict[str, Any] | None],
        *,
        request_id: str = "",
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> dict[str, Any]:
        """Calls an engine that answers with a JSON object.

        Args:
          endpoint: The engine.
          request: Method, path and JSON fields, None for no body.
          request_id: Id that the answer must echo, empty for none.
          timeout_s: Time for the whole call.

        Returns:
          The JSON object.

        Raises:
          errors.CallError: The engine refused, or gave no usable answer.
        """
        text = await self.whole(
            endpoint, request, request_id=request_id, timeout_s=timeout_s
        )
        answer = _parse_json(text)
        if not isinstance(answer, dict):
            raise errors.EngineFailed("answer isn't a JSON object")
        return answer

    async def whole(
        self,
        endpoint: model.Endpoint,
        request: tuple[str, str, dict[str, Any] | None],
        *,
        request_id: str = "",
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> bytes:
        """Calls an engine; arguments and errors as for `json`.

        Returns:
          The answer's whole body.
        """
        method, path, fields = request
        headers = dict(_JSON_HEADERS)
        if request_id:
            headers[protocol.REQUEST_ID_HEADER] = request_id
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            method,
            path,
            headers,
            b"" if fields is None else json.dumps(fields).encode(),
            timeout_s=timeout_s,
        )
        if response.status != _OK:
            await _raise_refusal(response, request_id)
        if request_id:
            _check_id(response, request_id)
        return await response.read(_MAX_ANSWER_BYTES)


def _parse_json(text: bytes) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        raise errors.EngineFailed(f"answer isn't JSON: {error}") from error


def _check_id(response: exchange_lib.Response, request_id: str) -> None:
    answer_id = response.headers.get(protocol.REQUEST_ID_HEADER)
    if answer_id != request_id:
        response.close()
        raise errors.ForeignAnswer(f"answer carries the id {answer_id!r}")


async def _raise_refusal(
    response: exchange_lib.Response, request_id: str
) -> None:
    text = await response.read(_MAX_ANSWER_BYTES)
    error = protocol.error_of(text)
    # A call about no request (a load report, an order) has no id to echo.
    answer_id = response.headers.get(protocol.REQUEST_ID_HEADER, "")
    if error.code == protocol.CODE_STALE_FENCING:
        raise errors.StaleFencing(
            error.message, code=error.code, highest=error.highest
        )
    if call_lib.is_refusal(response.status, error.run, answer_id, request_id):
        raise errors.EngineRefused(error.message, code=error.code)
    raise errors.EngineFailed(f"status {response.status}: {error.message}")


def checked(kind: Any, value: Any) -> Any:
    """Checks a part of an engine's answer.

    Args:
      kind: The type it should have.
      value: Parsed JSON.

    Returns:
      The value as that type.

    Raises:
      errors.EngineFailed: It has another form.
    """
    try:
        return codec.decode(kind, json.dumps(value))
    except codec.CodecError as error:
        raise errors.EngineFailed(str(error)) from error
