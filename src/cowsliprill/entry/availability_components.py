"""Composition of the parts that keep which endpoints want no requests."""

import asyncio
from collections.abc import Awaitable

from cowsliprill.availability import ledger as ledger_lib
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_EXPIRY_INTERVAL_S = 1.0


class AvailabilityComponents:
    """Endpoints that leave or want a pause.

    Args:
      cluster_state: Current settings and VM list.
      log: Log of the process.
      metrics: Metrics of the process.

    Attributes:
      ledger: The endpoints known to this process.
    """

    def __init__(
        self,
        cluster_state: cluster_state_lib.ClusterState,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._cluster_state = cluster_state
        self.ledger = ledger_lib.AvailabilityLedger(log, metrics)

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""
        return [self._expire_records()]

    async def _expire_records(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.ledger.expire(self._cluster_state.snapshot)
