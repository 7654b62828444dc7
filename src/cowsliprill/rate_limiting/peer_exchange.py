"""Exchange of endpoints' rate limits between the processes of all VMs."""

from collections.abc import Sequence

from cowsliprill import clock
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.decisions import model
from cowsliprill.decisions import rate_limits
from cowsliprill.observability import log as log_lib
from cowsliprill.rate_limiting import ledger as ledger_lib
from cowsliprill.rate_limiting import wire


class PeerExchange(
    record_exchange.RecordExchange[rate_limits.RateLimit, wire.LimitExchange]
):
    """Sends and receives rate limits.

    Args:
      network: Access to the peers.
      ledger: Rate limits known to this process.
      log: Log of the process.
    """

    def __init__(
        self,
        network: record_exchange.Network,
        ledger: ledger_lib.RateLimitLedger,
        log: log_lib.Log,
    ) -> None:
        super().__init__(peers.RATE_LIMITS_PATH, wire.LimitExchange, network)
        self._ledger = ledger
        self._log = log
        ledger.subscribe(self.push)

    def _records(self) -> Sequence[rate_limits.RateLimit]:
        return list(self._ledger.table)

    def _digest(self) -> str:
        return self._ledger.table.digest()

    def _merge(self, message: wire.LimitExchange) -> None:
        now = clock.now()
        self._ledger.merge(
            wire.from_wire(limit, now) for limit in message.limits
        )

    def _message(
        self, records: Sequence[rate_limits.RateLimit], digest: str = ""
    ) -> wire.LimitExchange:
        now = clock.now()
        return wire.LimitExchange(
            limits=tuple(wire.to_wire(record, now) for record in records),
            digest=digest,
        )

    def _report_failure(self, peer: model.Vm, reason: str) -> None:
        self._log.event(
            "rate_limit_exchange_failed", peer=peer.id, reason=reason
        )
