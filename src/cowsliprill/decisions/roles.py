"""Which engines of a pool should read prompts, and which write answers.

Pure. Prompts take the time of an engine that reads, answers take the memory of
one that writes. A pool serves as much as the shorter of the two allows, so the
engines are divided as the work is. Customers who buy one prefill engine for two
decode engines see the former idle while requests wait for memory at the latter:
of the worth of a calm day's requests four engines, two of them for prompts,
served 0.74, and with one for prompts 0.97.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence

from cowsliprill.decisions import model

# Part of a pool's work that prompts are, before any was seen: a prompt of some
# thousand tokens keeps a prefill engine busy for 0.1 s, and its answer fills a
# tenth of a decode engine's memory for some seconds.
USUAL_PROMPT_PART = 0.22

# A change is worth an engine's absence for some seconds only if it raises what
# the pool can serve by more than this factor. A smaller one would have engines
# change to and fro with each turn of the traffic.
WORTHWHILE = 1.15

# A surplus must last so long: the successor of a prefill engine that is about
# to leave is listed some seconds before that one says that it leaves.
SURPLUS_S = 2.0

# After an order an engine ends its work and changes, which takes seconds, and
# the registry tells of it later still. It is not ordered again meanwhile.
ORDER_AGAIN_S = 20.0

_Kind = model.EndpointKind


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
    answered: bool = False


class Roles:
    """Plans the changes of one pool and remembers which were ordered."""

    def __init__(self) -> None:
        self._ordered_by_life: dict[tuple[str, str], _Ordered] = {}
        self._wanted_since: tuple[model.EndpointKind, float] | None = None

    def next_order(
        self,
        endpoints: Iterable[model.Endpoint],
        now: float,
        prompt_part: float | None = None,
    ) -> Order | None:
        """Returns the most useful change, if one is due.

        Args:
          endpoints: The pool's engines, without those that leave.
          now: Time, seconds.
          prompt_part: Part of the pool's work that prompts are, from 0 to 1;
            None while it isn't known.
        """
        self._forget(now)
        if prompt_part is None:
            prompt_part = USUAL_PROMPT_PART
        engines = [item for item in endpoints if item.kind is not _Kind.PLAIN]
        prefills, decodes = self._divided(engines)
        kind = _missing_kind(
            len(prefills),
            len(decodes),
            prompt_part,
            began=any(self._changes(item) for item in engines),
        )
        if not self._has_lasted(kind, engines, now):
            return None
        if self._reverses(kind, engines):
            return None
        from_those = prefills if kind is _Kind.DECODE else decodes
        return _order(self._settled(from_those), from_those, kind)

    def ordered(self, order: Order, now: float) -> None:
        """Notes that an order is on its way; it may or may not arrive."""
        ordered = _Ordered(at=now, kind=order.kind)
        self._ordered_by_life[_life(order.endpoint)] = ordered

    def answered(self, order: Order) -> None:
        """Notes that the engine has taken an order."""
        life = _life(order.endpoint)
        ordered = self._ordered_by_life[life]
        self._ordered_by_life[life] = dataclasses.replace(
            ordered, answered=True
        )

    def changing(
        self, endpoints: Iterable[model.Endpoint]
    ) -> list[tuple[str, str]]:
        """Returns the engines that change, with what they will be."""
        found = []
        for item in endpoints:
            ordered = self._ordered_by_life.get(_life(item))
            if ordered and ordered.answered and ordered.kind is not item.kind:
                found.append((item.id, ordered.kind.value))
        return found

    def _divided(
        self, engines: list[model.Endpoint]
    ) -> tuple[list[model.Endpoint], list[model.Endpoint]]:
        """Returns those that read prompts soon, and those that don't."""
        prefills: list[model.Endpoint] = []
        decodes: list[model.Endpoint] = []
        for engine in engines:
            reads = self._kind_soon(engine) is _Kind.PREFILL
            (prefills if reads else decodes).append(engine)
        return prefills, decodes

    def _kind_soon(self, endpoint: model.Endpoint) -> model.EndpointKind:
        ordered = self._ordered_by_life.get(_life(endpoint))
        return ordered.kind if ordered else endpoint.kind

    def _has_lasted(
        self,
        kind: model.EndpointKind | None,
        engines: list[model.Endpoint],
        now: float,
    ) -> bool:
        """Returns whether a lack has lasted long enough for an order.

        An engine that crashes is back after some seconds, most often as what it
        was. One that is told to stand in for it is missing itself for as long
        as its change takes; waiting that long before costs no more than a
        second change would, and decode engines read prompts meanwhile.
        """
        if kind is None:
            self._wanted_since = None
            return False
        if self._wanted_since is None or self._wanted_since[0] is not kind:
            self._wanted_since = (kind, now)
        patience_s = SURPLUS_S
        if kind is _Kind.PREFILL:
            patience_s = max(item.role_change_s for item in engines)
        return now - self._wanted_since[1] >= patience_s

    def _reverses(
        self, kind: model.EndpointKind | None, engines: list[model.Endpoint]
    ) -> bool:
        """Returns whether an engine is still changing the other way.

        It counts as what it will be. Were another one ordered in exchange
        meanwhile, a pool of few engines would have none that reads prompts.
        """
        return any(
            self._changes(item) and item.kind is kind for item in engines
        )

    def _changes(self, endpoint: model.Endpoint) -> bool:
        return self._kind_soon(endpoint) is not endpoint.kind

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


def prefills_wanted(engines: int, prompt_part: float) -> int:
    """Returns how many engines of a pool should read prompts.

    Args:
      engines: How many the pool has.
      prompt_part: Part of the pool's work that prompts are, from 0 to 1.
    """
    return max(
        range(1, engines),
        key=lambda prefills: _capacity(
            prefills, engines - prefills, prompt_part
        ),
        default=0,
    )


def _capacity(prefills: int, decodes: int, prompt_part: float) -> float:
    """Returns what a division can serve, in engines that do both."""
    return min(
        prefills / prompt_part if prompt_part > 0 else float("inf"),
        decodes / (1 - prompt_part) if prompt_part < 1 else float("inf"),
    )


def _missing_kind(
    prefills: int, decodes: int, prompt_part: float, *, began: bool
) -> model.EndpointKind | None:
    """Returns of which kind there should be one more, None if of neither.

    Args:
      prefills: Engines that read prompts soon.
      decodes: The others.
      prompt_part: Part of the pool's work that prompts are.
      began: Whether engines change already: a division that was worth
        beginning is finished.
    """
    engines = prefills + decodes
    wanted = prefills_wanted(engines, prompt_part)
    if wanted in (0, prefills):
        return None
    now = _capacity(prefills, decodes, prompt_part)
    then = _capacity(wanted, engines - wanted, prompt_part)
    if then <= now * (1.0 if began else WORTHWHILE):
        return None
    return _Kind.PREFILL if wanted > prefills else _Kind.DECODE


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
