"""Measures each control-plane cost at three or more sizes and fits a line."""

import dataclasses
import itertools
import json
import random

from cowsliprill import codec
from cowsliprill.capacity import http_exchanges
from cowsliprill.capacity import linear_fit
from cowsliprill.capacity import profiling
from cowsliprill.capacity import synthetic
from cowsliprill.decisions import coordinator_map
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import orphans
from cowsliprill.decisions import scheduler
from cowsliprill.decisions import slot_ledger
from cowsliprill.settings import parts
from cowsliprill.settings import publish
from cowsliprill.settings import resolve
from cowsliprill.settings import store as store_lib

_ENGINE_COUNTS = (13, 130, 1_300, 5_900)


def measure_all() -> list[linear_fit.LinearFit]:
    """Runs all measurements; takes about one minute."""
    return [
        *_http_exchange_fits(),
        *_ledger_fits(),
        *_settings_fits(),
        *_change_fits(),
        *_vm_list_fits(),
        *_orphan_detection_fits(),
        *_scheduler_fits(),
    ]


def _http_exchange_fits() -> list[linear_fit.LinearFit]:
    by_demands = {n: http_exchanges.slots_exchange(n) for n in (1, 4, 8, 16)}
    by_running = {
        n: http_exchanges.slots_exchange(1, n) for n in (0, 5, 10, 19)
    }
    by_list_length = {
        n: http_exchanges.running_list(n) for n in (1, 10, 20, 40)
    }
    by_body_bytes = {
        n: http_exchanges.peer_exchange(n) for n in (100, 1_000, 4_000)
    }
    return [
        _fit_bytes("slots_bytes", "asks in a message", by_demands),
        _fit_cpu("slots_cpu", "asks in a message", by_demands),
        _fit_bytes(
            "slots_user_bytes", "running requests in an ask", by_running
        ),
        _fit_bytes("running_bytes", "requests an engine runs", by_list_length),
        _fit_cpu("running_cpu", "requests an engine runs", by_list_length),
        _fit_bytes("peer_bytes", "bytes of each body", by_body_bytes),
        _fit_cpu("peer_cpu", "bytes of each body", by_body_bytes),
    ]


def _fit_bytes(
    name: str, size_label: str, costs: dict[int, http_exchanges.ExchangeCost]
) -> linear_fit.LinearFit:
    points = [(size, cost.bytes) for size, cost in costs.items()]
    return linear_fit.fit(name, size_label, "B", points)


def _fit_cpu(
    name: str, size_label: str, costs: dict[int, http_exchanges.ExchangeCost]
) -> linear_fit.LinearFit:
    points = [(size, cost.cpu_s * 1e6) for size, cost in costs.items()]
    return linear_fit.fit(name, size_label, "µs", points)


def _ledger(entry_processes: int) -> slot_ledger.SlotLedger:
    ledger = slot_ledger.SlotLedger("engine-0000", 20)
    for number in range(entry_processes):
        entry_id = f"vm-{number:04d}.e0.0123456789abcdef"
        ledger.ask(entry_id, synthetic.slot_demand("engine-0000", 1, 1), 0.0)
    return ledger


def _ledger_fits() -> list[linear_fit.LinearFit]:
    memory, cpu = [], []
    for entry_processes in (1, 7, 14, 20):
        memory.append(
            (
                entry_processes,
                profiling.memory_bytes(lambda n=entry_processes: _ledger(n)),
            )
        )
        cpu.append((entry_processes, _demand_cpu_s(entry_processes) * 1e6))
    return [
        linear_fit.fit("ledger_memory", "entries with a lease", "B", memory),
        linear_fit.fit("ledger_cpu", "entries with a lease", "µs", cpu),
    ]


def _demand_cpu_s(entry_processes: int) -> float:
    ledger = _ledger(entry_processes)
    demand = dataclasses.replace(synthetic.slot_demand("engine-0000", 1, 0))
    entry_id = "vm-0000.e0.0123456789abcdef"
    return profiling.cpu_s(lambda: ledger.ask(entry_id, demand, 0.1), 2_000)


