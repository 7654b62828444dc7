"""Every slope, each over at least three sizes."""

import dataclasses
import itertools
import json
import random

from cowsliprill import codec
from cowsliprill.capacity import fit
from cowsliprill.capacity import gauge
from cowsliprill.capacity import synthetic
from cowsliprill.capacity import wire
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

_ENDPOINTS = (13, 130, 1_300, 5_900)


def all_slopes() -> list[fit.Slope]:
    """Measures everything; takes about a minute."""
    return [
        *_wire_slopes(),
        *_ledger_slopes(),
        *_settings_slopes(),
        *_change_slopes(),
        *_list_slopes(),
        *_sweep_slopes(),
        *_scheduler_slopes(),
    ]


def _wire_slopes() -> list[fit.Slope]:
    asks = {n: wire.slots_exchange(n) for n in (1, 4, 8, 16)}
    busy = {n: wire.slots_exchange(1, n) for n in (0, 5, 10, 19)}
    running = {n: wire.running_list(n) for n in (1, 10, 20, 40)}
    peer = {n: wire.peer_exchange(n) for n in (100, 1_000, 4_000)}
    return [
        _fit_bytes("slots_bytes", "asks in a message", asks),
        _fit_cpu("slots_cpu", "asks in a message", asks),
        _fit_bytes("slots_user_bytes", "running requests in an ask", busy),
        _fit_bytes("running_bytes", "requests an engine runs", running),
        _fit_cpu("running_cpu", "requests an engine runs", running),
        _fit_bytes("peer_bytes", "bytes of each body", peer),
        _fit_cpu("peer_cpu", "bytes of each body", peer),
    ]


def _fit_bytes(name: str, per: str, costs: dict[int, wire.Cost]) -> fit.Slope:
    points = [(size, cost.bytes) for size, cost in costs.items()]
    return fit.fit(name, per, "B", points)


def _fit_cpu(name: str, per: str, costs: dict[int, wire.Cost]) -> fit.Slope:
    points = [(size, cost.cpu_s * 1e6) for size, cost in costs.items()]
    return fit.fit(name, per, "µs", points)


def _ledger(entries: int) -> slot_ledger.SlotLedger:
    ledger = slot_ledger.SlotLedger("engine-0000", 20)
    for number in range(entries):
        entry = f"vm-{number:04d}.e0.0123456789abcdef"
        ledger.ask(entry, synthetic.ask("engine-0000", 1, 1), 0.0)
    return ledger


def _ledger_slopes() -> list[fit.Slope]:
    memory, cpu = [], []
    for entries in (1, 7, 14, 20):
        memory.append(
            (entries, gauge.memory_bytes(lambda n=entries: _ledger(n)))
        )
        cpu.append((entries, _ask_cpu_s(entries) * 1e6))
    return [
        fit.fit("ledger_memory", "entries with a lease", "B", memory),
        fit.fit("ledger_cpu", "entries with a lease", "µs", cpu),
    ]


def _ask_cpu_s(entries: int) -> float:
    ledger = _ledger(entries)
    ask = dataclasses.replace(synthetic.ask("engine-0000", 1, 0))
    entry = "vm-0000.e0.0123456789abcdef"
    return gauge.cpu_s(lambda: ledger.ask(entry, ask, 0.1), 2_000)


def _resolved(customers: int, services: int, engines: int) -> tuple:
    texts = publish.split(synthetic.text(customers, services, engines))
    store = _stored(texts)
    resolver = resolve.Resolver()
    index, _ = parts.build_index(texts)
    return resolver, store, resolver.resolve(1, index, store.packed_text)


def _stored(*texts_by_part: dict[str, str]) -> store_lib.PartStore:
    store = store_lib.PartStore()
    for texts in texts_by_part:
        for text in texts.values():
            store.add(text)
    return store


def _settings_slopes() -> list[fit.Slope]:
    customers = [
        (n, gauge.memory_bytes(lambda n=n: _resolved(n, 3, 13)))
        for n in (2_000, 10_000, 42_000)
    ]
    services = [
        (n, gauge.memory_bytes(lambda n=n: _resolved(10, n, 13)))
        for n in (10, 100, 400)
    ]
    engines = [
        (n, gauge.memory_bytes(lambda n=n: _resolved(10, 3, n)))
        for n in _ENDPOINTS
    ]
    return [
        fit.fit("settings_memory_customer", "customers", "B", customers),
        fit.fit("settings_memory_service", "services", "B", services),
        fit.fit("settings_memory_engine", "engines", "B", engines),
    ]


