"""Value of a request by its size, relative to others of its service."""

from cowsliprill.decisions import messages

# Prompt tokens that one output token counts as. An output token takes an
# engine's memory for a step of the whole batch, while prompt tokens are
# processed thousands at a time. Customers value responses by the same factor.
OUTPUT_TOKEN_WEIGHT = 10.0

# Upper bound of a request's value; the value of the mean request is 1.
_MAX_VALUE = 4.0

_EMA_WEIGHT = 0.02


class RequestValues:
    """Tracks the mean request size of each service and values requests by it.

    The mean is an exponential moving average.
    """

    def __init__(self) -> None:
        self._mean_size_by_service: dict[str, float] = {}

    def of(
        self, submit: messages.Submit, expected_output_tokens: float
    ) -> float:
        """Returns the value of a request, about 1 for one of average size.

        Args:
          submit: The request.
          expected_output_tokens: Expected number of output tokens.
        """
        size_fraction = submit.service.worth_by_size
        mean = self._mean_size_by_service.get(submit.service.id)
        if not size_fraction or not mean:
            return 1.0
        size = _size(submit, expected_output_tokens)
        return min(
            1.0 - size_fraction + size_fraction * size / mean, _MAX_VALUE
        )

    def record(
        self, submit: messages.Submit, expected_output_tokens: float
    ) -> None:
        """Records the size of a new request."""
        size = _size(submit, expected_output_tokens)
        mean = self._mean_size_by_service.get(submit.service.id, size)
        mean += (size - mean) * _EMA_WEIGHT
        self._mean_size_by_service[submit.service.id] = mean


def _size(submit: messages.Submit, expected_output_tokens: float) -> float:
    return submit.prompt_tokens + OUTPUT_TOKEN_WEIGHT * expected_output_tokens
