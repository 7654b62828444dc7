"""Where a request stands among the waiting requests of its pool.

Load pattern: urgent requests that arrive while hundreds of routine ones wait.
Only the waiting work that ranks ahead delays a request, for decode slots as
well as for prefills.
"""

import dataclasses

from cowsliprill.decisions import admission
from cowsliprill.decisions import messages
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import request_queue
from cowsliprill.decisions.overload import ranked_queue

# Upper bound of the expected wait in messages, as JSON has no infinity.
_MAX_WAIT_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """Place of a request in the ranking.

    Attributes:
      rank: The inputs of the decision, for the log.
      is_last: Whether no waiting request ranks behind it.
      customer_over_share: Whether what runs of its customer uses up the share
        already; `rank.over_share` counts waiting requests ahead as well.
      backlog: Backlog of it and of the requests ahead.
    """

    rank: messages.Rank
    is_last: bool
    customer_over_share: bool
    backlog: admission.Backlog


def standing(
    pool: pools.Pool,
    queue: ranked_queue.RankedQueue,
    waiting: request_queue.QueuedRequest,
) -> Standing:
    """Returns where a request stands.

    Args:
      pool: Its pool.
      queue: The queue of the pool in which it waits or would wait.
      waiting: The request.
    """
    order = pool.ranking()
    ranked = queue.ranked_with(order, waiting)
    request_id = waiting.submit.request_id
    ids = [item.submit.request_id for _, item in ranked]
    ahead = ids.index(request_id)
    backlog = pool.backlog_of(
        [item for _, item in ranked[: ahead + 1]], waiting.version
    )
    over_share, *_ = ranked[ahead][0]
    priority = waiting.submit.priority
    return Standing(
        rank=messages.Rank(
            priority=priority,
            over_share=over_share,
            ahead=ahead,
            wait_s=min(backlog.wait_s(), _MAX_WAIT_S),
        ),
        is_last=ahead == len(ranked) - 1,
        customer_over_share=order.over_share(waiting.submit.customer, priority),
        backlog=backlog,
    )
