"""Composition of the parts that keep which endpoints want no requests."""

import asyncio
from collections.abc import Awaitable

from cowsliprill import peer_auth
from cowsliprill import peer_handler
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.availability import feedback as feedback_lib
from cowsliprill.availability import ledger as ledger_lib
from cowsliprill.availability import peer_exchange
from cowsliprill.availability import wire
from cowsliprill.entry import endpoint_availability
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.rate_limiting import ledger as rate_limit_ledger

_EXPIRY_INTERVAL_S = 1.0


class AvailabilityComponents:
    """Endpoints that leave or want a pause.

    Args:
      rate_limits: Rate limits that endpoints name in the same answers.
      auth: Verifies messages of peers.
      network: Access to the peers.
      log: Log of the process.
      metrics: Metrics of the process.
      enabled: Whether such endpoints get no requests, rather than only being
        logged.

    Attributes:
      enabled: Whether such endpoints get no requests.
      ledger: The endpoints known to this process.
      feedback: Receives what endpoints say about themselves.
      endpoints: Interface for the filters that choose among endpoints.
    """

    def __init__(
        self,
        rate_limits: rate_limit_ledger.RateLimitLedger,
        auth: peer_auth.PeerAuth,
        network: record_exchange.Network,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        *,
        enabled: bool,
    ) -> None:
        self.enabled = enabled
        self._auth = auth
        self._cluster_state = network.cluster_state
        self.ledger = ledger_lib.AvailabilityLedger(log, metrics)
        self.feedback = feedback_lib.Feedback(
            rate_limits, self.ledger, enabled=enabled
        )
        self.endpoints: endpoint_availability.EndpointAvailability = (
            endpoint_availability.AlwaysAvailable()
        )
        if enabled:
            self.endpoints = self.ledger
        self._exchange = peer_exchange.PeerExchange(network, self.ledger, log)

    def peer_routes(self) -> list[tuple]:
        """Returns the tornado routes of the peer port."""
        arguments = {
            "auth": self._auth,
            "kind": wire.LeavingExchange,
            "respond": self._exchange.handle,
        }
        return [
            (
                peers.LEAVING_ENDPOINTS_PATH,
                peer_handler.MessageHandler,
                arguments,
            )
        ]

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""
        return [self._exchange.run(), self._expire_records()]

    async def _expire_records(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.ledger.expire(self._cluster_state.snapshot)
