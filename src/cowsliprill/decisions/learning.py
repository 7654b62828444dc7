"""What requests tell of the engines that served them."""

from cowsliprill.decisions import estimates
from cowsliprill.decisions import health
from cowsliprill.decisions import messages
from cowsliprill.decisions import requests


class Learning:
    """Judges engines by their own answers.

    Args:
      engine_health: Where the judgements go.
    """

    def __init__(self, engine_health: health.Health) -> None:
        self._health = engine_health

    def first_token(self, request: requests.Request, now: float) -> None:
        """Takes in how long a transfer took.

        Args:
          request: The request whose first token came.
          now: Time, seconds.
        """
        prefill, decode = request.prefill, request.decode
        assert prefill is not None and decode is not None
        if prefill is decode:
            expected = estimates.own_prefill_s(decode, request.submit)
        else:
            expected = decode.seconds_per_token + estimates.transfer_s(
                prefill, decode, request.submit.prompt_tokens
            )
        measured = now - request.stage_at
        self._health.transfer(
            prefill.id, decode.id, measured, expected, now, request.started_at
        )

    def pace(
        self, request: requests.Request, output_tokens: int, now: float
    ) -> None:
        """Takes in how fast a stream's tokens came.

        Args:
          request: The request.
          output_tokens: Tokens since the first one, that included.
          now: Time, seconds.
        """
        decode = request.decode
        assert decode is not None
        written_s = now - request.stage_at
        request.pool.learn_writing(output_tokens - 1, written_s)
        if output_tokens < 2 or decode.seconds_per_token <= 0:
            return
        pace = written_s / (output_tokens - 1)
        ratio = pace / decode.seconds_per_token
        self._health.pace(decode.id, ratio, now, request.started_at)

    def failed(
        self,
        request: requests.Request,
        event: messages.AttemptFailed,
        now: float,
    ) -> None:
        """Takes in a failed attempt.

        Args:
          request: The request.
          event: How it failed.
          now: Time, seconds.
        """
        prefill, decode = request.prefill, request.decode
        assert prefill is not None and decode is not None
        if event.refused:
            holding = request.pool.holding(event.endpoint_id)
            # An engine that refuses its only request isn't full with ours: it
            # is leaving, or holds what nobody here knows of. Asked again at
            # once it would refuse one request after the other.
            if holding.in_use <= request.slots and not event.unsent:
                self._health.failed(event.endpoint_id, now)
        elif event.unreachable:
            self._health.failed(event.endpoint_id, now, unreachable=True)
        elif event.answered:
            self._health.failed(event.endpoint_id, now)
        elif event.stage is messages.Stage.TRANSFER:
            never = float("inf")
            self._health.transfer(prefill.id, decode.id, never, 0.0, now)
        else:
            self._health.failed(event.endpoint_id, now)
