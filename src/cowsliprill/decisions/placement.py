"""Joint choice of a prefill and a decode engine for one request."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine with a free leased slot.

    Attributes:
      id: The engine.
      cost_s: Seconds that it alone adds to the time to first token: waiting
        and computing at a prefill engine, queueing news at a decode engine.
    """

    id: str
    cost_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """A choice.

    Attributes:
      prefill_id: Where the prompt is computed.
      decode_id: Where the answer is generated.
      cost_s: Expected time to first token.
    """

    prefill_id: str
    decode_id: str
    cost_s: float


def choose(
    prefills: list[Candidate],
    decodes: list[Candidate],
    transfer_s: Callable[[str, str], float],
) -> Pair | None:
    """Finds the pair with the least expected time to first token.

    The candidates are tried cheapest first. As a transfer never takes less
    than nothing, the search ends once the engines alone cost more than the
    best pair so far; that leaves the result the same as trying all.

    Args:
      prefills: Prefill engines.
      decodes: Decode engines.
      transfer_s: Expected seconds of the transfer between a prefill and a
        decode engine, never negative.

    Returns:
      The best pair, the first by ids among equals; None without candidates.
    """
    best: Pair | None = None
    by_cost = sorted(decodes, key=lambda engine: (engine.cost_s, engine.id))
    for prefill in sorted(
        prefills, key=lambda engine: (engine.cost_s, engine.id)
    ):
        for decode in by_cost:
            alone = prefill.cost_s + decode.cost_s
            if best is not None and alone > best.cost_s:
                break
            cost = alone + transfer_s(prefill.id, decode.id)
            pair = Pair(prefill.id, decode.id, cost)
            if best is None or _key(pair) < _key(best):
                best = pair
    return best


def _key(pair: Pair) -> tuple[float, str, str]:
    return (pair.cost_s, pair.prefill_id, pair.decode_id)
