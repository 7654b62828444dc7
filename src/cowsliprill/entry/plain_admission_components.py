"""Composition of the parts that admit plain calls fairly under overload."""

import asyncio
import random
from collections.abc import Awaitable

from cowsliprill import peer_auth
from cowsliprill import peer_handler
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.entry import plain_call_admission
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.plain_admission import client as client_lib
from cowsliprill.plain_admission import server as server_lib
from cowsliprill.plain_admission import wire

_EXPIRY_INTERVAL_S = 1.0


class PlainAdmissionComponents:
    """Reports of plain calls, the coordinator's verdicts, and admission.

    Args:
      process_id: Id of this process, different after each restart.
      auth: Verifies messages of peers.
      network: Access to the peers.
      log: Log of the process.
      metrics: Metrics of the process.
      rng: Spreads the times at which callers may come back.
      enabled: Whether calls are counted and limited. A process where they
        aren't still answers the reports of others.

    Attributes:
      calls: Interface for the filter that places plain calls.
    """

    def __init__(
        self,
        process_id: str,
        auth: peer_auth.PeerAuth,
        network: record_exchange.Network,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
        *,
        enabled: bool,
    ) -> None:
        self._auth = auth
        self._server = server_lib.AdmissionServer(network, log, metrics)
        self._client = client_lib.AdmissionClient(
            process_id, network, self._server, log, rng
        )
        self.calls: plain_call_admission.PlainCallAdmission = (
            plain_call_admission.AdmitAll()
        )
        if enabled:
            self.calls = plain_call_admission.FairAdmission(
                self._client, network.cluster_state, log, metrics
            )

    def cluster_state_changed(self) -> None:
        """Applies new settings."""
        self._client.update()

    def peer_routes(self) -> list[tuple]:
        """Returns the tornado routes of the peer port."""
        arguments = {
            "auth": self._auth,
            "kind": wire.CallReport,
            "respond": self._server.handle,
        }
        return [
            (
                peers.PLAIN_REPORTS_PATH,
                peer_handler.MessageHandler,
                arguments,
            )
        ]

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""
        return [self._client.run(), self._expire()]

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self._server.expire()
