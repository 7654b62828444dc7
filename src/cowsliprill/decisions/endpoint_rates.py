"""Paces the requests of all VMs to endpoints that name a rate limit.

One process paces an endpoint for all VMs: the coordinator of its pool.
"""

import math
from collections.abc import Iterable

from cowsliprill.decisions import rate_limits

# A request may come early by the time that passed unused before it, up to this
# much and up to one interval. Timers fire late, and without this the endpoint
# would get fewer requests than it takes.
_MAX_CREDIT_S = 0.1


class EndpointRates:
    """Rate limits of some endpoints, and when each may get its next request.

    Attributes:
      fraction: Fraction of each rate that this process may use, from 0 to 1.
    """

    def __init__(self) -> None:
        self.fraction = 1.0
        self._limits_by_endpoint: dict[str, rate_limits.RateLimit] = {}
        self._last_at_by_endpoint: dict[str, float] = {}

    def set_limits(
        self,
        limits: Iterable[rate_limits.RateLimit],
        now: float,
    ) -> None:
        """Sets the limits of the endpoints.

        An endpoint that is limited from now on gets its next request one
        interval later, as it has had requests before.

        Args:
          limits: The limits, one an endpoint.
          now: Current time in seconds.
        """
        self._limits_by_endpoint = {
            limit.endpoint_id: limit for limit in limits if limit.restricts(now)
        }
        self._last_at_by_endpoint = {
            endpoint_id: self._last_at_by_endpoint.get(endpoint_id, now)
            for endpoint_id in self._limits_by_endpoint
        }

    def limits_any(self, now: float) -> bool:
        """Returns whether any endpoint limits its requests."""
        limits = self._limits_by_endpoint.values()
        return any(limit.restricts(now) for limit in limits)

    def is_limited(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint limits its requests."""
        return self.rate_per_s(endpoint_id, now) < math.inf

    def rate_per_s(self, endpoint_id: str, now: float) -> float:
        """Returns the rate that may be used here, infinite without a limit."""
        limit = self._limits_by_endpoint.get(endpoint_id)
        if limit is None:
            return math.inf
        return limit.rate_per_s(now) * self.fraction

    def named_per_s(self, endpoint_id: str) -> float:
        """Returns the rate of a limit that holds, infinite for others."""
        limit = self._limits_by_endpoint.get(endpoint_id)
        if limit is None or not limit.active:
            return math.inf
        return limit.rate_per_s(limit.changed_at) * self.fraction

    def next_at(self, endpoint_id: str, now: float) -> float:
        """Returns when an endpoint may get its next request, in seconds."""
        rate_per_s = self.rate_per_s(endpoint_id, now)
        if rate_per_s == math.inf:
            return -math.inf
        if not rate_per_s:
            return math.inf
        return self._last_at_by_endpoint[endpoint_id] + 1 / rate_per_s

    def is_open(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint may get a request now."""
        return self.next_at(endpoint_id, now) <= now

    def take(self, endpoint_id: str, now: float) -> None:
        """Counts a request to an endpoint that is sent now."""
        rate_per_s = self.rate_per_s(endpoint_id, now)
        if rate_per_s == math.inf:
            return
        credit_s = min(1 / rate_per_s, _MAX_CREDIT_S) if rate_per_s else 0.0
        self._last_at_by_endpoint[endpoint_id] = max(
            self.next_at(endpoint_id, now), now - credit_s
        )

    def next_opening(self, now: float) -> float:
        """Returns when the next closed endpoint opens, infinite for none."""
        return min(
            (
                at
                for at in (
                    self.next_at(endpoint_id, now)
                    for endpoint_id in self._limits_by_endpoint
                )
                if at > now
            ),
            default=math.inf,
        )
