"""What the tasks of the dispatch process share: settings, fleet and tools."""

import dataclasses

from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill.decisions import model
from cowsliprill.dispatch import homes as homes_lib
from cowsliprill.engines import engine_client
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import protocol
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import follower as follower_lib

# An endpoint that says that it is draining is left out for this long, unless
# it says so again. The VM list has named it by then.
LEAVING_TTL_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class World:
    """What the tasks share.

    Attributes:
      environment: What the process was told about itself.
      follower: Settings in force and VM list.
      homes: The endpoints homed here.
      engines: Calls engines.
      peers: Calls other VMs' processes.
      auth: Signs what is sent to them.
      log: The process' log.
      metrics: The process' metrics.
    """

    environment: environment_lib.Environment
    follower: follower_lib.Follower
    homes: homes_lib.Homes
    engines: engine_client.EngineClient
    peers: peer_client.PeerClient
    auth: peer_auth.PeerAuth
    log: log_lib.Log
    metrics: metrics_lib.Metrics

    def endpoint(self, endpoint_id: str) -> model.Endpoint | None:
        """Returns an endpoint of the settings in force."""
        return self.follower.snapshot.endpoints_by_id.get(endpoint_id)

    def homed_endpoints(self) -> list[model.Endpoint]:
        """Returns the engines that are homed here."""
        return [home.endpoint for home in self.homes.by_endpoint.values()]

    def is_coordinator(self, endpoint_id: str) -> bool:
        """Returns whether the newest VM list makes this VM the home."""
        return self.homes.is_here(endpoint_id)

    def count(self, event: str, amount: int = 1) -> None:
        """Counts an event for the metrics."""
        self.metrics.events.add({"event": event}, amount)

    async def note_failure(
        self, endpoint: model.Endpoint, error: engine_errors.CallError
    ) -> None:
        """Passes on that an endpoint is leaving, if that is why it refused.

        The VM list lags. Until it names the endpoint, entries would go on
        placing work there and collect refusals.

        Args:
          endpoint: The endpoint.
          error: How a call to it ended.
        """
        if error.code != protocol.CODE_DRAINING:
            return
        if endpoint.id in self.follower.fleet.leaving_endpoint_ids:
            return
        self.log.event("endpoint_draining", endpoint=endpoint.id)
        self.count("endpoint_draining")
        await self.follower.report_leaving(endpoint.id, LEAVING_TTL_S)
