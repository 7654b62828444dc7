"""Bounds how long ago the stream began that a caller resumes."""

from cowsliprill.decisions import model
from cowsliprill.decisions import stream_origins

# Callers may wait for longer than the operator wants them to.
_CALLER_LIMIT_FACTOR = 2.0


class StreamAges:
    """Knows the longest timeout of each service, its callers' included.

    What a caller has left of its time doesn't tell how old its stream is: the
    limit that it started with may be longer than any that this VM has seen.
    """

    def __init__(self) -> None:
        self._longest_s_by_service: dict[str, float] = {}

    def age_max_s(self, service: model.Service, remaining_s: float) -> float:
        """Returns for how long a stream can be resumed, in seconds.

        Args:
          service: The requested service.
          remaining_s: Remaining time that the caller states in seconds, 0 if it
            states none.
        """
        longest_s = max(
            self._longest_s_by_service.get(service.id, 0.0),
            service.timeout_s * _CALLER_LIMIT_FACTOR,
            remaining_s,
        )
        self._longest_s_by_service[service.id] = longest_s
        return max(longest_s, stream_origins.STREAM_AGE_MIN_S)
