"""Pools of one scheduler, built from the cluster state."""

import random

from cowsliprill.decisions import customer_shares
from cowsliprill.decisions import engine_subset
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import rate_limits
from cowsliprill.decisions.engine_health import health

_LIMITS_BY_KIND = {
    model.EndpointKind.PREFILL: engine_subset.MAX_PREFILL_ENGINES,
    model.EndpointKind.DECODE: engine_subset.MAX_DECODE_ENGINES,
}

_EndpointsByKind = dict[model.EndpointKind, list[model.Endpoint]]


class PoolSet:
    """All pools, each with the subset of engines that this process uses.

    Args:
      availability_zone: Availability zone in which this process runs.
      seed: Seed for the choice of engines; it differs between processes.
      rng: Random number generator.
      engine_health: Health of the engines as seen by this process.
      owns_slots: Whether this process alone uses the engines, without leases.
      overload_control: Whether the overload ranking orders the requests.

    Attributes:
      pools_by_name: The pools.
      pools_by_endpoint: Pool of each engine in use, by endpoint id.
      entry_count: Number of entry processes that share the slots, at least 1.
      slot_fraction: Fraction of each engine's slots that may be used if
        `owns_slots` is set.
    """

    def __init__(
        self,
        availability_zone: str,
        seed: int,
        rng: random.Random,
        engine_health: health.EngineHealth,
        *,
        owns_slots: bool = False,
        overload_control: bool = False,
    ) -> None:
        self._owns_slots = owns_slots
        self._overload_control = overload_control
        self.slot_fraction = 1.0
        self.pools_by_name: dict[str, pools.Pool] = {}
        self.pools_by_endpoint: dict[str, pools.Pool] = {}
        self.entry_count = 1
        self._availability_zone = availability_zone
        self._seed = seed
        self._random = rng
        self._health = engine_health
        self._rate_limits: tuple[rate_limits.RateLimit, ...] = ()

    def update(
        self, snapshot: model.Snapshot, fleet: model.Fleet, now: float
    ) -> None:
        """Applies a new cluster state.

        Args:
          snapshot: Settings in force.
          fleet: VM list with the endpoints that are leaving or changing role.
          now: Current time in seconds.
        """
        entry_processes = sum(
            len(vm.entry_ports) or 1
            for vm in fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
        )
        self.entry_count = 1 if self._owns_slots else max(entry_processes, 1)
        shares_by_customer = customer_shares.CustomerShares(
            snapshot.customers_by_id
        )
        kinds_by_pool: dict[str, _EndpointsByKind] = {}
        # An engine that changes its role rejects all requests. A prompt that
        # is sent there can use up the only attempt of its request.
        unusable = fleet.leaving_endpoint_ids | fleet.changing_endpoint_ids
        for endpoint in snapshot.endpoints_by_id.values():
            if endpoint.id not in unusable:
                kinds = kinds_by_pool.setdefault(endpoint.pool, {})
                kinds.setdefault(endpoint.kind, []).append(endpoint)
        self.pools_by_endpoint = {}
        for name in kinds_by_pool.keys() | self.pools_by_name.keys():
            pool = self._pool(name)
            pool.shares_by_customer = shares_by_customer
            self._set_engines(pool, kinds_by_pool.get(name, {}))
        self._health.retain(set(self.pools_by_endpoint))
        self.set_rate_limits(self._rate_limits, now)

    def set_rate_limits(
        self, limits: tuple[rate_limits.RateLimit, ...], now: float
    ) -> None:
        """Sets the rate limits that endpoints name.

        Args:
          limits: All known limits.
          now: Current time in seconds.
        """
        self._rate_limits = limits
        for pool in self.pools_by_name.values():
            pool.rates.set_limits(
                [
                    limit
                    for limit in limits
                    if limit.is_of(pool.endpoints_by_id)
                ],
                now,
            )

    def use_fallback(self, endpoint_ids: tuple[str, ...]) -> None:
        """Allows some slots without a lease if the coordinator is unreachable.

        Each entry process may use half of an equal share. Entry processes that
        still reach the coordinator may have leased the other slots; the engine
        rejects requests beyond its capacity.

        Args:
          endpoint_ids: Endpoints whose coordinator can't be reached.
        """
        for endpoint_id in endpoint_ids:
            pool = self.pools_by_endpoint.get(endpoint_id)
            endpoint = pool and pool.endpoints_by_id.get(endpoint_id)
            if pool and endpoint:
                share = endpoint.slots // (2 * self.entry_count)
                pool.lease(endpoint_id).fallback_slots = max(share, 1)

    def _pool(self, name: str) -> pools.Pool:
        pool = self.pools_by_name.get(name)
        if pool is None:
            pool = pools.Pool(
                self._random,
                self._health,
                overload_control=self._overload_control,
            )
            self.pools_by_name[name] = pool
        return pool

    def _set_engines(self, pool: pools.Pool, kinds: _EndpointsByKind) -> None:
        pool.set_engines(
            self._usable(kinds, model.EndpointKind.PREFILL),
            self._usable(kinds, model.EndpointKind.DECODE),
        )
        for endpoint_id in pool.leases_by_endpoint:
            self.pools_by_endpoint[endpoint_id] = pool
        if self._owns_slots:
            self._assign_slots(pool)

    def _usable(
        self, kinds: _EndpointsByKind, kind: model.EndpointKind
    ) -> list[model.Endpoint]:
        found = kinds.get(kind, [])
        if self._owns_slots:
            # No other process would use engines that are left out here.
            return sorted(found, key=lambda endpoint: endpoint.id)
        return engine_subset.choose_engines(
            found, _LIMITS_BY_KIND[kind], self._seed, self._availability_zone
        )

    def _assign_slots(self, pool: pools.Pool) -> None:
        for endpoint in pool.endpoints_by_id.values():
            slots = int(endpoint.slots * self.slot_fraction)
            pool.lease(endpoint.id).assign_permanently(slots)

    def set_slot_fraction(self, slot_fraction: float) -> None:
        """Sets the fraction of each engine's slots that may be used."""
        self.slot_fraction = slot_fraction
        for pool in self.pools_by_name.values():
            pool.rates.fraction = slot_fraction
            self._assign_slots(pool)
