"""Benchmarks of the settings process: CPU, memory and traffic by size.

The benchmarks are for docs/CAPACITY.md and its tool. They run the code of the
settings process; except for the audit trail and the peer exchange, every
follower runs it too.
"""

import asyncio
import dataclasses
import io
import json
import pathlib
import random
import time
import tracemalloc
from typing import Any

from cowsliprill import api_keys
from cowsliprill import codec
from cowsliprill.decisions import leaving_notices
from cowsliprill.observability import audit as audit_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import controller as controller_lib
from cowsliprill.settings import fetch
from cowsliprill.settings import gossip
from cowsliprill.settings import parts
from cowsliprill.settings import publish
from cowsliprill.settings import resolve
from cowsliprill.settings import store as store_lib

_MODELS = 3
_ENGINES_PER_PREFILL_ENGINE = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeCost:
    """Cost of changing one customer, for settings of a given size.

    Attributes:
      users: Number of child customers.
      endpoints: Number of endpoints.
      parts: Number of parts that the settings tree is split into.
      index_bytes: Size of the index in bytes.
      tree_bytes: Size of the index and all parts in bytes.
      cpu_s: Mean CPU time to activate one change, in seconds.
      first_cpu_s: CPU time to activate the first revision, in seconds.
      transferred_bytes: Mean size of the values read for one change: the head
        and the changed values, without protocol overhead.
      memory_bytes: Memory that the active settings take, in bytes.
    """

    users: int
    endpoints: int
    parts: int
    index_bytes: int
    tree_bytes: int
    cpu_s: float
    first_cpu_s: float
    transferred_bytes: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipSpread:
    """Result of spreading one update between settings processes by gossip.

    Attributes:
      vms: Number of VMs.
      rounds: Number of gossip rounds until no VM has an update to forward.
      informed_vms: Number of VMs that then have the update; the periodic
        exchange brings it to the rest.
      messages: Messages sent by each VM that received the update from a peer. A
        VM that read it from the platform sends
        `leaving_notices.gossip_fanout(vms - 1, from_platform=True)` messages.
      message_bytes: Size of one message, without protocol overhead.
    """

    vms: int
    rounds: int
    informed_vms: int
    messages: int
    message_bytes: int


