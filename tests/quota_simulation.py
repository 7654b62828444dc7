"""VMs that share customers' quotas, in virtual time.

Each VM has the real usage reporter and the real accounts. Callers, the network,
the VM lists and the ends of processes are simulated.
"""

import asyncio
import dataclasses
import itertools
import random
import types
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import fake_log
import virtual_time
from cowsliprill import clock
from cowsliprill import codec
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_owner
from cowsliprill.entry import errors
from cowsliprill.observability import metrics
from cowsliprill.quotas import usage_handler
from cowsliprill.quotas import usage_reporter
from cowsliprill.quotas import wire

WINDOW_S = 8.0
OVERAGE = 0.25
SLACK = 190_000.0
REQUEST_COST = 3_267.0

# Half of what is permitted, as a router gives it out.
_TOLERANCE = quota_owner.QuotaTolerance(fraction=OVERAGE / 2, tokens=SLACK / 2)

_LATENCY_S = 0.002
_GOSSIP_S = (0.02, 0.3)
_JOIN_S = (0.1, 0.4)
_FAILURE_DETECTION_S = (2.1, 4.0)
_CUT_DETECTION_S = (2.1, 4.0)
_DRAIN_S = 2.5
_BOOT_S = (0.5, 1.6)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request of a customer, after it was decided.

    Attributes:
      customer: Id of the customer.
      sent_at: When the caller sent it, in seconds.
      decided_at: When the VM decided on it.
      admitted: Whether it was admitted.
      cost: Its cost in tokens.
    """

    customer: str
    sent_at: float
    decided_at: float
    admitted: bool
    cost: float


class Vm:
    """One VM and its present process.

    Attributes:
      id: Id of the VM.
      process: The process's callbacks, which can be stopped.
      reporter: Admits the requests that it gets.
      handler: Keeps the accounts that it owns.
      log: The process's log.
      is_running: Whether its process runs.
      is_ready: Whether callers reach it.
      resumed: Set while the process isn't stopped.
    """

    def __init__(self, fleet: "Fleet", number: int, incarnation: int) -> None:
        self.id = f"vm-{number}"
        self.number = number
        self.is_running = True
        self.is_ready = False
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.process = virtual_time.Process()
        self.log = fake_log.FakeLog()
        self.known_ids = {self.id}
        self.seen_ids = {self.id}
        self._fleet = fleet
        self._states_by_id: dict[str, model.VmState] = {}
        self._tasks: list[asyncio.Task] = []
        self.handler = usage_handler.UsageReportHandler(
            _TOLERANCE, self.reachable_fraction, self.log, metrics.Metrics()
        )
        self.reporter = usage_reporter.UsageReporter(
            self.id,
            f"{self.id}.{incarnation}",
            self.handler,
            types.SimpleNamespace(post=self._post),
            self.log,
            random.Random(incarnation * 1_000 + number),
        )
        self.update()
        self.run(self.reporter.run())

    def run(self, coroutine) -> asyncio.Task:
        """Starts a task of this process."""
        task = asyncio.get_running_loop().create_task(
            coroutine, context=self.process.context
        )
        self._tasks.append(task)
        return task

    def end(self) -> None:
        """Ends the process as SIGKILL does."""
        self.is_running = self.is_ready = False
        self.process.resume()
        self.resumed.set()
        for task in self._tasks:
            task.cancel()

    def learn(self, vm_id: str, state: model.VmState | None) -> None:
        """Applies what gossip says of another VM, None if it has ended."""
        if not self.is_running or vm_id == self.id:
            return
        if state is None:
            self.known_ids.discard(vm_id)
        else:
            self.known_ids.add(vm_id)
            self.seen_ids.add(vm_id)
            self._states_by_id[vm_id] = state
        self.update()

    def reachable_fraction(self) -> float:
        """Returns the fraction of the VMs ever seen that are known to run."""
        return len(self.known_ids) / len(self.seen_ids)

    def update(self) -> None:
        """Gives the VM list and the quotas to the parts."""
        vms_by_id = {
            vm_id: model.Vm(
                id=vm_id,
                host="10.0.0.1",
                availability_zone="a",
                role=model.VmRole.ENTRY,
                state=self._states_by_id.get(vm_id, model.VmState.LIVE),
                dispatch_port=1,
            )
            for vm_id in self.known_ids
        }
        self.reporter.update(
            self._fleet.snapshot, types.SimpleNamespace(vms_by_id=vms_by_id)
        )

    async def _post(self, vm, path, message, timeout_s):
        del path
        text = codec.encode_without_defaults(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._fleet.deliver(self, vm.id, text)
        except TimeoutError as error:
            raise errors.CoordinatorError("timeout") from error


class Fleet:
    """VMs and the customers' requests to them.

    Args:
      vms: Number of VMs.
      seed: Seed of the load and the delays.
      quotas_by_customer: The quotas in force.

    Attributes:
      requests: All requests that were decided.
      vms_by_id: The VMs.
      ended: Processes that have ended.
    """

    def __init__(
        self, vms: int, seed: int, quotas_by_customer: dict[str, model.Quota]
    ) -> None:
        self._rng = random.Random(seed)
        self.quotas_by_customer = quotas_by_customer
        self.set_quotas(quotas_by_customer)
        self._incarnations = itertools.count(1)
        self._side_by_id: dict[str, int] = {}
        self._tasks: set[asyncio.Task] = set()
        self.requests: list[Request] = []
        self.ended: list[Vm] = []
        self.vms_by_id: dict[str, Vm] = {}
        for number in range(vms):
            vm = Vm(self, number, next(self._incarnations))
            self.vms_by_id[vm.id] = vm
        for vm in self.vms_by_id.values():
            vm.is_ready = True
            vm.known_ids = set(self.vms_by_id)
            vm.seen_ids = set(self.vms_by_id)
            vm.update()

    def set_quotas(self, quotas_by_customer: dict[str, model.Quota]) -> None:
        """Puts quotas into force, at running VMs by `Vm.update`."""
        self.snapshot = types.SimpleNamespace(
            customers_by_id={
                customer: types.SimpleNamespace(id=customer, quota=quota)
                for customer, quota in quotas_by_customer.items()
            }
        )

    # Network.

    async def deliver(self, sender: Vm, vm_id: str, text: bytes) -> bytes:
        """Delivers a usage report and returns the response."""
        await asyncio.sleep(_LATENCY_S)
        target = self.vms_by_id[vm_id]
        if self._are_cut(sender.id, vm_id):
            await asyncio.sleep(3600)
        if not target.is_running:
            raise errors.CoordinatorError("connection refused")
        await target.resumed.wait()
        if not target.is_running:
            raise errors.CoordinatorError("connection reset")
        report = codec.decode(wire.UsageReport, text)
        response = codec.encode_without_defaults(target.handler.handle(report))
        await asyncio.sleep(_LATENCY_S)
        if not target.is_running:
            raise errors.CoordinatorError("connection reset")
        return response

    def _are_cut(self, first_id: str, second_id: str) -> bool:
        return self._side_by_id.get(first_id, 0) != self._side_by_id.get(
            second_id, 0
        )

    # Load.

    def spawn(self, coroutine) -> asyncio.Task:
        """Runs a coroutine of the simulation beside the processes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send(
        self,
        customer: str,
        load: float,
        for_s: float,
        cost: float = REQUEST_COST,
    ) -> None:
        """Sends requests at `load` times a customer's quota to random VMs."""
        end = clock.now() + for_s
        interval_s = cost / (load * self.quotas_by_customer[customer].per_s)
        due = clock.now() + self._rng.uniform(0, interval_s)
        while due < end:
            await asyncio.sleep(max(due - clock.now(), 0))
            ready = [vm for vm in self.vms_by_id.values() if vm.is_ready]
            if ready:
                vm = self._rng.choice(ready)
                vm.run(self._admit(vm, customer, cost))
            due += interval_s

    async def _admit(self, vm: Vm, customer: str, cost: float) -> None:
        sent_at = clock.now()
        quota = self.quotas_by_customer[customer]
        retry_after_s = await vm.reporter.admit(customer, quota, cost)
        self.requests.append(
            Request(customer, sent_at, clock.now(), retry_after_s is None, cost)
        )

    # Faults.

    def _announce(
        self,
        vm: Vm,
        state: model.VmState | None,
        delay_s: tuple[float, float],
    ) -> None:
        for other in self.vms_by_id.values():
            self.spawn(self._tell(other, vm, state, delay_s))

    async def _tell(self, other, vm, state, delay_s):
        await asyncio.sleep(self._rng.uniform(*delay_s))
        if self.vms_by_id[vm.id] is vm and not self._are_cut(other.id, vm.id):
            other.learn(vm.id, state)

    async def kill(self, vm_ids: Iterable[str]) -> None:
        """Kills processes at one moment and starts them again."""
        vms = [self.vms_by_id[vm_id] for vm_id in vm_ids]
        for vm in vms:
            vm.end()
            self.ended.append(vm)
            self._announce(vm, None, _FAILURE_DETECTION_S)
        await asyncio.gather(*(self._restart(vm) for vm in vms))

    async def terminate(self, vm_id: str) -> None:
        """Stops a process by SIGTERM and starts it again."""
        vm = self.vms_by_id[vm_id]
        if not vm.is_running:
            return
        self._announce(vm, model.VmState.LEAVING, _GOSSIP_S)
        await asyncio.sleep(_DRAIN_S)
        if self.vms_by_id[vm_id] is vm and vm.is_running:
            await self.kill([vm_id])

    async def _restart(self, ended: Vm) -> None:
        await asyncio.sleep(self._rng.uniform(*_BOOT_S))
        if self.vms_by_id[ended.id] is not ended:
            return
        vm = Vm(self, ended.number, next(self._incarnations))
        self.vms_by_id[vm.id] = vm
        await asyncio.sleep(self._rng.uniform(*_JOIN_S))
        for other in self.vms_by_id.values():
            if other.is_running and not self._are_cut(vm.id, other.id):
                vm.learn(other.id, model.VmState.LIVE)
        vm.is_ready = vm.is_running
        self._announce(vm, model.VmState.LIVE, _GOSSIP_S)

    async def stand_still(self, vm_id: str, for_s: float) -> None:
        """Stops the callbacks of a process for a time."""
        vm = self.vms_by_id[vm_id]
        if not vm.is_running:
            return
        vm.process.stop()
        vm.resumed.clear()
        await asyncio.sleep(for_s)
        if vm.is_running:
            vm.process.resume()
            vm.resumed.set()

    async def cut(self, vm_ids: Collection[str], for_s: float) -> None:
        """Cuts some VMs off from the others for a time."""
        for vm_id in vm_ids:
            self._side_by_id[vm_id] = 1
        await asyncio.sleep(self._rng.uniform(*_CUT_DETECTION_S))
        self._learn_over_cut(None)
        await asyncio.sleep(for_s)
        self._side_by_id.clear()
        await asyncio.sleep(self._rng.uniform(*_GOSSIP_S))
        for vm in self.vms_by_id.values():
            for other in self.vms_by_id.values():
                if other.is_running:
                    vm.learn(other.id, model.VmState.LIVE)

    def _learn_over_cut(self, state: model.VmState | None) -> None:
        for vm in self.vms_by_id.values():
            for other in self.vms_by_id.values():
                if self._are_cut(vm.id, other.id):
                    vm.learn(other.id, state)

    # Results.

    def allowed(self, customer: str) -> float:
        """Returns the most tokens that may run within one window."""
        quota = self.quotas_by_customer[customer]
        return (quota.per_s * WINDOW_S + quota.burst) * (1 + OVERAGE) + SLACK

    def worst_window(self, customer: str) -> float:
        """Returns the most tokens both sent and admitted in one window."""
        admitted = sorted(
            (item.sent_at, item.decided_at, item.cost)
            for item in self.requests
            if item.customer == customer and item.admitted
        )
        worst = 0.0
        for first, (start, _, _) in enumerate(admitted):
            window = itertools.takewhile(
                lambda item, start=start: item[0] <= start + WINDOW_S,
                itertools.islice(admitted, first, None),
            )
            used = sum(
                cost
                for _, decided_at, cost in window
                if decided_at <= start + WINDOW_S
            )
            worst = max(worst, used)
        return worst

    def refused(self, customer: str) -> list[Request]:
        """Returns the requests of a customer that were refused."""
        return [
            item
            for item in self.requests
            if item.customer == customer and not item.admitted
        ]

    def longest_wait_s(self, customer: str) -> float:
        """Returns the longest time that a decision took, in seconds."""
        return max(
            item.decided_at - item.sent_at
            for item in self.requests
            if item.customer == customer
        )

    async def stop(self) -> None:
        """Ends all processes and tasks."""
        for vm in self.vms_by_id.values():
            vm.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)


