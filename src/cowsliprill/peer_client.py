"""HTTP client for JSON calls to peers and to the platform."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from tornado import httpclient

from cowsliprill import codec
from cowsliprill import errors

_MAX_CLIENTS = 1_000
_MAX_BODY_BYTES = 16_000_000
_CONNECT_TIMEOUT_S = 1.0


class PeerError(errors.CowsliprillError):
    """Raised when a call fails or its response is invalid."""

    code = "peer_unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerResponse:
    """Response of a peer.

    Attributes:
      status: HTTP status.
      body: Response body.
      headers: Response headers; names are case-insensitive.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def json(self) -> Any:
        """Returns the body parsed as JSON.

        Raises:
          PeerError: The body is not JSON.
        """
        try:
            return codec.load_json(self.body)
        except ValueError as error:
            raise PeerError(f"response is not JSON: {error}") from error


class PeerClient:
    """Client for peers; returns responses of any status without raising.

    Each call opens a new connection, so calls reach a peer that has been
    replaced at the same address.

    Args:
      max_body_bytes: Maximum response size; a larger response is an error.
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
    ) -> PeerResponse:
        """Sends a request and returns the response.

        Args:
          method: HTTP method.
          url: Absolute URL.
          body: JSON body, if any.
          timeout_s: Timeout of the whole call in seconds.
          headers: Further request headers.

        Returns:
          The response, whatever its status.

        Raises:
          PeerError: The call timed out or the connection failed.
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
        return PeerResponse(
            response.code, response.body or b"", response.headers
        )

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()
