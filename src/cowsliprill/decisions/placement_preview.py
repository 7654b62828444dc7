"""Tells what would become of a new request, without placing it.

The request is tried on a copy of its pool, with the code that places requests.
Waiting requests that could start by now, as time has passed since the last
event, count as waiting until the scheduler's next timer.
"""

import dataclasses
import enum

from cowsliprill.decisions import engine_selection
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pair_selection
from cowsliprill.decisions import request_queue
from cowsliprill.decisions import requests
from cowsliprill.decisions import wait_estimates
from cowsliprill.decisions import waiting_requests
from cowsliprill.decisions.overload import ranked_queue

_ENGINES_MAX = 10

# Upper bound of waits, as JSON has no infinity.
_WAIT_MAX_S = 600.0


class Verdict(enum.StrEnum):
    """What becomes of a request that arrives now."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """An engine that the request may use.

    Attributes:
      id: Its id.
      role: Its role for the request.
      availability_zone: Its availability zone.
      free_slots: Slots that this scheduler may still use there.
      ejected: Whether it may only get probe requests.
      cost_s: Its cost in seconds, None if it can't take the request now.
      cost_parts: The parts of the cost in seconds, by name.
    """

    id: str
    role: model.EndpointKind
    availability_zone: str
    free_slots: int
    ejected: bool
    cost_s: float | None
    cost_parts: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Preview:
    """What would become of a request.

    Attributes:
      verdict: Whether it would start, wait or be refused.
      service: Id of the service whose targets apply.
      priority: Its priority.
      prefill_id: Prefill engine if it would start.
      decode_id: Decode engine if it would start.
      wait_s: Expected wait in seconds unless it would start.
      late: Whether it would wait behind the requests that can be in time.
      code: Error code if it would be refused.
      over_share: Whether its customer is beyond its share.
      requests_ahead: Waiting requests that go first.
      slots_ahead: Decode slots that these take.
      engines: Up to ten engines a role, the best first.
    """

    verdict: Verdict
    service: str = ""
    priority: int = 0
    prefill_id: str = ""
    decode_id: str = ""
    wait_s: float = 0.0
    late: bool = False
    code: str = ""
    over_share: bool = False
    requests_ahead: int = 0
    slots_ahead: int = 0
    engines: tuple[Engine, ...] = ()


class PlacementPreview:
    """Tries one request.

    Args:
      request: The request, on a trial copy of its pool.
      waiting: Copies of the waiting requests of the pool, with this one.
      selector: Finds engines for a request.
      entry_count: Number of entry processes that share the pool's slots.
      now: Current time in seconds.
    """

    def __init__(
        self,
        request: requests.Request,
        waiting: waiting_requests.WaitingRequests,
        selector: engine_selection.EngineSelector,
        entry_count: int,
        now: float,
    ) -> None:
        self._request = request
        self._pool = request.pool
        self._waiting = waiting
        self._selector = selector
        self._entry_count = entry_count
        self._now = now

    def build(self) -> Preview:
        """Returns what would become of the request."""
        request, now = self._request, self._now
        engines = self._engines()
        submit = request.submit
        if (
            max(request.unloaded_start_deadline, request.useful_start_deadline)
            < now
        ):
            preview = self._refusal(messages.RefusalCode.TARGET_UNREACHABLE)
        else:
            self._pool.demand.add(wait_estimates.request_demand(request, now))
            self._waiting.enqueue(request, now)
            preview = self._start() or self._wait_or_refusal()
        return dataclasses.replace(
            preview,
            service=submit.service.id,
            priority=submit.priority,
            engines=engines,
        )

    def _start(self) -> Preview | None:
        """Returns the start of the request, None if it can't start now."""
        if not self._is_own(self._pool.first_waiting()):
            return None
        pair = self._selector.select_pair(
            self._request, self._now, self._request.submit.entry
        )
        if pair is None:
            return None
        return dataclasses.replace(
            self._standing(),
            verdict=Verdict.START,
            prefill_id=pair.prefill_id,
            decode_id=pair.decode_id,
        )

    def _wait_or_refusal(self) -> Preview:
        standing = self._standing()
        code = None
        if self._request.start_deadline > self._now:
            code = self._waiting.admit(self._request, self._now)
        if code is None:
            code = self._shed()
        if code is None:
            late = self._request.start_deadline <= self._now
            return dataclasses.replace(standing, late=late)
        refusal = self._refusal(code)
        return dataclasses.replace(
            standing,
            verdict=refusal.verdict,
            code=refusal.code,
            wait_s=refusal.wait_s,
        )

    def _shed(self) -> messages.RefusalCode | None:
        """Ends the waits that aren't of use, and returns why its own ends."""
        pool, now = self._pool, self._now
        for find in (self._waiting.unservable, self._waiting.overdue):
            for request, code in find(pool, now):
                if request is self._request:
                    return code
                request.queue.remove(request.submit.request_id)
        return None

    def _is_own(self, waiting: request_queue.QueuedRequest | None) -> bool:
        number = self._request.submit.request_id
        return waiting is not None and waiting.submit.request_id == number

    def _refusal(self, code: messages.RefusalCode) -> Preview:
        """Returns a refusal with the wait that its response would state."""
        spare_capacity = wait_estimates.spare_capacity(
            self._pool, self._now, self._entry_count
        )
        backlog = self._pool.backlog(self._request.submit.priority)
        wait_s = backlog.wait_s() / spare_capacity.for_retries
        return Preview(
            verdict=Verdict.REFUSE,
            code=code,
            wait_s=min(wait_s, _WAIT_MAX_S),
        )

    def _standing(self) -> Preview:
        """Returns the place of the queued request, as one that waits."""
        pool, submit = self._pool, self._request.submit
        match pool.queue:
            case ranked_queue.RankedQueue() as queue:
                ordered = queue.ordered(pool.ranking())
                number = [self._is_own(item) for item in ordered].index(True)
                ahead = ordered[:number]
                rank = self._waiting.rank(self._request, self._now)
                over_share, wait_s = rank.over_share, rank.wait_s
            case queue:
                ahead = [
                    item
                    for item in queue
                    if item.submit.priority >= submit.priority
                    and not self._is_own(item)
                ]
                over_share = pool.over_share(submit.customer) > 0
                wait_s = pool.backlog(submit.priority).wait_s()
        return Preview(
            verdict=Verdict.WAIT,
            wait_s=min(wait_s, _WAIT_MAX_S),
            over_share=over_share,
            requests_ahead=len(ahead),
            slots_ahead=sum(item.slots for item in ahead),
        )

    def _engines(self) -> tuple[Engine, ...]:
        """Returns the best engines of each role."""
        request, pool = self._request, self._pool
        prefills, decodes = self._selector.candidates(
            request, self._now, request.submit.entry
        )
        return (
            *self._best(pool.prefills, prefills),
            *self._best(pool.decodes, decodes),
        )

    def _best(
        self,
        endpoints: list[model.Endpoint],
        candidates: list[pair_selection.Candidate],
    ) -> list[Engine]:
        candidates_by_id = {item.id: item for item in candidates}
        ejected_ids = self._pool.ejected_ids(endpoints)
        engines = [
            self._engine(item, candidates_by_id.get(item.id), ejected_ids)
            for item in endpoints
        ]
        engines.sort(key=lambda item: (item.cost_s is None, item.cost_s or 0.0))
        return engines[:_ENGINES_MAX]

    def _engine(
        self,
        endpoint: model.Endpoint,
        candidate: pair_selection.Candidate | None,
        ejected_ids: set[str],
    ) -> Engine:
        lease = self._pool.lease(endpoint.id)
        is_full = self._now < lease.full_until
        return Engine(
            id=endpoint.id,
            role=endpoint.kind,
            availability_zone=endpoint.availability_zone,
            free_slots=0 if is_full else max(lease.free_slots(self._now), 0),
            ejected=endpoint.id in ejected_ids,
            cost_s=None if candidate is None else candidate.cost_s,
            cost_parts={} if candidate is None else candidate.parts._asdict(),
        )
