"""Tests of wait estimates."""

import random

from tests import test_pool_scheduler

from cowsliprill.decisions import demand
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import request_queue
from cowsliprill.decisions import wait_estimates
from cowsliprill.decisions.engine_health import health

_NOW = 100.0
_SLOTS = 5_000
_SLOTS_PER_REQUEST = 575
_HOLD_S = 3.3
_USEFUL_S = 2.5


def _pool(requests_per_s: float, late: int) -> pools.Pool:
    """Returns a pool of 20 full engines that serve 53 requests a second.

    Args:
      requests_per_s: Rate at which requests have arrived.
      late: Number of late requests in the queue.
    """
    pool = pools.Pool(random.Random(1), health.EngineHealth())
    engines = [
        test_pool_scheduler._engine(
            f"d{number}", model.EndpointKind.DECODE, _SLOTS
        )
        for number in range(20)
    ]
    prefills = [
        test_pool_scheduler._engine(f"p{number}", model.EndpointKind.PREFILL, 3)
        for number in range(20)
    ]
    pool.set_engines(prefills, engines)
    for engine in engines:
        pool.lease(engine.id).assign_permanently(_SLOTS)
        pool.lease(engine.id).acquire("", _SLOTS)
    pool.record_slots(_SLOTS_PER_REQUEST)
    count = int(requests_per_s * 10)
    for number in range(count):
        pool.demand.add(
            demand.RequestDemand(
                arrived_at=_NOW - (count - number) / requests_per_s,
                customer="",
                priority=0,
                cost_s=_HOLD_S * _SLOTS_PER_REQUEST,
            )
        )
    for number in range(late):
        pool.queue.add(_waiting(number, late=True))
    return pool


def _waiting(number: int, *, late: bool) -> request_queue.QueuedRequest:
    return request_queue.QueuedRequest(
        submit=test_pool_scheduler._submit(number, _NOW),
        start_deadline=_NOW + _USEFUL_S,
        cost_s=_HOLD_S,
        slots=_SLOTS_PER_REQUEST,
        late=late,
    )


class TestLateRequests:
    """A late request takes memory in which another would be in time."""

    def test_in_an_overload_their_wait_is_too_long(self):
        """Guards against late requests that make the next ones late.

        A burst of 110 requests a second arrives where 53 can be served.
        """
        pool = _pool(110.0, late=10)
        late = _waiting(0, late=True)
        assert wait_estimates.wait_s(pool, late, _NOW, 1) > _USEFUL_S

    def test_under_low_load_they_are_served(self):
        pool = _pool(20.0, late=10)
        late = _waiting(0, late=True)
        assert wait_estimates.wait_s(pool, late, _NOW, 1) < _USEFUL_S

    def test_overload_backoff_exceeds_the_duration_of_a_burst(self):
        """Guards against clients that are refused twice in one burst."""
        assert (
            wait_estimates.spare_capacity(
                _pool(110.0, late=0), _NOW, 1
            ).overload_backoff_s
            > 5.0
        )
        assert (
            wait_estimates.spare_capacity(
                _pool(20.0, late=0), _NOW, 1
            ).overload_backoff_s
            == 0.0
        )
