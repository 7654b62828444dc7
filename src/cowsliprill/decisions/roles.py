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

# Below this part prompts queue while decode engines have room: nine engines
# with one for prompts refused half of a burst's requests. The gap between the
# two parts keeps engines from changing to and fro.
TOO_FEW_PART = 0.15

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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Ordered:
    at: float
    kind: model.EndpointKind


class Roles:
    """Plans the changes of one pool and remembers which were ordered."""

    def __init__(self) -> None:
        self._ordered_by_life: dict[tuple[str, str], _Ordered] = {}

    def next_order(
        self, endpoints: Iterable[model.Endpoint], now: float
    ) -> Order | None:
        """Returns the most useful change, if one is due.

        Args:
          endpoints: The pool's engines, without those that leave.
          now: Time, seconds.
        """
        self._forget(now)
        kinds = model.EndpointKind
        prefills: list[model.Endpoint] = []
        decodes: list[model.Endpoint] = []
        for endpoint in endpoints:
            match self._kind_soon(endpoint):
                case kinds.PREFILL:
                    prefills.append(endpoint)
                case kinds.DECODE:
                    decodes.append(endpoint)
        engines = len(prefills) + len(decodes)
        if len(prefills) > prefills_wanted(engines):
            surplus = self._settled(prefills)
            return _order(surplus, prefills, kinds.DECODE)
        if len(prefills) < engines * TOO_FEW_PART and len(decodes) > 1:
            surplus = self._settled(decodes)
            return _order(surplus, decodes, kinds.PREFILL)
        return None

    def ordered(self, order: Order, now: float) -> None:
        """Notes that an order is on its way; it may or may not arrive."""
        ordered = _Ordered(at=now, kind=order.kind)
        self._ordered_by_life[_life(order.endpoint)] = ordered

    def _kind_soon(self, endpoint: model.Endpoint) -> model.EndpointKind:
        ordered = self._ordered_by_life.get(_life(endpoint))
        return ordered.kind if ordered else endpoint.kind

    def _settled(self, endpoints: list[model.Endpoint]) -> list[model.Endpoint]:
        return [
            item
            for item in endpoints
            if _life(item) not in self._ordered_by_life
        ]

    def _forget(self, now: float) -> None:
        self._ordered_by_life = {
            life: ordered
            for life, ordered in self._ordered_by_life.items()
            if now - ordered.at < ORDER_AGAIN_S
        }


def prefills_wanted(engines: int) -> int:
    """Returns how many engines of a pool should read prompts.

    Args:
      engines: How many the pool has.
    """
    return max(round(engines * PREFILL_PART), LEAST_PREFILLS)


def _order(
    surplus: Sequence[model.Endpoint],
    same_kind: Sequence[model.Endpoint],
    kind: model.EndpointKind,
) -> Order | None:
    # One of the availability zone that has most of them: those that stay
    # should not all be lost with one zone.
    by_zone: dict[str, int] = {}
    for item in same_kind:
        zone = item.availability_zone
        by_zone[zone] = by_zone.get(zone, 0) + 1
    if not surplus:
        return None
    endpoint = max(
        surplus, key=lambda item: (by_zone[item.availability_zone], item.id)
    )
    return Order(endpoint=endpoint, kind=kind)


def _life(endpoint: model.Endpoint) -> tuple[str, str]:
    return (endpoint.id, endpoint.life)