def _change_slopes() -> list[fit.Slope]:
    sizes = [(2_000, 300), (10_000, 1_500), (42_000, 5_900)]
    moved, index, cpu = [], [], []
    for customers, engines in sizes:
        change = change_of(customers, engines)
        moved.append((customers, change.moved_bytes))
        index.append((customers, change.index_bytes))
        cpu.append((customers, change.cpu_s * 1e6))
    return [
        fit.fit("change_bytes", "customers", "B", moved),
        fit.fit("index_bytes", "customers", "B", index),
        fit.fit("change_cpu", "customers (with engines)", "µs", cpu),
        fit.fit(
            "engine_change_bytes",
            "engines of one pool",
            "B",
            _engine_change_bytes(),
        ),
    ]


def _engine_change_bytes() -> list[tuple[float, float]]:
    """Sizes of head and parts that move when one engine of a pool changes."""
    points = []
    for engines in _ENDPOINTS:
        document = synthetic.document(1, 1, engines)
        before = publish.publish(json.dumps(document))
        pool = document["pools"][synthetic.POOL]
        pool["endpoints"]["engine-0000"]["slots"] = 10
        document["revision"] = 2
        moved = _moved(before, publish.publish(json.dumps(document), before))
        points.append((engines, float(moved)))
    return points


def _moved(before: publish.Publication, after: publish.Publication) -> int:
    """Returns bytes of the new head and parts, the whole index left out."""
    new = {
        text_hash: text
        for text_hash, text in after.texts_by_hash.items()
        if text_hash not in before.texts_by_hash
    }
    del new[after.head.index]
    return sum(map(len, new.values())) + len(parts.encode_head(after.head))


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What a change of one customer costs.

    Attributes:
      moved_bytes: Head and changed part.
      index_bytes: The whole index.
      cpu_s: Processor time of resolving it in one process.
    """

    moved_bytes: float
    index_bytes: float
    cpu_s: float


def change_of(customers: int, engines: int) -> Change:
    """Publishes a change of one customer and resolves it.

    Args:
      customers: Customers of the settings.
      engines: Engines of the settings.

    Returns:
      The cost.
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
    moved = _moved(before, after)
    cpu = _resolve_cpu_s(texts, changed)
    return Change(float(moved), float(len(index)), cpu)


def _resolve_cpu_s(old: dict[str, str], new: dict[str, str]) -> float:
    """Measures resolving again after one customer has changed."""
    store = _stored(old, new)
    indexes = [parts.build_index(texts)[0] for texts in (old, new)]
    resolver = resolve.Resolver()
    numbers = itertools.count(1)

    def step() -> None:
        number = next(numbers)
        resolver.resolve(number, indexes[number % 2], store.packed_text)

    step()
    return gauge.cpu_s(step, 4)


def _list_slopes() -> list[fit.Slope]:
    sizes = (69, 230, 690, 2_000)
    texts = {n: codec.encode(synthetic.vms(n)) for n in sizes}
    kind = list[model.Vm]
    memory = [
        (n, gauge.memory_bytes(lambda t=t: codec.decode(kind, t)))
        for n, t in texts.items()
    ]
    cpu = [
        (n, gauge.cpu_s(lambda t=t: codec.decode(kind, t), 5) * 1e6)
        for n, t in texts.items()
    ]
    return [
        fit.fit(
            "list_bytes",
            "VMs in the list",
            "B",
            [(n, float(len(t))) for n, t in texts.items()],
        ),
        fit.fit("list_memory", "VMs in the list", "B", memory),
        fit.fit("list_cpu", "VMs in the list", "µs", cpu),
        fit.fit("homes_start_cpu", "engines", "µs", _home_cpu(start=True)),
        fit.fit("homes_change_cpu", "engines", "µs", _home_cpu(start=False)),
    ]


def _home_cpu(*, start: bool) -> list[tuple[float, float]]:
    vms = synthetic.vms(690)
    points = []
    for engines in _ENDPOINTS:
        names = [f"engine-{n:04d}" for n in range(engines)]
        homes = coordinator_map.CoordinatorMap()

        def look(homes=homes, names=names) -> None:
            for name in names:
                homes.coordinator_of(name)

        def begin(homes=homes, look=look) -> None:
            homes.keep_only([])
            homes.update(vms)
            look()

        def change(homes=homes, look=look) -> None:
            homes.update(vms[1:])
            look()
            homes.update(vms)
            look()

        begin()
        step = begin if start else change
        points.append((engines, gauge.cpu_s(step) * 1e6))
    return points


