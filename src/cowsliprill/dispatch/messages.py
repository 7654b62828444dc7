"""Wire messages that the dispatch process exchanges with its peers."""

import dataclasses

from cowsliprill.decisions import cancel_queue
from cowsliprill.decisions import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotsRequest:
    """Request body of `POST /v1/slots`.

    Attributes:
      entry: Incarnation of the requesting entry process.
      asks: Its slot demand for each endpoint that it uses and that the
        receiving VM coordinates.
      wait_s: How long the coordinator may delay the response while it can
        grant nothing beyond the slots in use, in seconds (long poll).
    """

    entry: str
    asks: tuple[messages.SlotDemand, ...]
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireGrant:
    """A `messages.SlotGrant` with a duration in place of its expiry time.

    Monotonic clocks of two VMs start at different boots, so an absolute time
    of one means nothing to the other.

    Attributes:
      endpoint_id: Id of the endpoint.
      slots: Total number of slots that the entry process holds.
      expires_in_s: Duration of the lease in seconds, counted by the entry
        process from the time at which it sent the request. Counted from the
        arrival of the response, a response that lay in a buffer while the
        entry process was paused would confer a lease that expired long ago.
      report_age_s: Age of the endpoint's load report in seconds.
      waiting: Number of requests of other entry processes that lack a slot.
      prefix_hashes: Prefix blocks that have been cached since the last update.
      prefix_hashes_gone: Prefix blocks that have been evicted since the last
        update.
      prefix_epoch: Changes when earlier prefix updates may be stale.
      used: Slots in use by all entry processes, as last reported by them.
      sequence: `SlotDemand.sequence` of the demand that this grant answers.
    """

    endpoint_id: str
    slots: int
    expires_in_s: float
    report_age_s: float = 0.0
    waiting: int = 0
    prefix_hashes: tuple[int, ...] = ()
    prefix_hashes_gone: tuple[int, ...] = ()
    prefix_epoch: int = 0
    used: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotsResponse:
    """Response body of `POST /v1/slots`.

    Attributes:
      grants: One grant for each requested endpoint that this VM coordinates.
      not_home: Requested endpoints that this VM doesn't coordinate. The VM
        lists of the two processes differ, and the requester looks up the
        coordinator again.
      unsettled: Requested endpoints whose reclaim period isn't over: this
        process became their coordinator less than a lease duration ago and
        can't grant slots that the previous coordinator may have leased. The
        requester uses its fallback slots meanwhile.
    """

    grants: tuple[WireGrant, ...] = ()
    not_home: tuple[str, ...] = ()
    unsettled: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelsRequest:
    """Request body of `POST /v1/cancels`.

    Attributes:
      cancels: Cancellations that no engine has acknowledged to the sender.
    """

    cancels: tuple[cancel_queue.Cancellation, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelsResponse:
    """Response body of `POST /v1/cancels`.

    Attributes:
      taken: Number of cancellations that were queued.
    """

    taken: int
