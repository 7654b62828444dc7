"""Finds out whether this VM has lost its network path to a pool."""

import asyncio
import random
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill.decisions import endpoint_paths
from cowsliprill.decisions import lost_path_notices
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import http_client
from cowsliprill.entry import peer_paths
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

Address = tuple[str, int]

# Connecting takes a few ms; a lost SYN is sent again only after a second.
_PROBE_TIMEOUT_S = 0.15

# An endpoint that a connection was opened to within this time isn't probed.
_RECENT_S = 0.1

# Interval at which lost paths are probed.
_PROBE_INTERVAL_S = 0.25

# Endpoints of a pool that are probed at a time. Any of them shows that a path
# exists.
_PROBES = 2


class PathMonitor:
    """Keeps which pools this VM can't open connections to.

    Args:
      http: HTTP client for endpoints; the monitor observes its connections.
      log: Log of the process.
      metrics: Metrics of the process.
      rng: Chooses the endpoints to probe.
      peers: Gets to know which paths are lost.
    """

    def __init__(
        self,
        http: http_client.HttpClient,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
        peers: peer_paths.PeerPaths,
    ) -> None:
        self._http = http
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._peers = peers
        self._paths = endpoint_paths.EndpointPaths()
        self._notices = lost_path_notices.LostPathNotices()
        self._told_pools: frozenset[str] = frozenset()
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
        self._paths.update(self._endpoints)
        self._endpoints_by_address = {
            (item.host, item.port): item for item in self._endpoints
        }

    def is_lost(self, pool: str) -> bool:
        """Returns whether this VM can't reach the endpoints of a pool."""
        return self._paths.is_lost(pool)

    def is_cut_off(self) -> bool:
        """Returns whether this VM can't reach the endpoints of any pool.

        Only then failures say nothing about the endpoints themselves: those of
        one pool may have ended together.
        """
        return self._paths.is_lost(endpoint_paths.ALL_POOLS)

    async def examine(self, endpoint: model.Endpoint) -> None:
        """Finds out whether a failed call is due to this VM's own path.

        Probes the endpoint, and others if it can't be reached. `is_lost` and
        `is_cut_off` tell the result.

        Args:
          endpoint: Endpoint that gave no answer to a call.
        """
        recently = clock.now() - _RECENT_S
        if self._paths.connected_since(endpoint.id, recently):
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
        """Probes lost paths until cancelled."""
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_S)
            self._tell_peers()
            probed = [
                endpoint
                for pool in self._paths.lost_pools()
                for endpoint in self._sample(pool)
            ]
            await asyncio.gather(*map(self._probe, probed))

    async def _examine(self, endpoint: model.Endpoint) -> None:
        if not self._paths.has_failed(endpoint):
            await self._probe(endpoint)
        if not self._paths.has_failed(endpoint):
            return
        for witness in self._sample(endpoint.pool, only_untried=True):
            if self.is_lost(endpoint.pool):
                break
            await self._probe(witness)
            if not self._paths.has_failed(endpoint):
                return
        if not self.is_cut_off():
            elsewhere = [
                item for item in self._endpoints if item.pool != endpoint.pool
            ]
            if elsewhere:
                await self._probe(self._rng.choice(elsewhere))

    def _sample(
        self, pool: str, *, only_untried: bool = False
    ) -> list[model.Endpoint]:
        """Returns some endpoints of a pool.

        Args:
          pool: Name of the pool.
          only_untried: Whether to leave out those that have just failed.
        """
        endpoints = [
            item
            for item in self._endpoints
            if item.pool == pool
            and not (only_untried and self._paths.has_failed(item))
        ]
        return self._rng.sample(endpoints, min(len(endpoints), _PROBES))

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
            changes = self._paths.record_connected(endpoint, clock.now())
        else:
            changes = self._paths.record_failed(endpoint, clock.now())
        for change in changes:
            self._report(change)
        if changes:
            self._tell_peers()

    def _tell_peers(self) -> None:
        pools = self._notices.update(self._paths.lost_pools(), clock.now())
        if pools != self._told_pools:
            self._told_pools = pools
            self._peers.tell(pools)

    def _report(self, change: endpoint_paths.PathChange) -> None:
        log: Callable[..., None] = (
            self._log.warning if change.lost else self._log.event
        )
        log(
            "path_lost" if change.lost else "path_restored",
            pool=change.pool or "all",
            endpoints=",".join(change.endpoint_ids),
        )
        self._metrics.path_lost.set(
            {"pool": change.pool or "all"}, int(change.lost)
        )
