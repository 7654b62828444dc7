"""Composition of the parts that keep the rate limits of endpoints."""

import asyncio
from collections.abc import Awaitable

from cowsliprill.decisions import rate_limits
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.rate_limiting import ledger as ledger_lib

_EXPIRY_INTERVAL_S = 1.0


class RateLimitComponents:
    """Rate limits that endpoints name in their answers.

    Args:
      cluster_state: Current settings and VM list.
      log: Log of the process.
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        cluster_state: cluster_state_lib.ClusterState,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._cluster_state = cluster_state
        self._ledger = ledger_lib.RateLimitLedger(log, metrics)

    def observe(self, answer: rate_limits.Answer) -> None:
        """Applies what an answer says about its endpoint's rate limit."""
        self._ledger.observe(answer)

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""
        return [self._expire_records()]

    async def _expire_records(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self._ledger.expire(self._cluster_state.snapshot)
