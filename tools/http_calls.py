"""Blocking HTTP calls of tools and tests, in the part of a caller."""

import dataclasses
import http.client
import json
import urllib.parse
from collections.abc import Iterator
from typing import Any

_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer read to its end.

    Attributes:
      status: HTTP status.
      headers: Headers by lower-case name.
      body: The body's bytes.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body as JSON."""
        return json.loads(self.body)


class Stream:
    """An answer that is read event by event, and may be dropped.

    Args:
      connection: The connection that it comes over.
      response: The open response.
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
        """Yields server-sent events, without their blank lines."""
        lines: list[bytes] = []
        for line in self._response:
            if line.strip():
                lines.append(line.rstrip(b"\r\n"))
            elif lines:
                yield b"\n".join(lines)
                lines = []

    def read(self) -> bytes:
        """Returns the rest of the answer."""
        return self._response.read()

    def disconnect(self) -> None:
        """Closes the connection, as a caller does that goes away."""
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
) -> Answer:
    """Calls a URL and reads the whole answer.

    Args:
      method: HTTP method.
      url: Whole URL.
      body: Bytes, or something to send as JSON.
      headers: Headers by name.

    Returns:
      The answer.
    """
    connection, response = _send(method, url, body, headers)
    try:
        names = {key.lower(): value for key, value in response.getheaders()}
        return Answer(response.status, names, response.read())
    finally:
        connection.close()


def open_stream(
    url: str, body: Any, headers: dict[str, str] | None = None
) -> Stream:
    """Posts JSON and leaves the answer open.

    Args:
      url: Whole URL.
      body: Something to send as JSON.
      headers: Headers by name.

    Returns:
      The stream; close it with `disconnect` unless it was read to its end.
    """
    return Stream(*_send("POST", url, body, headers))
