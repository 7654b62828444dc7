"""Outlier ejection of engines, driven by the outcomes of real requests.

An engine that fails or is slow is ejected for an interval that doubles with
each ejection; then one request at a time probes it. No active health checks are
sent: an engine that answers one may still fail to serve requests.

An engine that loses responses is ejected only if its failure rate exceeds that
of its peers, and only while the other engines suffice for the load.
"""

import dataclasses
import math
from collections.abc import Collection

from cowsliprill.decisions import model
from cowsliprill.decisions.engine_health import failure_rates

# Streams whose time per token exceeds the configured one by this ratio count as
# slow. Batching and random variation stay below it.
_SLOW_STREAM_RATIO = 1.5

# Transfers share their links, so a transfer only counts as slow at a much
# higher ratio. For short transfers, the delay must also exceed the usual delays
# of processes and networks.
_SLOW_TRANSFER_RATIO = 5.0
_SLOW_TRANSFER_MIN_S = 0.2

_SLOW_RESULTS_TO_EJECT = 2

# Time between the beginnings of two slow streams that show a slow engine. Some
# engines have phases of 0.6 s in which work takes 2.5 times as long, and are as
# fast as before when an ejection of 2 s begins. Work that began in a phase may
# end long after it, so that the length of a stream tells nothing.
_SLOW_STREAMS_APART_S = 1.0

# From this ratio on, streams needn't begin apart: no such phases are known, and
# their callers would wait too long.
_FAR_SLOWER_RATIO = 3.5

_EJECTION_MIN_S = 2.0
_EJECTION_MAX_S = 30.0

# Losses of responses last for some seconds. Each failed probe costs a request,
# and an engine that is ejected for longer than its losses last stays idle.
_LOSSY_EJECTION_MAX_S = 10.0

# A failed connection attempt costs the next request a few milliseconds and no
# prefill, so an unreachable engine is probed sooner.
_UNREACHABLE_EJECTION_MIN_S = 0.5

# A longer interval saves nothing, and an engine that is reachable again would
# stay idle.
_UNREACHABLE_EJECTION_MAX_S = 2.0

# Engines that stood still serve as before once they answer again.
_SILENCE_EJECTION_S = 2.0

# While all engines of a kind are ejected, each is probed this long after its
# last failure. With a longer interval, the pool would reject requests long
# after its engines have recovered.
_ALL_EJECTED_RETRY_S = 0.5

# A probe whose outcome is never reported must not exclude an engine for good.
_PROBE_TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True)
class _EngineState:
    slow_count: int = 0
    ejection_s: float = 0.0
    ejected_until: float = 0.0
    last_failure_at: float = 0.0
    probe_expires_at: float = 0.0
    ejected: bool = False
    failing: bool = False
    unreachable: bool = False
    silent: bool = False
    lossy: bool = False
    last_good_transfer_at: float = 0.0
    slow_stream_began_at: float | None = None


