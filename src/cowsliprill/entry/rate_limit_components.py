"""Composition of the parts that keep the rate limits of endpoints."""

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Callable

from cowsliprill import peer_auth
from cowsliprill import peer_handler
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.entry import endpoint_permits
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.rate_limiting import ledger as ledger_lib
from cowsliprill.rate_limiting import peer_exchange
from cowsliprill.rate_limiting import permit_client
from cowsliprill.rate_limiting import permit_handler
from cowsliprill.rate_limiting import permit_server
from cowsliprill.rate_limiting import wire

_EXPIRY_INTERVAL_S = 1.0


class RateLimitComponents:
    """Rate limits that endpoints name, their exchange, and permits.

    Args:
      process_id: Id of this process, different after each restart.
      auth: Verifies messages of peers.
      network: Access to the peers.
      reachable_fraction: Returns the fraction of the known VMs that this VM
        receives heartbeats from.
      log: Log of the process.
      metrics: Metrics of the process.
      rng: Spreads the times at which callers may come back.
      enabled: Whether the limits are kept, rather than only logged.

    Attributes:
      enabled: Whether the limits are kept, rather than only logged.
      ledger: The rate limits known to this process.
      permits: Interface for the filters that send requests to endpoints.
    """

    def __init__(
        self,
        process_id: str,
        auth: peer_auth.PeerAuth,
        network: record_exchange.Network,
        reachable_fraction: Callable[[], float],
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
        *,
        enabled: bool,
    ) -> None:
        self.enabled = enabled
        self._auth = auth
        self._cluster_state = network.cluster_state
        self.ledger = ledger_lib.RateLimitLedger(log, metrics)
        self._exchange = peer_exchange.PeerExchange(network, self.ledger, log)
        self._server = permit_server.PermitServer(
            network, self.ledger, reachable_fraction, log, metrics
        )
        self._client = permit_client.PermitClient(
            process_id, network, self.ledger, self._server, log, rng
        )
        self.permits: endpoint_permits.EndpointPermits = (
            endpoint_permits.Unlimited()
        )
        if enabled:
            self.permits = endpoint_permits.CoordinatedPermits(
                self.ledger, self._client, log
            )

    def cluster_state_changed(self) -> None:
        """Applies new settings and a new VM list."""
        self._server.update()
        self._client.retain(
            self._cluster_state.snapshot.endpoints_by_id.values()
        )

    def peer_routes(self) -> list[tuple]:
        """Returns the tornado routes of the peer port."""
        exchange_arguments = {
            "auth": self._auth,
            "kind": wire.LimitExchange,
            "respond": self._exchange.handle,
        }
        permit_arguments = {"auth": self._auth, "permit_server": self._server}
        return [
            (
                peers.RATE_LIMITS_PATH,
                peer_handler.MessageHandler,
                exchange_arguments,
            ),
            (
                peers.RATE_PERMITS_PATH,
                permit_handler.PermitHandler,
                permit_arguments,
            ),
        ]

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""
        return [
            self._exchange.run(),
            self._server.run(),
            self._expire_records(),
        ]

    async def _expire_records(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.ledger.expire(self._cluster_state.snapshot)
