"""What this process may place work on, and until when."""

import dataclasses

from cowsliprill.decisions import messages

# Without its home an endpoint may be used for this long after each failed
# ask, within the small share that the scheduler allows itself.
FALLBACK_S = 2.0


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

    def fall_back(self, endpoint_ids: tuple[str, ...], now: float) -> None:
        """Notes that the home of some endpoints gives no answer."""
        for endpoint_id in endpoint_ids:
            end = self._ends_by_endpoint.get(endpoint_id, 0.0)
            self._ends_by_endpoint[endpoint_id] = max(end, now + FALLBACK_S)

    def allow(self, endpoint_id: str, now: float) -> bool:
        """Returns whether work may be placed on an endpoint right now."""
        return self._ends_by_endpoint.get(endpoint_id, 0.0) > now

    def endpoint_ids(self) -> list[str]:
        """Lists the endpoints that have or had a lease."""
        return list(self._ends_by_endpoint)

    def earliest_end(self, endpoint_ids: set[str], now: float) -> float | None:
        """Returns when the first of the leases on endpoints runs out."""
        ends = [
            end
            for endpoint_id, end in self._ends_by_endpoint.items()
            if endpoint_id in endpoint_ids and end > now
        ]
        return min(ends, default=None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that the settings no longer name."""
        self._ends_by_endpoint = {
            endpoint_id: end
            for endpoint_id, end in self._ends_by_endpoint.items()
            if endpoint_id in endpoint_ids
        }
