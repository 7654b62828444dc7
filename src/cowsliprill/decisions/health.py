"""Circuit breakers for engines, driven by the outcomes of real requests.

An engine that fails or is slow gets no requests for an interval that doubles
with each failure; then one request at a time probes it. No active health
checks are sent: an engine that answers one may still fail to serve requests.
"""

import dataclasses
import math
from collections.abc import Collection

from cowsliprill.decisions import model

# Streams whose time per token exceeds the configured one by this ratio count as
# slow. Batching and random variation stay below it.
_SLOW_STREAM_RATIO = 1.5

# Transfers share their links, so a transfer only counts as slow at a much
# higher ratio. For short transfers, the delay must also exceed the usual delays
# of processes and networks.
_SLOW_TRANSFER_RATIO = 5.0
_SLOW_TRANSFER_MIN_S = 0.2

_SLOW_RESULTS_TO_OPEN = 2
_OPEN_MIN_S = 2.0
_OPEN_MAX_S = 30.0

# A refused connection costs the next request a few milliseconds and no prefill,
# so an unreachable engine is probed sooner.
_OPEN_UNREACHABLE_MIN_S = 0.5

# A longer interval saves nothing, and an engine that is reachable again would
# stay idle.
_OPEN_UNREACHABLE_MAX_S = 2.0

# While the circuits of all engines of a kind are open, each is probed this long
# after its last failure. With a longer interval, the pool would reject requests
# long after its engines have recovered.
_OPEN_ALL_S = 0.5

# A probe whose outcome is never reported must not exclude an engine for good.
_PROBE_TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True)
class _Breaker:
    slow_count: int = 0
    open_s: float = 0.0
    open_until: float = 0.0
    last_failure_at: float = 0.0
    probe_expires_at: float = 0.0
    is_open: bool = False
    failing: bool = False
    unreachable: bool = False
    last_good_transfer_at: float = 0.0


