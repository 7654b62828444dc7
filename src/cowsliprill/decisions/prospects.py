"""Whether a request that waits will have its turn while it is of use."""

from cowsliprill.decisions import demand
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import queue
from cowsliprill.decisions import requests

# Part of the time a request may wait that a queue may take without anyone
# being turned away for lack of room.
_EASY_WAIT = 0.1

# Part of a pool that late requests are taken to get at the least. Less refuses
# callers that would be served late, more lets others wait in vain.
_LEAST_ROOM = 0.3


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
    return drained_s / room_for_late(pool, now, entries)


def room_for_late(pool: pools.Pool, now: float, entries: int) -> float:
    """Returns the part of a pool that those in time leave to late ones.

    Args:
      pool: The pool.
      now: Time, seconds.
      entries: Entry processes that share the pool by its slots.
    """
    load = pool.demand.load(now, pool.slots() / entries)
    return max(1.0 - load, _LEAST_ROOM)
