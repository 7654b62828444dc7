"""Limits how many engines of a large pool an entry process leases slots on.

A scheduler that places the requests of all entry processes isn't limited; it
uses every engine of the pool.
"""

from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import model

# Engines of one pool, per kind, that an entry process uses. At 50 requests per
# second of a few seconds each, an entry process fills about a dozen decode
# engines.
MAX_PREFILL_ENGINES = 8
MAX_DECODE_ENGINES = 24


def choose_engines(
    endpoints: Iterable[model.Endpoint],
    limit: int,
    seed: int,
    availability_zone: str,
) -> list[model.Endpoint]:
    """Picks the engines of an entry process by rendezvous hashing.

    At most half of the limit is reserved for engines of the process's own
    availability zone, so that engines remain when that zone fails. Adding or
    removing one engine changes at most one pick.

    Args:
      endpoints: Engines of one kind and pool.
      limit: Maximum number of engines.
      seed: Seed of the hash, different for each entry process.
      availability_zone: Availability zone of the entry process.

    Returns:
      All engines if there are at most `limit`, otherwise `limit` of them;
      sorted by id.
    """
    candidates = list(endpoints)
    if len(candidates) <= limit:
        return sorted(candidates, key=lambda endpoint: endpoint.id)
    ranked = sorted(candidates, key=lambda endpoint: _score(seed, endpoint.id))
    own_zone = [
        endpoint
        for endpoint in ranked
        if endpoint.availability_zone == availability_zone
    ][: limit // 2]
    own_zone_ids = {endpoint.id for endpoint in own_zone}
    remaining = [
        endpoint for endpoint in ranked if endpoint.id not in own_zone_ids
    ]
    picked = own_zone + remaining[: limit - len(own_zone)]
    return sorted(picked, key=lambda endpoint: endpoint.id)


def _score(seed: int, endpoint_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{seed}\0{endpoint_id}".encode())
