"""Cancels requests on coordinated engines whose entry process is gone."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from cowsliprill import clock
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import cancel_queue
from cowsliprill.decisions import identity
from cowsliprill.decisions import model
from cowsliprill.decisions import orphans
from cowsliprill.dispatch import context as context_lib
from cowsliprill.dispatch import polling
from cowsliprill.dispatch import port_probe
from cowsliprill.dispatch import zone_monitor as zone_monitor_lib
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import model as engine_model

_CYCLE_INTERVAL_S = 1.0
# Listing the running requests of all engines takes most of the bytes of orphan
# detection, so coordinators of many engines list them seldom; any coordinator
# lists them at once when an entry process stops reporting slot demand.
_MAX_BYTES_PER_S = 1_000
_BYTES_PER_ENGINE = 300
_BYTES_PER_REQUEST = 100
_MAX_READ_INTERVAL_S = 60.0
# Assumed upper limit of a request's duration under any earlier revision.
_EARLIER_MAX_REQUEST_S = 600.0
# The loss of an availability zone makes many owners suspect at once. Probing
# all their VMs each second would exceed the budget for control traffic.
_MAX_VM_PROBES_PER_CYCLE = 8


class OrphanReaper:
    """I/O layer of orphan detection on the coordinated engines.

    Lists the running requests of the engines, probes the VMs of owners that
    have timed out, and cancels the requests of owners that are gone.

    Args:
      context: Shared state and clients of the process.
      zone_monitor: Tracks whether this VM reaches a majority of its zone.
      cancel: Queues cancellations for sending.
    """

    def __init__(
        self,
        context: context_lib.DispatchContext,
        zone_monitor: zone_monitor_lib.ZoneMonitor,
        cancel: Callable[[Iterable[cancel_queue.Cancellation]], None],
    ) -> None:
        self._context = context
        self._zone_monitor = zone_monitor
        self._cancel = cancel
        self._detector = orphans.OrphanDetector(clock.now())
        self._requests_by_endpoint: dict[
            str, list[orphans.ObservedRequest]
        ] = {}
        self._read_at = float("-inf")
        self._read_task: asyncio.Task | None = None
        self._heartbeat_at_by_entry: dict[identity.Incarnation, float] = {}
        self._started_at = clock.now()
        self._max_request_s = 0.0

    def record_heartbeat(self, incarnation: identity.Incarnation) -> None:
        """Records that an entry process has sent a slot demand."""
        now = clock.now()
        self._heartbeat_at_by_entry[incarnation] = now
        self._detector.record_heartbeat(incarnation, now)

    def update(self) -> None:
        """Applies new settings."""
        # The limit is never lowered: requests that began under an earlier
        # revision may last as long as that revision allowed.
        services = self._context.follower.snapshot.services_by_id.values()
        max_timeout_s = max((each.timeout_s for each in services), default=0.0)
        self._max_request_s = max(self._max_request_s, max_timeout_s)

    async def run(self) -> None:
        """Runs detection cycles until cancelled."""
        try:
            while True:
                await self.run_cycle()
                await asyncio.sleep(_CYCLE_INTERVAL_S)
        finally:
            if self._read_task is not None:
                self._read_task.cancel()

    async def run_cycle(self) -> None:
        """Runs one detection cycle.

        A cycle takes less than `orphans.MAX_OBSERVATION_GAP_S`.
        """
        fleet = self._context.follower.fleet
        self._detector.update_vms(fleet.vms_by_id.values(), clock.now())
        self._read_if_due()
        vms_to_probe = self._detector.vms_to_probe(
            self._all_requests(), clock.now()
        )
        queries = [
            self._probe_vm(vm) for vm in vms_to_probe[:_MAX_VM_PROBES_PER_CYCLE]
        ]
        if vms_to_probe:
            queries.append(self._zone_monitor.query_if_stale())
        await asyncio.gather(*queries)
        self._cancel_orphans()

    def _read_if_due(self) -> None:
        # The read isn't awaited: an engine that hangs would prolong the cycle,
        # and the observations of VMs would no longer count as continuous. While
        # it hangs, no orphan of any engine would be found.
        if self._read_task is not None:
            if not self._read_task.done():
                return
            self._read_task.result()
        age_s = clock.now() - self._read_at
        if self._expire_entries() or age_s >= self._read_interval_s():
            self._read_at = clock.now()
            self._read_task = asyncio.create_task(self._read_all())

    def _expire_entries(self) -> bool:
        """Drops entry processes that timed out; returns if there were any."""
        expired_at = clock.now() - orphans.SUSPECT_AFTER_S
        live_by_entry = {
            entry: heartbeat_at
            for entry, heartbeat_at in self._heartbeat_at_by_entry.items()
            if heartbeat_at > expired_at
        }
        any_expired = len(live_by_entry) < len(self._heartbeat_at_by_entry)
        self._heartbeat_at_by_entry = live_by_entry
        return any_expired

    def _read_interval_s(self) -> float:
        requests = sum(map(len, self._requests_by_endpoint.values()))
        engines = len(self._context.coordinated.by_id)
        return polling.poll_interval_s(
            engines * _BYTES_PER_ENGINE + requests * _BYTES_PER_REQUEST,
            bytes_per_s=_MAX_BYTES_PER_S,
            min_interval_s=_CYCLE_INTERVAL_S,
            max_interval_s=_MAX_READ_INTERVAL_S,
        )

    def _longest_request_s(self) -> float:
        # A coordinator that has just started doesn't know the earlier
        # revisions, which may have allowed requests more time than this one.
        if clock.now() - self._started_at < _EARLIER_MAX_REQUEST_S:
            return max(self._max_request_s, _EARLIER_MAX_REQUEST_S)
        return self._max_request_s

    def _all_requests(self) -> list[orphans.ObservedRequest]:
        return [
            request
            for requests in self._requests_by_endpoint.values()
            for request in requests
        ]

    async def _read_all(self) -> None:
        endpoints = self._context.coordinated_engines()
        endpoint_ids = {endpoint.id for endpoint in endpoints}
        for endpoint_id in self._requests_by_endpoint.keys() - endpoint_ids:
            del self._requests_by_endpoint[endpoint_id]
        await asyncio.gather(*(self._read(each) for each in endpoints))

    async def _read(self, endpoint: model.Endpoint) -> None:
        try:
            requests = await self._context.engines.running(endpoint)
        except engine_errors.CallError as error:
            self._requests_by_endpoint.pop(endpoint.id, None)
            await self._context.report_if_draining(endpoint, error)
            return
        self._requests_by_endpoint[endpoint.id] = [
            orphans.ObservedRequest(
                endpoint_id=endpoint.id,
                request_id=request.request_id,
                age_s=request.age_s,
            )
            for request in requests
        ]
        state = self._context.coordinated.by_id.get(endpoint.id)
        if state is not None:
            state.ledger.reconcile_usage(_count_by_entry(requests), clock.now())

    async def _probe_vm(self, vm: model.Vm) -> None:
        ports = vm.entry_ports
        results = await asyncio.gather(
            *(self._probe_port(vm.host, port) for port in ports)
        )
        self._detector.record_probe(vm.id, results, clock.now())

    async def _probe_port(self, host: str, port: int) -> orphans.ProbeResult:
        url = f"http://{host}:{port}{peers.INCARNATION_PATH}"
        try:
            response = await self._context.peers.call("GET", url, timeout_s=1.0)
            text = response.json()["incarnation"]
            return orphans.Answered(identity.Incarnation.parse(text))
        except peer_client.PeerError:
            # The client doesn't distinguish a refused connection from a
            # timeout.
            return await port_probe.probe(host, port)
        except (identity.IdentityError, KeyError, TypeError):
            return orphans.NoAnswer()

    def _cancel_orphans(self) -> None:
        found = self._detector.orphans(
            self._all_requests(),
            longest_request_s=self._longest_request_s(),
            has_zone_majority=self._zone_monitor.has_majority(),
            now=clock.now(),
        )
        for orphan in found:
            self._context.log.event(
                "orphan_found",
                endpoint=orphan.endpoint_id,
                request_id=orphan.request_id,
                reason=orphan.reason,
            )
            self._context.count(f"orphan_{orphan.reason}")
            self._remove_request(orphan)
        self._cancel(
            cancel_queue.Cancellation(
                endpoint_id=orphan.endpoint_id, request_id=orphan.request_id
            )
            for orphan in found
        )

    def _remove_request(self, orphan: orphans.Orphan) -> None:
        requests = self._requests_by_endpoint.get(orphan.endpoint_id, [])
        self._requests_by_endpoint[orphan.endpoint_id] = [
            request
            for request in requests
            if request.request_id != orphan.request_id
        ]


def _count_by_entry(
    requests: Iterable[engine_model.RunningRequest],
) -> dict[str, int]:
    counts_by_entry: dict[str, int] = {}
    for request in requests:
        try:
            attempt = identity.AttemptId.parse(request.request_id)
        except identity.IdentityError:
            continue
        entry = str(attempt.incarnation)
        counts_by_entry[entry] = counts_by_entry.get(entry, 0) + 1
    return counts_by_entry
