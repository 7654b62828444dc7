"""Which engines of a pool should read prompts, and which write answers.

Pure. A prompt of 3,000 tokens keeps a prefill engine busy for 0.1 s. Its answer
fills a tenth of a decode engine's memory for 3.5 s, so answers need about four
engines for each one that prompts need. Users who buy one prefill engine for two
decode engines see the former idle while requests wait for memory at the latter.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence

from cowsliprill.decisions import model

# Part of a pool's engines that reads prompts. Prompts and answers of the sizes
# above keep both kinds equally busy at 0.2; a tenth of that is to spare.
PREFILL_PART = 0.22

# Prefill engines that stay in any case, so that the loss of one isn't felt.
LEAST_PREFILLS = 2

# After an order an engine ends its work and changes, which takes seconds, and
# the registry tells of it later still. It is not ordered again meanwhile.
ORDER_AGAIN_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An engine that should change.

    Attributes:
      endpoint: The engine.
      kind: What it should be.
    """

    endpoint: model.Endpoint
    kind: model.EndpointKind


class Roles:
    """Plans the changes of one pool and remembers which were ordered."""

    def __init__(self) -> None:
        self._ordered_at_by_life: dict[tuple[str, str], float] = {}

    def next_order(
        self, endpoints: Iterable[model.Endpoint], now: float
    ) -> Order | None:
        """Returns the most useful change, if one is due.

        Args:
          endpoints: The pool's engines, without those that leave.
          now: Time, seconds.
        """
        self._forget(now)
        engines = [
            item
            for item in endpoints
            if item.kind is not model.EndpointKind.PLAIN
        ]
        prefills = [
            item
            for item in engines
            if item.kind is model.EndpointKind.PREFILL
            and not self._is_ordered(item)
        ]
        if len(prefills) <= prefills_wanted(len(engines)):
            return None
        return Order(
            endpoint=_most_needless(prefills), kind=model.EndpointKind.DECODE
        )

    def ordered(self, order: Order, now: float) -> None:
        """Notes that an order is on its way; it may or may not arrive."""
        self._ordered_at_by_life[_life(order.endpoint)] = now

    def _is_ordered(self, endpoint: model.Endpoint) -> bool:
        return _life(endpoint) in self._ordered_at_by_life

    def _forget(self, now: float) -> None:
        self._ordered_at_by_life = {
            life: at
            for life, at in self._ordered_at_by_life.items()
            if now - at < ORDER_AGAIN_S
        }


def prefills_wanted(engines: int) -> int:
    """Returns how many engines of a pool should read prompts.

    Args:
      engines: How many the pool has.
    """
    return max(round(engines * PREFILL_PART), LEAST_PREFILLS)


def _most_needless(prefills: Sequence[model.Endpoint]) -> model.Endpoint:
    # One of the availability zone that has most of them: those that stay
    # should not all be lost with one zone.
    by_zone: dict[str, int] = {}
    for item in prefills:
        zone = item.availability_zone
        by_zone[zone] = by_zone.get(zone, 0) + 1
    return max(
        prefills, key=lambda item: (by_zone[item.availability_zone], item.id)
    )


def _life(endpoint: model.Endpoint) -> tuple[str, str]:
    return (endpoint.id, endpoint.life)
