"""Blocking HTTP client for tools and tests."""

import dataclasses
import http.client
import json
import urllib.parse
from collections.abc import Iterator
from typing import Any

_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response with its whole body.

    Attributes:
      status: HTTP status code.
      headers: Header values by lower-case name.
      body: Bytes of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body parsed as JSON."""
        return json.loads(self.body)


class Stream:
    """Open HTTP response that is read event by event.

    Args:
      connection: Connection of the response, closed by `disconnect`.
      response: Response whose body is unread.
    """

    def __init__(
        self,
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
    ) -> None:
        self._connection = connection
        self._response = response
        self.status = response.status

    def events(self) -> Iterator[bytes]:
        """Yields each server-sent event without its terminating blank line."""
        lines: list[bytes] = []
        for line in self._response:
            if line.strip():
                lines.append(line.rstrip(b"\r\n"))
            elif lines:
                yield b"\n".join(lines)
                lines = []

    def read(self) -> bytes:
        """Returns the unread rest of the body."""
        return self._response.read()

    def disconnect(self) -> None:
        """Closes the connection, as a caller does that disconnects early."""
        self._response.close()
        self._connection.close()


def _send(
    method: str,
    url: str,
    body: Any,
    headers: dict[str, str] | None,
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=_TIMEOUT_S
    )
    path = f"{parts.path}?{parts.query}" if parts.query else parts.path
    content = body
    if body is not None and not isinstance(body, bytes):
        content = json.dumps(body).encode()
    connection.request(method, path, content, headers or {})
    return connection, connection.getresponse()


def call(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> HttpResponse:
    """Sends an HTTP request and reads the whole response.

    Args:
      method: HTTP method.
      url: Absolute URL.
      body: Bytes to send unchanged, any other value to send as JSON, or None.
      headers: Request headers by name.

    Returns:
      The response, whatever its status.

    Raises:
      OSError: The connection failed or timed out.
      http.client.HTTPException: The response is malformed or truncated.
    """
    connection, response = _send(method, url, body, headers)
    try:
        names = {key.lower(): value for key, value in response.getheaders()}
        return HttpResponse(response.status, names, response.read())
    finally:
        connection.close()


def open_stream(
    url: str, body: Any, headers: dict[str, str] | None = None
) -> Stream:
    """Sends a POST request with a JSON body and leaves the response unread.

    Args:
      url: Absolute URL.
      body: Value to send as JSON.
      headers: Request headers by name.

    Returns:
      The response; close it with `disconnect` unless it was read to its end.

    Raises:
      OSError: The connection failed or timed out.
      http.client.HTTPException: The response is malformed.
    """
    return Stream(*_send("POST", url, body, headers))
