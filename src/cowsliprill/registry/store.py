"""What a registry's client offers, whatever protocol the store speaks."""

import dataclasses
from typing import Protocol

from cowsliprill import errors
from cowsliprill.decisions import registry_view


class StoreError(errors.CowsliprillError):
    """Raised when the store gives no usable answer."""

    code = "store_unavailable"


class StoreBusy(StoreError):  # noqa: N818
    """Raised when the store turns this process away, being too busy."""

    code = "store_busy"


class HistoryLost(StoreError):  # noqa: N818
    """Raised when the store no longer has the changes asked for."""

    code = "store_history_lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """A part of a listing.

    Attributes:
      entries: Entries in the order of their keys.
      truncated: Whether more entries follow the last one.
      as_of: The store's revision when the page was read.
    """

    entries: tuple[registry_view.Entry, ...]
    truncated: bool
    as_of: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Watched:
    """What a watch returned.

    Attributes:
      changes: Entries and removals, in order.
      as_of: Revision from which the next watch goes on.
    """

    changes: tuple[registry_view.Change, ...]
    as_of: int


class Store(Protocol):
    """Reads a store."""

    async def page(self, prefix: str, after: str, timeout_s: float) -> Page:
        """Reads a part of the entries below a prefix.

        Args:
          prefix: Start of the keys.
          after: Key after which the part begins, empty for the start.
          timeout_s: Time for the whole call.

        Raises:
          StoreError: There was no usable answer.
        """

    async def watch(
        self, prefix: str, after: int, wait_s: float, timeout_s: float
    ) -> Watched:
        """Waits for changes below a prefix.

        Args:
          prefix: Start of the keys.
          after: Revision after which the changes are asked for.
          wait_s: How long the store may wait for a change.
          timeout_s: Time for the whole call.

        Raises:
          HistoryLost: The changes are gone; a listing is needed.
          StoreError: There was no usable answer.
        """
