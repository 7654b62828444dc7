"""What an entry has learnt of endpoints from their own answers.

An endpoint that fails or is slow is left alone for a while that doubles each
time, then one request tries it again. No health checks are sent: a probe that
is answered says little of how an engine serves requests.
"""

import dataclasses
import math
from collections.abc import Collection

from cowsliprill.decisions import model

# A stream this much slower than its settings say is slow for sure; batching
# and bad luck stay below.
_SLOW_RATIO = 1.5

# A transfer shares its links with others, so only much slower ones count, and
# of short ones only those that are late by more than processes and networks
# are at times.
_SLOW_TRANSFER_RATIO = 5.0
_SLOW_TRANSFER_MIN_S = 0.2

_STRIKES_TO_AVOID = 2
_AVOID_MIN_S = 2.0
_AVOID_MAX_S = 30.0

# One that takes no connection costs its next request some milliseconds and no
# prefill, so it may be tried again sooner.
_AVOID_UNREACHABLE_S = 0.5

# Beyond this nothing is saved by leaving it alone, and one that was cut off
# and is back would stand idle.
_AVOID_UNREACHABLE_MAX_S = 2.0

# Where all engines of a kind are left alone, one request tries each again so
# soon after its last failure. Left alone for longer they would have the pool
# refuse its callers long after they are well again.
_AVOID_ALL_S = 0.5

# A probe whose outcome is never heard of must not keep an endpoint out.
_PROBE_TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True)
class _State:
    strikes: int = 0
    avoid_s: float = 0.0
    avoid_until: float = 0.0
    failed_at: float = 0.0
    probe_until: float = 0.0
    avoided: bool = False
    failing: bool = False
    unreachable: bool = False
    moved_at: float = 0.0


