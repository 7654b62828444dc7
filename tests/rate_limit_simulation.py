"""A fleet of VMs before servers that name rate limits, in virtual time.

Each VM has the real placement of plain calls, ledger, exchange and permits.
Servers, callers and the network between the VMs are simulated.
"""

import asyncio
import dataclasses
import random
import types
from collections.abc import Mapping

from tests import fake_log

import fake_paths
from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill import record_exchange
from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import retry_budget
from cowsliprill.entry import attempts
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import rate_limit_components
from cowsliprill.entry import request_quarantine
from cowsliprill.entry.filters import plain_placement
from cowsliprill.observability import metrics
from cowsliprill.rate_limiting import wire

POOL = "desk"
LATENCY_S = 0.002
CALL_S = 0.045
WINDOW_S = 4.0
REACTION_S = 0.5
_PORT = 1

_MESSAGES_BY_PATH = {
    peers.RATE_LIMITS_PATH: wire.LimitExchange,
    peers.RATE_PERMITS_PATH: wire.PermitCall,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a server got.

    Attributes:
      at: When it arrived, in seconds.
      vm_id: VM that sent it.
      told: Whether that VM had had an answer with a limit half a second before.
    """

    at: float
    vm_id: str
    told: bool


class Server:
    """A simulated plain server.

    Attributes:
      endpoint: Its entry in the settings.
      limit: Rate limit that its answers name, None for none.
      arrivals: The requests that it got.
      refuses: Whether it executes nothing.
    """

    def __init__(self, name: str, slots: int) -> None:
        self.endpoint = model.Endpoint(
            id=name,
            kind=model.EndpointKind.PLAIN,
            host="10.0.0.1",
            port=1,
            availability_zone="a",
            pool=POOL,
            slots=slots,
        )
        self.limit: float | None = None
        self.arrivals: list[Arrival] = []
        self.refuses = False
        self._told_at_by_vm: dict[str, float] = {}

    async def call(self, vm_id: str) -> str | None:
        """Serves a request; returns the limit in the answer."""
        now = clock.now()
        told_at = self._told_at_by_vm.get(vm_id, now)
        told = now - told_at >= REACTION_S
        self.arrivals.append(Arrival(now, vm_id, told))
        await asyncio.sleep(CALL_S)
        if self.limit is None:
            return None
        self._told_at_by_vm.setdefault(vm_id, clock.now())
        return str(self.limit)

    def arrivals_between(self, begin: float, end: float) -> int:
        return sum(begin <= item.at < end for item in self.arrivals)

    def worst_window(self, begin: float, *, told_only: bool = True) -> int:
        """Returns the most requests in a window that ends after a time."""
        times = [
            item.at for item in self.arrivals if item.told or not told_only
        ]
        worst = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            if at >= begin:
                worst = max(worst, last - first + 1)
        return worst


class Vm:
    """One VM: its rate limits and its placement of calls.

    Attributes:
      id: Id of the VM.
      parts: Its rate limits, exchange and permits.
      log: Its log.
    """

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.id = f"vm-{number}"
        self._fleet = fleet
        self._random = random.Random(number)
        self.log = fake_log.FakeLog()
        self.cluster_state = cluster_state_lib.ClusterState()
        self.parts = rate_limit_components.RateLimitComponents(
            self.id,
            peer_auth.PeerAuth(""),
            record_exchange.Network(
                vm_id=self.id,
                own_port=lambda: _PORT,
                cluster_state=self.cluster_state,
                client=types.SimpleNamespace(post=self._post),
                rng=self._random,
            ),
            lambda: fleet.reachable_fraction(self.id),
            self.log,
            metrics.Metrics(),
            self._random,
            enabled=True,
        )
        self._placement = plain_placement.PlainPlacement(
            availability_zone="a",
            cluster_state=self.cluster_state,
            budgets=retry_budget.RetryBudgets(),
            log=self.log,
            random_source=self._random,
            authorization=types.SimpleNamespace(check=lambda ctx: None),
            quarantine=request_quarantine.Disabled(),
            paths=fake_paths.FakePaths(),
            permits=self.parts.permits,
        )
        self._tasks = [
            asyncio.create_task(work) for work in self.parts.background_work()
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def restricts(self, server: Server) -> bool:
        return self.parts.permits.is_limited(server.endpoint)

    def ejects(self, server: Server) -> bool:
        return self._placement.health.is_ejected(
            server.endpoint.id, clock.now()
        )

    def handle(self, path: str, message: object):
        """Handles a message of a peer."""
        if path == peers.RATE_LIMITS_PATH:
            return self.parts._exchange.handle(message)
        return self.parts._server.handle(message)

    async def _post(self, vm, path, message, timeout_s) -> bytes:
        return await self._fleet.deliver(self, vm.id, path, message, timeout_s)

    async def call(self, priority: int = 0, customer: str = "") -> "Outcome":
        """Places one call, as the entry process does."""
        now = clock.now()
        ctx = types.SimpleNamespace(
            request_id="r",
            caller_id="c",
            fingerprint="f",
            service=self._fleet.service,
            customer=model.Customer(id=customer),
            priority=priority,
            progress=context.Progress(),
            deadline=now + self._fleet.timeout_s,
            idempotency_key="",
            no_peer_serves=False,
            endpoint=None,
            silence=None,
        )
        try:
            await self._placement(ctx, self._send)
        except errors.EntryError as error:
            return Outcome(
                now,
                clock.now(),
                priority,
                error.code,
                error.retry_after_s or 0.0,
            )
        return Outcome(now, clock.now(), priority)

    async def _send(self, ctx) -> None:
        ctx.progress.sent_at = clock.now()
        server = self._fleet.servers_by_id[ctx.endpoint.id]
        await asyncio.sleep(LATENCY_S / 2)
        limit_text = await server.call(self.id)
        await asyncio.sleep(LATENCY_S / 2)
        if server.refuses:
            raise attempts.PlainCallError(messages.Executed.NO, "refused")
        self.parts.ledger.observe(
            endpoint_answers.Answer(
                endpoint=ctx.endpoint,
                limit_text=limit_text,
                sent_at=ctx.progress.sent_at,
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a call ended.

    Attributes:
      began_at: When it arrived at its VM, in seconds.
      ended_at: When it was answered, in seconds.
      code: Error code, empty if it was served.
      retry_after_s: When its caller may come back, in seconds.
      priority: Priority of the call.
    """

    began_at: float
    ended_at: float
    priority: int
    code: str = ""
    retry_after_s: float = 0.0

    @property
    def held_s(self) -> float:
        return self.ended_at - self.began_at


class Fleet:
    """VMs, servers and the network between them.

    Attributes:
      vms: The VMs.
      servers_by_id: The servers.
      outcomes: How the calls ended.
      sent_bytes: Bytes of bodies that VMs sent to each other.
      cut_ids: VMs that reach no other VM.
      loss: Fraction of the messages between VMs that are lost.
    """

    def __init__(
        self,
        vm_count: int,
        server_count: int,
        *,
        seed: int = 1,
        slots: int = 6,
        loss: float = 0.0,
    ) -> None:
        self.timeout_s = 2.5
        self.loss = loss
        self.sent_bytes = 0
        self.cut_ids: set[str] = set()
        self.outcomes: list[Outcome] = []
        self._random = random.Random(seed)
        self._calls: set[asyncio.Task] = set()
        self.service = model.Service(
            id="desk/r",
            customer="",
            name="desk",
            kind=model.ServiceKind.PLAIN,
            pool=POOL,
            idempotency=model.Idempotency.IDEMPOTENT,
        )
        servers = [
            Server(f"s{number}", slots) for number in range(server_count)
        ]
        self.servers_by_id = {server.endpoint.id: server for server in servers}
        self.vms = [Vm(self, number) for number in range(vm_count)]
        self._vms_by_id = {vm.id: vm for vm in self.vms}
        for vm in self.vms:
            self._update(vm)

    @property
    def servers(self) -> list[Server]:
        return list(self.servers_by_id.values())

    def cut(self, vm_ids: set[str], *, noticed: bool) -> None:
        """Cuts VMs off from all others.

        Args:
          vm_ids: The VMs.
          noticed: Whether the lists of VMs show it.
        """
        self.cut_ids = vm_ids
        if noticed:
            for vm in self.vms:
                self._update(vm)

    def _connected(self, first: str, second: str) -> bool:
        return (first in self.cut_ids) == (second in self.cut_ids)

    def reachable_fraction(self, vm_id: str) -> float:
        connected = [self._connected(vm_id, vm.id) for vm in self.vms]
        return sum(connected) / len(self.vms)

    def _update(self, vm: Vm) -> None:
        vms_by_id: Mapping[str, model.Vm] = {
            other.id: model.Vm(
                id=other.id,
                host="10.0.0.2",
                availability_zone="a",
                role=model.VmRole.ENTRY,
                entry_ports=(_PORT,),
            )
            for other in self.vms
            if self._connected(vm.id, other.id)
        }
        endpoints = {
            name: server.endpoint for name, server in self.servers_by_id.items()
        }
        vm.cluster_state.update(
            model.Snapshot(endpoints_by_id=endpoints, revision=1),
            model.Fleet(vms_by_id=vms_by_id),
        )
        vm.parts.cluster_state_changed()

    async def deliver(
        self, sender: Vm, receiver: str, path: str, message, timeout_s: float
    ) -> bytes:
        text = codec.encode_without_defaults(message)
        self.sent_bytes += len(text)
        lost = self._random.random() < self.loss
        if lost or not self._connected(sender.id, receiver):
            await asyncio.sleep(timeout_s)
            raise errors.CoordinatorError("no answer")
        await asyncio.sleep(LATENCY_S)
        decoded = codec.decode(_MESSAGES_BY_PATH[path], text)
        response = self._vms_by_id[receiver].handle(path, decoded)
        if asyncio.iscoroutine(response):
            response = await response
        answer = codec.encode_without_defaults(response)
        self.sent_bytes += len(answer)
        await asyncio.sleep(LATENCY_S)
        return answer

    async def run_load(
        self,
        calls_per_s: float,
        seconds: float,
        priorities: tuple[int, ...] = (0,),
    ) -> None:
        """Sends calls at random times to random VMs."""
        end = clock.now() + seconds
        while clock.now() < end:
            await asyncio.sleep(self._random.expovariate(calls_per_s))
            vm = self._random.choice(self.vms)
            priority = self._random.choice(priorities)
            call = asyncio.create_task(self._call(vm, priority))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(self, vm: Vm, priority: int) -> None:
        self.outcomes.append(await vm.call(priority))

    async def stop(self) -> None:
        """Waits for the running calls and ends the VMs."""
        if self._calls:
            await asyncio.wait(self._calls)
        for vm in self.vms:
            vm.stop()

    def refused(self, begin: float, end: float) -> list[Outcome]:
        """Returns the calls of some time that were refused."""
        return [
            item
            for item in self.outcomes
            if begin <= item.began_at < end and item.code
        ]
