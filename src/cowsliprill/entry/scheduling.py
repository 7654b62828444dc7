"""The task that owns the scheduler.

Events reach it through a queue. Decisions about a request go to that
request's own queue, asks for slots to the homes, cancels to the canceller.
"""

import asyncio
import dataclasses
import math

from cowsliprill import clock
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import scheduler as scheduler_lib
from cowsliprill.entry import canceller as canceller_lib

Decision = messages.Decision

_MAX_SLEEP_S = 1.0
_MIN_SLEEP_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class _Renewal:
    """It is time to restate the standing with all endpoints."""


class Scheduling:
    """Runs the scheduler.

    Args:
      scheduler: The decision code.
      incarnation: This process, named in attempt ids.
      canceller: Takes cancel orders.
    """

    def __init__(
        self,
        scheduler: scheduler_lib.Scheduler,
        incarnation: identity.Incarnation,
        canceller: canceller_lib.Canceller,
    ) -> None:
        self._scheduler = scheduler
        self._incarnation = incarnation
        self._canceller = canceller
        self._events: asyncio.Queue[messages.Event | _Renewal] = asyncio.Queue()
        self._decisions_by_request: dict[int, asyncio.Queue[Decision]] = {}
        self.asks: asyncio.Queue[list[messages.SlotDemand]] = asyncio.Queue()

    def post(self, event: messages.Event) -> None:
        """Sends an event to the scheduler."""
        self._events.put_nowait(event)

    def submit(self, submit: messages.Submit) -> asyncio.Queue[Decision]:
        """Sends a request to the scheduler.

        Args:
          submit: The request.

        Returns:
          The queue by which decisions about it come, until `forget`.
        """
        decisions: asyncio.Queue[Decision] = asyncio.Queue()
        self._decisions_by_request[submit.request_id] = decisions
        self.post(submit)
        return decisions

    def forget(self, request_id: int) -> None:
        """Ends a request's queue of decisions."""
        self._decisions_by_request.pop(request_id, None)

    def renew(self) -> None:
        """Has the scheduler state its standing with all endpoints in use.

        It does so after the events that came before. A statement made ahead
        of a grant that still waits in the queue would give its slots back.
        """
        self._events.put_nowait(_Renewal())

    async def run(self) -> None:
        """Handles events for ever."""
        while True:
            event = await self._next()
            now = clock.now()
            if isinstance(event, _Renewal):
                self.asks.put_nowait(self._scheduler.asks(now))
                continue
            for action in self._scheduler.handle(event, now):
                self._perform(action, now)

    async def _next(self) -> messages.Event | _Renewal:
        if not self._events.empty():
            return self._events.get_nowait()
        now = clock.now()
        sleep_s = self._scheduler.next_wakeup(now) - now
        if math.isnan(sleep_s):
            sleep_s = _MAX_SLEEP_S
        sleep_s = min(max(sleep_s, _MIN_SLEEP_S), _MAX_SLEEP_S)
        try:
            async with asyncio.timeout(sleep_s):
                return await self._events.get()
        except TimeoutError:
            return messages.Tick()

    def _perform(self, action: messages.Action, now: float) -> None:
        match action:
            case messages.Start(request_id=request_id):
                start = dataclasses.replace(action, decided_at=now)
                self._start(request_id, start)
            case messages.Refuse(request_id=request_id):
                decisions = self._decisions_by_request.get(request_id)
                if decisions is not None:
                    decisions.put_nowait(action)
            case messages.CancelAttempt():
                self._cancel(action)
            case messages.SlotDemand():
                self.asks.put_nowait([action])

    def _start(self, request_id: int, start: messages.Start) -> None:
        decisions = self._decisions_by_request.get(request_id)
        if decisions is not None:
            decisions.put_nowait(start)
            return
        # The caller left while the decision was on its way; its Cancel is in
        # the queue behind, so the scheduler takes the slots back by itself.

    def _cancel(self, cancel: messages.CancelAttempt) -> None:
        attempt = identity.AttemptId(
            self._incarnation, cancel.request_id, cancel.attempt
        )
        for endpoint_id in cancel.endpoint_ids:
            self._canceller.order(endpoint_id, str(attempt))
