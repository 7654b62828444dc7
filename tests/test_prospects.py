"""Tests of `decisions.prospects`: whether a request is worth its wait."""

import random

from tests import test_cell

from cowsliprill.decisions import demand
from cowsliprill.decisions import health
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import prospects
from cowsliprill.decisions import queue

_NOW = 100.0
_SLOTS = 5_000
_SLOTS_A_REQUEST = 575
_ANSWER_S = 3.3
_USEFUL_S = 2.5


def _pool(requests_per_s: float, late: int) -> pools.Pool:
    """Returns 20 full engines that serve 53 requests a second, and a queue."""
    pool = pools.Pool(random.Random(1), health.Health())
    engines = [
        test_cell._engine(f"d{number}", model.EndpointKind.DECODE, _SLOTS)
        for number in range(20)
    ]
    prefills = [
        test_cell._engine(f"p{number}", model.EndpointKind.PREFILL, 3)
        for number in range(20)
    ]
    pool.set_engines(prefills, engines)
    for engine in engines:
        pool.holding(engine.id).own(_SLOTS)
        pool.holding(engine.id).take("", _SLOTS)
    pool.record_slots(_SLOTS_A_REQUEST)
    count = int(requests_per_s * 10)
    for number in range(count):
        pool.demand.add(
            demand.RequestDemand(
                arrived_at=_NOW - (count - number) / requests_per_s,
                customer="",
                priority=0,
                cost_s=_ANSWER_S * _SLOTS_A_REQUEST,
            )
        )
    for number in range(late):
        pool.queue.add(_waiting(number, late=True))
    return pool


def _waiting(number: int, *, late: bool) -> queue.Waiting:
    return queue.Waiting(
        submit=test_cell._submit(number, _NOW),
        start_deadline=_NOW + _USEFUL_S,
        cost_s=_ANSWER_S,
        slots=_SLOTS_A_REQUEST,
        late=late,
    )


class TestLateRequests:
    """A late answer takes the memory in which another would be in time."""

    def test_in_an_overload_they_are_not_worth_their_wait(self):
        """Guards against late answers that make the next ones late.

        The pattern: a burst of 110 requests a second where 53 can be served.
        """
        pool = _pool(110.0, late=10)
        late = _waiting(0, late=True)
        assert prospects.wait_s(pool, late, _NOW, 1) > _USEFUL_S

    def test_in_a_calm_time_they_are_served(self):
        pool = _pool(20.0, late=10)
        late = _waiting(0, late=True)
        assert prospects.wait_s(pool, late, _NOW, 1) < _USEFUL_S

    def test_callers_stay_away_for_as_long_as_a_burst_lasts(self):
        """Guards against callers who are refused twice in one burst."""
        assert (
            prospects.spare_capacity(
                _pool(110.0, late=0), _NOW, 1
            ).overload_backoff_s
            > 5.0
        )
        assert (
            prospects.spare_capacity(
                _pool(20.0, late=0), _NOW, 1
            ).overload_backoff_s
            == 0.0
        )
