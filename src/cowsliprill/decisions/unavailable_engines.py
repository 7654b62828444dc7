"""Engines that single entry processes may not use for a while.

An engine that asks one VM for a pause may still serve the others, so that a
scheduler for several entry processes keeps for each which engines it can't use.
"""

import math
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Mapping

from cowsliprill.decisions import model

# Engines that an entry process may report as unavailable; more are ignored.
MAX_ENGINES = 1_024


class UnavailableEngines:
    """The unavailable engines of each entry process."""

    def __init__(self) -> None:
        self._until_by_engine_by_entry: dict[str, dict[str, float]] = {}

    def __len__(self) -> int:
        """Returns the number of entry processes with unavailable engines."""
        return len(self._until_by_engine_by_entry)

    def set(self, entry: str, until_by_engine: Mapping[str, float]) -> None:
        """Replaces the unavailable engines of an entry process.

        Args:
          entry: Id of the entry process.
          until_by_engine: Until when each isn't available, in seconds.
        """
        if until_by_engine:
            self._until_by_engine_by_entry[entry] = dict(until_by_engine)
        else:
            self._until_by_engine_by_entry.pop(entry, None)

    def add(self, entry: str, engine_id: str, until: float, now: float) -> None:
        """Adds an engine that an entry process couldn't use.

        Args:
          entry: Id of the entry process.
          engine_id: The engine.
          until: Until when it isn't available at least, in seconds.
          now: Current time in seconds.
        """
        self._drop_expired(now)
        until_by_engine = self._until_by_engine_by_entry.setdefault(entry, {})
        known_until = until_by_engine.get(engine_id, until)
        until_by_engine[engine_id] = max(known_until, until)

    def has(self, entry: str | None, engine_id: str, now: float) -> bool:
        """Returns whether an engine isn't available to an entry process.

        Args:
          entry: Id of the entry process, None for no particular one.
          engine_id: The engine.
          now: Current time in seconds.
        """
        until_by_engine = self._of(entry)
        return now < until_by_engine.get(engine_id, -math.inf)

    def restricts(
        self, entry: str, engine_ids: Container[str], now: float
    ) -> bool:
        """Returns whether any of some engines isn't available."""
        return any(
            now < until and engine_id in engine_ids
            for engine_id, until in self._of(entry).items()
        )

    def ready_at(
        self, entry: str | None, engines: Collection[model.Endpoint]
    ) -> float:
        """Returns from when on the first of some engines is available.

        Args:
          entry: Id of the entry process, None for no particular one.
          engines: The engines.

        Returns:
          The time in seconds, -infinity if one always is, infinity if there are
          no engines.
        """
        until_by_engine = self._of(entry)
        return min(
            (until_by_engine.get(engine.id, -math.inf) for engine in engines),
            default=math.inf,
        )

    def next_change(self, now: float) -> float:
        """Returns when the next engine becomes available, in seconds."""
        return min(
            (
                until
                for until_by_engine in self._until_by_engine_by_entry.values()
                for until in until_by_engine.values()
                if until > now
            ),
            default=math.inf,
        )

    def _of(self, entry: str | None) -> Mapping[str, float]:
        if entry is None:
            return {}
        return self._until_by_engine_by_entry.get(entry, {})

    def _drop_expired(self, now: float) -> None:
        for entry, until_by_engine in list(
            self._until_by_engine_by_entry.items()
        ):
            left = {
                engine_id: until
                for engine_id, until in until_by_engine.items()
                if until > now
            }
            self.set(entry, left)
