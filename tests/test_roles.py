"""Which engines of a pool read prompts, and which write answers."""

import dataclasses
import random

from cowsliprill.decisions import model
from cowsliprill.decisions import roles

# Longer than any lack has to last before an engine is ordered.
_LASTS_S = 6.5


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


def _orders(engines, plan=None, now=0.0, part=roles.DEFAULT_PREFILL_SHARE):
    """Returns what is ordered once whatever is amiss has lasted."""
    plan = plan or roles.Roles()
    plan.next_order(engines, now, part)
    now += _LASTS_S
    orders = []
    while (order := plan.next_order(engines, now, part)) is not None:
        plan.ordered(order, now)
        orders.append(order)
    return orders


class TestRoles:
    """The plan for one pool."""

    def test_surplus_prefill_engines_write_answers(self):
        """A pool was bought with four prefill and five decode engines.

        Its prefill engines are idle nine tenths of the time, while callers
        are refused because the decode engines have no memory left.
        """
        orders = _orders(_pool(4, 5))
        assert [order.kind for order in orders] == ["decode", "decode"]
        assert len({order.endpoint.id for order in orders}) == 2

    def test_one_prefill_engine_is_enough_for_a_small_pool(self):
        """Four engines, two for prompts and two for answers.

        Prompts take a fifth of the work. A third of a calm day's callers was
        refused for lack of memory while two prefill engines stood idle.
        """
        assert len(_orders(_pool(2, 2))) == 1
        assert len(_orders(_pool(2, 3))) == 1
        assert _orders(_pool(1, 3)) == []

    def test_a_large_pool_keeps_its_part(self):
        assert len(_orders(_pool(11, 19))) == 4
        assert roles.optimal_prefill_count(30, roles.DEFAULT_PREFILL_SHARE) == 7

    def test_engines_are_divided_as_the_work_is(self):
        """Callers turn from short prompts to long ones with short answers.

        Prompts queue for seconds while memory for answers is free.
        """
        orders = _orders(_pool(1, 3), part=0.6)
        assert [order.kind for order in orders] == ["prefill"]
        assert roles.optimal_prefill_count(9, 0.5) in (4, 5)
        assert roles.optimal_prefill_count(9, 0.0) == 1
        assert roles.optimal_prefill_count(9, 1.0) == 8

    def test_a_small_gain_is_no_reason_to_change(self):
        """The work's division swings a little from burst to burst.

        Each change takes an engine away for seconds, so callers would be
        refused more often than without any.
        """
        for part in (0.18, 0.2, 0.24, 0.26):
            assert _orders(_pool(2, 7), part=part) == []

    def test_a_pool_that_lost_its_prefill_engines_gets_one_back(self):
        """One of two prefill engines of a large pool is lost.

        Prompts queue at the other one and callers are refused, while decode
        engines have room.
        """
        (order,) = _orders(_pool(1, 8))
        assert order.kind is model.EndpointKind.PREFILL
        assert order.endpoint.kind is model.EndpointKind.DECODE
        assert len(_orders(_pool(0, 3))) == 1

    def test_a_crashed_prefill_engine_is_waited_for(self):
        """A pool's only prefill engine crashes and is back after two seconds.

        A decode engine that was told at once to stand in for it is missing
        for six seconds itself, and so is the next one that is told to change
        back: callers wait for 13 s.
        """
        plan = roles.Roles()
        assert plan.next_order(_pool(0, 3), 0.0) is None
        assert plan.next_order(_pool(0, 3), 2.0) is None
        back = [
            _engine(9, model.EndpointKind.PREFILL, life="2"),
            *_pool(0, 3),
        ]
        for tenths in range(21, 200):
            assert plan.next_order(back, tenths / 10) is None

    def test_a_successor_that_starts_first_is_no_surplus(self):
        """A release starts a new prefill engine, then the old one leaves.

        Told to write answers, the new one would leave the pool without any
        engine for prompts as soon as the old one is gone.
        """
        plan = roles.Roles()
        both = [*_pool(1, 3), _engine(9, model.EndpointKind.PREFILL)]
        assert plan.next_order(_pool(1, 3), 0.0) is None
        assert plan.next_order(both, 1.0) is None
        assert (
            plan.next_order(both, 1.0 + roles.MIN_SURPLUS_DURATION_S - 0.1)
            is None
        )
        assert (
            plan.next_order(both[1:], 1.0 + roles.MIN_SURPLUS_DURATION_S)
            is None
        )

    def test_the_last_decode_engine_stays(self):
        assert _orders(_pool(0, 1)) == []
        assert _orders([]) == []

    def test_no_pool_changes_to_and_fro(self):
        for engines in range(1, 80):
            for prefills in range(engines + 1):
                orders = _orders(_pool(prefills, engines - prefills))
                kinds = {order.kind for order in orders}
                assert len(kinds) <= 1, (engines, prefills)

    def test_plain_endpoints_are_no_engines(self):
        plain = [_engine(number, model.EndpointKind.PLAIN) for number in (8, 9)]
        assert _orders(plain) == []

    def test_those_that_stay_are_in_different_zones(self):
        engines = [
            _engine(1, model.EndpointKind.PREFILL, "a"),
            _engine(2, model.EndpointKind.PREFILL, "b"),
            _engine(3, model.EndpointKind.PREFILL, "b"),
        ]
        assert _orders(engines)[0].endpoint.availability_zone == "b"

    def test_an_engine_is_not_ordered_again_while_it_changes(self):
        """An engine ends its work and changes for seconds after an order.

        The registry lists it as before until then. A second order meanwhile
        would be of no use and might come from a process that leads no more.
        """
        plan = roles.Roles()
        engines = _pool(2, 2)
        (first,) = _orders(engines, plan, 0.0)
        ends = _LASTS_S + roles.ROLE_CHANGE_COOLDOWN_S
        assert plan.next_order(engines, ends - 0.1) is None
        assert _orders(engines, plan, ends) == [first]

    def test_an_engine_that_started_again_under_its_id_is_ordered_again(self):
        plan = roles.Roles()
        decodes = [_engine(4, model.EndpointKind.DECODE)]
        prefills = [
            _engine(number, model.EndpointKind.PREFILL) for number in (1, 2)
        ]
        (order,) = _orders(prefills + decodes, plan, 0.0)
        reborn = [
            _engine(number, model.EndpointKind.PREFILL, life="2")
            for number in (1, 2)
        ]
        orders = _orders(reborn + decodes, plan, _LASTS_S + 1.0)
        assert [item.endpoint.id for item in orders] == [order.endpoint.id]

    def test_no_order_while_another_takes_effect(self):
        """Traffic turns while an engine is still changing.

        It counts as what it will be. Another one ordered in exchange would
        leave the pool without an engine for prompts until the first is back.
        """
        plan = roles.Roles()
        engines = _pool(1, 3)
        (order,) = _orders(engines, plan, 0.0, part=0.6)
        assert order.kind is model.EndpointKind.PREFILL
        assert _orders(engines, plan, _LASTS_S + 1.0, part=0.1) == []


