"""The task that asks the homes of endpoints for slots.

Each home has at most one call outstanding, whatever the rate of requests; a
call states the whole standing of this process with all endpoints of the home.
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
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import leases as leases_lib
from cowsliprill.entry import scheduling as scheduling_lib
from cowsliprill.entry import world as world_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

# How long a home may hold back its answer while it has nothing to grant.
_WAIT_S = 0.5
_ANSWER_S = 1.0
# A newer standing waits this long for the answer to the one before it, and
# then replaces it: the home may be holding that answer back.
_SUPERSEDE_S = 0.01
_RENEW_S = 1.0
_MIN_RENEW_S = 0.05
_BACK_OFF_S = 0.25


@dataclasses.dataclass(slots=True)
class _Home:
    vm: model.Vm
    pending_by_endpoint: dict[str, messages.SlotDemand] = dataclasses.field(
        default_factory=dict
    )
    news: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None
    reachable: bool = True


class SlotAsker:
    """Keeps this process's leases.

    Args:
      incarnation: This process.
      homes: Calls the homes.
      scheduling: The scheduler's task: takes grants, tells the standing.
      leases: Where ends of leases are kept.
      world: The VM list in force.
      metrics: The process's metrics.
      log: The process's log.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        homes: coordinator_client.CoordinatorClient,
        scheduling: scheduling_lib.Scheduling,
        leases: leases_lib.Leases,
        world: world_lib.World,
        metrics: metrics_lib.Metrics,
        log: log_lib.Log,
    ) -> None:
        self._entry = str(incarnation)
        self._homes = homes
        self._scheduling = scheduling
        self._leases = leases
        self._world = world
        self._metrics = metrics
        self._log = log
        self._homes_by_vm: dict[str, _Home] = {}

    async def run(self) -> None:
        """Passes on what the scheduler states, and has it restate in time."""
        renewing = asyncio.create_task(self._renew())
        try:
            while True:
                for ask in await self._scheduling.asks.get():
                    self._enqueue(ask)
        finally:
            renewing.cancel()
            for home in self._homes_by_vm.values():
                home.task.cancel()

    async def _renew(self) -> None:
        while True:
            now = clock.now()
            end = self._leases.earliest_end(now)
            renew_s = _RENEW_S if end is None else (end - now) / 2
            await asyncio.sleep(min(max(renew_s, _MIN_RENEW_S), _RENEW_S))
            self._forget_gone_homes()
            self._leases.confirm_fallbacks(clock.now())
            self._scheduling.renew()

    def _forget_gone_homes(self) -> None:
        vms_by_id = self._world.fleet.vms_by_id
        for vm_id in self._homes_by_vm.keys() - vms_by_id.keys():
            self._homes_by_vm.pop(vm_id).task.cancel()

    async def hand_back(self) -> None:
        """Returns all leases, as the last act of this process."""
        asks_by_vm = self._by_home(
            [
                messages.SlotDemand(endpoint_id=endpoint_id, in_use=0, want=0)
                for endpoint_id in self._leases.endpoint_ids()
            ]
        )
        calls = [self._call(vm, asks, 0.0) for vm, asks in asks_by_vm.values()]
        await asyncio.gather(*calls, return_exceptions=True)

    def _enqueue(self, ask: messages.SlotDemand) -> None:
        # The statement itself has to go out, not one made up later: the
        # scheduler counts on each of its statements, so that one which is
        # never sent would have it give back slots that it was granted.
        vm = self._world.coordinator_of(ask.endpoint_id)
        if vm is None:
            self._give_up((ask.endpoint_id,))
            return
        home = self._homes_by_vm.get(vm.id)
        if home is None:
            home = _Home(vm)
            home.task = asyncio.create_task(self._serve(home))
            self._homes_by_vm[vm.id] = home
        home.vm = vm
        home.pending_by_endpoint[ask.endpoint_id] = ask
        home.news.set()

    async def _serve(self, home: _Home) -> None:
        while True:
            await home.news.wait()
            home.news.clear()
            asks = list(home.pending_by_endpoint.values())
            home.pending_by_endpoint.clear()
            await self._ask(home, asks)

    async def _ask(self, home: _Home, asks: list[messages.SlotDemand]) -> None:
        wants_more = any(ask.want > ask.in_use for ask in asks)
        call = asyncio.create_task(
            self._call(home.vm, asks, _WAIT_S if wants_more else 0.0)
        )
        try:
            await self._until_superseded(home, call)
            if call.done():
                self._take(home, call.result())
                return
            # What isn't stated anew goes out again; the home knows repeated
            # statements by their sequence.
            for ask in asks:
                home.pending_by_endpoint.setdefault(ask.endpoint_id, ask)
        except errors.CowsliprillError as error:
            await self._fail(home, asks, error)
        finally:
            call.cancel()

    async def _until_superseded(self, home: _Home, call: asyncio.Task) -> None:
        news = asyncio.create_task(home.news.wait())
        try:
            await asyncio.wait(
                [call, news], return_when=asyncio.FIRST_COMPLETED
            )
            if not call.done():
                await asyncio.wait([call], timeout=_SUPERSEDE_S)
        finally:
            news.cancel()

    async def _call(
        self, vm: model.Vm, asks: list[messages.SlotDemand], wait_s: float
    ) -> slot_messages.SlotsResponse:
        for ask in asks:
            labels = {"endpoint": ask.endpoint_id, "state": "in_use"}
            self._metrics.slots.set(labels, ask.in_use)
        request = slot_messages.SlotsRequest(
            entry=self._entry, asks=tuple(asks), wait_s=wait_s
        )
        # A lease's end is counted from before the call: whatever time the
        # answer took, the home's own count of it ends later than ours.
        sent_at = clock.now()
        text = await self._homes.post(
            vm, peers.SLOTS_PATH, request, wait_s + _ANSWER_S
        )
        answer = codec.decode(slot_messages.SlotsResponse, text)
        for grant in answer.grants:
            self._take_grant(grant, sent_at)
        return answer

    def _take_grant(
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

    def _take(self, home: _Home, answer: slot_messages.SlotsResponse) -> None:
        if not home.reachable:
            self._log.event("home_reachable", vm=home.vm.id)
        home.reachable = True
        # A new home can't grant for one lease time. Waiting for it would have
        # callers refused at each restart of a VM, so the small share serves.
        without_grants = (*answer.not_home, *answer.unsettled)
        if without_grants:
            self._give_up(without_grants)

    async def _fail(
        self, home: _Home, asks: list[messages.SlotDemand], error: Exception
    ) -> None:
        if home.reachable:
            self._log.warning(
                "home_unreachable", vm=home.vm.id, reason=str(error)
            )
        home.reachable = False
        self._give_up(tuple(ask.endpoint_id for ask in asks))
        await asyncio.sleep(_BACK_OFF_S)

    def _give_up(self, endpoint_ids: tuple[str, ...]) -> None:
        self._leases.fall_back(endpoint_ids, clock.now())
        self._scheduling.post(messages.HomeUnreachable(endpoint_ids))

    def _by_home(
        self, asks: list[messages.SlotDemand]
    ) -> dict[str, tuple[model.Vm, list[messages.SlotDemand]]]:
        asks_by_vm: dict[str, tuple[model.Vm, list[messages.SlotDemand]]] = {}
        for ask in asks:
            vm = self._world.coordinator_of(ask.endpoint_id)
            if vm is not None:
                asks_by_vm.setdefault(vm.id, (vm, []))[1].append(ask)
        return asks_by_vm
