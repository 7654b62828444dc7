"""Composition of the parts that quarantine requests in one process."""

from collections.abc import Awaitable

from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import peer_handler
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import quarantine
from cowsliprill.engines import http_client
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import request_quarantine
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.quarantine import crash_detector
from cowsliprill.quarantine import ledger as ledger_lib
from cowsliprill.quarantine import peer_exchange
from cowsliprill.quarantine import wire


class QuarantineComponents:
    """Crash records, their detection and exchange, and the check of requests.

    Args:
      environment: Configuration of the process.
      cluster_state: Current settings and VM list.
      http: HTTP client for endpoints and peers.
      auth: Verifies messages of peers.
      network: Access to the peers.
      log: Log of the process.
      metrics: Metrics of the process.
      lists_ends: Whether endpoints that have ended disappear from the settings.

    Attributes:
      ledger: The crash records of this process.
      check: Interface for the filters that send requests to engines.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        cluster_state: cluster_state_lib.ClusterState,
        http: http_client.HttpClient,
        auth: peer_auth.PeerAuth,
        network: record_exchange.Network,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        *,
        lists_ends: bool,
    ) -> None:
        limits = environment.quarantine_limits()
        self._auth = auth
        self.ledger = ledger_lib.CrashLedger(
            quarantine.Quarantine(limits), log, metrics
        )
        self._detector = crash_detector.CrashDetector(
            self.ledger, cluster_state, http, log, lists_ends=lists_ends
        )
        self._exchange = peer_exchange.PeerExchange(
            network, self.ledger, self._detector.can_be_ended, log
        )
        self.check: request_quarantine.RequestQuarantine = (
            request_quarantine.Disabled()
        )
        disabled = environment.mechanisms_off
        if mechanisms.Mechanism.QUARANTINE not in disabled:
            self.check = request_quarantine.LedgerQuarantine(
                self.ledger, self._detector, log
            )

    def cluster_state_changed(self) -> None:
        """Applies new settings and a new VM list."""
        self._detector.cluster_state_changed()

    def set_limits(self, limits: quarantine.Limits) -> None:
        """Applies new limits."""
        self.ledger.set_limits(limits)

    def peer_routes(self) -> list[tuple]:
        """Returns the tornado routes of the peer port."""
        arguments = {
            "auth": self._auth,
            "kind": wire.CrashExchange,
            "respond": self._exchange.handle,
        }
        return [(peers.CRASHES_PATH, peer_handler.MessageHandler, arguments)]

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""
        return [self._detector.run(), self._exchange.run()]
