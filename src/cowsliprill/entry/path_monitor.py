"""Watches this VM's connections to endpoints and logs lost network paths."""

from collections.abc import Callable

from cowsliprill import clock
from cowsliprill.decisions import endpoint_paths
from cowsliprill.decisions import model
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

Address = tuple[str, int]


class PathMonitor:
    """Keeps which pools this VM can't open connections to.

    Args:
      log: Log of the process.
      metrics: Metrics of the process.
    """

    def __init__(self, log: log_lib.Log, metrics: metrics_lib.Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._paths = endpoint_paths.EndpointPaths()
        self._endpoints_by_address: dict[Address, model.Endpoint] = {}

    def update(self, snapshot: model.Snapshot) -> None:
        """Applies new settings.

        Args:
          snapshot: The settings.
        """
        endpoints = list(snapshot.endpoints_by_id.values())
        self._paths.update(endpoints)
        self._endpoints_by_address = {
            (endpoint.host, endpoint.port): endpoint for endpoint in endpoints
        }

    def observe_connection(self, address: Address, *, connected: bool) -> None:
        """Records the outcome of a connection attempt.

        Args:
          address: Address that was connected to, of any kind of host.
          connected: Whether the connection was established.
        """
        endpoint = self._endpoints_by_address.get(address)
        if endpoint is None:
            return
        if connected:
            change = self._paths.record_connected(endpoint)
        else:
            change = self._paths.record_failed(endpoint, clock.now())
        if change is not None:
            self._report(change)

    def _report(self, change: endpoint_paths.PathChange) -> None:
        group = change.group
        log: Callable[..., None] = (
            self._log.warning if change.lost else self._log.event
        )
        log(
            "path_lost" if change.lost else "path_restored",
            pool=group.pool,
            kind=group.kind.value,
            endpoints=",".join(change.endpoint_ids),
        )
        self._metrics.lost_paths.set(
            {"pool": group.pool, "kind": group.kind.value}, int(change.lost)
        )
