"""Background task that updates the gauges of a router process."""

import asyncio
import collections
import dataclasses
import math

from cowsliprill import clock
from cowsliprill.decisions import membership
from cowsliprill.decisions import model
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.observability import writer
from cowsliprill.pool_scheduling import server as server_lib
from cowsliprill.registry import source as source_lib

# A shorter interval is of no use: metrics are scraped every few seconds at
# most.
_SAMPLE_INTERVAL_S = 1.0


class GaugeSampler:
    """Sets the gauges from the state of the other tasks.

    Also logs the load of each pool that has requests, once per interval.

    Args:
      metrics: The process's metrics.
      members: Membership of the VMs.
      source: Follower of the registry's store.
      pool_schedulers: The pool schedulers hosted by this process.
      log: The process's log.
      output: Writer of the log, None in tests.
    """

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        members: membership.Membership,
        source: source_lib.RegistrySource,
        pool_schedulers: server_lib.PoolSchedulerServer,
        log: log_lib.Log,
        output: writer.NonBlockingWriter | None,
    ) -> None:
        self._metrics = metrics
        self._members = members
        self._source = source
        self._pool_schedulers = pool_schedulers
        self._log = log
        self._output = output
        self._engine_labels: set[tuple[str, str, str]] = set()

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Sets all gauges and logs the load of the pools."""
        metrics = self._metrics
        metrics.members.set({}, len(self._members.alive()) + 1)
        dropped = self._output.dropped if self._output else 0
        metrics.log_lines_dropped.set({}, dropped)
        self._sample_registry()
        self._sample_engines()
        for (pool, reason), count in self._pool_schedulers.displaced().items():
            metrics.overload_displaced.set(
                {"pool": pool, "reason": reason}, count
            )
        for pool, load in self._pool_schedulers.loads().items():
            for state, slots in (
                ("promised", load.promised),
                ("all", load.slots),
            ):
                metrics.pool_slots.set({"pool": pool, "state": state}, slots)
            metrics.pool_waiting.set({"pool": pool}, load.waiting)
            if load.running or load.waiting:
                self._log.event(
                    "pool_standing", pool=pool, **dataclasses.asdict(load)
                )

        self._log_speed_changes()

    def _log_speed_changes(self) -> None:
        found = self._pool_schedulers.speed_changes(clock.now())
        for pool, change in found.items():
            self._log.event(
                "engine_speed",
                pool=pool,
                endpoint=change.endpoint_id,
                role=change.role.value,
                relative_speed=round(change.relative_speed, 3),
                previous=round(change.previous, 3),
            )

    def _sample_engines(self) -> None:
        leaving_ids = self._source.fleet.leaving_endpoint_ids
        counts = collections.Counter(
            (
                endpoint.pool,
                endpoint.software_version,
                "leaving" if endpoint.id in leaving_ids else "ready",
            )
            for endpoint in self._source.snapshot.endpoints_by_id.values()
            if endpoint.kind is not model.EndpointKind.PLAIN
        )
        # A version without engines keeps its series, with the value 0.
        self._engine_labels |= counts.keys()
        for pool, version, state in self._engine_labels:
            self._metrics.engines.set(
                {"pool": pool, "version": version, "state": state},
                counts[pool, version, state],
            )

    def _sample_registry(self) -> None:
        metrics = self._metrics
        now = clock.now()
        for follower in self._source.followers():
            prefix = {"prefix": follower.view.prefix}
            unreachable_since = follower.unavailable_since or now
            metrics.registry_position.set(prefix, follower.view.position)
            metrics.registry_outage_s.set(prefix, now - unreachable_since)
            if follower.reading and math.isfinite(follower.view.confirmed_at):
                age_s = now - follower.view.confirmed_at
                metrics.registry_view_age_s.set(prefix, age_s)
            for result, reads in (
                ("answered", follower.answered_calls),
                ("failed", follower.failed_calls),
            ):
                metrics.registry_reads.set({**prefix, "result": result}, reads)
