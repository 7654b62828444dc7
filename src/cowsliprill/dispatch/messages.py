"""Messages that the dispatch process takes from peers and gives to them."""

import dataclasses

from cowsliprill.decisions import cancel_queue
from cowsliprill.decisions import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotsRequest:
    """Body of `POST /v1/slots`.

    Attributes:
      entry: Incarnation of the asking entry process.
      asks: Its standing with each endpoint that it uses of this home.
      wait_s: How long the home may hold the answer back while it can grant
        nothing beyond what is in use.
    """

    entry: str
    asks: tuple[messages.SlotDemand, ...]
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireGrant:
    """A `messages.SlotGrant` with the time left in place of a time.

    The two processes' clocks count from different boots.

    Attributes:
      endpoint_id: The endpoint.
      slots: Slots that the entry holds in all.
      expires_in_s: Length of the lease, which the entry counts from when it
        sent the ask. Counted from the answer's arrival, an answer that lay in
        a buffer while the entry was paused would give a lease that ran out
        long ago.
      report_age_s: Age of the endpoint's load report, seconds.
      waiting: Asks that the home could not meet.
      prefix_hashes: Prefix blocks newly known to be cached there.
      prefix_hashes_gone: Prefix blocks newly known to be evicted there.
      prefix_epoch: Another number than before means that earlier news of
        prefixes may be stale.
      used: Slots of the endpoint in use by all entries, as last stated.
      sequence: The `SlotDemand.sequence` that this answers.
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
class SlotsAnswer:
    """Answer of `POST /v1/slots`.

    Attributes:
      grants: One for each asked endpoint that is homed here.
      not_home: Asked endpoints that are not; the asker's VM list and this
        one's differ, and the asker looks for the home anew.
      unsettled: Asked endpoints that this process is home to only since less
        than a lease time. It can't grant slots which its forerunner may have
        leased; the asker keeps to its fall-back share meanwhile.
    """

    grants: tuple[WireGrant, ...] = ()
    not_home: tuple[str, ...] = ()
    unsettled: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelsRequest:
    """Body of `POST /v1/cancels`.

    Attributes:
      cancels: Orders that the sender could not get acknowledged.
    """

    cancels: tuple[cancel_queue.Cancellation, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelsAnswer:
    """Answer of `POST /v1/cancels`.

    Attributes:
      taken: How many orders were taken over.
    """

    taken: int
