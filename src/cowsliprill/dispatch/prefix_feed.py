"""What an engine's cache events say, and which entry was told what.

Events come late and with gaps. A stale belief costs only a prefill that is
longer than planned, so nothing here is exact; everything is bounded.
"""

import collections
import dataclasses
import itertools

from cowsliprill.engines import model as engine_model

NEWS_MAX = 16
_LOG_MAX = 4_096
_ENTRIES_MAX = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What an entry has not been told yet.

    Attributes:
      stored: Blocks that are cached now.
      gone: Blocks that are no longer cached.
      epoch: Another one than before means that all earlier news may be stale.
    """

    stored: tuple[int, ...] = ()
    gone: tuple[int, ...] = ()
    epoch: int = 0


class PrefixFeed:
    """One engine's cached prefix blocks.

    Attributes:
      last_seq: Number of the last event read.
      epoch: Rises whenever earlier events may be stale.
    """

    def __init__(self) -> None:
        self.last_seq = 0
        self.epoch = 1
        self._log: collections.deque[tuple[int, bool]] = collections.deque(
            maxlen=_LOG_MAX
        )
        self._logged = 0
        self._told_by_entry: dict[str, int] = {}

    def take(self, events: engine_model.CacheEvents) -> None:
        """Takes events read from the engine.

        Args:
          events: In order. With a gap, a removal may be among the missing
            ones, so that whatever was believed before is forgotten.
        """
        if events.gap:
            self.forget()
        self.last_seq = events.last_seq
        for event in events.events:
            stored = event.kind is engine_model.CacheEventKind.STORED
            self._log.append((event.block, stored))
            self._logged += 1

    def forget(self) -> None:
        """Forgets everything, for example when the engine has restarted."""
        self.epoch += 1
        self._log.clear()
        self._told_by_entry.clear()

    def news_for(self, entry: str) -> News:
        """Returns what an entry has not been told yet, a little at a time.

        Args:
          entry: Incarnation of the entry process.

        Returns:
          At most `NEWS_MAX` blocks.
        """
        first = self._logged - len(self._log)
        told = max(self._told_by_entry.get(entry, first), first)
        end = min(told + NEWS_MAX, self._logged)
        if len(self._told_by_entry) >= _ENTRIES_MAX:
            self._told_by_entry.clear()
        self._told_by_entry[entry] = end
        fresh = itertools.islice(self._log, told - first, end - first)
        stored_by_block = dict(fresh)
        return News(
            stored=_blocks(stored_by_block, True),
            gone=_blocks(stored_by_block, False),
            epoch=self.epoch,
        )


def _blocks(stored_by_block: dict[int, bool], stored: bool) -> tuple[int, ...]:
    return tuple(
        block for block, kept in stored_by_block.items() if kept is stored
    )
