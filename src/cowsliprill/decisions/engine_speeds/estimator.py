"""Estimates the prefill and decode speeds of one pool's engines."""

import dataclasses
from collections.abc import Iterable

from cowsliprill.decisions import model
from cowsliprill.decisions.engine_speeds import fits
from cowsliprill.decisions.engine_speeds import stage_times

# The time of a shorter output is dominated by its fixed overhead.
_MIN_DECODE_TOKENS = 20


class SpeedEstimator:
    """Estimates the speeds of one pool's engines.

    Samples of engines with explicit speeds count for the pool only.
    """

    def __init__(self) -> None:
        self._prefill = stage_times.StageTimes(fits.fit_prefill)
        self._decode = stage_times.StageTimes(fits.fit_decode)
        self._incarnations: set[tuple[str, str]] = set()

    def set_engines(self, endpoints: Iterable[model.Endpoint]) -> None:
        """Sets the engines in use; what is known of others is dropped.

        An engine that has restarted under its id is a new one.

        Args:
          endpoints: All engines of the pool.
        """
        self._incarnations = {item.incarnation for item in endpoints}
        self._prefill.retain(self._incarnations)
        self._decode.retain(self._incarnations)

    def add_prefill(
        self,
        endpoint: model.Endpoint,
        tokens: int,
        seconds: float,
        now: float,
    ) -> bool:
        """Adds the prefill of a prompt that ran alone on a prefill engine.

        Args:
          endpoint: The engine.
          tokens: Tokens of the prompt that weren't cached.
          seconds: Time of the prefill in seconds.
          now: Current time in seconds.

        Returns:
          Whether a published speed changed, so that `apply_to` must be applied
          to the engines again.
        """
        if endpoint.incarnation not in self._incarnations or seconds <= 0:
            return False
        return self._prefill.add(
            endpoint.incarnation,
            max(tokens, 1),
            seconds,
            now,
            estimated=endpoint.speeds_guessed,
        )

    def add_decode(
        self,
        endpoint: model.Endpoint,
        tokens: int,
        seconds: float,
        now: float,
    ) -> bool:
        """Adds the decode of an output or a part of one.

        Args:
          endpoint: The engine.
          tokens: Tokens decoded after the first one.
          seconds: Time since the first token, in seconds.
          now: Current time in seconds.

        Returns:
          Whether a published speed changed, so that `apply_to` must be applied
          to the engines again.
        """
        if endpoint.incarnation not in self._incarnations:
            return False
        if tokens < _MIN_DECODE_TOKENS or seconds <= 0:
            return False
        # Each output counts alike, whatever its length.
        return self._decode.add(
            endpoint.incarnation,
            1,
            seconds / tokens,
            now,
            estimated=endpoint.speeds_guessed,
        )

    def has_estimates(self) -> bool:
        """Returns whether both speeds of the pool have been estimated."""
        return self._prefill.published_s > 0 and self._decode.published_s > 0

    def usual_seconds_per_token(self, endpoint: model.Endpoint) -> float:
        """Returns the decode time per token that isn't slow for an engine.

        Args:
          endpoint: A decode engine. If its speeds were configured explicitly,
            or none has been estimated, the time is the one it carries.
        """
        usual_s = self._decode.usual_s(endpoint.incarnation)
        if not endpoint.speeds_guessed or not usual_s:
            return endpoint.seconds_per_token
        return usual_s

    def relative_speed(self, endpoint: model.Endpoint) -> float:
        """Returns an engine's speed in its role, 1.0 if as fast as its pool."""
        if not endpoint.speeds_guessed:
            return 1.0
        if endpoint.kind is model.EndpointKind.PREFILL:
            return 1 / _time(self._prefill, endpoint, self._decode)
        return 1 / _time(self._decode, endpoint, self._prefill)

    def apply_to(self, endpoint: model.Endpoint) -> model.Endpoint:
        """Returns an engine with its default speeds replaced by measured ones.

        Args:
          endpoint: The engine as configured. If its speeds were configured
            explicitly, it is returned unchanged.
        """
        if not endpoint.speeds_guessed:
            return endpoint
        prefill_time = _time(self._prefill, endpoint, self._decode)
        decode_time = _time(self._decode, endpoint, self._prefill)
        token_s = self._decode.published_s or endpoint.seconds_per_token
        default_speed = endpoint.prefill_tokens_per_s
        speed = default_speed
        if self._prefill.published_s:
            speed = 1 / self._prefill.published_s
        speed /= prefill_time
        own_speed = endpoint.own_prefill_tokens_per_s
        if default_speed > 0:
            own_speed *= speed / default_speed
        return dataclasses.replace(
            endpoint,
            seconds_per_token=token_s * decode_time,
            prefill_tokens_per_s=speed,
            own_prefill_tokens_per_s=own_speed,
        )


def _time(
    stage: stage_times.StageTimes,
    endpoint: model.Endpoint,
    other: stage_times.StageTimes,
) -> float:
    """Returns an engine's relative time in a stage.

    An engine runs prompts at its usual speed though it has only decoded, so the
    other stage tells its speed while this one has too few samples.
    """
    incarnation = endpoint.incarnation
    if other.is_learnt(incarnation) and not stage.is_learnt(incarnation):
        return other.relative_time(incarnation) or 1.0
    return stage.relative_time(incarnation) or 1.0
