"""Bounded staleness: whether settings are recent enough to accept API keys.

Does no I/O. A key that the operator has revoked must not be accepted by any VM
after a maximum staleness, not even by VMs that are cut off from the store. So a
VM accepts keys only while it can show that its settings were the store's newest
within that time. The age of a peer's confirmation counts from the time of the
request to the peer, never by a wall clock, since the response may have been
queued while this process was paused.
"""

import math

# Keys are accepted for this fraction of the maximum staleness. The rest is a
# margin for a store that loses its history, whose watches may report a change
# a second late.
_ACCEPT_KEYS_FRACTION = 0.75

# Fractions of the maximum staleness after which peers and the store are
# queried.
_QUERY_PEERS_FRACTION = 0.25
_QUERY_STORE_FRACTION = 0.5

# Timeout of a reader's watch as a fraction of the maximum staleness: a watch
# without changes confirms the settings only when it ends.
_WATCH_TIMEOUT_FRACTION = 0.2


class Freshness:
    """Tracks when the active settings were last confirmed as the newest.

    Args:
      max_staleness_s: Time in seconds after which a revoked key must not be
        accepted; None if disconnected VMs may go on accepting keys.
    """

    def __init__(self, max_staleness_s: float | None) -> None:
        self._max_staleness_s = (
            math.inf if max_staleness_s is None else max_staleness_s
        )
        self._confirmed_at = -math.inf

    @property
    def is_bounded(self) -> bool:
        """Whether there is a maximum staleness."""
        return math.isfinite(self._max_staleness_s)

    @property
    def watch_timeout_s(self) -> float:
        """Longest timeout of a watch of the settings in seconds."""
        return self._max_staleness_s * _WATCH_TIMEOUT_FRACTION

    def confirm(self, as_of: float) -> None:
        """Records that the active settings were the newest.

        Args:
          as_of: Time in seconds at which that was true.
        """
        self._confirmed_at = max(self._confirmed_at, as_of)

    def age_s(self, now: float) -> float:
        """Returns the time since the last confirmation in seconds.

        Args:
          now: Current time in seconds.
        """
        return now - self._confirmed_at

    def accepts_api_keys(self, now: float) -> bool:
        """Returns whether API keys of the active settings may be accepted.

        Args:
          now: Current time in seconds.
        """
        if not self.is_bounded:
            return True
        return self.age_s(now) <= self._max_staleness_s * _ACCEPT_KEYS_FRACTION

    def must_query_peers(self, now: float) -> bool:
        """Returns whether to query peers for newer settings.

        Args:
          now: Current time in seconds.
        """
        return self.age_s(now) > self._max_staleness_s * _QUERY_PEERS_FRACTION

    def must_query_store(self, now: float) -> bool:
        """Returns whether to query the store, even if this VM is no reader.

        Args:
          now: Current time in seconds.
        """
        return self.age_s(now) > self._max_staleness_s * _QUERY_STORE_FRACTION
