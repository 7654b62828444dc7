"""Finds requests at the homed engines whose entry process is gone."""

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
from cowsliprill.dispatch import pace
from cowsliprill.dispatch import port_probe
from cowsliprill.dispatch import world as world_lib
from cowsliprill.dispatch import zone as zone_lib
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import model as engine_model

_TURN_S = 1.0
# Reading what the engines run is the largest part of the sweep's bytes, so
# large homes read seldom; and at once when an entry stops asking for slots.
_BYTES_PER_S = 1_000
_ENGINE_BYTES = 300
_REQUEST_BYTES = 100
_LONGEST_S = 60.0
# Requests are taken to end within this time under any earlier revision.
_UNKNOWN_S = 600.0
# A lost availability zone makes many owners suspect at once; asking all their
# VMs each second would exceed the control budget just then.
_PROBES_PER_TURN = 8


class Sweeper:
    """Reads what engines run, asks after quiet owners, cancels for the gone.

    Args:
      world: What the tasks share.
      zone: Tells whether this VM reaches its zone.
      cancel: Takes the cancel orders.
    """

    def __init__(
        self,
        world: world_lib.World,
        zone: zone_lib.Zone,
        cancel: Callable[[Iterable[cancel_queue.Cancellation]], None],
    ) -> None:
        self._world = world
        self._zone = zone
        self._cancel = cancel
        self._sweep = orphans.OrphanDetector(clock.now())
        self._running_by_endpoint: dict[str, list[orphans.ObservedRequest]] = {}
        self._read_at = float("-inf")
        self._reading: asyncio.Task | None = None
        self._heard_by_entry: dict[identity.Incarnation, float] = {}
        self._started_at = clock.now()
        self._longest_request_s = 0.0

    def record_heartbeat(self, incarnation: identity.Incarnation) -> None:
        """Notes that an entry process has asked for slots."""
        now = clock.now()
        self._heard_by_entry[incarnation] = now
        self._sweep.record_heartbeat(incarnation, now)

    def update(self) -> None:
        """Takes new settings from the world."""
        # Never lowered: requests that began under an earlier revision may be
        # as old as that one allowed.
        services = self._world.follower.snapshot.services_by_id.values()
        longest_s = max((each.timeout_s for each in services), default=0.0)
        self._longest_request_s = max(self._longest_request_s, longest_s)

    async def run(self) -> None:
        """Sweeps until cancelled."""
        try:
            while True:
                await self.turn()
                await asyncio.sleep(_TURN_S)
        finally:
            if self._reading is not None:
                self._reading.cancel()

    async def turn(self) -> None:
        """Runs one cycle, in less than `orphans.MAX_OBSERVATION_GAP_S`."""
        fleet = self._world.follower.fleet
        self._sweep.update_vms(fleet.vms_by_id.values(), clock.now())
        self._read_if_due()
        vms_to_probe = self._sweep.vms_to_probe(self._running(), clock.now())
        questions = [self._probe(vm) for vm in vms_to_probe[:_PROBES_PER_TURN]]
        if vms_to_probe:
            questions.append(self._zone.ask_if_older())
        await asyncio.gather(*questions)
        self._cancel_orphans()

    def _read_if_due(self) -> None:
        # Not awaited: an engine that hangs would stretch the turn, and the
        # observations of VMs would no longer count as one unbroken time. No
        # orphan of any engine would be found while it hangs.
        if self._reading is not None:
            if not self._reading.done():
                return
            self._reading.result()
        age_s = clock.now() - self._read_at
        if self._has_lapsed_entry() or age_s >= self._interval_s():
            self._read_at = clock.now()
            self._reading = asyncio.create_task(self._read_all())

    def _has_lapsed_entry(self) -> bool:
        """Forgets the entries that went quiet; tells whether there are any."""
        quiet_since = clock.now() - orphans.SUSPECT_AFTER_S
        heard_by_entry = {
            entry: heard_at
            for entry, heard_at in self._heard_by_entry.items()
            if heard_at > quiet_since
        }
        lapsed = len(heard_by_entry) < len(self._heard_by_entry)
        self._heard_by_entry = heard_by_entry
        return lapsed

    def _interval_s(self) -> float:
        requests = sum(map(len, self._running_by_endpoint.values()))
        engines = len(self._world.homes.by_endpoint)
        return pace.interval_s(
            engines * _ENGINE_BYTES + requests * _REQUEST_BYTES,
            bytes_per_s=_BYTES_PER_S,
            shortest_s=_TURN_S,
            longest_s=_LONGEST_S,
        )

    def _oldest_possible_s(self) -> float:
        # A home that has just started hasn't seen the revisions before, under
        # which requests may have been given more time than now.
        if clock.now() - self._started_at < _UNKNOWN_S:
            return max(self._longest_request_s, _UNKNOWN_S)
        return self._longest_request_s

    def _running(self) -> list[orphans.ObservedRequest]:
        return [
            request
            for requests in self._running_by_endpoint.values()
            for request in requests
        ]

    async def _read_all(self) -> None:
        endpoints = self._world.homed_endpoints()
        homed_ids = {endpoint.id for endpoint in endpoints}
        for endpoint_id in self._running_by_endpoint.keys() - homed_ids:
            del self._running_by_endpoint[endpoint_id]
        await asyncio.gather(*(self._read(each) for each in endpoints))

    async def _read(self, endpoint: model.Endpoint) -> None:
        try:
            requests = await self._world.engines.running(endpoint)
        except engine_errors.CallError as error:
            self._running_by_endpoint.pop(endpoint.id, None)
            await self._world.note_failure(endpoint, error)
            return
        self._running_by_endpoint[endpoint.id] = [
            orphans.ObservedRequest(
                endpoint_id=endpoint.id,
                request_id=request.request_id,
                age_s=request.age_s,
            )
            for request in requests
        ]
        home = self._world.homes.by_endpoint.get(endpoint.id)
        if home is not None:
            home.ledger.reconcile_usage(_count_by_entry(requests), clock.now())

    async def _probe(self, vm: model.Vm) -> None:
        ports = vm.entry_ports
        replies = await asyncio.gather(
            *(self._ask(vm.host, port) for port in ports)
        )
        self._sweep.record_probe(vm.id, replies, clock.now())

    async def _ask(self, host: str, port: int) -> orphans.ProbeResult:
        url = f"http://{host}:{port}{peers.INCARNATION_PATH}"
        try:
            reply = await self._world.peers.call("GET", url, timeout_s=1.0)
            text = reply.json()["incarnation"]
            return orphans.Answered(identity.Incarnation.parse(text))
        except peer_client.PeerError:
            # The client doesn't tell a refusal from a timeout.
            return await port_probe.reply_of(host, port)
        except (identity.IdentityError, KeyError, TypeError):
            return orphans.NoAnswer()

    def _cancel_orphans(self) -> None:
        found = self._sweep.orphans(
            self._running(),
            longest_request_s=self._oldest_possible_s(),
            has_zone_majority=self._zone.has_majority(),
            now=clock.now(),
        )
        for orphan in found:
            self._world.log.event(
                "orphan_found",
                endpoint=orphan.endpoint_id,
                request_id=orphan.request_id,
                reason=orphan.reason,
            )
            self._world.count(f"orphan_{orphan.reason}")
            self._forget(orphan)
        self._cancel(
            cancel_queue.Cancellation(
                endpoint_id=orphan.endpoint_id, request_id=orphan.request_id
            )
            for orphan in found
        )

    def _forget(self, orphan: orphans.Orphan) -> None:
        requests = self._running_by_endpoint.get(orphan.endpoint_id, [])
        self._running_by_endpoint[orphan.endpoint_id] = [
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
