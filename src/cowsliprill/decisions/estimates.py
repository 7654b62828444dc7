"""Expected durations of prefills and KV cache transfers, and output lengths."""

import math
import statistics

from cowsliprill.decisions import messages
from cowsliprill.decisions import model

# Fixed part of a prefill's duration: scheduling in the engine and the exchange
# of two messages.
_PREFILL_OVERHEAD_S = 0.015

# Latency added by each hop to another availability zone.
CROSS_ZONE_S = 0.003

# Weight of the time of an output's tokens after the first event, relative to
# the time to first token, in the choice of a decode engine. An engine of half
# the speed then gets requests once the others are about four fifths fuller; at
# full weight it would stay empty until the others are full.
_LATER_TOKEN_WEIGHT = 0.1

# Upper bound of the cost of those tokens, in seconds: half of that of an engine
# with full memory. Otherwise a slow engine would get no long output before the
# memory of the others is full, and they would preempt requests.
_LATER_TOKENS_MAX_S = 0.05

_INITIAL_OUTPUT_FRACTION = 0.7
_EMA_WEIGHT = 0.02
_DEFAULT_SECONDS_PER_TOKEN = 0.03


def prefill_s(
    endpoint: model.Endpoint, submit: messages.Submit, cached_tokens: int
) -> float:
    """Returns the expected duration of a prefill without queueing, in seconds.

    Args:
      endpoint: Prefill engine.
      submit: Request.
      cached_tokens: Leading prompt tokens in the engine's prefix cache.
    """
    tokens = max(submit.prompt_tokens - cached_tokens, 1)
    speed = endpoint.prefill_tokens_per_s
    return _PREFILL_OVERHEAD_S + (tokens / speed if speed > 0 else 0.0)


def local_prefill_s(decode: model.Endpoint, submit: messages.Submit) -> float:
    """Returns the expected duration of a prefill on a decode engine.

    Args:
      decode: Decode engine.
      submit: Request.

    Returns:
      Seconds; infinite if the engine can't run prefills.
    """
    speed = decode.own_prefill_tokens_per_s
    return submit.prompt_tokens / speed if speed > 0 else math.inf


def extra_decode_s(
    decode: model.Endpoint,
    fastest_s_per_token: float,
    submit: messages.Submit,
    output_tokens: float,
) -> float:
    """Returns what a decode on an engine costs more than on the fastest one.

    The tokens of the first event delay it by as much. Those after it only fill
    the engine's memory for longer, so that they count for a fraction.

    Args:
      decode: Decode engine.
      fastest_s_per_token: Time per token of the fastest decode engine, in
        seconds.
      submit: Request.
      output_tokens: Expected length of its output.

    Returns:
      Cost in seconds of time to first token.
    """
    extra_s_per_token = max(decode.seconds_per_token - fastest_s_per_token, 0.0)
    first = min(float(submit.service.tokens_per_event), output_tokens)
    later_s = extra_s_per_token * (output_tokens - first)
    return extra_s_per_token * first + min(
        later_s * _LATER_TOKEN_WEIGHT, _LATER_TOKENS_MAX_S
    )


def transfer_s(
    prefill: model.Endpoint, decode: model.Endpoint, prompt_tokens: int
) -> float:
    """Returns the expected duration of a KV cache transfer on idle links.

    Args:
      prefill: Engine that sends the KV cache.
      decode: Engine that receives it.
      prompt_tokens: Number of prompt tokens.

    Returns:
      Seconds, with the latency between availability zones.
    """
    rates = [
        endpoint.link_bytes_per_s
        for endpoint in (prefill, decode)
        if endpoint.link_bytes_per_s > 0
    ]
    size_bytes = prompt_tokens * prefill.kv_bytes_per_token
    same_zone = prefill.availability_zone == decode.availability_zone
    zone_hop_s = 0.0 if same_zone else CROSS_ZONE_S
    return zone_hop_s + (size_bytes / min(rates) if rates else 0.0)


class OutputLengths:
    """Predicts output lengths as a fraction of the requested maximum.

    The fraction is an exponential moving average for each service.
    """

    def __init__(self) -> None:
        self._fraction_by_service: dict[str, float] = {}

    def expected_tokens(self, submit: messages.Submit) -> float:
        """Returns the expected number of output tokens, at least 1.

        The client's own estimate takes precedence.
        """
        if submit.expected_tokens:
            hint = min(submit.expected_tokens, submit.output_tokens)
            return max(float(hint), 1.0)
        fraction = self._fraction_by_service.get(
            submit.service.id, _INITIAL_OUTPUT_FRACTION
        )
        return max(submit.output_tokens * fraction, 1.0)

    def record(self, submit: messages.Submit, output_tokens: int) -> None:
        """Records the number of output tokens of a finished request."""
        service_id = submit.service.id
        fraction = self._fraction_by_service.get(
            service_id, _INITIAL_OUTPUT_FRACTION
        )
        observed = output_tokens / max(submit.output_tokens, 1)
        self._fraction_by_service[service_id] = (
            fraction + (observed - fraction) * _EMA_WEIGHT
        )


def seconds_per_token(endpoints: list[model.Endpoint]) -> float:
    """Returns the mean time per output token of decode engines, in seconds.

    Args:
      endpoints: Decode engines; those with unknown speed are left out.
    """
    intervals = [item.seconds_per_token for item in endpoints]
    intervals = [interval for interval in intervals if interval > 0]
    return (
        sum(intervals) / len(intervals)
        if intervals
        else _DEFAULT_SECONDS_PER_TOKEN
    )


def mean_prefill_speed(endpoints: list[model.Endpoint]) -> float:
    """Returns the mean prefill speed of engines, in tokens per second.

    Args:
      endpoints: The engines; those with unknown speed are left out.

    Returns:
      The mean, 0 if no speed is known.
    """
    speeds = [item.prefill_tokens_per_s for item in endpoints]
    speeds = [speed for speed in speeds if speed > 0]
    return statistics.fmean(speeds) if speeds else 0.0