class EngineHealth:
    """Tracks failures and slowness of engines and ejects the affected ones."""

    def __init__(self) -> None:
        self._states_by_endpoint: dict[str, _EngineState] = {}
        self._ejected_count = 0
        self._rates = failure_rates.FailureRates()

    def usable(
        self, endpoint_id: str, now: float, *, last_resort: bool = False
    ) -> bool:
        """Returns whether an engine may get a request now.

        Args:
          endpoint_id: Id of the engine.
          now: Current time in seconds.
          last_resort: Whether all engines of its kind are ejected.
        """
        state = self._states_by_endpoint.get(endpoint_id)
        if state is None or not state.ejected:
            return True
        ejected_until = state.ejected_until
        if last_resort:
            ejected_until = min(
                ejected_until, state.last_failure_at + _ALL_EJECTED_RETRY_S
            )
        return now >= ejected_until and now >= state.probe_expires_at

    def _is_ejected(self, endpoint_id: str) -> bool:
        state = self._states_by_endpoint.get(endpoint_id)
        return state is not None and state.ejected

    def any_ejected(self, endpoints: Collection[model.Endpoint]) -> bool:
        """Returns whether any of some engines is ejected by its outcomes."""
        return bool(self._ejected_count) and any(
            self._is_ejected(item.id) for item in endpoints
        )

    def all_ejected(self, endpoints: Collection[model.Endpoint]) -> bool:
        """Returns whether all of some engines are ejected by their outcomes.

        Those that capacity alone keeps in use count.
        """
        return bool(self._ejected_count) and all(
            self._is_ejected(item.id) for item in endpoints
        )

    def has_ejected(self) -> bool:
        """Returns whether any engine of any pool is ejected."""
        return bool(self._ejected_count)

    def has_losses(self) -> bool:
        """Returns whether any engine has lost responses lately."""
        return self._rates.has_losses()

    def ejected_engine_ids(
        self, endpoints: Collection[model.Endpoint], needed: float = 0.0
    ) -> set[str]:
        """Returns which engines of one kind are ejected.

        If all of them are, those that are slow or silent but don't fail are
        left out: that then has a common cause, and ejecting every engine would
        reject all requests while the engines have free slots.

        Engines that lose responses are left out, those with the least failure
        rate first, as long as fewer engines than needed would be left. They are
        last choices by their `expected_loss_s`.

        Args:
          endpoints: All engines of one kind in one pool.
          needed: How many of them the recent load needs.

        Returns:
          Ids of the engines that may only get probe requests.
        """
        if not self._ejected_count:
            return set()
        ejected_ids = {
            item.id for item in endpoints if self._is_ejected(item.id)
        }
        ejected_ids -= self._last_choice_ids(
            ejected_ids, len(endpoints), needed
        )
        if len(ejected_ids) < len(endpoints):
            return ejected_ids
        return {
            endpoint_id
            for endpoint_id in ejected_ids
            if self._states_by_endpoint[endpoint_id].failing
        }

    def last_choice_ids(
        self, endpoints: Collection[model.Endpoint], needed: float
    ) -> set[str]:
        """Returns which engines capacity alone keeps from being ejected.

        Args:
          endpoints: All engines of one kind in one pool.
          needed: How many of them the recent load needs.
        """
        if not self._ejected_count:
            return set()
        ejected_ids = {
            item.id for item in endpoints if self._is_ejected(item.id)
        }
        return self._last_choice_ids(ejected_ids, len(endpoints), needed)

    def _last_choice_ids(
        self, ejected_ids: set[str], count: int, needed: float
    ) -> set[str]:
        missing = math.ceil(max(needed, 1.0)) - (count - len(ejected_ids))
        if missing <= 0:
            return set()
        lossy_ids = [
            endpoint_id
            for endpoint_id in ejected_ids
            if self._states_by_endpoint[endpoint_id].lossy
        ]
        lossy_ids.sort(key=lambda item: (self._rates.rate(item), item))
        return set(lossy_ids[:missing])

    def record_placement(self, endpoint_id: str, now: float) -> bool:
        """Records that a request was placed on an engine.

        If the engine is ejected, the request is a probe, and no other request
        is placed on the engine until the probe ends or times out.

        Args:
          endpoint_id: Id of the engine.
          now: Current time in seconds.

        Returns:
          Whether the request is a probe.
        """
        state = self._states_by_endpoint.get(endpoint_id)
        if state is None or not state.ejected:
            return False
        state.probe_expires_at = now + _PROBE_TIMEOUT_S
        return True

    def end_probe(self, endpoint_id: str) -> None:
        """Records the end of a probe, whatever its outcome."""
        state = self._states_by_endpoint.get(endpoint_id)
        if state is not None:
            state.probe_expires_at = 0.0

    def record_success(
        self, endpoint_id: str, sent_at: float = math.inf
    ) -> None:
        """Records a successful response.

        Readmits the engine if it was ejected for a failure. An engine that was
        ejected for slowness stays ejected: a response alone doesn't show that
        the engine is fast again.

        Args:
          endpoint_id: Id of the engine.
          sent_at: When the request was sent to the engine, in seconds.
        """
        state = self._states_by_endpoint.get(endpoint_id)
        if state is not None and (state.failing or state.silent or state.lossy):
            self._record_good(endpoint_id, state, sent_at)

    def record_answer(self, endpoint_id: str, now: float) -> None:
        """Records that an engine has answered a request, for its rate.

        Args:
          endpoint_id: Id of the engine.
          now: Current time in seconds.
        """
        self._rates.record_answer(endpoint_id, now)

    def record_loss(
        self, endpoint_id: str, peers: Collection[model.Endpoint], now: float
    ) -> None:
        """Records that an engine has lost the response to a request it got.

        The engine is ejected if it is an outlier among its peers, or if nothing
        else than losses came of it lately.

        Args:
          endpoint_id: Id of the engine.
          peers: All engines of its kind in its pool.
          now: Current time in seconds.
        """
        self._rates.record_loss(endpoint_id, now)
        state = self._get_state(endpoint_id)
        if state.ejected and not state.lossy:
            self._eject(state, now)
            return
        state.last_failure_at = now
        peer_ids = [item.id for item in peers if item.id != endpoint_id]
        if state.lossy or self._rates.is_outlier(endpoint_id, peer_ids, now):
            state.lossy = True
            self._eject(state, now)

    def expected_loss_s(
        self, endpoint_id: str, attempt_s: float, now: float
    ) -> float:
        """Returns the time that a request is expected to lose at an engine.

        Args:
          endpoint_id: Id of the engine.
          attempt_s: Time that a failed attempt costs its caller, in seconds.
          now: Current time in seconds.

        Returns:
          Seconds; exactly 0 for an engine that has lost no response.
        """
        return self._rates.rate(endpoint_id, now) * attempt_s

    def describe_lossy(
        self, endpoints: Collection[model.Endpoint], needed: float
    ) -> str:
        """Returns the failure rates of engines that lose responses, as text.

        Args:
          endpoints: All engines of one kind in one pool.
          needed: How many of them the recent load needs.

        Returns:
          For each engine that is ejected for its losses its id, its rate, its
          peers' mean rate, and `ejected` or `needed` (kept as the load needs
          it); separated by commas.
        """
        kept_ids = self.last_choice_ids(endpoints, needed)
        parts = []
        for item in endpoints:
            state = self._states_by_endpoint.get(item.id)
            if state is None or not (state.ejected and state.lossy):
                continue
            peer_ids = [peer.id for peer in endpoints if peer is not item]
            rate = self._rates.rate(item.id)
            peers_rate = self._rates.mean_rate(peer_ids)
            verdict = "needed" if item.id in kept_ids else "ejected"
            parts.append(f"{item.id}:{rate:.2f}/{peers_rate:.2f}:{verdict}")
        return ",".join(sorted(parts))

    def record_failure(
        self, endpoint_id: str, now: float, *, unreachable: bool = False
    ) -> None:
        """Records a failure and ejects the engine at once.

        Args:
          endpoint_id: Id of the engine.
          now: Current time in seconds.
          unreachable: Whether no connection could be established.
        """
        state = self._get_state(endpoint_id)
        state.failing = True
        state.lossy = False
        state.unreachable = unreachable
        self._eject(state, now)

    def record_silence(self, endpoint_id: str, now: float) -> None:
        """Records that an engine sends nothing while its host is reachable.

        Args:
          endpoint_id: Id of the engine.
          now: Current time in seconds.
        """
        state = self._get_state(endpoint_id)
        if state.ejected and not state.lossy:
            return
        state.silent = True
        state.lossy = False
        state.last_failure_at = now
        self._ejected_count += not state.ejected
        state.ejected = True
        state.ejected_until = now + _SILENCE_EJECTION_S
        state.probe_expires_at = 0.0

    def end_silence(self, endpoint_id: str) -> None:
        """Records that an engine sends output, whenever that was begun.

        Args:
          endpoint_id: Id of the engine.
        """
        state = self._states_by_endpoint.get(endpoint_id)
        if state is not None and state.silent:
            self._readmit(state)

    def any_sound(self, endpoints: Collection[model.Endpoint]) -> bool:
        """Returns whether any engine of one kind neither fails nor is silent.

        Args:
          endpoints: All engines of one kind in one pool.
        """
        states = [
            self._states_by_endpoint.get(item.id, _EngineState())
            for item in endpoints
        ]
        return not all(state.failing or state.silent for state in states)

    def was_unreachable(self, endpoint_id: str) -> bool:
        """Returns whether an engine's last failure was a failed connection."""
        state = self._states_by_endpoint.get(endpoint_id)
        return state is not None and state.unreachable

    def record_token_time_ratio(
        self,
        endpoint_id: str,
        ratio: float,
        now: float,
        sent_at: float = math.inf,
        began_at: float | None = None,
    ) -> None:
        """Records the time per output token of a stream.

        An engine is ejected for two slow streams that began apart, without a
        good stream or transfer between their ends, or for two results of
        streams that are far slower, whenever they began.

        Args:
          endpoint_id: Id of the decode engine.
          ratio: Measured time per token over the expected one.
          now: Current time in seconds.
          sent_at: When the request was sent to the engine, in seconds.
          began_at: When its first token arrived, in seconds; None if that is
            unknown. The stream then counts as begun apart from all others.
        """
        state = self._get_state(endpoint_id)
        if ratio <= _SLOW_STREAM_RATIO:
            self._record_good(endpoint_id, state, sent_at)
        elif began_at is None:
            self._record_slow(state, now)
        else:
            is_far_slower = ratio > _FAR_SLOWER_RATIO
            self._record_slow_stream(state, began_at, now, is_far_slower)

    def record_transfer(
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
        states = (self._get_state(decode_id), self._get_state(prefill_id))
        if not slow:
            for endpoint_id, state in zip(
                (decode_id, prefill_id), states, strict=True
            ):
                state.last_good_transfer_at = now
                self._record_good(endpoint_id, state, sent_at)
            return
        blamed = min(states, key=lambda state: state.last_good_transfer_at)
        self._record_slow(blamed, now)

    def reset(self, endpoint_id: str) -> None:
        """Drops the state of an engine that has restarted."""
        self._rates.forget(endpoint_id)
        state = self._states_by_endpoint.pop(endpoint_id, None)
        if state is not None:
            self._ejected_count -= state.ejected

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drops the state of engines that were removed."""
        self._rates.retain(endpoint_ids)
        for endpoint_id in self._states_by_endpoint.keys() - endpoint_ids:
            self._ejected_count -= self._states_by_endpoint.pop(
                endpoint_id
            ).ejected

    def _get_state(self, endpoint_id: str) -> _EngineState:
        return self._states_by_endpoint.setdefault(endpoint_id, _EngineState())

    def _record_slow(self, state: _EngineState, now: float) -> None:
        state.slow_count += 1
        if state.slow_count >= _SLOW_RESULTS_TO_EJECT or state.ejected:
            self._eject(state, now)

    def _record_slow_stream(
        self,
        state: _EngineState,
        began_at: float,
        now: float,
        is_far_slower: bool,
    ) -> None:
        first_began_at = state.slow_stream_began_at
        if first_began_at is None:
            state.slow_stream_began_at = first_began_at = began_at
        is_apart = abs(began_at - first_began_at) >= _SLOW_STREAMS_APART_S
        if is_apart or state.ejected:
            self._eject(state, now)
        elif is_far_slower:
            self._record_slow(state, now)

    def _record_good(
        self, endpoint_id: str, state: _EngineState, sent_at: float
    ) -> None:
        # Streams that started before the engine began to fail may still
        # succeed. They don't show that it can serve new requests.
        if (state.failing or state.lossy) and sent_at < state.last_failure_at:
            return
        if state.lossy:
            # The interval grows only while probes go on failing.
            state.ejection_s = 0.0
            self._rates.record_readmission(endpoint_id)
        self._readmit(state)
        # The interval is halved with each success rather than reset, so that it
        # soon gets long for an engine that alternates between success and
        # failure.
        state.ejection_s /= 2

    def _readmit(self, state: _EngineState) -> None:
        state.slow_count = 0
        state.slow_stream_began_at = None
        self._ejected_count -= state.ejected
        state.ejected = False
        state.failing = False
        state.unreachable = False
        state.silent = False
        state.lossy = False

    def _eject(self, state: _EngineState, now: float) -> None:
        state.last_failure_at = now
        # Requests placed before the first failure fail soon after it, for the
        # same reason. They must not extend the ejection.
        if state.ejected and now < state.ejected_until:
            return
        min_s, max_s = _EJECTION_MIN_S, _EJECTION_MAX_S
        if state.unreachable:
            min_s, max_s = (
                _UNREACHABLE_EJECTION_MIN_S,
                _UNREACHABLE_EJECTION_MAX_S,
            )
        elif state.lossy:
            max_s = _LOSSY_EJECTION_MAX_S
        state.ejection_s = min(max(state.ejection_s * 2, min_s), max_s)
        self._ejected_count += not state.ejected
        state.ejected = True
        state.ejected_until = now + state.ejection_s
        state.probe_expires_at = 0.0
