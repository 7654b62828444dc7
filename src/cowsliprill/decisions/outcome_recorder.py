"""Reports request outcomes to engine health checks and speed estimates."""

from cowsliprill.decisions import engine_reach
from cowsliprill.decisions import estimates
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import requests
from cowsliprill.decisions import unavailable_engines
from cowsliprill.decisions.engine_health import health


class OutcomeRecorder:
    """Derives health samples of engines from the requests that they served.

    Args:
      engine_health: Receives the samples and detects outliers.
      unavailable: Gets the engines that only some entry processes can't reach.
    """

    def __init__(
        self,
        engine_health: health.EngineHealth,
        unavailable: unavailable_engines.UnavailableEngines,
    ) -> None:
        self._health = engine_health
        self._unavailable = unavailable
        self._reach = engine_reach.EngineReach()

    def retain(self, engine_ids: set[str]) -> None:
        """Drops what is known of engines that were removed.

        Args:
          engine_ids: Ids of the engines that are left.
        """
        self._reach.retain(engine_ids)

    def record_prefill(self, request: requests.Request, now: float) -> None:
        """Records that a prefill has ended.

        Args:
          request: The request.
          now: Current time in seconds.
        """
        assert request.prefill is not None
        if request.pool.is_former(request.prefill):
            return
        self._health.record_success(request.prefill.id, request.started_at)
        self._record_answer(request, request.prefill.id, now)

    def record_first_token(self, request: requests.Request, now: float) -> None:
        """Records the time of a KV cache transfer.

        Where the decode engine ran the prefill itself, records the time of that
        in place of a transfer.

        Args:
          request: The request whose first token arrived.
          now: Current time in seconds.
        """
        prefill, decode = request.prefill, request.decode
        assert prefill is not None and decode is not None
        if request.pool.is_former(decode):
            return
        self._record_answer(request, decode.id, now)
        if request.pool.is_former(prefill):
            return
        if prefill is decode:
            expected_s = estimates.local_prefill_s(decode, request.submit)
        else:
            expected_s = decode.seconds_per_token + estimates.transfer_s(
                prefill, decode, request.submit.prompt_tokens
            )
        measured_s = now - request.stage_started_at
        self._health.record_transfer(
            prefill.id,
            decode.id,
            measured_s,
            expected_s,
            now,
            request.started_at,
        )

    def record_pace(
        self, request: requests.Request, output_tokens: int, now: float
    ) -> None:
        """Records the time per output token of a stream.

        Args:
          request: The request.
          output_tokens: Tokens received so far, the first one included.
          now: Current time in seconds.
        """
        decode = request.decode
        assert decode is not None
        if request.began_unseen or request.pool.is_former(decode):
            return
        decode_s = now - request.stage_started_at
        # The usual speed is the one before this stream is taken into account.
        usual_s_per_token = request.pool.usual_seconds_per_token(decode)
        request.pool.record_decode_speed(
            decode, output_tokens - 1, decode_s, now
        )
        if output_tokens < 2 or usual_s_per_token <= 0:
            return
        measured_s_per_token = decode_s / (output_tokens - 1)
        ratio = measured_s_per_token / usual_s_per_token
        self._health.record_token_time_ratio(
            decode.id,
            ratio,
            now,
            request.started_at,
            request.stage_started_at,
        )

    def record_failure(
        self,
        request: requests.Request,
        event: messages.AttemptFailed,
        now: float,
        *,
        paused: bool,
    ) -> None:
        """Records a failed attempt.

        Args:
          request: The request.
          event: The failure.
          now: Current time in seconds.
          paused: Whether the engine has said for how long it wants no requests.
        """
        prefill, decode = request.prefill, request.decode
        assert prefill is not None and decode is not None
        if event.unsent and not event.unreachable:
            # The engine didn't get the request, which says nothing about it.
            return
        failed = prefill if event.endpoint_id == prefill.id else decode
        if request.pool.is_former(failed):
            # The engine has restarted since, which is another engine.
            return
        if event.silent:
            self._health.record_silence(event.endpoint_id, now)
        elif event.refused:
            lease = request.pool.lease(event.endpoint_id)
            # An engine that rejects its only request from this process isn't
            # full because of it: it is draining, or its slots are taken by
            # requests unknown here. Without ejection it would be chosen again
            # at once and reject one request after the other. One that limits
            # its requests or wants a pause is busy, and isn't chosen before
            # its turn.
            limited = request.pool.rates.is_limited(event.endpoint_id, now)
            alone = lease.in_use <= request.slots
            if alone and not limited and not paused:
                self._health.record_failure(event.endpoint_id, now)
        elif event.unreachable:
            self._record_unreachable(request, event.endpoint_id, now)
        elif event.answered:
            self._health.record_failure(event.endpoint_id, now)
        elif event.connection_lost or event.resumable:
            # The connection shows which engine has lost the response, also
            # while that engine fetches the KV cache of another.
            self._record_loss(request, event.endpoint_id, now)
        elif event.stage is messages.Stage.TRANSFER:
            # A transfer that never completed counts as infinitely slow, which
            # doesn't tell which end is at fault.
            never_s = float("inf")
            self._health.record_transfer(
                prefill.id, decode.id, never_s, 0.0, now
            )
        else:
            self._health.record_failure(event.endpoint_id, now)

    def _record_loss(
        self, request: requests.Request, engine_id: str, now: float
    ) -> None:
        pool = request.pool
        current = pool.endpoints_by_id.get(engine_id)
        used = (request.prefill, request.decode)
        if current is None or not any(
            item is not None and item.incarnation == current.incarnation
            for item in used
        ):
            # The engine has restarted since, and its counts begin anew.
            return
        peers = pool.prefills
        if current.kind is model.EndpointKind.DECODE:
            peers = pool.decodes
        self._health.record_loss(engine_id, peers, now)

    def _record_answer(
        self, request: requests.Request, engine_id: str, now: float
    ) -> None:
        self._health.record_answer(engine_id, now)
        self._reach.record_answer(
            engine_id, request.submit.entry, request.started_at, now
        )

    def _record_unreachable(
        self, request: requests.Request, engine_id: str, now: float
    ) -> None:
        entry = request.submit.entry
        if self._reach.record_unreachable(engine_id, entry, now):
            self._health.record_failure(engine_id, now, unreachable=True)
            return
        until = now + engine_reach.UNREACHED_S
        self._unavailable.add(entry, engine_id, until, now)
