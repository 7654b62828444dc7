"""Joint selection of a prefill and a decode engine for one request."""

import dataclasses
from collections.abc import Callable
from typing import NamedTuple


class CostParts(NamedTuple):
    """Parts of a candidate's cost, in seconds.

    Attributes:
      prefill: Waiting and prefill at a prefill engine.
      cross_zone: Network delay and price of traffic between zones.
      memory: Slowdown by the occupied KV cache memory.
      loss: Expected time lost by a failed attempt.
      decode: Extra decode time compared with the fastest engine.
    """

    prefill: float = 0.0
    cross_zone: float = 0.0
    memory: float = 0.0
    loss: float = 0.0
    decode: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine with a free leased slot.

    Attributes:
      id: Id of the engine.
      cost_s: Seconds that this engine adds to the time to first token: waiting
        and prefill at a prefill engine, queueing and network delay at a
        decode engine.
      parts: Parts of `cost_s`.
    """

    id: str
    cost_s: float
    parts: CostParts = CostParts()


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePair:
    """A prefill engine and a decode engine selected for one request.

    Attributes:
      prefill_id: Id of the engine that runs the prefill.
      decode_id: Id of the engine that generates the tokens.
      cost_s: Expected time to first token in seconds.
    """

    prefill_id: str
    decode_id: str
    cost_s: float


def select_pair(
    prefills: list[Candidate],
    decodes: list[Candidate],
    transfer_s: Callable[[str, str], float],
) -> EnginePair | None:
    """Finds the pair with the least expected time to first token.

    Candidates are tried in order of cost. As the transfer time is never
    negative, the search stops once the cost of the engines exceeds that of the
    best pair so far. The result is the same as that of an exhaustive search.

    Args:
      prefills: Prefill engines.
      decodes: Decode engines.
      transfer_s: Returns the expected time in seconds of the KV cache transfer
        between a prefill and a decode engine; never negative.

    Returns:
      The best pair, the first by ids among equals; None without candidates.
    """
    best: EnginePair | None = None
    decodes_by_cost = sorted(
        decodes, key=lambda candidate: (candidate.cost_s, candidate.id)
    )
    for prefill in sorted(
        prefills, key=lambda candidate: (candidate.cost_s, candidate.id)
    ):
        for decode in decodes_by_cost:
            engines_s = prefill.cost_s + decode.cost_s
            if best is not None and engines_s > best.cost_s:
                break
            total_s = engines_s + transfer_s(prefill.id, decode.id)
            pair = EnginePair(prefill.id, decode.id, total_s)
            if best is None or _rank(pair) < _rank(best):
                best = pair
    return best


def _rank(pair: EnginePair) -> tuple[float, str, str]:
    return (pair.cost_s, pair.prefill_id, pair.decode_id)
