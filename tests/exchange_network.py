"""Network between the VMs of a test that exchange records, in virtual time."""

import asyncio
import random
from typing import Any

from cowsliprill import codec
from cowsliprill import record_exchange
from cowsliprill.decisions import model
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import errors

_LATENCY_S = 0.02
_NO_ANSWER_S = 0.5


class ExchangeNetwork:
    """Delivers messages between VMs, loses some and counts bytes.

    Args:
      kind: Type of the messages.
      loss: Fraction of the messages that is lost.

    Attributes:
      exchanges_by_vm: The exchange of each VM.
      cut_ids: VMs that no message reaches or leaves.
      old_ids: VMs that don't know the messages.
      sent_bytes: Bytes of all messages and answers.
      calls: Number of messages.
    """

    def __init__(self, kind: type, loss: float = 0.0) -> None:
        self.exchanges_by_vm: dict[str, Any] = {}
        self.cut_ids: set[str] = set()
        self.old_ids: set[str] = set()
        self.sent_bytes = 0
        self.calls = 0
        self._kind = kind
        self._loss = loss
        self._random = random.Random(1)

    def access_of(
        self, vm_id: str, number: int, vms: model.Fleet
    ) -> record_exchange.Network:
        """Returns the access of one VM to its peers.

        Args:
          vm_id: Id of the VM.
          number: Seed of its random numbers.
          vms: The VM list.
        """
        cluster_state = cluster_state_lib.ClusterState()
        cluster_state.fleet = vms
        return record_exchange.Network(
            vm_id=vm_id,
            own_port=lambda: 1,
            cluster_state=cluster_state,
            client=_Client(self, vm_id),
            rng=random.Random(number),
        )

    async def deliver(
        self, sender: str, receiver: str, message: object
    ) -> bytes:
        """Delivers a message and returns the answer."""
        text = codec.encode_without_defaults(message)
        self.calls += 1
        self.sent_bytes += len(text)
        await asyncio.sleep(_LATENCY_S)
        lost = self._random.random() < self._loss
        if lost or {sender, receiver} & self.cut_ids:
            await asyncio.sleep(_NO_ANSWER_S)
            raise errors.CoordinatorError("no answer")
        if receiver in self.old_ids:
            raise errors.CoordinatorError("status 404")
        exchange = self.exchanges_by_vm[receiver]
        response = exchange.handle(codec.decode(self._kind, text))
        answer = codec.encode_without_defaults(response)
        self.sent_bytes += len(answer)
        await asyncio.sleep(_LATENCY_S)
        return answer


class _Client:
    def __init__(self, network: ExchangeNetwork, vm_id: str) -> None:
        self._network = network
        self._vm_id = vm_id

    async def post(self, vm, path, message, timeout_s):
        del path, timeout_s
        return await self._network.deliver(self._vm_id, vm.id, message)


def fleet(size: int) -> model.Fleet:
    """Returns a list of VMs `vm-0`, `vm-1` and so on."""
    return model.Fleet(
        vms_by_id={
            f"vm-{number}": model.Vm(
                id=f"vm-{number}",
                host="10.0.0.1",
                availability_zone="a",
                role=model.VmRole.ENTRY,
                entry_ports=(1,),
            )
            for number in range(size)
        }
    )
