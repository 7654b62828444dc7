"""Exchange of leaving endpoints between the processes of all VMs."""

from collections.abc import Sequence

from cowsliprill import clock
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.availability import ledger as ledger_lib
from cowsliprill.availability import wire
from cowsliprill.decisions import leaving_endpoints
from cowsliprill.decisions import model
from cowsliprill.observability import log as log_lib


class PeerExchange(
    record_exchange.RecordExchange[
        leaving_endpoints.LeavingEndpoint, wire.LeavingExchange
    ]
):
    """Sends and receives which endpoints leave.

    Args:
      network: Access to the peers.
      ledger: Endpoints that leave, as known to this process.
      log: Log of the process.
    """

    def __init__(
        self,
        network: record_exchange.Network,
        ledger: ledger_lib.AvailabilityLedger,
        log: log_lib.Log,
    ) -> None:
        super().__init__(
            peers.LEAVING_ENDPOINTS_PATH, wire.LeavingExchange, network
        )
        self._cluster_state = network.cluster_state
        self._ledger = ledger
        self._log = log
        ledger.subscribe_leaving(self.push)

    def _records(self) -> Sequence[leaving_endpoints.LeavingEndpoint]:
        return list(self._ledger.leaving)

    def _digest(self) -> str:
        return self._ledger.leaving.digest()

    def _merge(self, message: wire.LeavingExchange) -> None:
        now = clock.now()
        self._ledger.merge_leaving(
            [wire.from_wire(record, now) for record in message.leaving],
            self._cluster_state.snapshot,
        )

    def _message(
        self,
        records: Sequence[leaving_endpoints.LeavingEndpoint],
        digest: str = "",
    ) -> wire.LeavingExchange:
        now = clock.now()
        return wire.LeavingExchange(
            leaving=tuple(wire.to_wire(record, now) for record in records),
            digest=digest,
        )

    def _report_failure(self, peer: model.Vm, reason: str) -> None:
        self._log.event("leaving_exchange_failed", peer=peer.id, reason=reason)