def _sweep_slopes() -> list[fit.Slope]:
    points = []
    for count in (20, 80, 170, 340):
        sweep = orphans.OrphanDetector(0.0)
        sweep.update_vms(synthetic.vms(690), 0.0)
        requests = [_running(n) for n in range(count)]
        for number in range(count):
            owner = identity.Incarnation(f"vm-{number:04d}", "e0", "abc")
            sweep.record_heartbeat(owner, 0.5)

        def judge(sweep=sweep, requests=requests) -> None:
            sweep.vms_to_probe(requests, 1.0)
            sweep.orphans(
                requests,
                longest_request_s=120.0,
                has_zone_majority=True,
                now=1.0,
            )

        points.append((count, gauge.cpu_s(judge, 20) * 1e6))
    return [fit.fit("sweep_cpu", "running requests of a home", "µs", points)]


def _running(number: int) -> orphans.ObservedRequest:
    return orphans.ObservedRequest(
        endpoint_id="engine",
        request_id=f"vm-{number:04d}.e0.abc.{number}.0",
        age_s=1.0,
    )


def _scheduler_slopes() -> list[fit.Slope]:
    decide, change = [], []
    for engines in _ENDPOINTS:
        snapshot = resolve.resolve(synthetic.text(500, 3, engines))
        vms = {vm.id: vm for vm in synthetic.vms(690)}
        world = messages.ClusterStateChanged(
            snapshot, model.Fleet(version=1, vms_by_id=vms)
        )
        decide.append((engines, _request_cpu_s(world) * 1e6))
        one = scheduler.Scheduler("zone-0", 1)
        change.append(
            (
                engines,
                gauge.cpu_s(lambda o=one, w=world: o.handle(w, 0.0)) * 1e6,
            )
        )
    return [
        fit.fit("request_cpu", "engines in the settings", "µs", decide),
        fit.fit("world_cpu", "engines in the settings", "µs", change),
        fit.fit("world_users_cpu", "customers", "µs", _world_customers_cpu()),
    ]


def _world_customers_cpu() -> list[tuple[float, float]]:
    points = []
    for customers in (500, 2_000, 8_000):
        snapshot = resolve.resolve(synthetic.text(customers, 3, 13))
        world = messages.ClusterStateChanged(snapshot, model.Fleet(version=1))
        one = scheduler.Scheduler("zone-0", 1)
        cpu_s = gauge.cpu_s(lambda o=one, w=world: o.handle(w, 0.0))
        points.append((customers, cpu_s * 1e6))
    return points


def _request_cpu_s(world: messages.ClusterStateChanged) -> float:
    """Measures all decisions on one request, beside a home that has room."""
    one = scheduler.Scheduler("zone-0", 1)
    one.handle(world, 0.0)
    service = next(iter(world.snapshot.services_by_id.values()))
    numbers = itertools.count(1)
    draw = random.Random(1)

    def step() -> None:
        number = next(numbers)
        submit = messages.Submit(
            request_id=number,
            service=service,
            customer=f"{synthetic.PARENT}/customer-{draw.randrange(500):05d}",
            prompt_tokens=1_000,
            output_tokens=100,
            deadline=number + 2.0,
        )
        _grant_until_started(one, one.handle(submit, number), number)
        one.handle(messages.PrefillFinished(number), number + 0.1)
        one.handle(messages.FirstToken(number), number + 0.2)
        one.handle(messages.Finished(number, 100), number + 0.9)

    return gauge.cpu_s(step, 100)


def _grant_until_started(
    one: scheduler.Scheduler, actions: list[messages.Action], now: float
) -> None:
    """Answers asks as a home with room does, each endpoint's newest first."""
    asks_by_endpoint: dict[str, messages.SlotDemand] = {}
    while not any(isinstance(each, messages.Start) for each in actions):
        for each in actions:
            if isinstance(each, messages.SlotDemand):
                asks_by_endpoint[each.endpoint_id] = each
        if not asks_by_endpoint:
            raise RuntimeError("the measured request was not placed")
        _, ask = asks_by_endpoint.popitem()
        grant = messages.SlotGrant(
            endpoint_id=ask.endpoint_id,
            slots=ask.want,
            expires_at=1e9,
            sequence=ask.sequence,
        )
        actions = one.handle(grant, now)