def _resolve_synthetic(customers: int, services: int, engines: int) -> tuple:
    """Returns a resolver, its part store and the resolved snapshot."""
    texts = publish.split(synthetic.document_text(customers, services, engines))
    store = _part_store(texts)
    resolver = resolve.Resolver()
    index, _ = parts.build_index(texts)
    return resolver, store, resolver.resolve(1, index, store.packed_text)


def _part_store(*texts_by_part: dict[str, str]) -> store_lib.PartStore:
    store = store_lib.PartStore()
    for texts in texts_by_part:
        for text in texts.values():
            store.add(text)
    return store


def _settings_fits() -> list[linear_fit.LinearFit]:
    customers = [
        (n, profiling.memory_bytes(lambda n=n: _resolve_synthetic(n, 3, 13)))
        for n in (2_000, 10_000, 42_000)
    ]
    services = [
        (n, profiling.memory_bytes(lambda n=n: _resolve_synthetic(10, n, 13)))
        for n in (10, 100, 400)
    ]
    engines = [
        (n, profiling.memory_bytes(lambda n=n: _resolve_synthetic(10, 3, n)))
        for n in _ENGINE_COUNTS
    ]
    return [
        linear_fit.fit("settings_memory_customer", "customers", "B", customers),
        linear_fit.fit("settings_memory_service", "services", "B", services),
        linear_fit.fit("settings_memory_engine", "engines", "B", engines),
    ]


def _change_fits() -> list[linear_fit.LinearFit]:
    sizes = [(2_000, 300), (10_000, 1_500), (42_000, 5_900)]
    transferred, index, cpu = [], [], []
    for customers, engines in sizes:
        change = measure_customer_change(customers, engines)
        transferred.append((customers, change.transferred_bytes))
        index.append((customers, change.index_bytes))
        cpu.append((customers, change.cpu_s * 1e6))
    return [
        linear_fit.fit("change_bytes", "customers", "B", transferred),
        linear_fit.fit("index_bytes", "customers", "B", index),
        linear_fit.fit("change_cpu", "customers (with engines)", "µs", cpu),
        linear_fit.fit(
            "engine_change_bytes",
            "engines of one pool",
            "B",
            _engine_change_bytes(),
        ),
    ]


def _engine_change_bytes() -> list[tuple[float, float]]:
    """Returns pairs of pool size and bytes sent when one engine changes.

    The bytes are those of the new head and the changed parts.
    """
    points = []
    for engines in _ENGINE_COUNTS:
        document = synthetic.document(1, 1, engines)
        before = publish.publish(json.dumps(document))
        pool = document["pools"][synthetic.POOL]
        pool["endpoints"]["engine-0000"]["slots"] = 10
        document["revision"] = 2
        transferred = _transferred_bytes(
            before, publish.publish(json.dumps(document), before)
        )
        points.append((engines, float(transferred)))
    return points


def _transferred_bytes(
    before: publish.Publication, after: publish.Publication
) -> int:
    """Returns the size of the new head and parts, excluding the full index."""
    new = {
        text_hash: text
        for text_hash, text in after.texts_by_hash.items()
        if text_hash not in before.texts_by_hash
    }
    del new[after.head.index]
    return sum(map(len, new.values())) + len(parts.encode_head(after.head))


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerChangeCost:
    """Cost of a settings change that affects one customer.

    Attributes:
      transferred_bytes: Size of the head and the changed part.
      index_bytes: Size of the full index.
      cpu_s: CPU time for one process to resolve the changed settings.
    """

    transferred_bytes: float
    index_bytes: float
    cpu_s: float


def measure_customer_change(customers: int, engines: int) -> CustomerChangeCost:
    """Measures publishing and resolving a change of one customer.

    Args:
      customers: Number of customers in the settings.
      engines: Number of engines in the settings.

    Returns:
      Bytes and CPU time of the change.
    """
    document = synthetic.document(customers, 3, engines)
    before = publish.publish(json.dumps(document))
    texts = publish.split(json.dumps(document))
    users = document["users"][synthetic.PARENT]["users"]
    users["customer-00000"]["share"] = 2.0
    document["revision"] = 2
    after = publish.publish(json.dumps(document), before)
    changed = publish.split(json.dumps(document))
    index = after.texts_by_hash[after.head.index]
    transferred = _transferred_bytes(before, after)
    cpu = _resolve_cpu_s(texts, changed)
    return CustomerChangeCost(float(transferred), float(len(index)), cpu)


