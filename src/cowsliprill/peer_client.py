"""Calls between our own processes and to the platform: HTTP with JSON."""

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from tornado import httpclient

from cowsliprill import errors

_MAX_CLIENTS = 1_000
_MAX_BODY_BYTES = 16_000_000
_CONNECT_TIMEOUT_S = 1.0


class PeerError(errors.CowsliprillError):
    """Raised when a peer gives no usable answer."""

    code = "peer_unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A peer's answer.

    Attributes:
      status: HTTP status.
      body: The body's bytes.
      headers: The headers, by name in any case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def json(self) -> Any:
        """Returns the body as JSON.

        Raises:
          PeerError: The body isn't JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise PeerError(f"answer isn't JSON: {error}") from error


class PeerClient:
    """Calls peers; an answer of any status is an answer.

    Idle connections aren't kept, so a peer that was replaced is met anew.

    Args:
      max_body_bytes: Longest answer that is read; a longer one is an error.
    """

    def __init__(self, max_body_bytes: int = _MAX_BODY_BYTES) -> None:
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            max_body_size=max_body_bytes,
        )

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        *,
        timeout_s: float = 2.0,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Calls a URL.

        Args:
          method: HTTP method.
          url: Whole URL.
          body: JSON body, if any.
          timeout_s: Time for the whole call.
          headers: Further headers.

        Returns:
          The answer, whatever its status.

        Raises:
          PeerError: There was no answer in time, or the connection failed.
        """
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=body,
            headers={"Content-Type": "application/json", **(headers or {})},
            connect_timeout=min(_CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise PeerError(f"{method} {url}: {error}") from error
        if response.code == httpclient.HTTPError(599).code:
            raise PeerError(f"{method} {url}: {response.error}")
        return Reply(response.code, response.body or b"", response.headers)

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()
