"""When a process asks a peer for what the two know otherwise of members.

Pure. Most differences are on their way in messages; only one that stays is
asked about, and of several peers the one that knows the most members: while a
fleet starts, that brings all of them within a few questions.
"""

import math

from cowsliprill.decisions import member_records as records_lib

# What is known may differ for so long before a peer is asked, and questions
# are apart by at least the second.
_DIFFERS_S = 0.2
_APART_S = 0.4


class TableComparison:
    """Remembers which peers differ, and when one was asked."""

    def __init__(self) -> None:
        self._since = math.inf
        self._peer = ""
        self._peer_knows = 0
        self._asked_at = -math.inf

    def note(
        self, message: records_lib.Message, digest: int, now: float
    ) -> None:
        """Takes a peer's message.

        Args:
          message: The message.
          digest: Digest of what is known here, with the message's news.
          now: Time, seconds.
        """
        if message.digest == digest:
            self._since = math.inf
            self._peer_knows = 0
            return
        if message.known >= self._peer_knows:
            self._peer = message.sender.id
            self._peer_knows = message.known
        self._since = min(self._since, now)

    def next_peer(self, now: float) -> str:
        """Returns the id of the peer to ask now, empty for none."""
        if now - self._since < _DIFFERS_S:
            return ""
        if now - self._asked_at < _APART_S:
            return ""
        self._asked_at = now
        self._since = math.inf
        self._peer_knows = 0
        return self._peer
