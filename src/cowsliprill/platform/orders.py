"""Orders to the platform's engines."""

import http
import json

from cowsliprill.decisions import model
from cowsliprill.engines import http_client
from cowsliprill.platform import headers as headers_lib

_CONNECT_S = 0.15
_ANSWER_S = 0.5
_MAX_ANSWER_BYTES = 65_536

_OUTCOME_BY_STATUS = {
    http.HTTPStatus.ACCEPTED: "accepted",
    http.HTTPStatus.OK: "in_force",
    http.HTTPStatus.CONFLICT: "another_in_progress",
    http.HTTPStatus.MISDIRECTED_REQUEST: "another_engine",
}


class Orders:
    """`router.roles.EngineOrders` of the platform.

    Args:
      client: HTTP client.
    """

    def __init__(self, client: http_client.HttpClient) -> None:
        self._http = client

    async def change_role(
        self,
        endpoint: model.Endpoint,
        kind: model.EndpointKind,
        holder: str,
        fencing_token: int,
    ) -> str:
        """Orders an engine to another stage.

        Args:
          endpoint: The engine.
          kind: What it should be.
          holder: Id of this VM.
          fencing_token: Number that rises from order to order.

        Returns:
          What the engine said.

        Raises:
          errors.CallError: It said nothing; the order may have arrived.
        """
        order = {
            "op": "stage",
            "stage": kind.value,
            "holder": holder,
            "fence": fencing_token,
        }
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            "POST",
            "/order",
            {
                "Content-Type": "application/json",
                headers_lib.EXPECTED_ENGINE: endpoint.id,
            },
            json.dumps(order).encode(),
            connect_timeout_s=_CONNECT_S,
            timeout_s=_ANSWER_S,
            fresh=True,
        )
        await response.read(_MAX_ANSWER_BYTES)
        return _OUTCOME_BY_STATUS.get(response.status, str(response.status))
