"""Answers entries' asks for slots, holding an answer back while none is free.

The desk belongs to the dispatch process' event loop.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from cowsliprill.decisions import identity
from cowsliprill.decisions import messages as decision_messages
from cowsliprill.decisions import slot_ledger
from cowsliprill.dispatch import errors
from cowsliprill.dispatch import homes as homes_lib
from cowsliprill.dispatch import messages

# A lease that ran out during the wait would make the answer worthless, and the
# home takes an entry for silent that doesn't state its standing in that time.
MAX_WAIT_S = 0.8 * slot_ledger.LEASE_DURATION_S
_IDLE_S = 0.5
# The lease of an entry that fell silent stays overdue until the endpoint shows
# what it really runs.
_OVERDUE_S = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """One held answer.

    Attributes:
      grants_by_endpoint: The answer so far.
      news: Set when the answer should go out.
    """

    grants_by_endpoint: dict[str, decision_messages.SlotGrant]
    news: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class SlotDesk:
    """Turns asks into grants, now or as soon as there is something to grant.

    Args:
      homes: The ledgers.
      clock: Returns the time, seconds.
      record_heartbeat: Called with the incarnation of each entry that asks.
    """

    def __init__(
        self,
        homes: homes_lib.Homes,
        clock: Callable[[], float],
        record_heartbeat: Callable[[identity.Incarnation], None],
    ) -> None:
        self._homes = homes
        self._clock = clock
        self._record_heartbeat = record_heartbeat
        self._waiting_by_entry: dict[str, _Waiting] = {}

    async def answer(
        self, request: messages.SlotsRequest
    ) -> messages.SlotsAnswer:
        """Answers one entry's asks.

        Args:
          request: The asks.

        Returns:
          The grants. If there is no news for the entry, the answer waits until
          there is, `wait_s` is over, or the same entry asks again.

        Raises:
          errors.InvalidAskError: The asks make no sense.
        """
        self._record_heartbeat(_checked_entry(request))
        received_at = self._clock()
        older = self._waiting_by_entry.pop(request.entry, None)
        if older is not None:
            older.news.set()
        grants_by_endpoint = self._ask_all(request)
        self.regrant()
        wait_s = min(request.wait_s, MAX_WAIT_S)
        # An asker falls back on its own share of an unsettled endpoint as soon
        # as it knows; held back, its callers would be refused meanwhile.
        settled = not self._unsettled(request)
        if settled and wait_s and not _has_news(request, grants_by_endpoint):
            await self._wait(request.entry, grants_by_endpoint, wait_s)
        return self._written(request, grants_by_endpoint, received_at)

    def regrant(self) -> None:
        """Sends the held answers for which there is news."""
        for entry, grant in self._homes.regrant(self._clock()):
            waiting = self._waiting_by_entry.get(entry)
            if waiting is None:
                continue
            waiting.grants_by_endpoint[grant.endpoint_id] = grant
            waiting.news.set()

    def release(self) -> None:
        """Sends all held answers as they are, since the process stops."""
        for waiting in self._waiting_by_entry.values():
            waiting.news.set()

    async def run(self) -> None:
        """Looks again whenever a lease runs out; ends by cancellation.

        Slots of an entry that died come free without any message. Without
        this, entries that wait for them would wait until their next ask.
        """
        while True:
            expiry = self._homes.next_expiry()
            now = self._clock()
            left = _IDLE_S if expiry is None else expiry - now
            await asyncio.sleep(min(max(left, _OVERDUE_S), _IDLE_S))
            self.regrant()

    def _ask_all(
        self, request: messages.SlotsRequest
    ) -> dict[str, decision_messages.SlotGrant]:
        now = self._clock()
        grants_by_endpoint = {}
        for ask in request.asks:
            grant = self._homes.ask(request.entry, ask, now)
            if grant is not None:
                grants_by_endpoint[ask.endpoint_id] = grant
        return grants_by_endpoint

    async def _wait(
        self,
        entry: str,
        grants_by_endpoint: dict[str, decision_messages.SlotGrant],
        wait_s: float,
    ) -> None:
        waiting = _Waiting(grants_by_endpoint)
        self._waiting_by_entry[entry] = waiting
        try:
            await asyncio.wait_for(waiting.news.wait(), wait_s)
        except TimeoutError:
            pass
        finally:
            if self._waiting_by_entry.get(entry) is waiting:
                del self._waiting_by_entry[entry]

    def _written(
        self,
        request: messages.SlotsRequest,
        grants_by_endpoint: dict[str, decision_messages.SlotGrant],
        received_at: float,
    ) -> messages.SlotsAnswer:
        now = self._clock()
        grants = [
            self._homes.with_news(request.entry, grant, now)
            for grant in grants_by_endpoint.values()
        ]
        return messages.SlotsAnswer(
            grants=tuple(_on_wire(grant, received_at) for grant in grants),
            not_home=tuple(
                ask.endpoint_id
                for ask in request.asks
                if ask.endpoint_id not in grants_by_endpoint
            ),
            unsettled=self._unsettled(request),
        )

    def _unsettled(self, request: messages.SlotsRequest) -> tuple[str, ...]:
        now = self._clock()
        return tuple(
            ask.endpoint_id
            for ask in request.asks
            if self._homes.unsettled(ask.endpoint_id, now)
        )


def _has_news(
    request: messages.SlotsRequest,
    grants_by_endpoint: dict[str, decision_messages.SlotGrant],
) -> bool:
    wanting = False
    for ask in request.asks:
        grant = grants_by_endpoint.get(ask.endpoint_id)
        if grant is None:
            return True
        if grant.slots > max(ask.in_use, ask.held):
            return True
        wanting = wanting or ask.want > ask.in_use
    # An entry that wants nothing has nothing to wait for.
    return not wanting


def _on_wire(
    grant: decision_messages.SlotGrant, received_at: float
) -> messages.WireGrant:
    return messages.WireGrant(
        endpoint_id=grant.endpoint_id,
        slots=grant.slots,
        expires_in_s=max(grant.expires_at - received_at, 0.0),
        report_age_s=grant.report_age_s,
        waiting=grant.waiting,
        prefix_hashes=grant.prefix_hashes,
        prefix_hashes_gone=grant.prefix_hashes_gone,
        prefix_epoch=grant.prefix_epoch,
        used=grant.used,
        sequence=grant.sequence,
    )


def _checked_entry(request: messages.SlotsRequest) -> identity.Incarnation:
    for ask in request.asks:
        if not 0 <= ask.in_use <= ask.want:
            raise errors.InvalidAskError(
                f"{ask.endpoint_id}: in_use {ask.in_use}, want {ask.want}"
            )
    if len({ask.endpoint_id for ask in request.asks}) < len(request.asks):
        raise errors.InvalidAskError("two asks for one endpoint")
    try:
        return identity.Incarnation.parse(request.entry)
    except identity.IdentityError as error:
        raise errors.InvalidAskError(str(error)) from error
