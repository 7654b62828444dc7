"""Calls to the homes of pools, in this process or over the network."""

import dataclasses

from cowsliprill import codec
from cowsliprill import peers
from cowsliprill.cells import homes as homes_lib
from cowsliprill.cells import wire
from cowsliprill.decisions import model
from cowsliprill.entry import home_client


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorCaller:
    """Calls homes.

    Attributes:
      vm_id: Id of this VM.
      local: The cells that this process is home to.
      client: Calls the other VMs.
    """

    vm_id: str
    local: homes_lib.Homes
    client: home_client.HomeClient

    async def post(
        self, vm: model.Vm, request: wire.SchedulingRequest, timeout_s: float
    ) -> wire.SchedulingResponse:
        """Sends a message to a home.

        Args:
          vm: The home.
          request: The message.
          timeout_s: Time for the whole call.

        Returns:
          Its answer.

        Raises:
          errors.CowsliprillError: There was no usable answer.
        """
        if vm.id == self.vm_id:
            return await self.local.handle(request)
        text = await self.client.post(vm, peers.CELLS_PATH, request, timeout_s)
        return codec.decode(wire.SchedulingResponse, text)
