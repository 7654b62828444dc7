"""Answers entries' asks for slots, holding an answer back while none is free.

The desk belongs to the dispatch process' event loop.
"""

import asyncio
from collections.abc import Callable

from cowsliprill.decisions import identity
from cowsliprill.decisions import messages as decision_messages
from cowsliprill.dispatch import errors
from cowsliprill.dispatch import homes as homes_lib
from cowsliprill.dispatch import messages

MAX_WAIT_S = 10.0
# Leases that run out free slots without any message, so a held answer is
# looked at again this often even when nobody else asks.
_RECHECK_S = 0.5


class SlotDesk:
    """Turns asks into grants, now or as soon as there is something to grant.

    Args:
      homes: The ledgers.
      clock: Returns the time, seconds.
    """

    def __init__(
        self, homes: homes_lib.Homes, clock: Callable[[], float]
    ) -> None:
        self._homes = homes
        self._clock = clock
        self._turn_by_entry: dict[str, object] = {}
        self._waiting_by_entry: dict[str, asyncio.Event] = {}
        self.heard_by_entry: dict[str, float] = {}

    async def answer(
        self, request: messages.SlotsRequest
    ) -> messages.SlotsAnswer:
        """Answers one entry's asks.

        Args:
          request: The asks.

        Returns:
          The grants. If nothing can be granted beyond what is in use, the
          answer waits until something can, `wait_s` is over, or the same
          entry asks again.

        Raises:
          errors.InvalidAskError: The asks make no sense.
        """
        _check(request)
        entry = request.entry
        turn = object()
        self._turn_by_entry[entry] = turn
        self._wake(entry)
        end = self._clock() + min(request.wait_s, MAX_WAIT_S)
        try:
            return await self._answer_by(request, turn, end)
        finally:
            if self._turn_by_entry.get(entry) is turn:
                del self._turn_by_entry[entry]

    def wake_all(self) -> None:
        """Looks at all held answers again, after the homes have changed."""
        for event in self._waiting_by_entry.values():
            event.set()

    async def _answer_by(
        self, request: messages.SlotsRequest, turn: object, end: float
    ) -> messages.SlotsAnswer:
        grants = self._ask_all(request)
        self._wake_others(request.entry)
        while not _worth_answering(request, grants):
            left = end - self._clock()
            if left <= 0:
                break
            await self._wait(request.entry, min(left, _RECHECK_S))
            # The entry's newer statement holds now. Stating the older one
            # again would bring back slots that the entry has given up, and
            # they would stay idle for a lease.
            if self._turn_by_entry.get(request.entry) is not turn:
                break
            grants = self._ask_all(request)
        return self._written(request, grants)

    def _ask_all(
        self, request: messages.SlotsRequest
    ) -> list[decision_messages.SlotGrant]:
        now = self._clock()
        self.heard_by_entry[request.entry] = now
        answers = [
            self._homes.ask(request.entry, ask, now) for ask in request.asks
        ]
        return [grant for grant in answers if grant is not None]

    def _written(
        self,
        request: messages.SlotsRequest,
        grants: list[decision_messages.SlotGrant],
    ) -> messages.SlotsAnswer:
        now = self._clock()
        granted_ids = {grant.endpoint_id for grant in grants}
        return messages.SlotsAnswer(
            grants=tuple(_on_wire(grant, now) for grant in grants),
            not_home=tuple(
                ask.endpoint_id
                for ask in request.asks
                if ask.endpoint_id not in granted_ids
            ),
        )

    async def _wait(self, entry: str, timeout_s: float) -> None:
        event = asyncio.Event()
        self._waiting_by_entry[entry] = event
        try:
            await asyncio.wait_for(event.wait(), timeout_s)
        except TimeoutError:
            pass
        finally:
            if self._waiting_by_entry.get(entry) is event:
                del self._waiting_by_entry[entry]

    def _wake(self, entry: str) -> None:
        event = self._waiting_by_entry.get(entry)
        if event is not None:
            event.set()

    def _wake_others(self, entry: str) -> None:
        for other in self._waiting_by_entry:
            if other != entry:
                self._wake(other)


def _worth_answering(
    request: messages.SlotsRequest,
    grants: list[decision_messages.SlotGrant],
) -> bool:
    asks_by_endpoint = {ask.endpoint_id: ask for ask in request.asks}
    if len(grants) < len(asks_by_endpoint):
        return True
    wanting = [
        grant
        for grant in grants
        if asks_by_endpoint[grant.endpoint_id].want
        > asks_by_endpoint[grant.endpoint_id].in_use
    ]
    if not wanting:
        return True
    return any(
        grant.slots > asks_by_endpoint[grant.endpoint_id].in_use
        for grant in wanting
    )


def _on_wire(
    grant: decision_messages.SlotGrant, now: float
) -> messages.WireGrant:
    return messages.WireGrant(
        endpoint_id=grant.endpoint_id,
        slots=grant.slots,
        expires_in_s=max(grant.expires_at - now, 0.0),
        report_age_s=grant.report_age_s,
        waiting=grant.waiting,
        prefix_hashes=grant.prefix_hashes,
    )


def _check(request: messages.SlotsRequest) -> None:
    try:
        identity.Incarnation.parse(request.entry)
    except identity.IdentityError as error:
        raise errors.InvalidAskError(str(error)) from error
    for ask in request.asks:
        if not 0 <= ask.in_use <= ask.want:
            raise errors.InvalidAskError(
                f"{ask.endpoint_id}: in_use {ask.in_use}, want {ask.want}"
            )
    if len({ask.endpoint_id for ask in request.asks}) < len(request.asks):
        raise errors.InvalidAskError("two asks for one endpoint")
