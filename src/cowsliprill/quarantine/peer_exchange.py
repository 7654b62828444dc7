"""Exchange of crash records between the processes of all VMs.

Changes are pushed to about ln n random peers, each of which passes on what is
new to it. While a process has records, it also compares them with a random peer
at intervals, so that lost messages, restarts and partitions are made good. A
process that has just started compares with the peers that it finds.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill import peers
from cowsliprill.decisions import crash_records
from cowsliprill.decisions import leaving_notices
from cowsliprill.decisions import model
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import coordinator_client
from cowsliprill.observability import log as log_lib
from cowsliprill.quarantine import ledger as ledger_lib
from cowsliprill.quarantine import wire

_CALL_TIMEOUT_S = 0.5

# Changes within this time are sent together: an engine that ends loses several
# requests at once.
_PUSH_DELAY_S = 0.02

_TICK_S = 0.5

# Interval between two comparisons, shorter after the start and after a change.
_COMPARE_INTERVAL_S = 5.0
_COMPARE_INTERVAL_FRESH_S = 0.5
_FRESH_S = 6.0


class PeerExchange:
    """Sends and receives crash records.

    Args:
      vm_id: Id of this VM.
      own_port: Returns the peer port of this process.
      ledger: Crash records of this process.
      accept: Returns whether a confirmation by a peer agrees with the local
        settings; otherwise the record counts as unconfirmed here.
      cluster_state: Current settings and VM list.
      client: Sends messages to peers.
      log: Log of the process.
      rng: Chooses peers.
    """

    def __init__(
        self,
        vm_id: str,
        own_port: Callable[[], int],
        ledger: ledger_lib.CrashLedger,
        accept: Callable[[crash_records.CrashRecord], bool],
        cluster_state: cluster_state_lib.ClusterState,
        client: coordinator_client.CoordinatorClient,
        log: log_lib.Log,
        rng: random.Random,
    ) -> None:
        self._vm_id = vm_id
        self._own_port = own_port
        self._ledger = ledger
        self._accept = accept
        self._cluster_state = cluster_state
        self._client = client
        self._log = log
        self._random = rng
        self._unsent_by_key: dict[
            crash_records.CrashKey, crash_records.CrashRecord
        ] = {}
        self._push_timer: asyncio.TimerHandle | None = None
        self._calls: set[asyncio.Task[object]] = set()
        self._fresh_until = math.inf
        self._compared_at = -math.inf
        ledger.subscribe(self._queue)

    async def run(self) -> None:
        """Compares the records with those of peers until cancelled."""
        self._fresh_until = clock.now() + _FRESH_S
        while True:
            await asyncio.sleep(_TICK_S)
            if self._is_comparison_due(clock.now()):
                self._compare_with_peer()

    def handle(self, message: wire.CrashExchange) -> wire.CrashExchange:
        """Merges the records of a peer and returns those that it may lack."""
        self._merge(message)
        digest = self._ledger.table.digest()
        if not message.digest or message.digest == digest:
            return wire.CrashExchange(digest=digest)
        return self._message(list(self._ledger.table), digest)

    def _is_comparison_due(self, now: float) -> bool:
        fresh = now < self._fresh_until
        if not fresh and not len(self._ledger.table):
            return False
        interval_s = _COMPARE_INTERVAL_FRESH_S if fresh else _COMPARE_INTERVAL_S
        return now - self._compared_at >= interval_s

    def _queue(self, changed: Sequence[crash_records.CrashRecord]) -> None:
        if not changed:
            return
        self._fresh_until = clock.now() + _FRESH_S
        self._unsent_by_key.update({item.key: item for item in changed})
        if self._push_timer is None:
            loop = asyncio.get_running_loop()
            self._push_timer = loop.call_later(_PUSH_DELAY_S, self._push)

    def _push(self) -> None:
        self._push_timer = None
        message = self._message(list(self._unsent_by_key.values()))
        self._unsent_by_key = {}
        addresses = self._peers()
        fanout = leaving_notices.gossip_fanout(len(addresses))
        for peer in leaving_notices.sample_peers(
            addresses, fanout, self._random
        ):
            self._start(self._send(addresses[peer], message))

    def _compare_with_peer(self) -> None:
        self._compared_at = clock.now()
        addresses = self._peers()
        for peer in leaving_notices.sample_peers(addresses, 1, self._random):
            self._start(self._compare(addresses[peer]))

    async def _compare(self, peer: model.Vm) -> None:
        table = self._ledger.table
        request = wire.CrashExchange(digest=table.digest())
        response = await self._send(peer, request)
        if response is None:
            return
        self._merge(response)
        if response.digest != table.digest():
            await self._send(peer, self._message(list(table)))

    async def _send(
        self, peer: model.Vm, message: wire.CrashExchange
    ) -> wire.CrashExchange | None:
        try:
            text = await self._client.post(
                peer, peers.CRASHES_PATH, message, _CALL_TIMEOUT_S
            )
            return codec.decode(wire.CrashExchange, text)
        except errors.CowsliprillError as error:
            self._log.event(
                "crash_exchange_failed", peer=peer.id, reason=error.message
            )
            return None

    def _start(self, call: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

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

    def _peers(self) -> dict[str, model.Vm]:
        """Returns the other processes by name, each as a VM with one port."""
        own = (self._vm_id, self._own_port())
        return {
            f"{vm.id}:{port}": dataclasses.replace(vm, dispatch_port=port)
            for vm in self._cluster_state.fleet.vms_by_id.values()
            for port in vm.entry_ports
            if (vm.id, port) != own
        }
