"""What settings cost a process, by size: for docs/CAPACITY.md and its tool.

The figures come from the code that runs in the settings process and, but for
the audit trail and the exchange, in every follower.
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
_PREFILL_SHARE = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeCost:
    """What one change of one customer costs at one size.

    Attributes:
      users: Child users in the settings.
      endpoints: Endpoints in the settings.
      parts: Parts that the tree is split into.
      index_bytes: Size of the index.
      tree_bytes: Size of all parts.
      cpu_s: CPU time to put one change in force, seconds.
      first_cpu_s: CPU time to put the first revision in force, seconds.
      moved_bytes: Bytes of values read for one change: the head and what
        changed, without the protocol's own.
      memory_bytes: Memory that the settings in force take in all.
    """

    users: int
    endpoints: int
    parts: int
    index_bytes: int
    tree_bytes: int
    cpu_s: float
    first_cpu_s: float
    moved_bytes: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Spread:
    """How one piece of news spreads between settings processes.

    Attributes:
      vms: Number of VMs.
      rounds: Rounds of messages until no VM has anything new to tell.
      reached: VMs that know it then; the regular exchange tells the rest.
      messages: Messages sent by each VM that heard of it from a peer; one
        that read it from the platform sends `news.gossip_fanout` of that.
      message_bytes: Size of one message, without the protocol's own bytes.
    """

    vms: int
    rounds: int
    reached: int
    messages: int
    message_bytes: int


def tree_of_size(users: int, endpoints: int) -> dict[str, Any]:
    """Makes settings of a size: child users of one customer, engines, services.

    Args:
      users: Number of child users, each with one API key.
      endpoints: Number of engines, one in three for prefill.

    Returns:
      The tree.
    """
    services = {
        f"model-{number}": {"kind": "model", "pool": f"pool-{number}"}
        for number in range(_MODELS)
    }
    firms = {f"firm-{number}": _firm(number) for number in range(users)}
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
        "users": {"site": {"services": services, "users": firms}},
        "pools": pools,
    }


def _firm(number: int) -> dict[str, Any]:
    digest = api_keys.digest(f"key-{number}")
    return {"key_hashes": [digest], "share": 1.0}


def _engine(number: int) -> dict[str, Any]:
    kind = "decode" if number % _PREFILL_SHARE else "prefill"
    return {
        "kind": kind,
        "host": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        "port": 8_000,
        "availability_zone": f"zone-{number % 10}",
        "vm": f"engine-vm-{number}",
    }


class _MemorySource:
    """Gives texts without a network and counts their bytes."""

    def __init__(self) -> None:
        self.texts_by_hash: dict[str, str] = {}
        self.read_bytes = 0

    async def fetch(self, hashes: list[str]) -> list[str]:
        texts = [self.texts_by_hash[each] for each in hashes]
        self.read_bytes += sum(map(len, texts))
        return texts


def change_cost(
    users: int, endpoints: int, changes: int = 20, seed: int = 1
) -> ChangeCost:
    """Measures what a change of one customer costs.

    Args:
      users: Number of child users.
      endpoints: Number of engines.
      changes: How many changes to measure.
      seed: Draws the users that change.

    Returns:
      The cost of one change.
    """
    return asyncio.run(_change_cost(users, endpoints, changes, seed))


async def _change_cost(
    users: int, endpoints: int, changes: int, seed: int
) -> ChangeCost:
    tree = tree_of_size(users, endpoints)
    publications = _publications(tree, changes, random.Random(seed))
    source = _MemorySource()
    first = next(publications)
    index = json.loads(first.texts_by_hash[first.head.index])
    memory_bytes = await _memory_bytes(first)
    settings = _controller(source)
    running = asyncio.create_task(settings.run())
    first_cpu_s = await _put(settings, source, first)
    source.read_bytes = 0
    cpu_s = 0.0
    head_bytes = 0
    for publication in publications:
        head_bytes += len(parts.encode_head(publication.head))
        cpu_s += await _put(settings, source, publication)
    running.cancel()
    return ChangeCost(
        users=users,
        endpoints=endpoints,
        parts=len(index),
        index_bytes=len(parts.encode_index(index)),
        tree_bytes=sum(map(len, first.texts_by_hash.values())),
        cpu_s=cpu_s / changes,
        first_cpu_s=first_cpu_s,
        moved_bytes=(source.read_bytes + head_bytes) / changes,
        memory_bytes=memory_bytes,
    )


async def _memory_bytes(publication: publish.Publication) -> int:
    # Apart from the measurement of time, which tracing would falsify.
    source = _MemorySource()
    tracemalloc.start()
    settings = _controller(source)
    running = asyncio.create_task(settings.run())
    await _put(settings, source, publication)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    running.cancel()
    return taken


def _publications(
    tree: dict[str, Any], changes: int, random_source: random.Random
) -> Any:
    publication = publish.publish(json.dumps(tree))
    yield publication
    firms = tree["users"]["site"]["users"]
    for number in range(changes):
        name = random_source.choice(sorted(firms))
        firms[name]["share"] = 2.0 + number
        tree["revision"] += 1
        publication = publish.publish(json.dumps(tree), publication)
        yield publication


def _controller(source: _MemorySource) -> controller_lib.SettingsController:
    store = store_lib.PartStore()
    return controller_lib.SettingsController(
        store,
        fetch.Fetcher(store, lambda *_: [source]),
        resolve.Resolver(),
        log_lib.open_log("measure", io.StringIO()),
        metrics_lib.Metrics(),
        audit_lib.AuditTrail("measure", io.StringIO()),
    )


async def _put(
    settings: controller_lib.SettingsController,
    source: _MemorySource,
    publication: publish.Publication,
) -> float:
    source.texts_by_hash = publication.texts_by_hash
    started_at = time.process_time()
    outcome = await settings.submit(publication.head, "")
    cpu_s = time.process_time() - started_at
    if outcome is not controller_lib.Outcome.ACCEPTED:
        raise RuntimeError(f"revision was not accepted: {outcome}")
    return cpu_s


def spread(vms: int, seed: int = 1) -> Spread:
    """Plays how a revision spreads that one VM alone read from the platform.

    All messages arrive.

    Args:
      vms: Number of VMs.
      seed: Draws the peers.

    Returns:
      How far it got and what it cost.
    """
    random_source = random.Random(seed)
    names = [f"vm{number}" for number in range(vms)]
    known = {names[0]}
    newly = set(known)
    rounds = 0
    count = leaving_notices.gossip_fanout(vms - 1, from_platform=True)
    while newly:
        rounds += 1
        told: set[str] = set()
        for name in sorted(newly):
            others = [each for each in names if each != name]
            told |= set(
                leaving_notices.sample_peers(others, count, random_source)
            )
        newly = told - known
        known |= newly
        count = leaving_notices.gossip_fanout(vms - 1)
    message = gossip.ExchangeMessage(
        url="http://10.0.0.1:7000", revision=10**6, index="f" * 32
    )
    return Spread(
        vms=vms,
        rounds=rounds,
        reached=len(known),
        messages=count,
        message_bytes=len(codec.encode(message)),
    )


def resident_bytes(users: int, endpoints: int) -> int:
    """Returns this process's resident memory with settings of a size in it.

    To be called in a process of its own, since memory that was used once stays
    resident.

    Args:
      users: Number of child users.
      endpoints: Number of engines.
    """
    publication = publish.publish(json.dumps(tree_of_size(users, endpoints)))
    source = _MemorySource()

    async def put() -> controller_lib.SettingsController:
        settings = _controller(source)
        running = asyncio.create_task(settings.run())
        await _put(settings, source, publication)
        running.cancel()
        return settings

    settings = asyncio.run(put())
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    del settings
    return pages * 4096
