"""All pools of one entry, as the settings and the VM list have them."""

import random

from cowsliprill.decisions import health
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import shares
from cowsliprill.decisions import subset

_LIMITS_BY_KIND = {
    model.EndpointKind.PREFILL: subset.PREFILLS_MAX,
    model.EndpointKind.DECODE: subset.DECODES_MAX,
}

_EndpointsByKind = dict[model.EndpointKind, list[model.Endpoint]]


class PoolSet:
    """The pools and the engines that this entry uses of each.

    Args:
      availability_zone: Where the entry is.
      seed: Tells entries apart.
      rng: Random numbers.
      engine_health: What the entry has learnt of the engines.
      owns_slots: Whether all slots are its own to use.

    Attributes:
      by_name: The pools.
      by_endpoint: The pool of each engine in use.
      entries: Entry processes in the VM list, at least 1.
      share: Part of each engine's slots that is its own to use.
    """

    def __init__(
        self,
        availability_zone: str,
        seed: int,
        rng: random.Random,
        engine_health: health.Health,
        *,
        owns_slots: bool = False,
    ) -> None:
        self._owns_slots = owns_slots
        self.share = 1.0
        self.by_name: dict[str, pools.Pool] = {}
        self.by_endpoint: dict[str, pools.Pool] = {}
        self.entries = 1
        self._availability_zone = availability_zone
        self._seed = seed
        self._random = rng
        self._health = engine_health

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Takes over new settings or a new VM list.

        Args:
          snapshot: The settings in force.
          fleet: The VM list with news.
        """
        processes = sum(
            len(vm.entry_ports) or 1
            for vm in fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
        )
        self.entries = 1 if self._owns_slots else max(processes, 1)
        shares_by_customer = shares.Shares(snapshot.customers_by_id)
        kinds_by_pool: dict[str, _EndpointsByKind] = {}
        # A changing engine turns away whatever comes. Prompts sent there before
        # the registry told of it cost each of their callers its only attempt.
        unusable = fleet.leaving_endpoint_ids | fleet.changing_endpoint_ids
        for endpoint in snapshot.endpoints_by_id.values():
            if endpoint.id not in unusable:
                kinds = kinds_by_pool.setdefault(endpoint.pool, {})
                kinds.setdefault(endpoint.kind, []).append(endpoint)
        self.by_endpoint = {}
        for name in kinds_by_pool.keys() | self.by_name.keys():
            pool = self._pool(name)
            pool.shares_by_customer = shares_by_customer
            self._set_engines(pool, kinds_by_pool.get(name, {}))
        self._health.forget_except(set(self.by_endpoint))

    def use_fallback(self, endpoint_ids: tuple[str, ...]) -> None:
        """Allows a small share of engines whose home can't be reached.

        It is half of an equal share: entries that still reach the home may
        hold the rest, and the engine refuses what is too much.

        Args:
          endpoint_ids: The engines.
        """
        for endpoint_id in endpoint_ids:
            pool = self.by_endpoint.get(endpoint_id)
            endpoint = pool and pool.endpoints_by_id.get(endpoint_id)
            if pool and endpoint:
                share = endpoint.slots // (2 * self.entries)
                pool.holding(endpoint_id).fallback = max(share, 1)

    def _pool(self, name: str) -> pools.Pool:
        pool = self.by_name.get(name)
        if pool is None:
            pool = pools.Pool(self._random, self._health)
            self.by_name[name] = pool
        return pool

    def _set_engines(self, pool: pools.Pool, kinds: _EndpointsByKind) -> None:
        pool.set_engines(
            self._used(kinds, model.EndpointKind.PREFILL),
            self._used(kinds, model.EndpointKind.DECODE),
        )
        for endpoint_id in pool.holdings_by_endpoint:
            self.by_endpoint[endpoint_id] = pool
        if self._owns_slots:
            self._own(pool)

    def _used(
        self, kinds: _EndpointsByKind, kind: model.EndpointKind
    ) -> list[model.Endpoint]:
        found = kinds.get(kind, [])
        if self._owns_slots:
            # Nobody else uses those that this one would leave out.
            return sorted(found, key=lambda endpoint: endpoint.id)
        return subset.choose(
            found, _LIMITS_BY_KIND[kind], self._seed, self._availability_zone
        )

    def _own(self, pool: pools.Pool) -> None:
        for endpoint in pool.endpoints_by_id.values():
            slots = int(endpoint.slots * self.share)
            pool.holding(endpoint.id).own(slots)

    def set_share(self, share: float) -> None:
        """Sets the part of each engine's slots that is its own to use."""
        self.share = share
        for pool in self.by_name.values():
            self._own(pool)
