"""Calls to the dispatch processes that are home to endpoints."""

import dataclasses
from typing import Any

from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import http_client
from cowsliprill.entry import errors

_CONNECT_S = 1.0
_MAX_ANSWER_BYTES = 1_048_576
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorClient:
    """Sends signed messages to homes.

    Attributes:
      http: HTTP client; its calls can be cancelled.
      auth: Signs what is sent.
    """

    http: http_client.HttpClient
    auth: peer_auth.PeerAuth

    async def post(
        self, vm: model.Vm, path: str, message: Any, timeout_s: float
    ) -> bytes:
        """Sends a message.

        Args:
          vm: The home.
          path: One of `peers`.
          message: Data class.
          timeout_s: Time for the whole call.

        Returns:
          The answer's body.

        Raises:
          errors.HomeError: There was no answer, or it is a refusal.
        """
        body = codec.encode_short(message)
        headers = {"Content-Type": "application/json"}
        try:
            response = await self.http.call(
                vm.host,
                vm.dispatch_port,
                "POST",
                path,
                {**headers, **self.auth.headers(body)},
                body,
                connect_timeout_s=_CONNECT_S,
                timeout_s=timeout_s,
            )
            text = await response.read(_MAX_ANSWER_BYTES)
        except engine_errors.CallError as error:
            raise errors.CoordinatorError(f"{vm.id}: {error}") from error
        if response.status != _OK:
            raise errors.CoordinatorError(f"{vm.id}: status {response.status}")
        return text
