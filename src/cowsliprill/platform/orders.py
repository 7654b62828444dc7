"""Client that sends role changes to the platform's engines."""

import http
import json

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import http_client
from cowsliprill.platform import answers
from cowsliprill.platform import headers as headers_lib

_CONNECT_TIMEOUT_S = 0.15
_RESPONSE_TIMEOUT_S = 0.5
_MAX_RESPONSE_BYTES = 65_536

_OUTCOME_BY_STATUS = {
    http.HTTPStatus.ACCEPTED: "accepted",
    http.HTTPStatus.OK: "in_force",
    http.HTTPStatus.CONFLICT: "another_in_progress",
    http.HTTPStatus.MISDIRECTED_REQUEST: "another_engine",
}


class Orders:
    """Implements `router.roles.EngineOrders` over HTTP.

    Args:
      client: HTTP client.
      feedback: Receives what answers say about their engines.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        feedback: endpoint_feedback.EndpointFeedback,
    ) -> None:
        self._http = client
        self._feedback = feedback

    async def change_role(
        self,
        endpoint: model.Endpoint,
        kind: model.EndpointKind,
        holder: str,
        fencing_token: int,
    ) -> str:
        """Orders an engine to switch between prefill and decode.

        Args:
          endpoint: Engine that receives the order.
          kind: Role that the engine takes.
          holder: Id of this VM.
          fencing_token: Number that increases with each order.

        Returns:
          Outcome that the engine reports, or its HTTP status if unknown.

        Raises:
          errors.CallError: There was no response; the engine may have received
            the order.
        """
        order = {
            "op": "stage",
            "stage": kind.value,
            "holder": holder,
            "fence": fencing_token,
        }
        self._feedback.check(endpoint)
        sent_at = clock.now()
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            "POST",
            "/order",
            {
                "Content-Type": "application/json",
                headers_lib.EXPECTED_INSTANCE: endpoint.id,
            },
            json.dumps(order).encode(),
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            timeout_s=_RESPONSE_TIMEOUT_S,
            new_connection=True,
            before_send=lambda: self._feedback.before_send(endpoint),
        )
        answers.observe_control(self._feedback, endpoint, response, sent_at)
        await response.read(_MAX_RESPONSE_BYTES)
        return _OUTCOME_BY_STATUS.get(response.status, str(response.status))
