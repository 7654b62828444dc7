"""Tests of `decisions.roles`: assignment of prefill and decode roles."""

import dataclasses
import random

from cowsliprill.decisions import model
from cowsliprill.decisions import role_planner

# Exceeds the time that an imbalance must last before a role change.
_SUSTAINED_S = 6.5


def _engine(number, kind, zone="a", life=""):
    return model.Endpoint(
        id=f"e{number}",
        kind=kind,
        host="10.0.0.1",
        port=number,
        availability_zone=zone,
        pool="writers",
        slots=1,
        life=life,
    )


def _pool(prefills, decodes):
    kinds = [model.EndpointKind.PREFILL] * prefills
    kinds += [model.EndpointKind.DECODE] * decodes
    return [_engine(number, kind) for number, kind in enumerate(kinds)]


def _orders(
    engines,
    planner=None,
    now=0.0,
    prefill_fraction=role_planner.DEFAULT_PREFILL_FRACTION,
):
    """Returns the orders issued once an imbalance is sustained."""
    planner = planner or role_planner.RolePlanner()
    planner.next_order(engines, now, prefill_fraction)
    now += _SUSTAINED_S
    orders = []
    while (
        order := planner.next_order(engines, now, prefill_fraction)
    ) is not None:
        planner.order_sent(order, now)
        orders.append(order)
    return orders


class TestSoftwareVersions:
    """Roles while engines of several software versions serve."""

    @staticmethod
    def _versions(engines, *versions):
        return [
            dataclasses.replace(engine, software_version=version)
            for engine, version in zip(engines, versions, strict=True)
        ]

    def test_last_decode_engine_of_a_version_is_kept(self):
        """Guards against streams that no engine of their version resumes."""
        pool = self._versions(_pool(1, 5), "v2", *(["v2"] * 4), "v1")
        (order, *_) = _orders(pool, prefill_fraction=0.4)
        assert order.kind is model.EndpointKind.PREFILL
        assert order.endpoint.software_version == "v2"

    def test_version_without_decode_engines_gets_one(self):
        """Guards against a version with prefill engines only."""
        pool = self._versions(_pool(4, 3), "v1", "v2", "v2", "v2", *["v2"] * 3)
        (order, *_) = _orders(pool)
        assert order.kind is model.EndpointKind.DECODE
        assert order.endpoint.software_version == "v1"


