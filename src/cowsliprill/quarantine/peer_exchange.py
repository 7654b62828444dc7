"""Exchange of crash records between the processes of all VMs."""

import dataclasses
from collections.abc import Callable
from collections.abc import Sequence

from cowsliprill import clock
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.decisions import crash_records
from cowsliprill.decisions import model
from cowsliprill.observability import log as log_lib
from cowsliprill.quarantine import ledger as ledger_lib
from cowsliprill.quarantine import wire


class PeerExchange(
    record_exchange.RecordExchange[
        crash_records.CrashRecord, wire.CrashExchange
    ]
):
    """Sends and receives crash records.

    Args:
      network: Access to the peers.
      ledger: Crash records of this process.
      accept: Returns whether a confirmation by a peer agrees with the local
        settings; otherwise the record counts as unconfirmed here.
      log: Log of the process.
    """

    def __init__(
        self,
        network: record_exchange.Network,
        ledger: ledger_lib.CrashLedger,
        accept: Callable[[crash_records.CrashRecord], bool],
        log: log_lib.Log,
    ) -> None:
        super().__init__(peers.CRASHES_PATH, wire.CrashExchange, network)
        self._ledger = ledger
        self._accept = accept
        self._log = log
        ledger.subscribe(self.push)

    def _records(self) -> Sequence[crash_records.CrashRecord]:
        return list(self._ledger.table)

    def _digest(self) -> str:
        return self._ledger.table.digest()

    def _merge(self, message: wire.CrashExchange) -> None:
        now = clock.now()
        records = [wire.from_wire(crash, now) for crash in message.crashes]
        self._ledger.merge(
            record
            if not record.confirmed or self._accept(record)
            else dataclasses.replace(record, confirmed=False)
            for record in records
        )

    def _message(
        self, records: Sequence[crash_records.CrashRecord], digest: str = ""
    ) -> wire.CrashExchange:
        now = clock.now()
        return wire.CrashExchange(
            crashes=tuple(wire.to_wire(record, now) for record in records),
            digest=digest,
        )

    def _report_failure(self, peer: model.Vm, reason: str) -> None:
        self._log.event("crash_exchange_failed", peer=peer.id, reason=reason)