def tree_of_size(users: int, endpoints: int) -> dict[str, Any]:
    """Generates synthetic settings with one top-level customer.

    Args:
      users: Number of child customers, each with one API key.
      endpoints: Number of engines; one in three is a prefill engine.

    Returns:
      The settings document as a JSON object.
    """
    services = {
        f"model-{number}": {"kind": "model", "pool": f"pool-{number}"}
        for number in range(_MODELS)
    }
    child_customers = {
        f"firm-{number}": _child_customer(number) for number in range(users)
    }
    pools: dict[str, Any] = {
        f"pool-{number}": {"endpoints": {}} for number in range(_MODELS)
    }
    for number in range(endpoints):
        pool = pools[f"pool-{number % _MODELS}"]
        pool["endpoints"][f"engine-{number}"] = _engine(number // _MODELS)
    return {
        "revision": 1,
        "published_by": "measure",
        "endpoint_defaults": {
            "slots": 20,
            "link_bytes_per_s": 1e9,
            "kv_bytes_per_token": 131_072,
            "prefill_tokens_per_s": 8_000.0,
            "seconds_per_token": 0.025,
        },
        "users": {"site": {"services": services, "users": child_customers}},
        "pools": pools,
    }


def _child_customer(number: int) -> dict[str, Any]:
    digest = api_keys.digest(f"key-{number}")
    return {"key_hashes": [digest], "share": 1.0}


def _engine(number: int) -> dict[str, Any]:
    kind = "decode" if number % _ENGINES_PER_PREFILL_ENGINE else "prefill"
    return {
        "kind": kind,
        "host": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        "port": 8_000,
        "availability_zone": f"zone-{number % 10}",
        "vm": f"engine-vm-{number}",
    }


class _InMemorySource:
    """Source of part texts in memory; counts the bytes read."""

    def __init__(self) -> None:
        self.texts_by_hash: dict[str, str] = {}
        self.read_bytes = 0

    async def fetch(self, hashes: list[str]) -> list[str]:
        texts = [self.texts_by_hash[text_hash] for text_hash in hashes]
        self.read_bytes += sum(map(len, texts))
        return texts


def change_cost(
    users: int, endpoints: int, changes: int = 20, seed: int = 1
) -> ChangeCost:
    """Benchmarks changes of one customer.

    Args:
      users: Number of child customers.
      endpoints: Number of engines.
      changes: Number of changes to average over.
      seed: Seed for choosing the customers that change.

    Returns:
      The mean cost of one change.
    """
    return asyncio.run(_change_cost(users, endpoints, changes, seed))


async def _change_cost(
    users: int, endpoints: int, changes: int, seed: int
) -> ChangeCost:
    tree = tree_of_size(users, endpoints)
    publications = _publications(tree, changes, random.Random(seed))
    source = _InMemorySource()
    first_publication = next(publications)
    index = json.loads(
        first_publication.texts_by_hash[first_publication.head.index]
    )
    memory_bytes = await _memory_bytes(first_publication)
    settings = _controller(source)
    task = asyncio.create_task(settings.run())
    first_cpu_s = await _apply(settings, source, first_publication)
    source.read_bytes = 0
    cpu_s = 0.0
    head_bytes = 0
    for publication in publications:
        head_bytes += len(parts.encode_head(publication.head))
        cpu_s += await _apply(settings, source, publication)
    task.cancel()
    return ChangeCost(
        users=users,
        endpoints=endpoints,
        parts=len(index),
        index_bytes=len(parts.encode_index(index)),
        tree_bytes=sum(map(len, first_publication.texts_by_hash.values())),
        cpu_s=cpu_s / changes,
        first_cpu_s=first_cpu_s,
        transferred_bytes=(source.read_bytes + head_bytes) / changes,
        memory_bytes=memory_bytes,
    )


async def _memory_bytes(publication: publish.Publication) -> int:
    # Separate from the CPU benchmark, because tracing allocations slows it.
    source = _InMemorySource()
    tracemalloc.start()
    settings = _controller(source)
    task = asyncio.create_task(settings.run())
    await _apply(settings, source, publication)
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    task.cancel()
    return traced_bytes


def _publications(
    tree: dict[str, Any], changes: int, random_source: random.Random
) -> Any:
    publication = publish.publish(json.dumps(tree))
    yield publication
    child_customers = tree["users"]["site"]["users"]
    for number in range(changes):
        name = random_source.choice(sorted(child_customers))
        child_customers[name]["share"] = 2.0 + number
        tree["revision"] += 1
        publication = publish.publish(json.dumps(tree), publication)
        yield publication


def _controller(source: _InMemorySource) -> controller_lib.SettingsController:
    store = store_lib.PartStore()
    return controller_lib.SettingsController(
        store,
        fetch.Fetcher(store, lambda *_: [source]),
        resolve.Resolver(),
        log_lib.open_log("measure", io.StringIO()),
        metrics_lib.Metrics(),
        audit_lib.AuditTrail("measure", io.StringIO()),
    )


async def _apply(
    settings: controller_lib.SettingsController,
    source: _InMemorySource,
    publication: publish.Publication,
) -> float:
    source.texts_by_hash = publication.texts_by_hash
    started_at = time.process_time()
    outcome = await settings.submit(publication.head, "")
    cpu_s = time.process_time() - started_at
    if outcome is not controller_lib.Outcome.ACCEPTED:
        raise RuntimeError(f"controller did not accept the revision: {outcome}")
    return cpu_s


def simulate_gossip(vms: int, seed: int = 1) -> GossipSpread:
    """Simulates the gossip of a revision that one VM read from the platform.

    No message is lost.

    Args:
      vms: Number of VMs.
      seed: Seed for choosing peers.

    Returns:
      How many VMs the revision reached, and the cost.
    """
    random_source = random.Random(seed)
    names = [f"vm{number}" for number in range(vms)]
    informed = {names[0]}
    newly_informed = set(informed)
    rounds = 0
    peers_per_vm = leaving_notices.gossip_fanout(vms - 1, from_platform=True)
    while newly_informed:
        rounds += 1
        recipients: set[str] = set()
        for name in sorted(newly_informed):
            others = [peer for peer in names if peer != name]
            recipients |= set(
                leaving_notices.sample_peers(
                    others, peers_per_vm, random_source
                )
            )
        newly_informed = recipients - informed
        informed |= newly_informed
        peers_per_vm = leaving_notices.gossip_fanout(vms - 1)
    message = gossip.ExchangeMessage(
        url="http://10.0.0.1:7000", revision=10**6, index="f" * 32
    )
    return GossipSpread(
        vms=vms,
        rounds=rounds,
        informed_vms=len(informed),
        messages=peers_per_vm,
        message_bytes=len(codec.encode(message)),
    )


def resident_bytes(users: int, endpoints: int) -> int:
    """Returns the resident memory, in bytes, of a process with these settings.

    Must be called in a new process, since memory that was used once stays
    resident.

    Args:
      users: Number of child customers.
      endpoints: Number of engines.
    """
    publication = publish.publish(json.dumps(tree_of_size(users, endpoints)))
    source = _InMemorySource()

    async def build_controller() -> controller_lib.SettingsController:
        settings = _controller(source)
        task = asyncio.create_task(settings.run())
        await _apply(settings, source, publication)
        task.cancel()
        return settings

    settings = asyncio.run(build_controller())
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    del settings
    return pages * 4096
