"""Whether settings are recent enough for API keys to be honoured.

Pure. A key that the operator has taken away must not be honoured anywhere once
a bound has passed, at VMs that are cut off from the store included. So a VM
honours keys only while it can show that its settings were the store's newest
within that bound. The age of what a peer shows counts from when the peer was
asked, never by a wall clock: an answer may have waited while this process
stood still.
"""

import math

# Part of the bound for which keys are honoured. The rest is for a store that
# loses its history: its watches may hear of a change a second late.
_HONOURED_PART = 0.75

# Parts of the bound after which peers are asked, and the store itself.
_ASK_PEERS_PART = 0.25
_ASK_STORE_PART = 0.5

# Part of the bound for which a reader's watch is held: only its end shows that
# nothing has changed.
_WATCH_PART = 0.2


class Freshness:
    """When the settings in force were last shown to be the newest.

    Args:
      bound_s: Time after which a revoked key must not be honoured, seconds;
        None where VMs out of touch may go on.
    """

    def __init__(self, bound_s: float | None) -> None:
        self._bound_s = math.inf if bound_s is None else bound_s
        self._confirmed_at = -math.inf

    @property
    def is_bounded(self) -> bool:
        """Whether settings have to be confirmed at all."""
        return math.isfinite(self._bound_s)

    @property
    def watch_s(self) -> float:
        """How long a watch of the settings may be held at most, seconds."""
        return self._bound_s * _WATCH_PART

    def confirm(self, as_of: float) -> None:
        """Notes that the settings in force were the newest at a time."""
        self._confirmed_at = max(self._confirmed_at, as_of)

    def age_s(self, now: float) -> float:
        """Returns how long ago the settings were shown to be the newest."""
        return now - self._confirmed_at

    def honours_keys(self, now: float) -> bool:
        """Returns whether a key of the settings in force may be honoured."""
        if not self.is_bounded:
            return True
        return self.age_s(now) <= self._bound_s * _HONOURED_PART

    def must_ask_peers(self, now: float) -> bool:
        """Returns whether peers are to be asked for something newer."""
        return self.age_s(now) > self._bound_s * _ASK_PEERS_PART

    def must_ask_store(self, now: float) -> bool:
        """Returns whether the store is to be asked, whoever reads it else."""
        return self.age_s(now) > self._bound_s * _ASK_STORE_PART
