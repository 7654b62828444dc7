"""What this process may place work on, and until when."""

import dataclasses

from cowsliprill.decisions import messages

# A permission without a lease ends so soon after it was last confirmed.
FALLBACK_S = 2.0


@dataclasses.dataclass(slots=True)
class _Permission:
    """Permission to use one endpoint.

    Attributes:
      end: When it runs out.
      since: It has held without a gap since then.
      fallback: Whether it is a fall-back share and no lease.
    """

    end: float = 0.0
    since: float = 0.0
    fallback: bool = False

    def extend(self, end: float, now: float, *, fallback: bool) -> None:
        if self.end <= now:
            self.since = now
        self.end = end
        self.fallback = fallback


@dataclasses.dataclass(slots=True)
class Leases:
    """Permissions by endpoint, asked for right before each act.

    The scheduler decides on leases too, but between its decision and the act
    this process may have been paused for minutes. Acting then would put work
    on a slot that its home has long given to another entry; one would notice
    `engine_full` refusals, or an engine that holds more than its slots. A new
    lease that comes right after waking doesn't help: the slot of a decision
    is only kept while the lease holds without a gap.
    """

    _permissions_by_endpoint: dict[str, _Permission] = dataclasses.field(
        default_factory=dict
    )

    def grant(self, grant: messages.SlotGrant, now: float) -> None:
        """Takes a home's grant.

        Args:
          grant: The grant.
          now: Time, seconds.
        """
        self._of(grant.endpoint_id).extend(
            grant.expires_at, now, fallback=False
        )

    def fall_back(self, endpoint_ids: tuple[str, ...], now: float) -> None:
        """Notes that the home of some endpoints gives no grant.

        The scheduler then allows itself a small share until the home grants
        again.

        Args:
          endpoint_ids: The endpoints.
          now: Time, seconds.
        """
        for endpoint_id in endpoint_ids:
            self._of(endpoint_id).extend(now + FALLBACK_S, now, fallback=True)

    def confirm_fallbacks(self, now: float) -> None:
        """Lets fall-back shares go on, as the scheduler does by itself.

        If they ended here while the scheduler still counts on them, callers
        would get `endpoint_failed` without any try.

        Args:
          now: Time, seconds.
        """
        for permission in self._permissions_by_endpoint.values():
            if permission.fallback:
                permission.extend(now + FALLBACK_S, now, fallback=True)

    def allow(self, endpoint_id: str, decided_at: float, now: float) -> bool:
        """Returns whether a decision may still be acted on.

        Args:
          endpoint_id: The endpoint.
          decided_at: When the scheduler decided.
          now: Time, seconds.
        """
        permission = self._permissions_by_endpoint.get(endpoint_id)
        if permission is None or permission.end <= now:
            return False
        return permission.since <= decided_at

    def endpoint_ids(self) -> list[str]:
        """Lists the endpoints that have or had a lease."""
        return list(self._permissions_by_endpoint)

    def earliest_end(self, now: float) -> float | None:
        """Returns when the first of the leases runs out, None without one."""
        ends = [
            permission.end
            for permission in self._permissions_by_endpoint.values()
            if permission.end > now
        ]
        return min(ends, default=None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that the settings no longer name."""
        self._permissions_by_endpoint = {
            endpoint_id: permission
            for endpoint_id, permission in self._permissions_by_endpoint.items()
            if endpoint_id in endpoint_ids
        }

    def _of(self, endpoint_id: str) -> _Permission:
        return self._permissions_by_endpoint.setdefault(
            endpoint_id, _Permission()
        )
