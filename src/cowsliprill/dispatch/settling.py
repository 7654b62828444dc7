"""How a new home learns what its forerunner has leased."""

import dataclasses
from collections.abc import Mapping

from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import slot_ledger


class Settling:
    """The statements that a new home has heard about one endpoint.

    A home that has just started, or has just taken the endpoint over, knows
    nothing of its forerunner's leases. Granting from an empty ledger would
    promise slots twice; one would notice refusals with `engine_full` after
    each restart of a home. All old leases are over after one lease time, or
    known as soon as every entry process of the list has stated what it holds.

    Args:
      now: When this home began, seconds.
    """

    def __init__(self, now: float) -> None:
        self.ends_at = now + slot_ledger.LEASE_DURATION_S
        self._stated_by_process: dict[
            tuple[str, str], tuple[str, messages.SlotDemand]
        ] = {}

    def note(self, entry: str, ask: messages.SlotDemand) -> None:
        """Takes a statement; a newer one of the same process replaces it.

        Args:
          entry: Incarnation of the entry process.
          ask: What it says.
        """
        incarnation = identity.Incarnation.parse(entry)
        process = (incarnation.vm, incarnation.process)
        self._stated_by_process[process] = (entry, ask)

    def has_heard_all(self, entries_by_vm: Mapping[str, int]) -> bool:
        """Returns whether every entry process has stated what it holds.

        Args:
          entries_by_vm: Number of entry processes by VM, from the list.
        """
        heard_by_vm: dict[str, int] = {}
        for vm, _ in self._stated_by_process:
            heard_by_vm[vm] = heard_by_vm.get(vm, 0) + 1
        return all(
            heard_by_vm.get(vm, 0) >= count
            for vm, count in entries_by_vm.items()
        )

    def ledger(
        self, endpoint_id: str, slot_count: int, now: float
    ) -> slot_ledger.SlotLedger:
        """Makes a ledger that knows everything that was stated.

        Args:
          endpoint_id: The endpoint.
          slot_count: Slots it has.
          now: Time, seconds.

        Returns:
          The ledger; it may grant at once.
        """
        ledger = slot_ledger.SlotLedger(endpoint_id, slot_count)
        # What entries hold goes first. Were wants met on the way, the first
        # entry would be granted what the last one holds.
        for entry, ask in self._stated_by_process.values():
            ledger.ask(entry, _holding_only(ask), now)
        return ledger


def _holding_only(ask: messages.SlotDemand) -> messages.SlotDemand:
    held = max(ask.held, ask.in_use)
    return dataclasses.replace(ask, want=held, customer_wants=(), sequence=0)
