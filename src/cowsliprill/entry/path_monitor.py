"""Finds out whether this VM has lost its network path to the endpoints."""

import asyncio
import random
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill.decisions import endpoint_paths
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import http_client
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

Address = tuple[str, int]

# Connecting takes a few ms; a lost SYN is sent again only after a second.
_PROBE_TIMEOUT_S = 0.15

# Interval at which a lost path is probed.
_PROBE_INTERVAL_S = 0.25

# Endpoints that are probed at a time. Any of them shows that a path exists.
_PROBES = 2


class PathMonitor:
    """Keeps whether this VM can open connections to endpoints.

    Args:
      http: HTTP client for endpoints; the monitor observes its connections.
      log: Log of the process.
      metrics: Metrics of the process.
      rng: Chooses the endpoints to probe.
    """

    def __init__(
        self,
        http: http_client.HttpClient,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
    ) -> None:
        self._http = http
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._paths = endpoint_paths.EndpointPaths()
        self._endpoints: list[model.Endpoint] = []
        self._endpoints_by_address: dict[Address, model.Endpoint] = {}
        self._examinations_by_id: dict[str, asyncio.Task[None]] = {}
        http.observe_connection = self._observe_connection

    def update(self, snapshot: model.Snapshot) -> None:
        """Applies new settings.

        Args:
          snapshot: The settings.
        """
        self._endpoints = list(snapshot.endpoints_by_id.values())
        self._paths.update(frozenset(snapshot.endpoints_by_id))
        self._endpoints_by_address = {
            (item.host, item.port): item for item in self._endpoints
        }

    def is_lost(self) -> bool:
        """Returns whether this VM is cut off from the endpoints."""
        return self._paths.lost

    async def examine(self, endpoint: model.Endpoint, sent_at: float) -> None:
        """Finds out whether a failed call is due to this VM's own path.

        Probes the endpoint, and others if it can't be reached. `is_lost` tells
        the result.

        Args:
          endpoint: Endpoint that gave no answer to a call.
          sent_at: When the call was sent, in seconds.
        """
        if self._paths.lost or self._paths.connected_since(
            endpoint.id, sent_at
        ):
            return
        task = self._examinations_by_id.get(endpoint.id)
        if task is None:
            task = asyncio.create_task(self._examine(endpoint))
            self._examinations_by_id[endpoint.id] = task
            task.add_done_callback(
                lambda _: self._examinations_by_id.pop(endpoint.id)
            )
        await asyncio.shield(task)

    async def run(self) -> None:
        """Probes a lost path until cancelled."""
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_S)
            if self.is_lost():
                await asyncio.gather(
                    *(self._probe(item) for item in self._sample(_PROBES))
                )

    async def _examine(self, endpoint: model.Endpoint) -> None:
        if not self._paths.has_failed(endpoint.id):
            await self._probe(endpoint)
        witnesses = endpoint_paths.witnesses(
            endpoint, self._sample(len(self._endpoints)), _PROBES
        )
        for witness in witnesses:
            if self.is_lost() or not self._paths.has_failed(endpoint.id):
                return
            await self._probe(witness)

    def _sample(self, count: int) -> list[model.Endpoint]:
        return self._rng.sample(
            self._endpoints, min(count, len(self._endpoints))
        )

    async def _probe(self, endpoint: model.Endpoint) -> None:
        try:
            connection = await self._http.connect(
                endpoint.host, endpoint.port, _PROBE_TIMEOUT_S
            )
        except engine_errors.CallError as error:
            self._log.event(
                "path_probe_failed",
                endpoint=endpoint.id,
                reason=error.message,
            )
        else:
            connection.close()

    def _observe_connection(self, address: Address, *, connected: bool) -> None:
        endpoint = self._endpoints_by_address.get(address)
        if endpoint is None:
            return
        if connected:
            change = self._paths.record_connected(endpoint.id, clock.now())
        else:
            change = self._paths.record_failed(endpoint.id, clock.now())
        if change is not None:
            self._report(change)

    def _report(self, change: endpoint_paths.PathChange) -> None:
        log: Callable[..., None] = (
            self._log.warning if change.lost else self._log.event
        )
        log(
            "path_lost" if change.lost else "path_restored",
            endpoints=",".join(change.endpoint_ids),
        )
        self._metrics.path_lost.set({}, int(change.lost))