class TestRolePlanner:
    """Role changes planned for one pool."""

    def test_surplus_prefill_engines_become_decode_engines(self):
        """A pool is provisioned with four prefill and five decode engines.

        Its prefill engines are idle 90% of the time, while requests are
        rejected because the decode engines are out of KV cache memory.
        """
        orders = _orders(_pool(4, 5))
        assert [order.kind for order in orders] == ["decode", "decode"]
        assert len({order.endpoint.id for order in orders}) == 2

    def test_small_pool_keeps_one_prefill_engine(self):
        """Four engines are split 2:2, although prefill is a fifth of the load.

        At moderate load a third of the requests was rejected for lack of KV
        cache memory while two prefill engines were idle.
        """
        assert len(_orders(_pool(2, 2))) == 1
        assert len(_orders(_pool(2, 3))) == 1
        assert _orders(_pool(1, 3)) == []

    def test_large_pool_keeps_proportional_prefill_engines(self):
        assert len(_orders(_pool(11, 19))) == 4
        assert (
            role_planner.optimal_prefill_count(
                30, role_planner.DEFAULT_PREFILL_FRACTION
            )
            == 7
        )

    def test_split_follows_the_load(self):
        """Traffic shifts from short prompts to long ones with short outputs.

        Prefills queue for seconds while decode memory is free.
        """
        orders = _orders(_pool(1, 3), prefill_fraction=0.6)
        assert [order.kind for order in orders] == ["prefill"]
        assert role_planner.optimal_prefill_count(9, 0.5) in (4, 5)
        assert role_planner.optimal_prefill_count(9, 0.0) == 1
        assert role_planner.optimal_prefill_count(9, 1.0) == 8

    def test_small_gain_triggers_no_change(self):
        """The prefill fraction fluctuates slightly from burst to burst.

        Each role change makes an engine unavailable for seconds, so more
        requests would be rejected than without any change.
        """
        for prefill_fraction in (0.18, 0.2, 0.24, 0.26):
            assert _orders(_pool(2, 7), prefill_fraction=prefill_fraction) == []

    def test_lost_prefill_engine_is_replaced(self):
        """One of two prefill engines of a large pool is lost.

        Prefills queue at the other one and requests are rejected, while decode
        engines have free capacity.
        """
        (order,) = _orders(_pool(1, 8))
        assert order.kind is model.EndpointKind.PREFILL
        assert order.endpoint.kind is model.EndpointKind.DECODE
        assert len(_orders(_pool(0, 3))) == 1

    def test_crashed_prefill_engine_may_restart_before_a_change(self):
        """A pool's only prefill engine crashes and restarts within 2 s.

        A decode engine that replaces it at once is unavailable for 6 s, and so
        is the one that has to change back: callers wait for 13 s.
        """
        planner = role_planner.RolePlanner()
        assert planner.next_order(_pool(0, 3), 0.0) is None
        assert planner.next_order(_pool(0, 3), 2.0) is None
        with_restarted = [
            _engine(9, model.EndpointKind.PREFILL, life="2"),
            *_pool(0, 3),
        ]
        for tenths in range(21, 200):
            assert planner.next_order(with_restarted, tenths / 10) is None

    def test_rolling_restart_causes_no_surplus(self):
        """A rolling restart starts a prefill engine before the old one stops.

        If the new one were changed to decode, the pool would be left without a
        prefill engine as soon as the old one stops.
        """
        planner = role_planner.RolePlanner()
        old_and_new = [*_pool(1, 3), _engine(9, model.EndpointKind.PREFILL)]
        assert planner.next_order(_pool(1, 3), 0.0) is None
        assert planner.next_order(old_and_new, 1.0) is None
        assert (
            planner.next_order(
                old_and_new, 1.0 + role_planner.MIN_SURPLUS_DURATION_S - 0.1
            )
            is None
        )
        assert (
            planner.next_order(
                old_and_new[1:], 1.0 + role_planner.MIN_SURPLUS_DURATION_S
            )
            is None
        )

    def test_last_decode_engine_stays(self):
        assert _orders(_pool(0, 1)) == []
        assert _orders([]) == []

    def test_no_pool_oscillates(self):
        for engines in range(1, 80):
            for prefills in range(engines + 1):
                orders = _orders(_pool(prefills, engines - prefills))
                kinds = {order.kind for order in orders}
                assert len(kinds) <= 1, (engines, prefills)

    def test_plain_endpoints_are_ignored(self):
        plain = [_engine(number, model.EndpointKind.PLAIN) for number in (8, 9)]
        assert _orders(plain) == []

    def test_remaining_engines_are_in_different_zones(self):
        engines = [
            _engine(1, model.EndpointKind.PREFILL, "a"),
            _engine(2, model.EndpointKind.PREFILL, "b"),
            _engine(3, model.EndpointKind.PREFILL, "b"),
        ]
        assert _orders(engines)[0].endpoint.availability_zone == "b"

    def test_engine_is_not_ordered_again_while_it_changes(self):
        """An engine takes seconds to drain and to change its role.

        The registry lists its old role until then. A second order would be
        useless and might come from a process that is no longer the leader.
        """
        planner = role_planner.RolePlanner()
        engines = _pool(2, 2)
        (first,) = _orders(engines, planner, 0.0)
        ends = _SUSTAINED_S + role_planner.ROLE_CHANGE_COOLDOWN_S
        assert planner.next_order(engines, ends - 0.1) is None
        assert _orders(engines, planner, ends) == [first]

    def test_restarted_engine_is_ordered_again(self):
        planner = role_planner.RolePlanner()
        decodes = [_engine(4, model.EndpointKind.DECODE)]
        prefills = [
            _engine(number, model.EndpointKind.PREFILL) for number in (1, 2)
        ]
        (order,) = _orders(prefills + decodes, planner, 0.0)
        restarted = [
            _engine(number, model.EndpointKind.PREFILL, life="2")
            for number in (1, 2)
        ]
        orders = _orders(restarted + decodes, planner, _SUSTAINED_S + 1.0)
        assert [item.endpoint.id for item in orders] == [order.endpoint.id]

    def test_no_order_while_the_opposite_change_is_pending(self):
        """Traffic shifts back while an engine is still changing.

        The engine is counted in its new role. If another one were ordered in
        exchange, the pool would have no prefill engine until the first has
        changed.
        """
        planner = role_planner.RolePlanner()
        engines = _pool(1, 3)
        (order,) = _orders(engines, planner, 0.0, prefill_fraction=0.6)
        assert order.kind is model.EndpointKind.PREFILL
        assert (
            _orders(engines, planner, _SUSTAINED_S + 1.0, prefill_fraction=0.1)
            == []
        )


