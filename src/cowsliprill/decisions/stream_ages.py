"""Bounds how long ago the stream began that a caller resumes."""

from cowsliprill.decisions import model
from cowsliprill.decisions import stream_origins

# Callers state their remaining time as of when they sent the request.
_NETWORK_DELAY_MAX_S = 1.0

# Without a statement of the caller, a multiple of the service's timeout.
_UNSTATED_FACTOR = 2.0


class StreamAges:
    """Knows the longest timeout of each service's callers.

    A caller resumes a stream within the timeout of its first attempt, so what
    it has left tells how long ago the stream began at most.
    """

    def __init__(self) -> None:
        self._longest_s_by_service: dict[str, float] = {}

    def age_max_s(self, service: model.Service, remaining_s: float) -> float:
        """Returns how old the stream of a request is at most, in seconds.

        Args:
          service: The requested service.
          remaining_s: Remaining time that the caller states in seconds, 0 if it
            states none.
        """
        longest_s = max(
            self._longest_s_by_service.get(service.id, 0.0),
            service.timeout_s,
            remaining_s,
        )
        self._longest_s_by_service[service.id] = longest_s
        if not remaining_s:
            return self.retention_s(service)
        return longest_s - remaining_s + _NETWORK_DELAY_MAX_S

    @staticmethod
    def retention_s(service: model.Service) -> float:
        """Returns for how long a stream can be resumed, in seconds.

        Args:
          service: The requested service.
        """
        return max(
            service.timeout_s * _UNSTATED_FACTOR,
            stream_origins.STREAM_AGE_MIN_S,
        )