class _PlayedPool:
    """A pool whose engines crash, start again, are replaced and leave."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.plan = roles.Roles()
        self.part = roles.DEFAULT_PREFILL_SHARE
        self.next_number = 4
        self.engines = {item.id: item for item in _pool(2, 2)}
        self.due: list[tuple[float, model.Endpoint]] = []

    def step(self, now: float) -> None:
        """Lets one thing happen, then orders what the plan wants."""
        for at, engine in [item for item in self.due if item[0] <= now]:
            self.due.remove((at, engine))
            self.engines[engine.id] = engine
        match self.rng.randrange(40):
            case 0:
                self._crash(now)
            case 1:
                self._release(now)
            case 2:
                self._remove()
            case 3:
                self.part = self.rng.uniform(0.05, 0.9)
        order = self.plan.next_order(self.engines.values(), now, self.part)
        if order is not None:
            self.check(order)
            self.plan.ordered(order, now)
            changed = dataclasses.replace(order.endpoint, kind=order.kind)
            del self.engines[order.endpoint.id]
            self.due.append((now + 7.0, changed))

    def check(self, order: roles.Order) -> None:
        """Fails if an order takes the last engine that reads prompts."""
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
            reborn = dataclasses.replace(engine, life=str(now))
            self.due.append((now + self.rng.uniform(1.0, 5.0), reborn))

    def _release(self, now: float) -> None:
        if self.engines:
            old = self.engines[self.rng.choice(sorted(self.engines))]
            new = _engine(self.next_number, old.kind)
            self.next_number += 1
            self.engines[new.id] = new
            self.due.append((now + 1.0, dataclasses.replace(old, life="gone")))

    def _remove(self) -> None:
        if len(self.engines) > 2:
            del self.engines[self.rng.choice(sorted(self.engines))]


class TestAlwaysAReader:
    """Whatever happens to a pool, no order takes its last reader."""

    def test_random_days(self):
        """Engines crash, start again, are replaced and leave; traffic turns.

        A plan that orders the last engine that reads prompts to write answers
        has callers wait for seconds until another one has changed.
        """
        for seed in range(60):
            played = _PlayedPool(seed)
            for tenths in range(1_200):
                played.step(tenths / 10)
