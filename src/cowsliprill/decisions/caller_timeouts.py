"""Estimates how long ago a caller made its first attempt."""

import dataclasses

# Operators may shorten the timeouts of callers. An estimate expires after this
# time, so that a shorter timeout is detected.
_ESTIMATE_TTL_S = 30.0

# Smaller differences are network delay rather than an earlier attempt.
_NETWORK_JITTER_S = 0.1


@dataclasses.dataclass(slots=True)
class _LongestTimeout:
    timeout_s: float
    seen_at: float


class CallerTimeouts:
    """Estimates the timeout with which callers of each service start.

    Callers send their remaining time with each attempt. The longest recent
    value for a service is taken as the full timeout of its callers.
    """

    def __init__(self) -> None:
        self._longest_by_service: dict[str, _LongestTimeout] = {}

    def time_spent_s(
        self, service_id: str, remaining_s: float, now: float
    ) -> float:
        """Returns how much of its timeout a caller spent on earlier attempts.

        Args:
          service_id: Id of the service.
          remaining_s: Remaining time that the caller states, in seconds.
          now: Current time in seconds.

        Returns:
          Seconds since the caller's first attempt, 0 if this is the first.
        """
        longest = self._longest_by_service.get(service_id)
        if (
            longest is None
            or remaining_s >= longest.timeout_s
            or now - longest.seen_at > _ESTIMATE_TTL_S
        ):
            self._longest_by_service[service_id] = _LongestTimeout(
                remaining_s, now
            )
            return 0.0
        time_spent_s = longest.timeout_s - remaining_s
        return time_spent_s if time_spent_s > _NETWORK_JITTER_S else 0.0
