"""Reclaim period in which a new coordinator learns the existing leases."""

import dataclasses
from collections.abc import Mapping

from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import slot_ledger


class ReclaimPeriod:
    """Slot demands that a new coordinator has received for one endpoint.

    A coordinator that has just started, or has just taken the endpoint over,
    doesn't know the leases of the previous coordinator. Grants from an empty
    ledger would lease slots twice, and engines would refuse requests with
    `engine_full` after each restart of a coordinator. The period ends after
    one lease duration, when all old leases have expired, or as soon as every
    entry process in the VM list has reported the slots that it holds.

    Args:
      now: When this process became coordinator, in seconds.

    Attributes:
      ends_at: When the period ends at the latest, in seconds.
    """

    def __init__(self, now: float) -> None:
        self.ends_at = now + slot_ledger.LEASE_DURATION_S
        self._demand_by_process: dict[
            tuple[str, str], tuple[str, messages.SlotDemand]
        ] = {}

    def record(self, entry: str, demand: messages.SlotDemand) -> None:
        """Records a demand, replacing an earlier one of the same process.

        Args:
          entry: Incarnation of the entry process.
          demand: Its slot demand, which includes the slots that it holds.
        """
        incarnation = identity.Incarnation.parse(entry)
        process = (incarnation.vm, incarnation.process)
        self._demand_by_process[process] = (entry, demand)

    def is_complete(self, entry_count_by_vm: Mapping[str, int]) -> bool:
        """Returns whether every entry process has reported its slots.

        Args:
          entry_count_by_vm: Number of entry processes by VM, from the VM list.
        """
        reported_by_vm: dict[str, int] = {}
        for vm, _ in self._demand_by_process:
            reported_by_vm[vm] = reported_by_vm.get(vm, 0) + 1
        return all(
            reported_by_vm.get(vm, 0) >= count
            for vm, count in entry_count_by_vm.items()
        )

    def build_ledger(
        self, endpoint_id: str, slot_count: int, now: float
    ) -> slot_ledger.SlotLedger:
        """Builds a ledger with all slots that entry processes hold.

        Args:
          endpoint_id: Id of the endpoint.
          slot_count: Number of slots of the endpoint.
          now: Current time in seconds.

        Returns:
          The ledger, which may grant further slots at once.
        """
        ledger = slot_ledger.SlotLedger(endpoint_id, slot_count)
        # Held slots are recorded before any new demand is met. Otherwise the
        # first entry process could be granted slots that the last one holds.
        for entry, demand in self._demand_by_process.values():
            ledger.ask(entry, _held_only(demand), now)
        return ledger


def _held_only(demand: messages.SlotDemand) -> messages.SlotDemand:
    held = max(demand.held, demand.in_use)
    return dataclasses.replace(demand, want=held, customer_wants=(), sequence=0)