class _SimulatedPool:
    """A pool whose engines crash, restart, are replaced and removed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.planner = role_planner.RolePlanner()
        self.prefill_fraction = role_planner.DEFAULT_PREFILL_FRACTION
        self.next_number = 4
        self.engines = {item.id: item for item in _pool(2, 2)}
        self.pending_starts: list[tuple[float, model.Endpoint]] = []

    def step(self, now: float) -> None:
        """Applies at most one random event, then a planned role change."""
        for at, engine in [
            item for item in self.pending_starts if item[0] <= now
        ]:
            self.pending_starts.remove((at, engine))
            self.engines[engine.id] = engine
        match self.rng.randrange(40):
            case 0:
                self._crash(now)
            case 1:
                self._release(now)
            case 2:
                self._remove()
            case 3:
                self.prefill_fraction = self.rng.uniform(0.05, 0.9)
        order = self.planner.next_order(
            self.engines.values(), now, self.prefill_fraction
        )
        if order is not None:
            self.check(order)
            self.planner.order_sent(order, now)
            changed = dataclasses.replace(order.endpoint, kind=order.kind)
            del self.engines[order.endpoint.id]
            self.pending_starts.append((now + 7.0, changed))

    def check(self, order: role_planner.RoleOrder) -> None:
        """Fails if a role change removes the last prefill engine."""
        stay = [
            item
            for item in self.engines.values()
            if item.kind is model.EndpointKind.PREFILL
            and item.id != order.endpoint.id
        ]
        assert stay or order.kind is model.EndpointKind.PREFILL

    def _crash(self, now: float) -> None:
        if self.engines:
            engine = self.engines.pop(self.rng.choice(sorted(self.engines)))
            restarted = dataclasses.replace(engine, life=str(now))
            self.pending_starts.append(
                (now + self.rng.uniform(1.0, 5.0), restarted)
            )

    def _release(self, now: float) -> None:
        if self.engines:
            old = self.engines[self.rng.choice(sorted(self.engines))]
            new = _engine(self.next_number, old.kind)
            self.next_number += 1
            self.engines[new.id] = new
            self.pending_starts.append(
                (now + 1.0, dataclasses.replace(old, life="gone"))
            )

    def _remove(self) -> None:
        if len(self.engines) > 2:
            del self.engines[self.rng.choice(sorted(self.engines))]


class TestLastPrefillEngine:
    """No role change removes the last prefill engine of a pool."""

    def test_random_events(self):
        """Engines crash, restart, are replaced or removed, and traffic shifts.

        If the last prefill engine became a decode engine, callers would wait
        for seconds until another one has changed.
        """
        for seed in range(60):
            simulated = _SimulatedPool(seed)
            for tenths in range(1_200):
                simulated.step(tenths / 10)
