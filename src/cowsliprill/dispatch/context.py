"""State and clients that the tasks of the dispatch process share."""

import dataclasses

from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill.decisions import model
from cowsliprill.dispatch import coordinated_endpoints as coordinated_lib
from cowsliprill.engines import engine_client
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import protocol
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import follower as follower_lib

# How long an endpoint that reports that it is draining is excluded, unless it
# reports so again. By then the VM list names the endpoint as leaving.
LEAVING_NOTICE_TTL_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchContext:
    """Dependencies that the tasks of a dispatch process share.

    Attributes:
      environment: Environment file of this process.
      follower: Provides the settings in force and the VM list.
      coordinated: The endpoints that this VM coordinates.
      engines: Client for engines.
      peers: Client for the processes of other VMs.
      auth: Signs messages to peers.
      log: Log of the process.
      metrics: Metrics of the process.
    """

    environment: environment_lib.Environment
    follower: follower_lib.Follower
    coordinated: coordinated_lib.CoordinatedEndpoints
    engines: engine_client.EngineClient
    peers: peer_client.PeerClient
    auth: peer_auth.PeerAuth
    log: log_lib.Log
    metrics: metrics_lib.Metrics

    def endpoint(self, endpoint_id: str) -> model.Endpoint | None:
        """Returns an endpoint of the settings in force, None if unknown."""
        return self.follower.snapshot.endpoints_by_id.get(endpoint_id)

    def coordinated_engines(self) -> list[model.Endpoint]:
        """Returns the engines that this VM coordinates."""
        return [state.endpoint for state in self.coordinated.by_id.values()]

    def is_coordinator_of(self, endpoint_id: str) -> bool:
        """Returns whether this VM coordinates an endpoint.

        The newest VM list decides.
        """
        return self.coordinated.is_coordinator_of(endpoint_id)

    def count(self, event: str, amount: int = 1) -> None:
        """Adds to the metrics counter of an event."""
        self.metrics.events.add({"event": event}, amount)

    async def report_if_draining(
        self, endpoint: model.Endpoint, error: engine_errors.CallError
    ) -> None:
        """Reports an endpoint as leaving if it refused a call for that reason.

        The VM list lags behind. Until the list names the endpoint as leaving,
        entry processes would go on placing requests there and be refused.

        Args:
          endpoint: The endpoint.
          error: Error of a call to it.
        """
        if error.code != protocol.CODE_DRAINING:
            return
        if endpoint.id in self.follower.fleet.leaving_endpoint_ids:
            return
        self.log.event("endpoint_draining", endpoint=endpoint.id)
        self.count("endpoint_draining")
        await self.follower.report_leaving(endpoint.id, LEAVING_NOTICE_TTL_S)
