"""Cancellations that are retried until the engine acknowledges them.

State machine without I/O, used by coordinators for the cancellations of
orphaned requests and for those that entry processes hand over. A cancellation
is idempotent, and engines accept it for unknown request ids, so retrying is
always safe.
"""

import dataclasses
from collections.abc import Container

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
# Maximum number of cancellations per attempt while an engine fails to answer.
# Without it a dead engine would turn the cancellations of all its requests into
# retry load.
MAX_CANCELS_PER_ATTEMPT = 4
# Cancellations are dropped after this time. If the engine recovers later, its
# coordinator finds requests of this age by orphan detection and cancels them
# whoever owns them.
MAX_AGE_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancellation:
    """Cancellation of one request at one engine.

    Attributes:
      endpoint_id: The engine.
      request_id: Attempt id of the request.
    """

    endpoint_id: str
    request_id: str


@dataclasses.dataclass(slots=True)
class _PendingCancel:
    """Retry state of one cancellation, times in seconds."""

    added_at: float
    next_at: float
    retries: int = 0


@dataclasses.dataclass(slots=True)
class _EngineState:
    """Pending cancellations and retry backoff of one engine."""

    cancels_by_id: dict[str, _PendingCancel]
    failing: bool = False
    retry_s: float = MIN_RETRY_DELAY_S
    blocked_until: float = float("-inf")


class CancelQueue:
    """Cancellations that haven't been acknowledged by their engines."""

    def __init__(self) -> None:
        self._engines_by_id: dict[str, _EngineState] = {}

    def add(self, cancellation: Cancellation, now: float) -> None:
        """Adds a cancellation; has no effect if it is already pending.

        Args:
          cancellation: The cancellation.
          now: Current time in seconds.
        """
        engine = self._engines_by_id.setdefault(
            cancellation.endpoint_id, _EngineState({})
        )
        engine.cancels_by_id.setdefault(
            cancellation.request_id, _PendingCancel(added_at=now, next_at=now)
        )

    def due(self, now: float) -> list[Cancellation]:
        """Returns the cancellations to send now.

        A cancellation without a reported outcome is due again after
        `MAX_RETRY_DELAY_S`, so that one lost in the network, or with the task
        that was sending it, is retried like a refused one.

        Args:
          now: Current time in seconds.
        """
        found = []
        for endpoint_id, engine in self._engines_by_id.items():
            request_ids = self._due_request_ids(engine, now)
            if request_ids and engine.failing:
                engine.retry_s = min(2 * engine.retry_s, MAX_RETRY_DELAY_S)
                engine.blocked_until = now + engine.retry_s
            for request_id in request_ids:
                cancellation = engine.cancels_by_id[request_id]
                cancellation.next_at = now + MAX_RETRY_DELAY_S
                found.append(
                    Cancellation(endpoint_id=endpoint_id, request_id=request_id)
                )
        return found

    def acknowledge(self, cancellation: Cancellation, now: float) -> None:
        """Removes a cancellation that the engine has acknowledged.

        The first acknowledgment after a failure also resets the engine's
        retry backoff.

        Args:
          cancellation: The cancellation.
          now: Current time in seconds.
        """
        engine = self._engines_by_id.get(cancellation.endpoint_id)
        if engine is None:
            return
        engine.cancels_by_id.pop(cancellation.request_id, None)
        if not engine.cancels_by_id:
            del self._engines_by_id[cancellation.endpoint_id]
        elif engine.failing:
            engine.failing = False
            engine.retry_s = MIN_RETRY_DELAY_S
            engine.blocked_until = now

    def record_failure(self, cancellation: Cancellation, now: float) -> None:
        """Schedules a retry of a cancellation that was refused or timed out.

        Args:
          cancellation: The cancellation.
          now: Current time in seconds.
        """
        engine = self._engines_by_id.get(cancellation.endpoint_id)
        if (
            engine is None
            or cancellation.request_id not in engine.cancels_by_id
        ):
            return
        if not engine.failing:
            engine.failing = True
            engine.blocked_until = now + engine.retry_s
        pending_cancel = engine.cancels_by_id[cancellation.request_id]
        pending_cancel.next_at = now + min(
            MIN_RETRY_DELAY_S * 2**pending_cancel.retries, MAX_RETRY_DELAY_S
        )
        pending_cancel.retries += 1

    def expire(self, known_endpoint_ids: Container[str], now: float) -> int:
        """Drops cancellations for removed endpoints or older than `MAX_AGE_S`.

        Args:
          known_endpoint_ids: Endpoints of the settings in force.
          now: Current time in seconds.

        Returns:
          The number of dropped cancellations.
        """
        before = self.pending
        for endpoint_id, engine in list(self._engines_by_id.items()):
            engine.cancels_by_id = {
                request_id: cancellation
                for request_id, cancellation in engine.cancels_by_id.items()
                if endpoint_id in known_endpoint_ids
                and now - cancellation.added_at < MAX_AGE_S
            }
            if not engine.cancels_by_id:
                del self._engines_by_id[endpoint_id]
        return before - self.pending

    def next_at(self) -> float | None:
        """Returns when the next cancellation is due, None without any."""
        times = []
        for engine in self._engines_by_id.values():
            cancellations = engine.cancels_by_id.values()
            earliest = min(
                cancellation.next_at for cancellation in cancellations
            )
            times.append(max(earliest, engine.blocked_until))
        return min(times, default=None)

    def all(self) -> list[Cancellation]:
        """Returns all pending cancellations, for the handover at shutdown."""
        return [
            Cancellation(endpoint_id=endpoint_id, request_id=request_id)
            for endpoint_id, engine in self._engines_by_id.items()
            for request_id in engine.cancels_by_id
        ]

    @property
    def pending(self) -> int:
        """Number of unacknowledged cancellations."""
        return sum(
            len(engine.cancels_by_id) for engine in self._engines_by_id.values()
        )

    def _due_request_ids(self, engine: _EngineState, now: float) -> list[str]:
        if engine.failing and now < engine.blocked_until:
            return []
        request_ids = [
            request_id
            for request_id, cancellation in engine.cancels_by_id.items()
            if cancellation.next_at <= now
        ]
        if not engine.failing:
            return request_ids
        # Longest overdue first, so that cancellations which the engine always
        # fails on can't starve the others.
        request_ids.sort(
            key=lambda request_id: engine.cancels_by_id[request_id].next_at
        )
        return request_ids[:MAX_CANCELS_PER_ATTEMPT]