Plan = Callable[[Fleet, random.Random], object]


async def restart_owner(fleet: Fleet, rng: random.Random) -> None:
    """Restarts each VM that opens an account, by SIGTERM, as it does."""
    del rng
    await asyncio.sleep(4.0)
    seen: set[Vm] = set()
    for _ in range(4):
        owners = [
            vm
            for vm in fleet.vms_by_id.values()
            if vm not in seen
            and any(
                name == "quota_account_opened" and fields["customer"] == "hot"
                for name, fields in vm.log.events
            )
        ]
        seen.update(owners)
        if owners:
            await fleet.terminate(owners[-1].id)
        await asyncio.sleep(1.0)


async def restart_in_turn(fleet: Fleet, rng: random.Random) -> None:
    """Restarts every VM by SIGTERM, one after the other."""
    order = list(fleet.vms_by_id)
    rng.shuffle(order)
    await asyncio.sleep(2.0)
    gap_s = 24.0 / len(order)
    tasks = []
    for vm_id in order:
        tasks.append(fleet.spawn(fleet.terminate(vm_id)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*tasks)


async def kill_in_turn(fleet: Fleet, rng: random.Random) -> None:
    """Kills every VM, one after the other."""
    order = list(fleet.vms_by_id)
    rng.shuffle(order)
    await asyncio.sleep(2.0)
    tasks = []
    for vm_id in order:
        tasks.append(fleet.spawn(fleet.kill([vm_id])))
        await asyncio.sleep(24.0 / len(order))
    await asyncio.gather(*tasks)


async def kill_half(fleet: Fleet, rng: random.Random) -> None:
    """Kills half of the VMs at once, three times."""
    await asyncio.sleep(4.0)
    for _ in range(3):
        half = rng.sample(list(fleet.vms_by_id), len(fleet.vms_by_id) // 2)
        fleet.spawn(fleet.kill(half))
        await asyncio.sleep(4.0)


async def kill_all(fleet: Fleet, rng: random.Random) -> None:
    """Kills all VMs at once, twice."""
    del rng
    await asyncio.sleep(4.0)
    for _ in range(2):
        fleet.spawn(fleet.kill(list(fleet.vms_by_id)))
        await asyncio.sleep(5.0)


async def stand_still(fleet: Fleet, rng: random.Random) -> None:
    """Lets two VMs stand still at a time."""
    await asyncio.sleep(2.0)
    for _ in range(8):
        for vm_id in rng.sample(list(fleet.vms_by_id), 2):
            fleet.spawn(fleet.stand_still(vm_id, 2.5))
        await asyncio.sleep(3.0)


async def mixed(fleet: Fleet, rng: random.Random) -> None:
    """Draws restarts, kills, stand-stills and cuts, which overlap."""
    await asyncio.sleep(2.0)
    end = clock.now() + 24.0
    while clock.now() < end:
        vm_ids = list(fleet.vms_by_id)
        match rng.choice(["term", "kill", "half", "still", "cut"]):
            case "term":
                fleet.spawn(fleet.terminate(rng.choice(vm_ids)))
            case "kill":
                fleet.spawn(fleet.kill([rng.choice(vm_ids)]))
            case "half":
                half = rng.sample(vm_ids, len(vm_ids) // 2)
                fleet.spawn(fleet.kill(half))
            case "still":
                still_s = rng.uniform(0.3, 2.5)
                fleet.spawn(fleet.stand_still(rng.choice(vm_ids), still_s))
            case "cut":
                await fleet.cut([rng.choice(vm_ids)], rng.uniform(0.2, 3.0))
        await asyncio.sleep(rng.uniform(0.2, 3.0))


async def calm(fleet: Fleet, rng: random.Random) -> None:
    """Does nothing."""
    del fleet, rng


QUOTA = model.Quota(per_s=47_000.0, burst=47_000.0, by_tokens=True)
LENGTH_S = 34.0
HOT_LOAD = 3.33
SOUND_LOAD = 0.9


async def play(plan: Plan, vms: int, seed: int) -> Fleet:
    """Plays a plan beside a customer above its quota and one below it.

    Args:
      plan: The faults.
      vms: Number of VMs.
      seed: Seed of the load, the delays and the faults.

    Returns:
      The fleet with its requests; its processes have ended.
    """
    fleet = Fleet(vms, seed, {"hot": QUOTA, "sound": QUOTA})
    faults = fleet.spawn(plan(fleet, random.Random(seed)))
    await asyncio.gather(
        fleet.send("hot", HOT_LOAD, LENGTH_S),
        fleet.send("sound", SOUND_LOAD, LENGTH_S),
    )
    faults.cancel()
    await fleet.stop()
    return fleet
