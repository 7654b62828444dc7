"""HTTP client for the dispatch processes that coordinate endpoints or pools."""

import dataclasses
from typing import Any

from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import http_client
from cowsliprill.entry import errors

_CONNECT_TIMEOUT_S = 1.0
_MAX_RESPONSE_BYTES = 1_048_576
_HTTP_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorClient:
    """Sends signed messages to coordinators.

    Attributes:
      http: HTTP client whose calls can be cancelled.
      auth: Signs request bodies.
    """

    http: http_client.HttpClient
    auth: peer_auth.PeerAuth

    async def post(
        self, vm: model.Vm, path: str, message: Any, timeout_s: float
    ) -> bytes:
        """Posts a message to a coordinator as JSON.

        Args:
          vm: VM of the coordinator.
          path: URL path, one of the constants in `peers`.
          message: Data class instance.
          timeout_s: Timeout of the whole call in seconds.

        Returns:
          Body of the response.

        Raises:
          errors.HomeError: The call failed or the status is not 200.
        """
        request_body = codec.encode_without_defaults(message)
        headers = {"Content-Type": "application/json"}
        try:
            response = await self.http.call(
                vm.host,
                vm.dispatch_port,
                "POST",
                path,
                {**headers, **self.auth.headers(request_body)},
                request_body,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                timeout_s=timeout_s,
            )
            response_body = await response.read(_MAX_RESPONSE_BYTES)
        except engine_errors.CallError as error:
            raise errors.CoordinatorError(f"{vm.id}: {error}") from error
        if response.status != _HTTP_OK:
            raise errors.CoordinatorError(f"{vm.id}: status {response.status}")
        return response_body
