"""Tells engines that have ended from those that some processes can't reach.

An engine that an entry process can't connect to may have ended, or that process
may have lost its network path to it. The first failure counts for all entry
processes. If another one then gets answers, the engine runs, and failures count
for those that fail.
"""

import dataclasses
import math

# How long an entry process that doesn't reach an engine gets no requests there.
UNREACHED_S = 5.0

# How long after such an answer failures count for single entry processes.
_REACHED_TTL_S = 10.0

# This many entry processes that can't connect, without an answer to any in
# between, show that the engine has ended meanwhile.
_FAILURES_OF_ENDED = 3


@dataclasses.dataclass(slots=True)
class _State:
    failed_at: float = -math.inf
    failed_entries: set[str] = dataclasses.field(default_factory=set)
    reached_until: float = -math.inf


class EngineReach:
    """Which engines are reached by some entry processes and not by others."""

    def __init__(self) -> None:
        self._states_by_engine: dict[str, _State] = {}

    def record_answer(
        self, engine_id: str, entry: str, sent_at: float, now: float
    ) -> None:
        """Records that an engine has answered a request.

        Args:
          engine_id: Id of the engine.
          entry: Id of the entry process that has sent the request.
          sent_at: When the request was started, in seconds.
          now: Current time in seconds.
        """
        state = self._states_by_engine.get(engine_id)
        if state is None or sent_at < state.failed_at:
            return
        if state.failed_entries - {entry}:
            state.reached_until = now + _REACHED_TTL_S
        state.failed_entries.clear()
        if state.reached_until < now:
            del self._states_by_engine[engine_id]

    def record_unreachable(
        self, engine_id: str, entry: str, now: float
    ) -> bool:
        """Records that an entry process couldn't connect to an engine.

        Args:
          engine_id: Id of the engine.
          entry: Id of the entry process.
          now: Current time in seconds.

        Returns:
          Whether the engine has most likely ended; else only this entry process
          doesn't reach it.
        """
        state = self._states_by_engine.setdefault(engine_id, _State())
        state.failed_at = now
        state.failed_entries.add(entry)
        has_ended = len(state.failed_entries) >= _FAILURES_OF_ENDED
        return has_ended or state.reached_until < now

    def retain(self, engine_ids: set[str]) -> None:
        """Drops the state of engines that were removed."""
        for engine_id in self._states_by_engine.keys() - engine_ids:
            del self._states_by_engine[engine_id]