def _resolve_cpu_s(old: dict[str, str], new: dict[str, str]) -> float:
    """Returns the CPU time to resolve settings after one customer changed."""
    store = _part_store(old, new)
    indexes = [parts.build_index(texts)[0] for texts in (old, new)]
    resolver = resolve.Resolver()
    numbers = itertools.count(1)

    def step() -> None:
        number = next(numbers)
        resolver.resolve(number, indexes[number % 2], store.packed_text)

    step()
    return profiling.cpu_s(step, 4)


def _vm_list_fits() -> list[linear_fit.LinearFit]:
    sizes = (69, 230, 690, 2_000)
    texts = {n: codec.encode(synthetic.vms(n)) for n in sizes}
    kind = list[model.Vm]
    memory = [
        (n, profiling.memory_bytes(lambda t=t: codec.decode(kind, t)))
        for n, t in texts.items()
    ]
    cpu = [
        (n, profiling.cpu_s(lambda t=t: codec.decode(kind, t), 5) * 1e6)
        for n, t in texts.items()
    ]
    return [
        linear_fit.fit(
            "list_bytes",
            "VMs in the list",
            "B",
            [(n, float(len(t))) for n, t in texts.items()],
        ),
        linear_fit.fit("list_memory", "VMs in the list", "B", memory),
        linear_fit.fit("list_cpu", "VMs in the list", "µs", cpu),
        linear_fit.fit(
            "homes_start_cpu",
            "engines",
            "µs",
            _coordinator_map_cpu(from_empty=True),
        ),
        linear_fit.fit(
            "homes_change_cpu",
            "engines",
            "µs",
            _coordinator_map_cpu(from_empty=False),
        ),
    ]


def _coordinator_map_cpu(*, from_empty: bool) -> list[tuple[float, float]]:
    """Returns pairs of engine count and CPU time in microseconds.

    Args:
      from_empty: True measures the first lookup of all engines' coordinators;
        False measures removing one VM and adding it again, with a lookup of
        all engines after each.
    """
    vms = synthetic.vms(690)
    points = []
    for engines in _ENGINE_COUNTS:
        names = [f"engine-{n:04d}" for n in range(engines)]
        coordinators = coordinator_map.CoordinatorMap()

        def look_up_all(coordinators=coordinators, names=names) -> None:
            for name in names:
                coordinators.coordinator_of(name)

        def start_empty(
            coordinators=coordinators, look_up_all=look_up_all
        ) -> None:
            coordinators.keep_only([])
            coordinators.update(vms)
            look_up_all()

        def change_vms(
            coordinators=coordinators, look_up_all=look_up_all
        ) -> None:
            coordinators.update(vms[1:])
            look_up_all()
            coordinators.update(vms)
            look_up_all()

        start_empty()
        step = start_empty if from_empty else change_vms
        points.append((engines, profiling.cpu_s(step) * 1e6))
    return points


def _orphan_detection_fits() -> list[linear_fit.LinearFit]:
    points = []
    for count in (20, 80, 170, 340):
        detector = orphans.OrphanDetector(0.0)
        detector.update_vms(synthetic.vms(690), 0.0)
        requests = [_running_request(n) for n in range(count)]
        for number in range(count):
            incarnation = identity.Incarnation(f"vm-{number:04d}", "e0", "abc")
            detector.record_heartbeat(incarnation, 0.5)

        def find_orphans(detector=detector, requests=requests) -> None:
            detector.vms_to_probe(requests, 1.0)
            detector.orphans(
                requests,
                longest_request_s=120.0,
                has_zone_majority=True,
                now=1.0,
            )

        points.append((count, profiling.cpu_s(find_orphans, 20) * 1e6))
    return [
        linear_fit.fit("sweep_cpu", "running requests of a home", "µs", points)
    ]


def _running_request(number: int) -> orphans.ObservedRequest:
    return orphans.ObservedRequest(
        endpoint_id="engine",
        request_id=f"vm-{number:04d}.e0.abc.{number}.0",
        age_s=1.0,
    )


