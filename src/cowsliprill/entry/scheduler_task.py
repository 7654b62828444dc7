"""Task that runs the scheduler of an entry process.

Events arrive through one queue. Placement decisions go to a queue per request,
slot demands to the client of the coordinators, and cancellations to the
canceller.
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
class _RenewLeases:
    """Has the scheduler emit its slot demand for all endpoints in use."""


class Scheduling:
    """Feeds events to the scheduler and carries out its actions.

    Args:
      scheduler: The scheduler, which does no I/O.
      incarnation: Incarnation of this process, part of attempt IDs.
      canceller: Sends cancellations to engines.

    Attributes:
      slot_demands: Queue of batches of slot demands to send.
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
        self._events: asyncio.Queue[messages.Event | _RenewLeases] = (
            asyncio.Queue()
        )
        self._decisions_by_request: dict[int, asyncio.Queue[Decision]] = {}
        self.slot_demands: asyncio.Queue[list[messages.SlotDemand]] = (
            asyncio.Queue()
        )

    def post(self, event: messages.Event) -> None:
        """Queues an event for the scheduler."""
        self._events.put_nowait(event)

    def submit(self, submit: messages.Submit) -> asyncio.Queue[Decision]:
        """Submits a request to the scheduler.

        Args:
          submit: The request.

        Returns:
          The queue that receives the decisions about the request until
          `forget` is called.
        """
        decisions: asyncio.Queue[Decision] = asyncio.Queue()
        self._decisions_by_request[submit.request_id] = decisions
        self.post(submit)
        return decisions

    def readopt(
        self,
        submit: messages.Submit,
        start: messages.Start,
        decisions: asyncio.Queue[Decision],
    ) -> None:
        """Takes back that an attempt failed: its engine streams again."""
        self._decisions_by_request[submit.request_id] = decisions
        self.post(messages.Cancel(submit.request_id))
        stage = messages.Stage.DECODE
        self.post(messages.Adopt(submit=submit, start=start, stage=stage))

    def forget(self, request_id: int) -> None:
        """Removes the decision queue of a request."""
        self._decisions_by_request.pop(request_id, None)

    def renew(self) -> None:
        """Queues a lease renewal for all endpoints in use.

        The renewal is handled after the events that are already queued. A
        slot demand computed before a queued grant is handled would give back
        the slots of that grant.
        """
        self._events.put_nowait(_RenewLeases())

    async def run(self) -> None:
        """Handles events until cancelled."""
        while True:
            event = await self._next_event()
            now = clock.now()
            if isinstance(event, _RenewLeases):
                self.slot_demands.put_nowait(self._scheduler.asks(now))
                continue
            for action in self._scheduler.handle(event, now):
                self._dispatch_action(action, now)

    async def _next_event(self) -> messages.Event | _RenewLeases:
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

    def _dispatch_action(self, action: messages.Action, now: float) -> None:
        match action:
            case messages.Start(request_id=request_id):
                start = dataclasses.replace(action, decided_at=now)
                self._deliver_start(request_id, start)
            case messages.Refuse(request_id=request_id):
                decisions = self._decisions_by_request.get(request_id)
                if decisions is not None:
                    decisions.put_nowait(action)
            case messages.CancelAttempt():
                self._enqueue_cancellations(action)
            case messages.SlotDemand():
                self.slot_demands.put_nowait([action])

    def _deliver_start(self, request_id: int, start: messages.Start) -> None:
        decisions = self._decisions_by_request.get(request_id)
        if decisions is not None:
            decisions.put_nowait(start)
            return
        # The caller disconnected before the decision was delivered. Its
        # Cancel is already queued and makes the scheduler free the slots.

    def _enqueue_cancellations(self, cancel: messages.CancelAttempt) -> None:
        attempt = identity.AttemptId(
            self._incarnation, cancel.request_id, cancel.attempt
        )
        for endpoint_id in cancel.endpoint_ids:
            self._canceller.enqueue(endpoint_id, str(attempt))
