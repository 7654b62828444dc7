"""Expiry times of this process's slot leases and fallback shares."""

import dataclasses

from cowsliprill.decisions import messages

# How long a fallback share, used without a lease, stays valid after it was last
# confirmed.
FALLBACK_DURATION_S = 2.0


@dataclasses.dataclass(slots=True)
class _Permission:
    """Permission to use one endpoint.

    Attributes:
      expires_at: Expiry time in seconds.
      held_since: Time in seconds since which the permission has been valid
        without a gap.
      fallback: Whether this is a fallback share instead of a lease.
    """

    expires_at: float = 0.0
    held_since: float = 0.0
    fallback: bool = False

    def extend(self, expires_at: float, now: float, *, fallback: bool) -> None:
        if self.expires_at <= now:
            self.held_since = now
        self.expires_at = expires_at
        self.fallback = fallback


@dataclasses.dataclass(slots=True)
class LeaseTable:
    """Permissions by endpoint, checked right before a request is sent.

    The scheduler checks leases too, but this process may be paused for minutes
    between a decision and the call to the engine. The coordinator may have
    leased the slot to another entry process since, and the call would overload
    the engine: the symptoms are `engine_full` refusals, or an engine that runs
    more requests than it has slots. A new lease that is granted right after the
    pause doesn't cover earlier decisions: a decision keeps its slot only while
    the lease is valid without a gap.
    """

    _permissions_by_endpoint: dict[str, _Permission] = dataclasses.field(
        default_factory=dict
    )

    def grant(self, grant: messages.SlotGrant, now: float) -> None:
        """Records a coordinator's grant.

        Args:
          grant: The grant.
          now: Current time in seconds.
        """
        self._permission_of(grant.endpoint_id).extend(
            grant.expires_at, now, fallback=False
        )

    def use_fallback(self, endpoint_ids: tuple[str, ...], now: float) -> None:
        """Records that the coordinator of some endpoints grants no slots.

        The scheduler then uses a small fallback share of the slots until the
        coordinator grants slots again.

        Args:
          endpoint_ids: IDs of the endpoints.
          now: Current time in seconds.
        """
        for endpoint_id in endpoint_ids:
            self._permission_of(endpoint_id).extend(
                now + FALLBACK_DURATION_S, now, fallback=True
            )

    def confirm_fallbacks(self, now: float) -> None:
        """Extends the fallback shares, which the scheduler keeps on its own.

        If a fallback share expired here while the scheduler still uses it,
        callers would get `endpoint_failed` without an attempt.

        Args:
          now: Current time in seconds.
        """
        for permission in self._permissions_by_endpoint.values():
            if permission.fallback:
                permission.extend(now + FALLBACK_DURATION_S, now, fallback=True)

    def allow(self, endpoint_id: str, decided_at: float, now: float) -> bool:
        """Returns whether a placement decision is still valid.

        Args:
          endpoint_id: ID of the endpoint.
          decided_at: Time of the scheduler's decision in seconds.
          now: Current time in seconds.
        """
        permission = self._permissions_by_endpoint.get(endpoint_id)
        if permission is None or permission.expires_at <= now:
            return False
        return permission.held_since <= decided_at

    def endpoint_ids(self) -> list[str]:
        """Returns the IDs of endpoints with a current or expired lease."""
        return list(self._permissions_by_endpoint)

    def earliest_expiry(self, now: float) -> float | None:
        """Returns the earliest future expiry time, None without any."""
        expiry_times = [
            permission.expires_at
            for permission in self._permissions_by_endpoint.values()
            if permission.expires_at > now
        ]
        return min(expiry_times, default=None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Removes all endpoints except the given ones."""
        self._permissions_by_endpoint = {
            endpoint_id: permission
            for endpoint_id, permission in self._permissions_by_endpoint.items()
            if endpoint_id in endpoint_ids
        }

    def _permission_of(self, endpoint_id: str) -> _Permission:
        return self._permissions_by_endpoint.setdefault(
            endpoint_id, _Permission()
        )
