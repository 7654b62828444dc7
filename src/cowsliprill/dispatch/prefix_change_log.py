"""Change log of an engine's prefix cache, with a cursor per entry process.

Cache events arrive late and some are lost, so the log is approximate: stale
information only costs a longer prefill than planned. All sizes are bounded.
"""

import collections
import dataclasses
import itertools

from cowsliprill.engines import model as engine_model

MAX_BLOCKS_PER_UPDATE = 16
_MAX_LOGGED_CHANGES = 4_096
_MAX_CURSORS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixUpdate:
    """Changes of the prefix cache that an entry process hasn't received yet.

    Attributes:
      stored: Blocks that have been cached.
      evicted: Blocks that are no longer cached.
      epoch: Changes when all earlier updates may be stale.
    """

    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    epoch: int = 0


class PrefixChangeLog:
    """Recent changes of the prefix blocks that one engine has cached.

    Attributes:
      last_seq: Sequence number of the last event applied.
      epoch: Increases whenever earlier events may be stale.
    """

    def __init__(self) -> None:
        self.last_seq = 0
        self.epoch = 1
        self._log: collections.deque[tuple[int, bool]] = collections.deque(
            maxlen=_MAX_LOGGED_CHANGES
        )
        self._total_logged = 0
        self._cursor_by_entry: dict[str, int] = {}

    def apply(self, events: engine_model.CacheEvents) -> None:
        """Applies cache events read from the engine.

        Args:
          events: Events in order. After a gap the log is reset, since an
            eviction may be among the missing events.
        """
        if events.gap:
            self.reset()
        self.last_seq = events.last_seq
        for event in events.events:
            stored = event.kind is engine_model.CacheEventKind.STORED
            self._log.append((event.block, stored))
            self._total_logged += 1

    def reset(self) -> None:
        """Drops all changes, for example after a restart of the engine."""
        self.epoch += 1
        self._log.clear()
        self._cursor_by_entry.clear()

    def update_for(self, entry: str) -> PrefixUpdate:
        """Returns the next changes for an entry process, advancing its cursor.

        Args:
          entry: Incarnation of the entry process.

        Returns:
          At most `MAX_BLOCKS_PER_UPDATE` blocks.
        """
        log_start = self._total_logged - len(self._log)
        cursor = max(self._cursor_by_entry.get(entry, log_start), log_start)
        end = min(cursor + MAX_BLOCKS_PER_UPDATE, self._total_logged)
        if len(self._cursor_by_entry) >= _MAX_CURSORS:
            self._cursor_by_entry.clear()
        self._cursor_by_entry[entry] = end
        unsent = itertools.islice(
            self._log, cursor - log_start, end - log_start
        )
        stored_by_block = dict(unsent)
        return PrefixUpdate(
            stored=_blocks(stored_by_block, True),
            evicted=_blocks(stored_by_block, False),
            epoch=self.epoch,
        )


def _blocks(stored_by_block: dict[int, bool], stored: bool) -> tuple[int, ...]:
    return tuple(
        block
        for block, is_stored in stored_by_block.items()
        if is_stored is stored
    )