class Health:
    """Strikes against endpoints, and when each may be used again."""

    def __init__(self) -> None:
        self._states_by_endpoint: dict[str, _State] = {}
        self._avoided = 0

    def usable(
        self, endpoint_id: str, now: float, *, urgently: bool = False
    ) -> bool:
        """Returns whether an endpoint may get a request now.

        Args:
          endpoint_id: The endpoint.
          now: Time, seconds.
          urgently: Whether there is no other.
        """
        state = self._states_by_endpoint.get(endpoint_id)
        if state is None or not state.avoided:
            return True
        avoid_until = state.avoid_until
        if urgently:
            avoid_until = min(avoid_until, state.failed_at + _AVOID_ALL_S)
        return now >= avoid_until and now >= state.probe_until

    def _is_avoided(self, endpoint_id: str) -> bool:
        state = self._states_by_endpoint.get(endpoint_id)
        return state is not None and state.avoided

    def left_alone(self, endpoints: Collection[model.Endpoint]) -> set[str]:
        """Tells which of the endpoints of one kind are left alone.

        Where all of them are, the merely slow ones are not: something common
        to all makes them slow, and leaving all alone would refuse every
        request while their slots are free.

        Args:
          endpoints: The endpoints of one kind and pool.

        Returns:
          Ids of those that only a probe may go to.
        """
        if not self._avoided:
            return set()
        avoided = {item.id for item in endpoints if self._is_avoided(item.id)}
        if len(avoided) < len(endpoints):
            return avoided
        return {
            name for name in avoided if self._states_by_endpoint[name].failing
        }

    def placed(self, endpoint_id: str, now: float) -> bool:
        """Notes a request placed: only one probes at a time.

        Args:
          endpoint_id: Where.
          now: Time, seconds.

        Returns:
          Whether the request probes.
        """
        state = self._states_by_endpoint.get(endpoint_id)
        if state is None or not state.avoided:
            return False
        state.probe_until = now + _PROBE_TIMEOUT_S
        return True

    def probe_ended(self, endpoint_id: str) -> None:
        """Notes that a probe is over, whatever came of it."""
        state = self._states_by_endpoint.get(endpoint_id)
        if state is not None:
            state.probe_until = 0.0

    def answered(self, endpoint_id: str, begun_at: float = math.inf) -> None:
        """Notes an answer of an endpoint that was left alone for failing.

        Args:
          endpoint_id: Whose it is.
          begun_at: When its request was sent there, seconds.
        """
        state = self._states_by_endpoint.get(endpoint_id)
        if state is not None and state.failing:
            self._clear(state, begun_at)

    def failed(
        self, endpoint_id: str, now: float, *, unreachable: bool = False
    ) -> None:
        """Notes a failure: one is enough.

        Args:
          endpoint_id: Whose it is.
          now: Time, seconds.
          unreachable: Whether no connection came about.
        """
        state = self._state(endpoint_id)
        state.failing = True
        state.unreachable = unreachable
        self._avoid(state, now)

    def was_unreachable(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint failed by taking no connection."""
        state = self._states_by_endpoint.get(endpoint_id)
        return state is not None and state.unreachable

    def pace(
        self,
        endpoint_id: str,
        ratio: float,
        now: float,
        begun_at: float = math.inf,
    ) -> None:
        """Notes a measured time over the expected one.

        Args:
          endpoint_id: Whose it is.
          ratio: Measured over expected.
          now: Time, seconds.
          begun_at: When its request was sent there, seconds.
        """
        state = self._state(endpoint_id)
        if ratio > _SLOW_RATIO:
            self._strike(state, now)
        else:
            self._clear(state, begun_at)

    def transfer(
        self,
        prefill_id: str,
        decode_id: str,
        measured_s: float,
        expected_s: float,
        now: float,
        begun_at: float = math.inf,
    ) -> None:
        """Notes the time of a transfer between two engines.

        A slow transfer doesn't tell whose link is slow. The engine whose last
        good transfer is longer ago is blamed: the other one has shown since
        then, with another partner, that its link is well.

        Args:
          prefill_id: One end.
          decode_id: The other end.
          measured_s: Its time; infinite if it was evicted first.
          expected_s: The time by the settings.
          now: Time, seconds.
          begun_at: When its request was sent to the engines, seconds.
        """
        slow = (
            measured_s > expected_s * _SLOW_TRANSFER_RATIO
            and measured_s - expected_s > _SLOW_TRANSFER_MIN_S
        )
        ends = (self._state(decode_id), self._state(prefill_id))
        if not slow:
            for state in ends:
                state.moved_at = now
                self._clear(state, begun_at)
            return
        blamed = min(ends, key=lambda state: state.moved_at)
        self._strike(blamed, now)

    def forget(self, endpoint_id: str) -> None:
        """Drops what is known of an endpoint that has started anew."""
        state = self._states_by_endpoint.pop(endpoint_id, None)
        if state is not None:
            self._avoided -= state.avoided

    def forget_except(self, endpoint_ids: set[str]) -> None:
        """Drops what is known of endpoints that are gone."""
        for endpoint_id in self._states_by_endpoint.keys() - endpoint_ids:
            self._avoided -= self._states_by_endpoint.pop(endpoint_id).avoided

    def _state(self, endpoint_id: str) -> _State:
        return self._states_by_endpoint.setdefault(endpoint_id, _State())

    def _strike(self, state: _State, now: float) -> None:
        state.strikes += 1
        if state.strikes >= _STRIKES_TO_AVOID or state.avoided:
            self._avoid(state, now)

    def _clear(self, state: _State, begun_at: float) -> None:
        # Streams that an engine took before it began to fail go on well. They
        # say nothing of the requests that it would get now.
        if state.failing and begun_at < state.failed_at:
            return
        state.strikes = 0
        self._avoided -= state.avoided
        state.avoided = False
        state.failing = False
        state.unreachable = False
        # The time to leave it alone shrinks with each good answer, so that an
        # endpoint which keeps changing between good and bad is soon left
        # alone for long.
        state.avoid_s /= 2

    def _avoid(self, state: _State, now: float) -> None:
        state.failed_at = now
        # Requests placed before the first failure fail soon after it. They
        # are the same piece of news and must not lengthen the time again.
        if state.avoided and now < state.avoid_until:
            return
        least_s, most_s = _AVOID_MIN_S, _AVOID_MAX_S
        if state.unreachable:
            least_s, most_s = _AVOID_UNREACHABLE_S, _AVOID_UNREACHABLE_MAX_S
        state.avoid_s = min(max(state.avoid_s * 2, least_s), most_s)
        self._avoided += not state.avoided
        state.avoided = True
        state.avoid_until = now + state.avoid_s
        state.probe_until = 0.0
