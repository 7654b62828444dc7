"""Client that leases endpoint slots from the endpoints' coordinators.

Each coordinator has at most one outstanding call, whatever the request rate.
A call carries complete slot demands of this process, not differences, for the
coordinator's endpoints.
"""

import asyncio
import dataclasses

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill import peers
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.dispatch import messages as slot_messages
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import leases as leases_lib
from cowsliprill.entry import scheduler_task as scheduler_task_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

# How long a coordinator may hold a long poll open while it has nothing to
# grant.
_LONG_POLL_TIMEOUT_S = 0.5
_RESPONSE_TIMEOUT_S = 1.0
# Newer demands wait this long for the response to the previous call and then
# supersede that call, which the coordinator may be holding open.
_SUPERSEDE_DELAY_S = 0.01
_MAX_RENEWAL_INTERVAL_S = 1.0
_MIN_RENEWAL_INTERVAL_S = 0.05
_ERROR_BACKOFF_S = 0.25


@dataclasses.dataclass(slots=True)
class _Coordinator:
    vm: model.Vm
    pending_demands_by_endpoint: dict[str, messages.SlotDemand] = (
        dataclasses.field(default_factory=dict)
    )
    has_pending: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    task: asyncio.Task | None = None
    reachable: bool = True


class SlotLeaseClient:
    """Acquires, renews and returns this process's slot leases.

    Args:
      incarnation: Incarnation of this process.
      coordinators: Sends requests to coordinators.
      scheduling: Runs the scheduler: receives grants and produces the slot
        demands.
      leases: Stores the expiry times of the leases.
      cluster_state: The current settings snapshot and VM list.
      metrics: The process's metrics.
      log: The process's log.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        coordinators: coordinator_client.CoordinatorClient,
        scheduling: scheduler_task_lib.Scheduling,
        leases: leases_lib.LeaseTable,
        cluster_state: cluster_state_lib.ClusterState,
        metrics: metrics_lib.Metrics,
        log: log_lib.Log,
    ) -> None:
        self._entry = str(incarnation)
        self._coordinators = coordinators
        self._scheduling = scheduling
        self._leases = leases
        self._cluster_state = cluster_state
        self._metrics = metrics
        self._log = log
        self._coordinators_by_vm: dict[str, _Coordinator] = {}

    async def run(self) -> None:
        """Sends the scheduler's slot demands and renews the leases, forever."""
        renewal_task = asyncio.create_task(self._renew_leases())
        try:
            while True:
                for demand in await self._scheduling.slot_demands.get():
                    self._enqueue(demand)
        finally:
            renewal_task.cancel()
            for coordinator in self._coordinators_by_vm.values():
                coordinator.task.cancel()

    async def _renew_leases(self) -> None:
        while True:
            now = clock.now()
            expires_at = self._leases.earliest_expiry(now)
            renewal_interval_s = (
                _MAX_RENEWAL_INTERVAL_S
                if expires_at is None
                else (expires_at - now) / 2
            )
            await asyncio.sleep(
                min(
                    max(renewal_interval_s, _MIN_RENEWAL_INTERVAL_S),
                    _MAX_RENEWAL_INTERVAL_S,
                )
            )
            self._remove_stale_coordinators()
            self._leases.confirm_fallbacks(clock.now())
            self._scheduling.renew()

    def _remove_stale_coordinators(self) -> None:
        vms_by_id = self._cluster_state.fleet.vms_by_id
        for vm_id in self._coordinators_by_vm.keys() - vms_by_id.keys():
            self._coordinators_by_vm.pop(vm_id).task.cancel()

    async def release_leases(self) -> None:
        """Returns all leases to the coordinators; call last at shutdown."""
        demands_by_vm = self._group_by_coordinator(
            [
                messages.SlotDemand(endpoint_id=endpoint_id, in_use=0, want=0)
                for endpoint_id in self._leases.endpoint_ids()
            ]
        )
        calls = [
            self._call(vm, demands, 0.0)
            for vm, demands in demands_by_vm.values()
        ]
        await asyncio.gather(*calls, return_exceptions=True)

    def _enqueue(self, demand: messages.SlotDemand) -> None:
        # Sends the scheduler's own demand rather than one built at sending
        # time: the scheduler tracks each demand by sequence number, and would
        # give granted slots back if one of them were never sent.
        vm = self._cluster_state.coordinator_of(demand.endpoint_id)
        if vm is None:
            self._use_fallback_share((demand.endpoint_id,))
            return
        coordinator = self._coordinators_by_vm.get(vm.id)
        if coordinator is None:
            coordinator = _Coordinator(vm)
            coordinator.task = asyncio.create_task(
                self._send_pending(coordinator)
            )
            self._coordinators_by_vm[vm.id] = coordinator
        coordinator.vm = vm
        coordinator.pending_demands_by_endpoint[demand.endpoint_id] = demand
        coordinator.has_pending.set()

    async def _send_pending(self, coordinator: _Coordinator) -> None:
        while True:
            await coordinator.has_pending.wait()
            coordinator.has_pending.clear()
            demands = list(coordinator.pending_demands_by_endpoint.values())
            coordinator.pending_demands_by_endpoint.clear()
            await self._send_demands(coordinator, demands)

    async def _send_demands(
        self, coordinator: _Coordinator, demands: list[messages.SlotDemand]
    ) -> None:
        needs_more_slots = any(
            demand.want > demand.in_use for demand in demands
        )
        call = asyncio.create_task(
            self._call(
                coordinator.vm,
                demands,
                _LONG_POLL_TIMEOUT_S if needs_more_slots else 0.0,
            )
        )
        try:
            await self._wait_until_superseded(coordinator, call)
            if call.done():
                self._apply_response(coordinator, call.result())
                return
            # Demands that no newer one replaces are sent again; the
            # coordinator recognizes repeated demands by sequence number.
            for demand in demands:
                coordinator.pending_demands_by_endpoint.setdefault(
                    demand.endpoint_id, demand
                )
        except errors.CowsliprillError as error:
            await self._handle_failure(coordinator, demands, error)
        finally:
            call.cancel()

    async def _wait_until_superseded(
        self, coordinator: _Coordinator, call: asyncio.Task
    ) -> None:
        has_pending = asyncio.create_task(coordinator.has_pending.wait())
        try:
            await asyncio.wait(
                [call, has_pending], return_when=asyncio.FIRST_COMPLETED
            )
            if not call.done():
                await asyncio.wait([call], timeout=_SUPERSEDE_DELAY_S)
        finally:
            has_pending.cancel()

    async def _call(
        self, vm: model.Vm, demands: list[messages.SlotDemand], wait_s: float
    ) -> slot_messages.SlotsResponse:
        for demand in demands:
            labels = {"endpoint": demand.endpoint_id, "state": "in_use"}
            self._metrics.slots.set(labels, demand.in_use)
        request = slot_messages.SlotsRequest(
            entry=self._entry, asks=tuple(demands), wait_s=wait_s
        )
        # The expiry is computed from the time before the call, so that the
        # lease ends here before it ends at the coordinator, however long the
        # response took.
        sent_at = clock.now()
        response_body = await self._coordinators.post(
            vm, peers.SLOTS_PATH, request, wait_s + _RESPONSE_TIMEOUT_S
        )
        response = codec.decode(slot_messages.SlotsResponse, response_body)
        for grant in response.grants:
            self._apply_grant(grant, sent_at)
        return response

    def _apply_grant(
        self, wire: slot_messages.WireGrant, sent_at: float
    ) -> None:
        grant = messages.SlotGrant(
            endpoint_id=wire.endpoint_id,
            slots=wire.slots,
            expires_at=sent_at + wire.expires_in_s,
            report_age_s=wire.report_age_s,
            waiting=wire.waiting,
            prefix_hashes=wire.prefix_hashes,
            prefix_hashes_gone=wire.prefix_hashes_gone,
            prefix_epoch=wire.prefix_epoch,
            used=wire.used,
            sequence=wire.sequence,
        )
        self._leases.grant(grant, clock.now())
        labels = {"endpoint": wire.endpoint_id, "state": "granted"}
        self._metrics.slots.set(labels, wire.slots)
        self._scheduling.post(grant)

    def _apply_response(
        self, coordinator: _Coordinator, response: slot_messages.SlotsResponse
    ) -> None:
        if not coordinator.reachable:
            self._log.event("home_reachable", vm=coordinator.vm.id)
        coordinator.reachable = True
        # A new coordinator can't grant slots for the duration of one lease.
        # Waiting for that would refuse callers at each restart of a VM, so
        # the scheduler uses its small fallback share meanwhile.
        endpoint_ids_without_grant = (*response.not_home, *response.unsettled)
        if endpoint_ids_without_grant:
            self._use_fallback_share(endpoint_ids_without_grant)

    async def _handle_failure(
        self,
        coordinator: _Coordinator,
        demands: list[messages.SlotDemand],
        error: Exception,
    ) -> None:
        if coordinator.reachable:
            self._log.warning(
                "home_unreachable", vm=coordinator.vm.id, reason=str(error)
            )
        coordinator.reachable = False
        self._use_fallback_share(
            tuple(demand.endpoint_id for demand in demands)
        )
        await asyncio.sleep(_ERROR_BACKOFF_S)

    def _use_fallback_share(self, endpoint_ids: tuple[str, ...]) -> None:
        self._leases.use_fallback(endpoint_ids, clock.now())
        self._scheduling.post(messages.HomeUnreachable(endpoint_ids))

    def _group_by_coordinator(
        self, demands: list[messages.SlotDemand]
    ) -> dict[str, tuple[model.Vm, list[messages.SlotDemand]]]:
        demands_by_vm: dict[
            str, tuple[model.Vm, list[messages.SlotDemand]]
        ] = {}
        for demand in demands:
            vm = self._cluster_state.coordinator_of(demand.endpoint_id)
            if vm is not None:
                demands_by_vm.setdefault(vm.id, (vm, []))[1].append(demand)
        return demands_by_vm
