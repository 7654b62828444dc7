"""How long ago a caller made its first attempt."""

import dataclasses

# Operators may change how long callers wait; what was seen before that is
# forgotten after so long.
_KEEP_S = 30.0

# Differences below this are time on the way and not an earlier attempt.
_JITTER_S = 0.1


@dataclasses.dataclass(slots=True)
class _Longest:
    wait_s: float
    seen_at: float


class FullWaits:
    """Learns how long callers of each service wait at their first attempts.

    A caller tells with each attempt how much of its time is left. The longest
    that callers of its service tell is what they all begin with.
    """

    def __init__(self) -> None:
        self._longest_by_service: dict[str, _Longest] = {}

    def spent_s(self, service_id: str, left_s: float, now: float) -> float:
        """Returns how much of its time a caller has spent before.

        Args:
          service_id: The service.
          left_s: Time that the caller says it has left.
          now: Time, seconds.
        """
        longest = self._longest_by_service.get(service_id)
        if (
            longest is None
            or left_s >= longest.wait_s
            or now - longest.seen_at > _KEEP_S
        ):
            self._longest_by_service[service_id] = _Longest(left_s, now)
            return 0.0
        spent_s = longest.wait_s - left_s
        return spent_s if spent_s > _JITTER_S else 0.0
