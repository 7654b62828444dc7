"""Queue of requests that wait for slots, in the order of the ranking."""

import bisect

from cowsliprill.decisions import request_queue
from cowsliprill.decisions.overload import ranking

# Customer, priority, late. Within a group the order doesn't depend on
# what runs, so it is kept sorted and only the ends of the groups are compared.
_Group = tuple[str, int, bool]


def work_of(waiting: request_queue.QueuedRequest) -> ranking.Work:
    """Returns what the ranking needs to know of a queued request."""
    submit = waiting.submit
    return ranking.Work(
        customer=submit.customer,
        priority=submit.priority,
        start_deadline=waiting.start_deadline,
        # It is relative to the mean request and divided by the value already.
        cost=waiting.cost_s,
        late=waiting.late,
        number=submit.request_id,
        slots=waiting.slots,
    )


class RankedQueue(request_queue.RequestQueue):
    """Queued requests of one pool, which a ranking can order.

    Args:
      demand: Slots that all waiting requests of the pool ask for; this queue
        adds its own.
    """

    def __init__(self, demand: ranking.SlotUse) -> None:
        super().__init__()
        self._demand = demand
        self._in_time = ranking.SlotUse()
        self._late = ranking.SlotUse()
        self._work_by_id: dict[int, ranking.Work] = {}
        self._keys_by_group: dict[_Group, list[tuple[float, int]]] = {}

    def add(self, waiting: request_queue.QueuedRequest) -> None:
        """Adds a request."""
        super().add(waiting)
        work = work_of(waiting)
        self._work_by_id[work.number] = work
        for use in (self._demand, self._use_of(work)):
            use.add(work.customer, work.priority, work.slots)
        keys = self._keys_by_group.setdefault(_group(work), [])
        bisect.insort(keys, _key_in_group(work))

    def remove(self, request_id: int) -> request_queue.QueuedRequest | None:
        """Removes a request and returns it, or None if it isn't queued."""
        work = self._work_by_id.pop(request_id, None)
        if work is not None:
            for use in (self._demand, self._use_of(work)):
                use.remove(work.customer, work.priority, work.slots)
            keys = self._keys_by_group[_group(work)]
            del keys[bisect.bisect_left(keys, _key_in_group(work))]
            if not keys:
                del self._keys_by_group[_group(work)]
        return super().remove(request_id)

    def first_ranked(
        self, order: ranking.Ranking
    ) -> request_queue.QueuedRequest | None:
        """Returns the request to place next, None if the queue is empty."""
        heads = [
            self._work_by_id[keys[0][1]]
            for keys in self._keys_by_group.values()
        ]
        first = min(heads, key=order.key, default=None)
        return None if first is None else self._waiting_by_id[first.number]

    def last_ranked(
        self, order: ranking.Ranking
    ) -> request_queue.QueuedRequest | None:
        """Returns the request to shed first, None if the queue is empty."""
        tails = [
            self._work_by_id[keys[-1][1]]
            for keys in self._keys_by_group.values()
        ]
        last = max(
            tails,
            key=lambda work: order.key(work, self._slots_ahead(work)),
            default=None,
        )
        return None if last is None else self._waiting_by_id[last.number]

    def over_share(
        self, order: ranking.Ranking, waiting: request_queue.QueuedRequest
    ) -> bool:
        """Returns whether a queued request is beyond its customer's share.

        It is as in the keys of `ranked_with`, but without sorting the queue:
        this is asked after each event while the last request is late.

        Args:
          order: The ranking.
          waiting: A request that is queued here.
        """
        work = self._work_by_id[waiting.submit.request_id]
        own_key = ranking.own_key(work)
        ahead = sum(
            other.slots
            for number, other in self._work_by_id.items()
            if other.customer == work.customer
            and self._waiting_by_id[number].version == waiting.version
            and ranking.own_key(other) < own_key
        )
        return order.over_share(work.customer, work.priority, ahead)

    def ordered(
        self, order: ranking.Ranking
    ) -> list[request_queue.QueuedRequest]:
        """Returns all requests, the one to place next first."""
        return [
            self._waiting_by_id[work.number]
            for work in order.ordered(self._work_by_id.values())
        ]

    def ranked_with(
        self, order: ranking.Ranking, waiting: request_queue.QueuedRequest
    ) -> list[tuple[ranking.Key, request_queue.QueuedRequest]]:
        """Returns the requests and their keys in order, with another one.

        Args:
          order: The ranking.
          waiting: A request, which may be queued here. Only the requests for
            engines of the same version are returned.
        """
        items = {
            number: item
            for number, item in self._waiting_by_id.items()
            if item.version == waiting.version
        }
        items[waiting.submit.request_id] = waiting
        works = [
            self._work_by_id.get(number) or work_of(item)
            for number, item in items.items()
        ]
        return [(key, items[work.number]) for key, work in order.ranked(works)]

    def _use_of(self, work: ranking.Work) -> ranking.SlotUse:
        return self._late if work.late else self._in_time

    def _slots_ahead(self, work: ranking.Work) -> float:
        """Returns the slots of its customer's work before a group's last."""
        customer, priority = work.customer, work.priority
        late_from = priority if work.late else priority + 1
        return (
            self._in_time.of_customer(customer, priority)
            + self._late.of_customer(customer, late_from)
            - work.slots
        )


def _group(work: ranking.Work) -> _Group:
    return (work.customer, work.priority, work.late)


def _key_in_group(work: ranking.Work) -> tuple[float, int]:
    return (ranking.adjusted_start_deadline(work), work.number)