class Health:
    """Circuit breakers of all engines that one scheduler uses, by engine id."""

    def __init__(self) -> None:
        self._breakers_by_endpoint: dict[str, _Breaker] = {}
        self._open_count = 0

    def usable(
        self, endpoint_id: str, now: float, *, last_resort: bool = False
    ) -> bool:
        """Returns whether an engine may get a request now.

        Args:
          endpoint_id: Id of the engine.
          now: Current time in seconds.
          last_resort: Whether the circuits of all engines of its kind are open.
        """
        breaker = self._breakers_by_endpoint.get(endpoint_id)
        if breaker is None or not breaker.is_open:
            return True
        open_until = breaker.open_until
        if last_resort:
            open_until = min(open_until, breaker.last_failure_at + _OPEN_ALL_S)
        return now >= open_until and now >= breaker.probe_expires_at

    def _is_open(self, endpoint_id: str) -> bool:
        breaker = self._breakers_by_endpoint.get(endpoint_id)
        return breaker is not None and breaker.is_open

    def left_alone(self, endpoints: Collection[model.Endpoint]) -> set[str]:
        """Returns which engines of one kind have an open circuit.

        If all of them do, those that are slow but don't fail are left out: the
        slowness then has a common cause, and opening every circuit would
        reject all requests while the engines have free slots.

        Args:
          endpoints: All engines of one kind in one pool.

        Returns:
          Ids of the engines that may only get probe requests.
        """
        if not self._open_count:
            return set()
        open_ids = {item.id for item in endpoints if self._is_open(item.id)}
        if len(open_ids) < len(endpoints):
            return open_ids
        return {
            endpoint_id
            for endpoint_id in open_ids
            if self._breakers_by_endpoint[endpoint_id].failing
        }

    def placed(self, endpoint_id: str, now: float) -> bool:
        """Records that a request was placed on an engine.

        If the circuit is open, the request is a probe, and no other request is
        placed on the engine until the probe ends or times out.

        Args:
          endpoint_id: Id of the engine.
          now: Current time in seconds.

        Returns:
          Whether the request is a probe.
        """
        breaker = self._breakers_by_endpoint.get(endpoint_id)
        if breaker is None or not breaker.is_open:
            return False
        breaker.probe_expires_at = now + _PROBE_TIMEOUT_S
        return True

    def probe_ended(self, endpoint_id: str) -> None:
        """Records the end of a probe, whatever its outcome."""
        breaker = self._breakers_by_endpoint.get(endpoint_id)
        if breaker is not None:
            breaker.probe_expires_at = 0.0

    def answered(self, endpoint_id: str, sent_at: float = math.inf) -> None:
        """Records a successful response.

        Closes the circuit if it was opened by a failure. It stays open if it
        was opened by slowness, on which a response alone has no bearing.

        Args:
          endpoint_id: Id of the engine.
          sent_at: When the request was sent to the engine, in seconds.
        """
        breaker = self._breakers_by_endpoint.get(endpoint_id)
        if breaker is not None and breaker.failing:
            self._close(breaker, sent_at)

    def failed(
        self, endpoint_id: str, now: float, *, unreachable: bool = False
    ) -> None:
        """Records a failure and opens the circuit at once.

        Args:
          endpoint_id: Id of the engine.
          now: Current time in seconds.
          unreachable: Whether no connection could be established.
        """
        breaker = self._breaker(endpoint_id)
        breaker.failing = True
        breaker.unreachable = unreachable
        self._open(breaker, now)

    def was_unreachable(self, endpoint_id: str) -> bool:
        """Returns whether an engine's last failure was a failed connection."""
        breaker = self._breakers_by_endpoint.get(endpoint_id)
        return breaker is not None and breaker.unreachable

    def pace(
        self,
        endpoint_id: str,
        ratio: float,
        now: float,
        sent_at: float = math.inf,
    ) -> None:
        """Records the time per output token of a stream.

        Args:
          endpoint_id: Id of the decode engine.
          ratio: Measured time per token over the expected one.
          now: Current time in seconds.
          sent_at: When the request was sent to the engine, in seconds.
        """
        breaker = self._breaker(endpoint_id)
        if ratio > _SLOW_STREAM_RATIO:
            self._record_slow(breaker, now)
        else:
            self._close(breaker, sent_at)

    def transfer(
        self,
        prefill_id: str,
        decode_id: str,
        measured_s: float,
        expected_s: float,
        now: float,
        sent_at: float = math.inf,
    ) -> None:
        """Records the duration of a KV cache transfer between two engines.

        A slow transfer doesn't show which of the two links is slow. It is
        attributed to the engine whose last good transfer is longer ago: the
        other one has since completed a transfer with a different engine.

        Args:
          prefill_id: Id of the prefill engine.
          decode_id: Id of the decode engine.
          measured_s: Duration of the transfer; infinite if the KV cache was
            evicted before the transfer ended.
          expected_s: Duration expected from the configured link rates.
          now: Current time in seconds.
          sent_at: When the request was sent to the engines, in seconds.
        """
        slow = (
            measured_s > expected_s * _SLOW_TRANSFER_RATIO
            and measured_s - expected_s > _SLOW_TRANSFER_MIN_S
        )
        engine_breakers = (self._breaker(decode_id), self._breaker(prefill_id))
        if not slow:
            for breaker in engine_breakers:
                breaker.last_good_transfer_at = now
                self._close(breaker, sent_at)
            return
        blamed = min(
            engine_breakers, key=lambda breaker: breaker.last_good_transfer_at
        )
        self._record_slow(blamed, now)

    def forget(self, endpoint_id: str) -> None:
        """Resets the circuit breaker of an engine that has restarted."""
        breaker = self._breakers_by_endpoint.pop(endpoint_id, None)
        if breaker is not None:
            self._open_count -= breaker.is_open

    def forget_except(self, endpoint_ids: set[str]) -> None:
        """Drops the circuit breakers of engines that no longer exist."""
        for endpoint_id in self._breakers_by_endpoint.keys() - endpoint_ids:
            self._open_count -= self._breakers_by_endpoint.pop(
                endpoint_id
            ).is_open

    def _breaker(self, endpoint_id: str) -> _Breaker:
        return self._breakers_by_endpoint.setdefault(endpoint_id, _Breaker())

    def _record_slow(self, breaker: _Breaker, now: float) -> None:
        breaker.slow_count += 1
        if breaker.slow_count >= _SLOW_RESULTS_TO_OPEN or breaker.is_open:
            self._open(breaker, now)

    def _close(self, breaker: _Breaker, sent_at: float) -> None:
        # Streams that started before the engine began to fail may still
        # succeed. They don't show that it can serve new requests.
        if breaker.failing and sent_at < breaker.last_failure_at:
            return
        breaker.slow_count = 0
        self._open_count -= breaker.is_open
        breaker.is_open = False
        breaker.failing = False
        breaker.unreachable = False
        # The interval is halved with each success rather than reset, so that it
        # soon gets long for an engine that alternates between success and
        # failure.
        breaker.open_s /= 2

    def _open(self, breaker: _Breaker, now: float) -> None:
        breaker.last_failure_at = now
        # Requests placed before the first failure fail soon after it, for the
        # same reason. They must not extend the interval.
        if breaker.is_open and now < breaker.open_until:
            return
        min_s, max_s = _OPEN_MIN_S, _OPEN_MAX_S
        if breaker.unreachable:
            min_s, max_s = _OPEN_UNREACHABLE_MIN_S, _OPEN_UNREACHABLE_MAX_S
        breaker.open_s = min(max(breaker.open_s * 2, min_s), max_s)
        self._open_count += not breaker.is_open
        breaker.is_open = True
        breaker.open_until = now + breaker.open_s
        breaker.probe_expires_at = 0.0