def _scheduler_fits() -> list[linear_fit.LinearFit]:
    request_points, state_change_points = [], []
    for engines in _ENGINE_COUNTS:
        snapshot = resolve.resolve(synthetic.document_text(500, 3, engines))
        vms = {vm.id: vm for vm in synthetic.vms(690)}
        cluster_state = messages.ClusterStateChanged(
            snapshot, model.Fleet(version=1, vms_by_id=vms)
        )
        request_points.append((engines, _request_cpu_s(cluster_state) * 1e6))
        request_scheduler = scheduler.Scheduler("zone-0", 1)
        state_change_points.append(
            (
                engines,
                profiling.cpu_s(
                    lambda s=request_scheduler, c=cluster_state: s.handle(
                        c, 0.0
                    )
                )
                * 1e6,
            )
        )
    return [
        linear_fit.fit(
            "request_cpu", "engines in the settings", "µs", request_points
        ),
        linear_fit.fit(
            "world_cpu", "engines in the settings", "µs", state_change_points
        ),
        linear_fit.fit(
            "world_users_cpu", "customers", "µs", _customer_change_cpu()
        ),
    ]


def _customer_change_cpu() -> list[tuple[float, float]]:
    """Returns pairs of customer count and CPU time in microseconds.

    The CPU time is that of a scheduler to apply a cluster state change.
    """
    points = []
    for customers in (500, 2_000, 8_000):
        snapshot = resolve.resolve(synthetic.document_text(customers, 3, 13))
        cluster_state = messages.ClusterStateChanged(
            snapshot, model.Fleet(version=1)
        )
        request_scheduler = scheduler.Scheduler("zone-0", 1)
        cpu_s = profiling.cpu_s(
            lambda s=request_scheduler, c=cluster_state: s.handle(c, 0.0)
        )
        points.append((customers, cpu_s * 1e6))
    return points


def _request_cpu_s(cluster_state: messages.ClusterStateChanged) -> float:
    """Returns the scheduling CPU time of one request from submit to finish.

    Every slot demand is granted at once, as by a coordinator with free slots.
    """
    request_scheduler = scheduler.Scheduler("zone-0", 1)
    request_scheduler.handle(cluster_state, 0.0)
    service = next(iter(cluster_state.snapshot.services_by_id.values()))
    numbers = itertools.count(1)
    rng = random.Random(1)

    def step() -> None:
        number = next(numbers)
        submit = messages.Submit(
            request_id=number,
            service=service,
            customer=f"{synthetic.PARENT}/customer-{rng.randrange(500):05d}",
            prompt_tokens=1_000,
            output_tokens=100,
            deadline=number + 2.0,
        )
        _grant_until_started(
            request_scheduler, request_scheduler.handle(submit, number), number
        )
        request_scheduler.handle(messages.PrefillFinished(number), number + 0.1)
        request_scheduler.handle(messages.FirstToken(number), number + 0.2)
        request_scheduler.handle(messages.Finished(number, 100), number + 0.9)

    return profiling.cpu_s(step, 100)


def _grant_until_started(
    request_scheduler: scheduler.Scheduler,
    actions: list[messages.Action],
    now: float,
) -> None:
    """Grants slot demands in full until the request starts.

    Per endpoint only the newest demand is granted, as a coordinator with free
    slots does.

    Raises:
      RuntimeError: All slot demands are granted and the request has not
        started.
    """
    demands_by_endpoint: dict[str, messages.SlotDemand] = {}
    while not any(isinstance(action, messages.Start) for action in actions):
        for action in actions:
            if isinstance(action, messages.SlotDemand):
                demands_by_endpoint[action.endpoint_id] = action
        if not demands_by_endpoint:
            raise RuntimeError(
                "measured request did not start after all grants"
            )
        _, demand = demands_by_endpoint.popitem()
        grant = messages.SlotGrant(
            endpoint_id=demand.endpoint_id,
            slots=demand.want,
            expires_at=1e9,
            sequence=demand.sequence,
        )
        actions = request_scheduler.handle(grant, now)
