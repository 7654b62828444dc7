"""Anti-entropy: picks the peer to synchronize the member table with, and when.

Does no I/O. Most differences between tables are resolved by gossip in flight,
so only a lasting digest mismatch starts a synchronization. Of several peers
that differ, the one that knows the most members is picked: while a fleet
starts, a few synchronizations are then enough to learn of all members.
"""

import math

from cowsliprill.decisions import member_records as records_lib

# How long digests must differ before a synchronization, and the minimum time
# between two synchronizations.
_MISMATCH_MIN_S = 0.2
_SYNC_INTERVAL_MIN_S = 0.4


class AntiEntropy:
    """Tracks digest mismatches with peers and the last synchronization."""

    def __init__(self) -> None:
        self._mismatch_since = math.inf
        self._peer = ""
        self._peer_member_count = 0
        self._last_sync_at = -math.inf

    def compare(
        self, message: records_lib.Message, digest: int, now: float
    ) -> None:
        """Compares the digest in a peer's message with the own one.

        Args:
          message: The peer's message.
          digest: Digest of the own member table, after the message's updates
            were applied.
          now: Current time in seconds.
        """
        if message.digest == digest:
            self._mismatch_since = math.inf
            self._peer_member_count = 0
            return
        if message.member_count >= self._peer_member_count:
            self._peer = message.sender.id
            self._peer_member_count = message.member_count
        self._mismatch_since = min(self._mismatch_since, now)

    def next_peer(self, now: float) -> str:
        """Returns the id of the peer to synchronize with now, empty for none.

        Args:
          now: Current time in seconds.
        """
        if now - self._mismatch_since < _MISMATCH_MIN_S:
            return ""
        if now - self._last_sync_at < _SYNC_INTERVAL_MIN_S:
            return ""
        self._last_sync_at = now
        self._mismatch_since = math.inf
        self._peer_member_count = 0
        return self._peer
