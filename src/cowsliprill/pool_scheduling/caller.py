"""Calls to pool coordinators, in this process or over the network."""

import dataclasses

from cowsliprill import codec
from cowsliprill import peers
from cowsliprill.decisions import model
from cowsliprill.entry import coordinator_client
from cowsliprill.pool_scheduling import server as server_lib
from cowsliprill.pool_scheduling import wire


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorCaller:
    """Sends scheduling messages to coordinators.

    Attributes:
      vm_id: Id of this VM.
      local: The pool schedulers hosted by this process.
      client: Sends messages to other VMs.
    """

    vm_id: str
    local: server_lib.PoolSchedulerServer
    client: coordinator_client.CoordinatorClient

    async def post(
        self, vm: model.Vm, request: wire.SchedulingRequest, timeout_s: float
    ) -> wire.SchedulingResponse:
        """Sends a message to a coordinator.

        Args:
          vm: VM of the coordinator.
          request: The message.
          timeout_s: Timeout of the whole call in seconds.

        Returns:
          The coordinator's response.

        Raises:
          errors.CowsliprillError: The call failed or its response is invalid.
        """
        if vm.id == self.vm_id:
            return await self.local.handle(request)
        text = await self.client.post(vm, peers.CELLS_PATH, request, timeout_s)
        return codec.decode(wire.SchedulingResponse, text)
