"""Admission control: whether a request is expected to start in time."""

import dataclasses

from cowsliprill.decisions import demand
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import request_queue
from cowsliprill.decisions import requests
from cowsliprill.decisions.overload import ranked_queue
from cowsliprill.decisions.overload import standing as standing_lib

# If the expected wait is below this fraction of the time left to the start
# deadline, requests are admitted without a check of demand against capacity.
_SHORT_WAIT_FRACTION = 0.1

# Least fraction of a pool's capacity for late requests while requests in time
# would fill the pool. Under full load each late request that is served makes
# another request late.
_MIN_LATE_FRACTION = 0.05

# Least fraction of a pool's capacity that is expected for retries of refused
# requests. It is larger because the load will have changed by then.
_MIN_RETRY_FRACTION = 0.3

# Overload lasts some seconds, and clients that retry before its end are refused
# again. The queue length doesn't show an overload, as late requests are refused
# and so the queue stays short.
_OVERLOAD_BACKOFF_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class SpareCapacity:
    """Capacity of a pool that requests in time leave.

    Attributes:
      fraction: Fraction of the pool's capacity, negative if requests in time
        need more than all of it.
    """

    fraction: float

    @property
    def for_late_requests(self) -> float:
        """Fraction of the capacity for late requests in the queue."""
        return max(self.fraction, _MIN_LATE_FRACTION)

    @property
    def for_retries(self) -> float:
        """Fraction of the capacity for retries of refused requests."""
        return max(self.fraction, _MIN_RETRY_FRACTION)

    @property
    def overload_backoff_s(self) -> float:
        """Least retry-after in seconds, 0 if the pool isn't overloaded."""
        return _OVERLOAD_BACKOFF_S if self.fraction <= 0 else 0.0


def request_demand(
    request: requests.Request, now: float
) -> demand.RequestDemand:
    """Returns the demand of a request on its pool, which arrives now."""
    service = request.submit.service
    return demand.RequestDemand(
        arrived_at=now,
        customer=request.submit.customer,
        priority=request.submit.priority,
        cost_s=request.cost_s * request.slots,
        value=service.goodput_weight * request.value,
    )


def should_queue(
    request: requests.Request, now: float, entry_count: int
) -> bool:
    """Returns whether a request that can't start now should be queued.

    Args:
      request: The request.
      now: Current time in seconds.
      entry_count: Number of entry processes that share the pool's slots.
    """
    pool, item = request.pool, request_demand(request, now)
    version = request.version if request.needs_version else None
    backlog = pool.backlog(item.priority, version)
    if not backlog.is_scarce():
        return True
    # A burst after little traffic may seem to exceed the capacity, as output
    # lengths aren't known yet. A queue that drains long before its requests'
    # deadlines is no reason to refuse any.
    time_left_s = request.start_deadline - now
    if backlog.wait_s() < time_left_s * _SHORT_WAIT_FRACTION:
        return True
    if version is not None:
        # The demand isn't recorded by version.
        return backlog.wait_s() <= time_left_s
    slots = pool.slots() / entry_count
    return pool.demand.fits(item, slots, pool.shares_by_customer)


def should_queue_ranked(
    request: requests.Request,
    standing: standing_lib.Standing,
    now: float,
    entry_count: int,
) -> bool:
    """Returns whether to queue a request, given its place in the ranking.

    Args:
      request: The request, which can't start now.
      standing: Where it stands.
      now: Current time in seconds.
      entry_count: Number of entry processes that share the pool's slots.
    """
    backlog = standing.backlog
    if not backlog.is_scarce():
        return True
    time_left_s = request.start_deadline - now
    if backlog.wait_s() > time_left_s:
        return False
    # The demand window would also refuse requests of customers below their
    # shares, and requests ahead of waiting ones.
    if (
        request.needs_version
        or not (standing.customer_over_share and standing.is_last)
        or backlog.wait_s() < time_left_s * _SHORT_WAIT_FRACTION
    ):
        return True
    pool = request.pool
    return pool.demand.fits(
        request_demand(request, now),
        pool.slots() / entry_count,
        pool.shares_by_customer,
    )


def wait_s_ranked(
    pool: pools.Pool,
    queue: ranked_queue.RankedQueue,
    last: request_queue.QueuedRequest,
    now: float,
    entry_count: int,
) -> float:
    """Returns the expected wait of the request that ranks last, in seconds.

    Late requests of a customer within its share rank before all those beyond a
    share. Only late ones beyond it are left with what requests in time leave.

    Args:
      pool: The pool.
      queue: The queue in which the request waits.
      last: The last request of those for engines of its version.
      now: Current time in seconds.
      entry_count: Number of entry processes that share the pool's slots.
    """
    queued = [item for item in queue if item.version == last.version]
    drain_s = pool.backlog_of(queued, last.version).wait_s()
    if not last.late or drain_s > last.start_deadline - now:
        return drain_s
    if not queue.over_share(pool.ranking(), last):
        return drain_s
    return drain_s / spare_capacity(pool, now, entry_count).for_late_requests


def wait_s(
    pool: pools.Pool,
    last: request_queue.QueuedRequest,
    now: float,
    entry_count: int,
) -> float:
    """Returns the expected wait of the last request of a queue, in seconds.

    Late requests get only the capacity that new requests in time leave. An
    estimate from the whole capacity would let them wait without a chance.

    Args:
      pool: The pool.
      last: The last request of its queue.
      now: Current time in seconds.
      entry_count: Number of entry processes that share the pool's slots.
    """
    drain_s = pool.backlog(last.submit.priority, last.version).wait_s()
    if not last.late:
        return drain_s
    return drain_s / spare_capacity(pool, now, entry_count).for_late_requests


def spare_capacity(
    pool: pools.Pool, now: float, entry_count: int
) -> SpareCapacity:
    """Returns the capacity of a pool that requests in time leave.

    Args:
      pool: The pool.
      now: Current time in seconds.
      entry_count: Number of entry processes that share the pool's slots.
    """
    return SpareCapacity(
        1.0 - pool.demand.load(now, pool.slots() / entry_count)
    )
