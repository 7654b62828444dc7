"""Expected times of prefills, transfers and answers."""

import math

from cowsliprill.decisions import messages
from cowsliprill.decisions import model

# Fixed part of a prefill: scheduling in the engine and the exchange of two
# messages.
_PREFILL_OVERHEAD_S = 0.015

# Added for each step that leaves an availability zone.
CROSS_ZONE_S = 0.003

_ANSWER_SHARE_START = 0.7
_LEARNING_RATE = 0.02
_DEFAULT_SECONDS_PER_TOKEN = 0.03


def prefill_s(
    endpoint: model.Endpoint, submit: messages.Submit, cached_tokens: int
) -> float:
    """Returns the expected time of a prefill once it begins.

    Args:
      endpoint: The prefill engine.
      submit: The request.
      cached_tokens: Leading tokens whose KV cache the engine has.
    """
    tokens = max(submit.prompt_tokens - cached_tokens, 1)
    speed = endpoint.prefill_tokens_per_s
    return _PREFILL_OVERHEAD_S + (tokens / speed if speed > 0 else 0.0)


def own_prefill_s(decode: model.Endpoint, submit: messages.Submit) -> float:
    """Returns how long a decode engine reads a prompt itself.

    Args:
      decode: The engine; infinite if it can't.
      submit: The request.
    """
    speed = decode.own_prefill_tokens_per_s
    return submit.prompt_tokens / speed if speed > 0 else math.inf


def transfer_s(
    prefill: model.Endpoint, decode: model.Endpoint, prompt_tokens: int
) -> float:
    """Returns the expected time of a transfer on links that are free."""
    rates = [
        endpoint.link_bytes_per_s
        for endpoint in (prefill, decode)
        if endpoint.link_bytes_per_s > 0
    ]
    size = prompt_tokens * prefill.kv_bytes_per_token
    same = prefill.availability_zone == decode.availability_zone
    hop = 0.0 if same else CROSS_ZONE_S
    return hop + (size / min(rates) if rates else 0.0)


class AnswerLengths:
    """Learns how much of the tokens they ask for the answers really have."""

    def __init__(self) -> None:
        self._share_by_service: dict[str, float] = {}

    def expected_tokens(self, submit: messages.Submit) -> float:
        """Returns the expected length of an answer, in tokens."""
        if submit.expected_tokens:
            guess = min(submit.expected_tokens, submit.output_tokens)
            return max(float(guess), 1.0)
        share = self._share_by_service.get(
            submit.service.id, _ANSWER_SHARE_START
        )
        return max(submit.output_tokens * share, 1.0)

    def learn(self, submit: messages.Submit, output_tokens: int) -> None:
        """Takes in the length of a finished answer."""
        service_id = submit.service.id
        share = self._share_by_service.get(service_id, _ANSWER_SHARE_START)
        seen = output_tokens / max(submit.output_tokens, 1)
        self._share_by_service[service_id] = (
            share + (seen - share) * _LEARNING_RATE
        )


def seconds_per_token(endpoints: list[model.Endpoint]) -> float:
    """Returns the mean pace of decode engines."""
    paces = [item.seconds_per_token for item in endpoints]
    paces = [pace for pace in paces if pace > 0]
    return sum(paces) / len(paces) if paces else _DEFAULT_SECONDS_PER_TOKEN
