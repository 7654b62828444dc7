"""What this process may place work on, and until when."""

import dataclasses
import math

from cowsliprill.decisions import messages


@dataclasses.dataclass(slots=True)
class Leases:
    """Ends of the leases by endpoint, asked for right before each act.

    The scheduler decides on leases too, but between its decision and the act
    this process may have been paused for minutes. Acting then would put work
    on a slot that its home has long given to another entry; one would notice
    `engine_full` refusals, or an engine that holds more than its slots.
    """

    _ends_by_endpoint: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def grant(self, grant: messages.SlotGrant) -> None:
        """Takes a home's grant."""
        self._ends_by_endpoint[grant.endpoint_id] = grant.expires_at

    def fall_back(self, endpoint_ids: tuple[str, ...]) -> None:
        """Notes that the home of some endpoints gives no answer.

        The scheduler then allows itself a small share until the home grants
        again. That share is no lease and has no end: an end of its own here
        would let the scheduler place requests that this process then refuses
        to run, which callers see as `endpoint_failed` without any try.

        Args:
          endpoint_ids: The endpoints.
        """
        for endpoint_id in endpoint_ids:
            self._ends_by_endpoint[endpoint_id] = math.inf

    def allow(self, endpoint_id: str, now: float) -> bool:
        """Returns whether work may be placed on an endpoint right now."""
        return self._ends_by_endpoint.get(endpoint_id, 0.0) > now

    def endpoint_ids(self) -> list[str]:
        """Lists the endpoints that have or had a lease."""
        return list(self._ends_by_endpoint)

    def earliest_end(self, now: float) -> float | None:
        """Returns when the first of the leases runs out, None without one."""
        ends = [
            end
            for end in self._ends_by_endpoint.values()
            if now < end < math.inf
        ]
        return min(ends, default=None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that the settings no longer name."""
        self._ends_by_endpoint = {
            endpoint_id: end
            for endpoint_id, end in self._ends_by_endpoint.items()
            if endpoint_id in endpoint_ids
        }
