"""Long-poll server that grants slot leases to entry processes.

The server belongs to the event loop of the dispatch process and isn't
thread-safe.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from cowsliprill.decisions import identity
from cowsliprill.decisions import messages as decision_messages
from cowsliprill.decisions import slot_ledger
from cowsliprill.dispatch import coordinated_endpoints as coordinated_lib
from cowsliprill.dispatch import errors
from cowsliprill.dispatch import messages

# A lease that expires during the wait makes the response useless, and an entry
# process that reports no slot demand for a lease duration counts as timed out.
MAX_LONG_POLL_S = 0.8 * slot_ledger.LEASE_DURATION_S
_MAX_SLEEP_S = 0.5
# An expired lease remains the next one to expire until the endpoint's running
# requests show which of its slots are free; this bounds the polling meanwhile.
_MIN_SLEEP_S = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class _LongPoll:
    """A response that is delayed until there is a grant to report.

    Attributes:
      grants_by_endpoint: Grants of the response so far, by endpoint id.
      ready: Set when the response should be sent.
    """

    grants_by_endpoint: dict[str, decision_messages.SlotGrant]
    ready: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class SlotLeaseServer:
    """Answers slot demands at once or when slots become available.

    Args:
      coordinated: The endpoints with their slot ledgers.
      clock: Returns the current time in seconds.
      record_heartbeat: Called with the incarnation of each entry process that
        sends a request.
    """

    def __init__(
        self,
        coordinated: coordinated_lib.CoordinatedEndpoints,
        clock: Callable[[], float],
        record_heartbeat: Callable[[identity.Incarnation], None],
    ) -> None:
        self._coordinated = coordinated
        self._clock = clock
        self._record_heartbeat = record_heartbeat
        self._long_poll_by_entry: dict[str, _LongPoll] = {}

    async def handle(
        self, request: messages.SlotsRequest
    ) -> messages.SlotsResponse:
        """Handles the slot demands of one entry process.

        Args:
          request: The slot demands.

        Returns:
          The grants. If none exceeds what the entry process holds, the
          response is delayed until one does, `wait_s` is over, or the same
          entry process sends another request.

        Raises:
          errors.InvalidMessageError: The request is invalid.
        """
        self._record_heartbeat(_validated_entry(request))
        received_at = self._clock()
        previous = self._long_poll_by_entry.pop(request.entry, None)
        if previous is not None:
            previous.ready.set()
        grants_by_endpoint = self._process_demands(request)
        self.regrant()
        wait_s = min(request.wait_s, MAX_LONG_POLL_S)
        # A requester uses its fallback slots of a reclaiming endpoint once it
        # knows of the reclaim period. A delayed response would have its callers
        # refused meanwhile.
        may_wait = not self._reclaiming_ids(request)
        if may_wait and wait_s and not _is_ready(request, grants_by_endpoint):
            await self._wait(request.entry, grants_by_endpoint, wait_s)
        return self._build_response(request, grants_by_endpoint, received_at)

    def regrant(self) -> None:
        """Ends the long polls for which there is a changed grant."""
        for entry, grant in self._coordinated.regrant(self._clock()):
            long_poll = self._long_poll_by_entry.get(entry)
            if long_poll is None:
                continue
            long_poll.grants_by_endpoint[grant.endpoint_id] = grant
            long_poll.ready.set()

    def end_long_polls(self) -> None:
        """Ends all long polls with their current grants, for shutdown."""
        for long_poll in self._long_poll_by_entry.values():
            long_poll.ready.set()

    async def run(self) -> None:
        """Regrants slots whenever a lease expires, until cancelled.

        Slots of a dead entry process become free without any message. Without
        this task, entry processes that wait for them would wait until their
        next request.
        """
        while True:
            expiry = self._coordinated.next_expiry()
            now = self._clock()
            sleep_s = _MAX_SLEEP_S if expiry is None else expiry - now
            await asyncio.sleep(min(max(sleep_s, _MIN_SLEEP_S), _MAX_SLEEP_S))
            self.regrant()

    def _process_demands(
        self, request: messages.SlotsRequest
    ) -> dict[str, decision_messages.SlotGrant]:
        now = self._clock()
        grants_by_endpoint = {}
        for demand in request.asks:
            grant = self._coordinated.process_demand(request.entry, demand, now)
            if grant is not None:
                grants_by_endpoint[demand.endpoint_id] = grant
        return grants_by_endpoint

    async def _wait(
        self,
        entry: str,
        grants_by_endpoint: dict[str, decision_messages.SlotGrant],
        wait_s: float,
    ) -> None:
        long_poll = _LongPoll(grants_by_endpoint)
        self._long_poll_by_entry[entry] = long_poll
        try:
            async with asyncio.timeout(wait_s):
                await long_poll.ready.wait()
        except TimeoutError:
            pass
        finally:
            if self._long_poll_by_entry.get(entry) is long_poll:
                del self._long_poll_by_entry[entry]

    def _build_response(
        self,
        request: messages.SlotsRequest,
        grants_by_endpoint: dict[str, decision_messages.SlotGrant],
        received_at: float,
    ) -> messages.SlotsResponse:
        now = self._clock()
        grants = [
            self._coordinated.with_endpoint_updates(request.entry, grant, now)
            for grant in grants_by_endpoint.values()
        ]
        return messages.SlotsResponse(
            grants=tuple(_to_wire(grant, received_at) for grant in grants),
            not_home=tuple(
                demand.endpoint_id
                for demand in request.asks
                if demand.endpoint_id not in grants_by_endpoint
            ),
            unsettled=self._reclaiming_ids(request),
        )

    def _reclaiming_ids(
        self, request: messages.SlotsRequest
    ) -> tuple[str, ...]:
        now = self._clock()
        return tuple(
            demand.endpoint_id
            for demand in request.asks
            if self._coordinated.is_reclaiming(demand.endpoint_id, now)
        )


def _is_ready(
    request: messages.SlotsRequest,
    grants_by_endpoint: dict[str, decision_messages.SlotGrant],
) -> bool:
    """Returns whether the response should be sent without a wait."""
    wants_slots = False
    for demand in request.asks:
        grant = grants_by_endpoint.get(demand.endpoint_id)
        if grant is None:
            return True
        if grant.slots > max(demand.in_use, demand.held):
            return True
        wants_slots = wants_slots or demand.want > demand.in_use
    # An entry process that wants no further slots has nothing to wait for.
    return not wants_slots


def _to_wire(
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


def _validated_entry(request: messages.SlotsRequest) -> identity.Incarnation:
    for demand in request.asks:
        if not 0 <= demand.in_use <= demand.want:
            raise errors.InvalidMessageError(
                f"{demand.endpoint_id}: in_use {demand.in_use},"
                f" want {demand.want}"
            )
    if len({demand.endpoint_id for demand in request.asks}) < len(request.asks):
        raise errors.InvalidMessageError("two asks for one endpoint")
    try:
        return identity.Incarnation.parse(request.entry)
    except identity.IdentityError as error:
        raise errors.InvalidMessageError(str(error)) from error
