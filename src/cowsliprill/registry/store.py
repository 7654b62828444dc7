"""Interface of a registry store client, independent of its protocol."""

import dataclasses
from typing import Protocol

from cowsliprill import errors
from cowsliprill.decisions import registry_view


class StoreError(errors.CowsliprillError):
    """Raised when the store fails or returns an unusable response."""

    code = "store_unavailable"


class StoreBusy(StoreError):  # noqa: N818
    """Raised when the store is overloaded and rejects the request."""

    code = "store_busy"


class HistoryLost(StoreError):  # noqa: N818
    """Raised when the store has compacted the requested changes."""

    code = "store_history_lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListingPage:
    """One page of a listing.

    Attributes:
      entries: Entries in key order. One of revision 0 says only that its key
        exists; its value and revision are unreadable.
      truncated: Whether more entries follow the last one.
      as_of: Revision of the store when the page was read.
    """

    entries: tuple[registry_view.Entry, ...]
    truncated: bool
    as_of: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchResult:
    """Result of a watch.

    Attributes:
      changes: Entries and removals in revision order.
      as_of: Revision after which the next watch starts.
    """

    changes: tuple[registry_view.Change, ...]
    as_of: int


class Store(Protocol):
    """Read access to a key-value store with revisions."""

    async def page(
        self, prefix: str, after: str, timeout_s: float
    ) -> ListingPage:
        """Lists one page of the entries with a key prefix.

        Args:
          prefix: Key prefix.
          after: Key after which the page begins, empty for the first page.
          timeout_s: Timeout of the whole call in seconds.

        Raises:
          StoreError: The store failed or its response is unusable.
        """

    async def watch(
        self, prefix: str, after: int, wait_s: float, timeout_s: float
    ) -> WatchResult:
        """Long-polls for changes of the entries with a key prefix.

        Args:
          prefix: Key prefix.
          after: Revision after which changes are returned.
          wait_s: How long the store may hold the call for a change, in seconds.
          timeout_s: Timeout of the whole call in seconds.

        Raises:
          HistoryLost: The changes were compacted; list the prefix again.
          StoreError: The store failed or its response is unusable.
        """
