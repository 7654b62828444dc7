"""Slot ledgers of the endpoints that this VM coordinates.

The ledgers belong to the event loop of the dispatch process and aren't
thread-safe.
"""

import dataclasses

from cowsliprill.decisions import coordinator_map
from cowsliprill.decisions import customer_shares
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import slot_ledger
from cowsliprill.dispatch import prefix_change_log
from cowsliprill.dispatch import reclaim_period as reclaim_lib
from cowsliprill.engines import model as engine_model


@dataclasses.dataclass(slots=True)
class CoordinatedEndpoint:
    """State of one endpoint that this VM coordinates.

    Attributes:
      endpoint: The endpoint as configured in the settings.
      ledger: Its slot leases.
      reclaim: Slot demands received since this process became coordinator;
        None once all leases of the previous coordinator are known or expired.
      load_read_at: When the newest load report was requested, in seconds.
      load_report: Newest load report, None before the first.
      prefix_changes: Changes of its prefix cache.
    """

    endpoint: model.Endpoint
    ledger: slot_ledger.SlotLedger
    reclaim: reclaim_lib.ReclaimPeriod | None
    load_read_at: float
    load_report: engine_model.LoadReport | None = None
    prefix_changes: prefix_change_log.PrefixChangeLog = dataclasses.field(
        default_factory=prefix_change_log.PrefixChangeLog
    )


class CoordinatedEndpoints:
    """The endpoints that this VM coordinates, with their slot ledgers.

    Args:
      vm_id: Id of this VM.

    Attributes:
      by_id: State of each coordinated endpoint, by its id.
    """

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._coordinator_map = coordinator_map.CoordinatorMap()
        self._entry_count_by_vm: dict[str, int] = {}
        self.by_id: dict[str, CoordinatedEndpoint] = {}

    def update(
        self, snapshot: model.Snapshot, fleet: model.Fleet, now: float
    ) -> None:
        """Applies new settings or a new VM list.

        Args:
          snapshot: The settings in force.
          fleet: The VM list.
          now: Current time in seconds.
        """
        self._coordinator_map.update(fleet.vms_by_id.values())
        self._coordinator_map.keep_only(snapshot.endpoints_by_id)
        self._entry_count_by_vm = {
            vm.id: len(vm.entry_ports)
            for vm in fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
        }
        shares_by_customer = customer_shares.CustomerShares(
            snapshot.customers_by_id
        )
        states_by_id = {}
        for endpoint in snapshot.endpoints_by_id.values():
            if endpoint.kind is model.EndpointKind.PLAIN:
                continue
            if not self.is_coordinator_of(endpoint.id):
                continue
            state = self._keep_or_create(endpoint, now)
            state.ledger.shares_by_customer = shares_by_customer
            states_by_id[endpoint.id] = state
        self.by_id = states_by_id

    def is_coordinator_of(self, endpoint_id: str) -> bool:
        """Returns whether this VM coordinates an endpoint.

        The newest VM list decides.
        """
        vm = self._coordinator_map.coordinator_of(endpoint_id)
        return vm is not None and vm.id == self._vm_id

    def process_demand(
        self, entry: str, demand: messages.SlotDemand, now: float
    ) -> messages.SlotGrant | None:
        """Processes the slot demand of an entry process for one endpoint.

        Args:
          entry: Incarnation of the entry process.
          demand: Its slot demand.
          now: Current time in seconds.

        Returns:
          The grant, or None if this VM doesn't coordinate the endpoint.
        """
        state = self.by_id.get(demand.endpoint_id)
        if state is None:
            return None
        if state.reclaim is not None:
            state.reclaim.record(entry, demand)
            self._end_reclaim_if_complete(state, now)
        return state.ledger.ask(entry, demand, now)

    def regrant(self, now: float) -> list[tuple[str, messages.SlotGrant]]:
        """Returns the grants to push to entry processes with long polls.

        Args:
          now: Current time in seconds.

        Returns:
          Pairs of entry process and its current grant.
        """
        changed = []
        for state in self.by_id.values():
            changed.extend(state.ledger.regrant(now))
        return changed

    def with_endpoint_updates(
        self, entry: str, grant: messages.SlotGrant, now: float
    ) -> messages.SlotGrant:
        """Adds load report age and prefix cache updates to a grant.

        Args:
          entry: Incarnation of the entry process that receives the grant.
          grant: The grant.
          now: Current time in seconds.

        Returns:
          A copy of the grant with the updates, or the grant itself if this VM
          doesn't coordinate the endpoint.
        """
        state = self.by_id.get(grant.endpoint_id)
        if state is None:
            return grant
        update = state.prefix_changes.update_for(entry)
        return dataclasses.replace(
            grant,
            report_age_s=now - state.load_read_at,
            prefix_hashes=update.stored,
            prefix_hashes_gone=update.evicted,
            prefix_epoch=update.epoch,
        )

    def is_reclaiming(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint is in its reclaim period."""
        state = self.by_id.get(endpoint_id)
        if state is None or state.reclaim is None:
            return False
        return now < state.reclaim.ends_at

    def next_expiry(self) -> float | None:
        """Returns when the next lease of any endpoint expires, if any."""
        times = [state.ledger.next_expiry() for state in self.by_id.values()]
        return min((at for at in times if at is not None), default=None)

    def _keep_or_create(
        self, endpoint: model.Endpoint, now: float
    ) -> CoordinatedEndpoint:
        state = self.by_id.get(endpoint.id)
        if state is not None and state.endpoint.slots == endpoint.slots:
            state.endpoint = endpoint
            return state
        reclaim = reclaim_lib.ReclaimPeriod(now)
        ledger = slot_ledger.SlotLedger(
            endpoint.id, endpoint.slots, reclaim_until=reclaim.ends_at
        )
        return CoordinatedEndpoint(endpoint, ledger, reclaim, load_read_at=now)

    def _end_reclaim_if_complete(
        self, state: CoordinatedEndpoint, now: float
    ) -> None:
        reclaim = state.reclaim
        assert reclaim is not None
        if now >= reclaim.ends_at:
            state.reclaim = None
        elif reclaim.is_complete(self._entry_count_by_vm):
            shares_by_customer = state.ledger.shares_by_customer
            endpoint = state.endpoint
            state.ledger = reclaim.build_ledger(
                endpoint.id, endpoint.slots, now
            )
            state.ledger.shares_by_customer = shares_by_customer
            state.reclaim = None
