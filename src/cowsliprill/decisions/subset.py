"""Which engines an entry uses that holds leases, when there are many.

One that places the requests of all entries uses all of a pool's engines.
"""

from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import model

# Engines of each kind that an entry uses of one pool. With fifty requests a
# second of some seconds each an entry fills about a dozen decode engines.
PREFILLS_MAX = 8
DECODES_MAX = 24


def choose(
    endpoints: Iterable[model.Endpoint],
    limit: int,
    seed: int,
    availability_zone: str,
) -> list[model.Endpoint]:
    """Picks an entry's engines by rendezvous hashing.

    Engines of the entry's own availability zone make up at most half, so that
    the loss of a zone leaves the entry with engines. A change of one engine
    changes one choice at most.

    Args:
      endpoints: Engines of one kind and pool.
      limit: How many to pick.
      seed: Tells entries apart.
      availability_zone: Where the entry is.

    Returns:
      All engines if there are few, else `limit` of them, by id.
    """
    found = list(endpoints)
    if len(found) <= limit:
        return sorted(found, key=lambda endpoint: endpoint.id)
    ranked = sorted(found, key=lambda endpoint: _score(seed, endpoint.id))
    near = [
        endpoint
        for endpoint in ranked
        if endpoint.availability_zone == availability_zone
    ][: limit // 2]
    near_ids = {endpoint.id for endpoint in near}
    rest = [endpoint for endpoint in ranked if endpoint.id not in near_ids]
    picked = near + rest[: limit - len(near)]
    return sorted(picked, key=lambda endpoint: endpoint.id)


def _score(seed: int, endpoint_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{seed}\0{endpoint_id}".encode())
