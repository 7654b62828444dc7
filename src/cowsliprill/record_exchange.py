"""Exchange of records between the processes of all VMs.

Changes are pushed to about ln n random peers, each of which passes on what is
new to it. While a process has records, it also compares them with a random peer
at intervals, so that lost messages, restarts and partitions are made good. A
process that has just started compares with the peers that it finds.
"""

import abc
import asyncio
import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Hashable
from collections.abc import Sequence
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill.decisions import leaving_notices
from cowsliprill.decisions import model
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import coordinator_client

_CALL_TIMEOUT_S = 0.5

# Changes within this time are sent together: an engine that ends loses several
# requests at once.
_PUSH_DELAY_S = 0.02

_TICK_S = 0.5
# Shorter until a peer has answered: a process that has just started doesn't
# know yet what the others restrict.
_FIRST_TICK_S = 0.1

# Interval between two comparisons, shorter after the start and after a change.
_COMPARE_INTERVAL_S = 5.0
_COMPARE_INTERVAL_FRESH_S = 0.5
_FRESH_S = 6.0


class _Record(Protocol):
    @property
    def key(self) -> Hashable:
        """Identifies the record in the tables of all VMs."""


class _Message(Protocol):
    digest: str


_RecordT = TypeVar("_RecordT", bound=_Record)
_MessageT = TypeVar("_MessageT", bound=_Message)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Network:
    """Access to the peers.

    Attributes:
      vm_id: Id of this VM.
      own_port: Returns the peer port of this process.
      cluster_state: Current settings and VM list.
      client: Sends messages to peers.
      rng: Chooses peers.
    """

    vm_id: str
    own_port: Callable[[], int]
    cluster_state: cluster_state_lib.ClusterState
    client: coordinator_client.CoordinatorClient
    rng: random.Random

    def peers(self) -> dict[str, model.Vm]:
        """Returns the other processes by name, each as a VM with one port."""
        own = (self.vm_id, self.own_port())
        return {
            f"{vm.id}:{port}": dataclasses.replace(vm, dispatch_port=port)
            for vm in self.cluster_state.fleet.vms_by_id.values()
            for port in vm.entry_ports
            if (vm.id, port) != own
        }


class RecordExchange(abc.ABC, Generic[_RecordT, _MessageT]):
    """Sends and receives the records of one table.

    Args:
      path: Path of the exchange.
      message_type: Data class of request and response.
      network: Access to the peers.
    """

    def __init__(
        self, path: str, message_type: type[_MessageT], network: Network
    ) -> None:
        self._path = path
        self._message_type = message_type
        self._network = network
        self._unsent_by_key: dict[Hashable, _RecordT] = {}
        self._push_timer: asyncio.TimerHandle | None = None
        self._calls: set[asyncio.Task[object]] = set()
        self._fresh_until = math.inf
        self._compared_at = -math.inf
        self._has_compared = False

    @abc.abstractmethod
    def _records(self) -> Sequence[_RecordT]:
        """Returns all records."""

    @abc.abstractmethod
    def _digest(self) -> str:
        """Returns a digest that is equal for equal tables."""

    @abc.abstractmethod
    def _merge(self, message: _MessageT) -> None:
        """Adds the records of a peer to the table."""

    @abc.abstractmethod
    def _message(
        self, records: Sequence[_RecordT], digest: str = ""
    ) -> _MessageT:
        """Returns a message with records."""

    @abc.abstractmethod
    def _report_failure(self, peer: model.Vm, reason: str) -> None:
        """Logs that a peer gave no valid answer."""

    async def run(self) -> None:
        """Compares the records with those of peers until cancelled."""
        self._fresh_until = clock.now() + _FRESH_S
        while True:
            await asyncio.sleep(
                _TICK_S if self._has_compared else _FIRST_TICK_S
            )
            if self._is_comparison_due(clock.now()):
                self._compare_with_peer()

    def handle(self, message: _MessageT) -> _MessageT:
        """Merges the records of a peer and returns those that it may lack."""
        self._merge(message)
        digest = self._digest()
        if not message.digest or message.digest == digest:
            return self._message([], digest)
        return self._message(self._records(), digest)

    def push(self, changed: Sequence[_RecordT]) -> None:
        """Sends changed records to some peers, after a short delay."""
        if not changed:
            return
        self._fresh_until = clock.now() + _FRESH_S
        self._unsent_by_key.update({item.key: item for item in changed})
        if self._push_timer is None:
            loop = asyncio.get_running_loop()
            self._push_timer = loop.call_later(_PUSH_DELAY_S, self._push)

    def _is_comparison_due(self, now: float) -> bool:
        fresh = now < self._fresh_until
        if not fresh and not self._records():
            return False
        interval_s = _COMPARE_INTERVAL_FRESH_S if fresh else _COMPARE_INTERVAL_S
        return now - self._compared_at >= interval_s

    def _push(self) -> None:
        self._push_timer = None
        message = self._message(list(self._unsent_by_key.values()))
        self._unsent_by_key = {}
        addresses = self._network.peers()
        fanout = leaving_notices.gossip_fanout(len(addresses))
        for peer in leaving_notices.sample_peers(
            addresses, fanout, self._network.rng
        ):
            self._start(self._send(addresses[peer], message))

    def _compare_with_peer(self) -> None:
        addresses = self._network.peers()
        if not addresses:
            return
        self._compared_at = clock.now()
        for peer in leaving_notices.sample_peers(
            addresses, 1, self._network.rng
        ):
            self._start(self._compare(addresses[peer]))

    async def _compare(self, peer: model.Vm) -> None:
        response = await self._send(peer, self._message([], self._digest()))
        if response is None:
            return
        self._has_compared = True
        self._merge(response)
        if response.digest != self._digest():
            await self._send(peer, self._message(self._records()))

    async def _send(
        self, peer: model.Vm, message: _MessageT
    ) -> _MessageT | None:
        try:
            text = await self._network.client.post(
                peer, self._path, message, _CALL_TIMEOUT_S
            )
            return codec.decode(self._message_type, text)
        except errors.CowsliprillError as error:
            self._report_failure(peer, error.message)
            return None

    def _start(self, call: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
