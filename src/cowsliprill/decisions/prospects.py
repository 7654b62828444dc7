"""Whether a request that waits will have its turn while it is of use."""

from cowsliprill.decisions import demand
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import queue
from cowsliprill.decisions import requests

# Part of the time a request may wait that a queue may take without anyone
# being turned away for lack of room.
_EASY_WAIT = 0.1

# Part of a pool that late requests get at the least while those in time would
# fill it. Each that is served late then has another one be late.
_ROOM_NOW = 0.05

# The same for callers that are told to come back: by then the load has changed.
_ROOM_LATER = 0.3

# Overload lasts some seconds, and callers that come back before its end are
# refused again. The queue is short all the while: late requests don't wait.
_OVERLOAD_S = 6.0


def demand_item(request: requests.Request, now: float) -> demand.Item:
    """Returns what a request asks for of its pool."""
    service = request.submit.service
    return demand.Item(
        at=now,
        customer=request.submit.customer,
        priority=request.submit.priority,
        cost_s=request.cost_s * request.slots,
        worth=service.goodput_weight * request.worth,
    )


def fits(
    request: requests.Request, item: demand.Item, now: float, entries: int
) -> bool:
    """Returns whether a request that has to wait is worth its wait.

    Args:
      request: The request.
      item: What it asks for.
      now: Time, seconds.
      entries: Entry processes that share the pool by its slots.
    """
    pool = request.pool
    backlog = pool.backlog(item.priority)
    if not backlog.is_scarce():
        return True
    # A burst after a calm time looks like more than fits, since answers'
    # lengths aren't learnt yet. A queue that drains long before its
    # requests' time is over is no reason to turn callers away.
    patience_s = request.latest_start - now
    if backlog.wait_s() < patience_s * _EASY_WAIT:
        return True
    slots = pool.slots() / entries
    return pool.demand.fits(item, slots, pool.shares_by_customer)


def wait_s(
    pool: pools.Pool, last: queue.Waiting, now: float, entries: int
) -> float:
    """Returns how long the last request of a queue will wait.

    Late ones are only served with what is left beside those that arrive
    meanwhile. Counting on the whole pool would let them wait in vain.

    Args:
      pool: The pool.
      last: The request.
      now: Time, seconds.
      entries: Entry processes that share the pool by its slots.
    """
    drained_s = pool.backlog(last.submit.priority).wait_s()
    if not last.late:
        return drained_s
    return drained_s / max(_room(pool, now, entries), _ROOM_NOW)


def overload_s(pool: pools.Pool, now: float, entries: int) -> float:
    """Returns how long callers should stay away for an overload, in seconds.

    Args:
      pool: The pool.
      now: Time, seconds.
      entries: Entry processes that share the pool by its slots.
    """
    return _OVERLOAD_S if _room(pool, now, entries) <= 0 else 0.0


def room_for_returning(pool: pools.Pool, now: float, entries: int) -> float:
    """Returns the part of a pool for callers that come back.

    Args:
      pool: The pool.
      now: Time, seconds.
      entries: Entry processes that share the pool by its slots.
    """
    return max(_room(pool, now, entries), _ROOM_LATER)


def _room(pool: pools.Pool, now: float, entries: int) -> float:
    """Returns the part of a pool that those in time leave, negative if none."""
    return 1.0 - pool.demand.load(now, pool.slots() / entries)
