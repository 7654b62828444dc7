"""What the answer to a request is worth beside others of its service."""

from cowsliprill.decisions import messages

# A token of an answer counts as so many of a prompt: it takes an engine's
# memory for a step of the whole batch, a prompt's tokens are read thousands
# at a time. Customers weigh their answers by the same figure.
ANSWER_TOKEN_WORTH = 10.0

# Beyond this multiple of the mean, size adds nothing.
_WORTH_MAX = 4.0

_LEARNING_RATE = 0.02


class Worths:
    """Learns the usual size of each service's requests."""

    def __init__(self) -> None:
        self._mean_size_by_service: dict[str, float] = {}

    def of(self, submit: messages.Submit, answer_tokens: float) -> float:
        """Returns a request's worth, about 1 for a usual one.

        Args:
          submit: The request.
          answer_tokens: Expected length of its answer.
        """
        share = submit.service.worth_by_size
        mean = self._mean_size_by_service.get(submit.service.id)
        if not share or not mean:
            return 1.0
        size = _size(submit, answer_tokens)
        return min(1.0 - share + share * size / mean, _WORTH_MAX)

    def learn(self, submit: messages.Submit, answer_tokens: float) -> None:
        """Takes in the size of a request that arrived."""
        size = _size(submit, answer_tokens)
        mean = self._mean_size_by_service.get(submit.service.id, size)
        mean += (size - mean) * _LEARNING_RATE
        self._mean_size_by_service[submit.service.id] = mean


def _size(submit: messages.Submit, answer_tokens: float) -> float:
    return submit.prompt_tokens + ANSWER_TOKEN_WORTH * answer_tokens
