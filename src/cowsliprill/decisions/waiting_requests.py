"""Requests of a scheduler that wait for engines.

Decides where each waits and which had better not wait any longer.
"""

import collections
import math
from collections.abc import Callable
from collections.abc import Iterator

from cowsliprill.decisions import engine_selection
from cowsliprill.decisions import messages
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import request_queue
from cowsliprill.decisions import requests
from cowsliprill.decisions import suspected_features
from cowsliprill.decisions import unavailable_engines
from cowsliprill.decisions import wait_estimates
from cowsliprill.decisions.engine_health import health
from cowsliprill.decisions.overload import ranked_queue
from cowsliprill.decisions.overload import ranking
from cowsliprill.decisions.overload import standing as standing_lib

# A request stays in the queue only if the backlog is expected to drain within
# this multiple of the time left to its start deadline.
_ADMISSION_WAIT_FACTOR = 1.0

# Reason for which requests count as displaced by those in time.
_DEMOTED = "demoted"

# A request that should be refused, and why. It must be refused before the next
# one is taken, as that depends on what still waits.
Unservable = tuple[requests.Request, messages.RefusalCode]


class WaitingRequests:
    """The waiting requests of all pools.

    Args:
      requests_by_id: All requests of the scheduler.
      engine_health: Tells which engines fail or are silent.
      unavailable: Tells which engines an entry process can't use.
      selector: Finds engines for a request.
      features: Tells which requests must start one after the other.
      entry_count: Returns the number of entry processes.

    Attributes:
      held_ids: Requests whose entry processes keep their streams at silent
        engines, which may still go on.
      displaced: How often the overload ranking put a request behind others or
        ended its wait, by pool and reason; empty without the ranking.
    """

    def __init__(
        self,
        requests_by_id: dict[int, requests.Request],
        engine_health: health.EngineHealth,
        unavailable: unavailable_engines.UnavailableEngines,
        selector: engine_selection.EngineSelector,
        features: suspected_features.SuspectedFeatures,
        entry_count: Callable[[], int],
    ) -> None:
        self.held_ids: set[int] = set()
        self.displaced: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._requests_by_id = requests_by_id
        self._health = engine_health
        self._unavailable = unavailable
        self._selector = selector
        self._suspected_features = features
        self._entry_count = entry_count

    def request_of(
        self, waiting: request_queue.QueuedRequest
    ) -> requests.Request:
        """Returns the request of a queue's entry."""
        return self._requests_by_id[waiting.submit.request_id]

    def enqueue(self, request: requests.Request, now: float) -> None:
        """Queues a request.

        Args:
          request: The request.
          now: Current time in seconds.
        """
        request.stage = messages.Stage.QUEUED
        request.needs_version = request.lacks_engines()
        request.queue.add(_queued(request, now))

    def requeue(
        self,
        request: requests.Request,
        now: float,
        *,
        starts_apart: bool = False,
        avoids_engines: bool = False,
    ) -> None:
        """Moves a waiting request, so that it delays only those like it.

        Args:
          request: The request.
          now: Current time in seconds.
          starts_apart: See `requests.Request`.
          avoids_engines: See `requests.Request`.
        """
        request.queue.remove(request.submit.request_id)
        request.starts_apart = starts_apart
        request.avoids_engines = avoids_engines
        self.enqueue(request, now)

    def requeue_versions(self, pool: pools.Pool, now: float) -> None:
        """Moves streams between the queues after a change of the engines."""
        waiting = [*pool.queue, *pool.constrained]
        for request in map(self.request_of, waiting):
            if request.needs_version != request.lacks_engines():
                self.requeue(
                    request,
                    now,
                    starts_apart=request.starts_apart,
                    avoids_engines=request.avoids_engines,
                )

    def return_to_queue(self, pool: pools.Pool, now: float) -> None:
        """Queues requests again that were set apart and needn't wait now."""
        for request in list(map(self.request_of, pool.constrained)):
            waits = request.starts_apart and self.must_wait(request, now)
            avoids = request.avoids_engines and self.could_start_elsewhere(
                request, now
            )
            if (request.starts_apart, request.avoids_engines) != (
                waits,
                avoids,
            ):
                self.requeue(
                    request, now, starts_apart=waits, avoids_engines=avoids
                )

    def rank(
        self, request: requests.Request, now: float
    ) -> messages.Rank | None:
        """Returns where a request stands in the ranking, None without one."""
        standing = _standing(request, now)
        return None if standing is None else standing.rank

    def admit(
        self, request: requests.Request, now: float
    ) -> messages.RefusalCode | None:
        """Decides about a new request that waits and could still be in time.

        It is demoted or refused if it isn't expected to start in time. With the
        overload ranking, it is refused only if nothing waits that ranks behind
        it; else it keeps its place until its deadline.

        Args:
          request: The request.
          now: Current time in seconds.

        Returns:
          Why it must be refused, None if it waits on.
        """
        standing = _standing(request, now)
        entry_count = self._entry_count()
        if standing is None:
            queues = wait_estimates.should_queue(request, now, entry_count)
        else:
            can_be_late = request.useful_start_deadline > request.start_deadline
            queues = wait_estimates.should_queue_ranked(
                request, standing, now, entry_count
            ) or not (can_be_late or standing.is_last)
        return None if queues else self.demote(request, now)

    def demote(
        self, request: requests.Request, now: float
    ) -> messages.RefusalCode | None:
        """Queues a request behind those that can still meet their targets.

        A late response is worth less to the client than one in time, but more
        than none.

        Args:
          request: The request.
          now: Current time in seconds.

        Returns:
          Why it must be refused, if it is late already, or if a late response
          would be of no use; else None.
        """
        request.queue.remove(request.submit.request_id)
        late = request.start_deadline <= now
        if late or request.useful_start_deadline <= request.start_deadline:
            return messages.RefusalCode.OVERLOADED
        request.start_deadline = now
        self.enqueue(request, now)
        self._count_displaced(request, _DEMOTED)
        return None

    def must_wait(self, request: requests.Request, now: float) -> bool:
        """Returns whether others must first show that it ends no engine."""
        submit = request.submit
        # Engines have given output for a stream that has begun.
        return request.version is None and self._suspected_features.must_wait(
            submit.service.pool, submit.features, now
        )

    def could_start_elsewhere(
        self, request: requests.Request, now: float
    ) -> bool:
        """Returns whether it only waits as its entry process lacks engines."""
        return self._is_restricted(request, now) and self._selector.has_engines(
            request, now
        )

    def ready_in_s(self, request: requests.Request, now: float) -> float:
        """Returns how long its entry process can't use any engine for it."""
        if not self._is_restricted(request, now):
            return 0.0
        ready_at = self._ready_at(request, now)
        # A pool without engines has none to wait for.
        return max(ready_at - now, 0.0) if ready_at < math.inf else 0.0

    def unservable(self, pool: pools.Pool, now: float) -> Iterator[Unservable]:
        """Yields requests that no engine can serve in time.

        They resume a stream whose version no engine has any more, are held at
        an engine and have no better one, or their entry process can't use any
        engine before it is too late.
        """
        without_version = [
            request
            for request in map(self.request_of, pool.constrained)
            if request.version is not None
            and not pool.serves_version(request.version)
        ]
        for request in without_version:
            yield request, request.no_version_code
        yield from self._held_without_engine(pool)
        yield from self._unavailable_too_long(pool, now)

    def overdue(self, pool: pools.Pool, now: float) -> Iterator[Unservable]:
        """Demotes or yields requests that miss or will miss their deadline."""
        past_deadline = [
            *pool.queue.past_deadline(now),
            *pool.constrained.past_deadline(now),
        ]
        for waiting in past_deadline:
            request = self.request_of(waiting)
            if not waiting.late and request.useful_start_deadline > now:
                request.queue.remove(waiting.submit.request_id)
                self.enqueue(request, now)
                self._count_displaced(request, _DEMOTED)
                continue
            code = messages.RefusalCode.WAITED_TOO_LONG
            self._count_displaced(request, code)
            yield request, code
        yield from self._demote_without_chance(pool, now)

    def _is_restricted(self, request: requests.Request, now: float) -> bool:
        """Returns whether its entry process can't use some of the engines."""
        return self._unavailable.restricts(
            request.submit.entry, request.pool.endpoints_by_id, now
        )

    def _ready_at(self, request: requests.Request, now: float) -> float:
        pool, entry = request.pool, request.submit.entry
        decodes = [
            endpoint
            for endpoint in pool.decodes
            if request.version in (None, endpoint.software_version)
        ]
        decode_ready_at = self._unavailable.ready_at(entry, decodes)
        if request.can_reuse_prefill(now) or pool.decodes_can_prefill():
            return decode_ready_at
        return max(
            decode_ready_at, self._unavailable.ready_at(entry, pool.prefills)
        )

    def _demote_without_chance(
        self, pool: pools.Pool, now: float
    ) -> Iterator[Unservable]:
        """Demotes or yields requests that wait behind too many others."""
        while len(pool.queue):
            last = pool.last_waiting()
            assert last is not None
            if self._has_chance(pool, last, now):
                break
            yield from self._demoted(last, now)
        versions = {item.version for item in pool.constrained} - {None}
        for version in sorted(versions):
            while waiting := [
                item
                for item in pool.constrained_in_order()
                if item.version == version
            ]:
                last = waiting[-1]
                if self._has_chance(pool, last, now):
                    break
                yield from self._demoted(last, now)

    def _demoted(
        self, waiting: request_queue.QueuedRequest, now: float
    ) -> Iterator[Unservable]:
        request = self.request_of(waiting)
        code = self.demote(request, now)
        if code is not None:
            self._count_displaced(request, code)
            yield request, code

    def _count_displaced(self, request: requests.Request, reason: str) -> None:
        if request.pool.overload_control:
            self.displaced[request.submit.service.pool, str(reason)] += 1

    def _has_chance(
        self, pool: pools.Pool, last: request_queue.QueuedRequest, now: float
    ) -> bool:
        """Returns whether the last request of a queue may start in time."""
        time_left = last.start_deadline - now
        entry_count = self._entry_count()
        match self.request_of(last).queue:
            case ranked_queue.RankedQueue() as queue:
                wait_s = wait_estimates.wait_s_ranked(
                    pool, queue, last, now, entry_count
                )
            case _:
                wait_s = wait_estimates.wait_s(pool, last, now, entry_count)
        return wait_s <= time_left * _ADMISSION_WAIT_FACTOR

    def _held_without_engine(self, pool: pools.Pool) -> Iterator[Unservable]:
        """Yields requests whose streams had better stay where they are."""
        self.held_ids &= self._requests_by_id.keys()
        held = [
            self._requests_by_id[request_id]
            for request_id in sorted(self.held_ids)
        ]
        for request in held:
            if (
                request.pool is pool
                and request.stage is messages.Stage.QUEUED
                and not self._health.any_sound(pool.decodes)
            ):
                yield request, messages.RefusalCode.ENDPOINT_FAILED

    def _unavailable_too_long(
        self, pool: pools.Pool, now: float
    ) -> Iterator[Unservable]:
        if not self._unavailable:
            return
        for waiting in (*pool.queue, *pool.constrained):
            request = self.request_of(waiting)
            ready_in_s = self.ready_in_s(request, now)
            too_late = max(
                request.start_deadline, request.useful_start_deadline
            )
            if ready_in_s and too_late < now + ready_in_s:
                yield request, messages.RefusalCode.OVERLOADED


def _queued(
    request: requests.Request, now: float
) -> request_queue.QueuedRequest:
    """Returns a request as an entry of its queue."""
    late = request.start_deadline <= now < request.useful_start_deadline
    return request_queue.QueuedRequest(
        submit=request.submit,
        late=late,
        start_deadline=(
            request.useful_start_deadline if late else request.start_deadline
        ),
        cost_s=request.cost_s
        * (request.slots / request.pool.mean_slots_per_request)
        / request.value,
        cost_weight=ranking.COST_WEIGHT,
        slots=request.slots,
        version=request.version if request.needs_version else None,
    )


def _standing(
    request: requests.Request, now: float
) -> standing_lib.Standing | None:
    """Returns where a request stands in the ranking, None without one."""
    match request.queue:
        case ranked_queue.RankedQueue() as queue:
            waiting = _queued(request, now)
            return standing_lib.standing(request.pool, queue, waiting)
        case _:
            return None
