"""Queue of member updates to gossip, each in a limited number of rounds.

Does no I/O. Every process that learns of an update repeats it in enough rounds
to reach nearly all members. Processes that miss it all the same catch up
through anti-entropy, by comparing digests.
"""

import math

# Updates in one message. Together with the rest of the message they stay some
# hundred bytes below the size at which a datagram is fragmented.
MESSAGE_UPDATES_MAX = 10

# Updates in the queue. More arrive when a whole fleet starts at once; those
# that are evicted spread through anti-entropy.
_QUEUED_UPDATES_MAX = 64

_ROUNDS_MIN = 2


class GossipUpdates:
    """Updates that are yet to be gossiped, by member.

    Args:
      fanout: Number of peers that receive one round.
    """

    def __init__(self, fanout: int) -> None:
        self._fanout = fanout
        self._rounds_sent_by_id: dict[str, int] = {}

    def add(self, member_id: str) -> None:
        """Queues a member's update, restarting its rounds if it is queued."""
        self._rounds_sent_by_id.pop(member_id, None)
        self._rounds_sent_by_id[member_id] = 0
        if len(self._rounds_sent_by_id) > _QUEUED_UPDATES_MAX:
            self._rounds_sent_by_id.pop(next(iter(self._rounds_sent_by_id)))

    def has_unsent(self) -> bool:
        """Returns whether any queued update was never sent."""
        return any(
            not rounds_sent for rounds_sent in self._rounds_sent_by_id.values()
        )

    def next_round(self, members: int) -> list[str]:
        """Starts a round and returns ids of the members whose updates to send.

        Updates sent in the fewest rounds come first.

        Args:
          members: Number of members in the table.
        """
        chosen = sorted(
            self._rounds_sent_by_id, key=self._rounds_sent_by_id.get
        )[:MESSAGE_UPDATES_MAX]
        rounds = self._rounds_needed(members)
        for member_id in chosen:
            self._rounds_sent_by_id[member_id] += 1
            if self._rounds_sent_by_id[member_id] >= rounds:
                del self._rounds_sent_by_id[member_id]
        return chosen

    def _rounds_needed(self, members: int) -> int:
        rounds = math.log(members + 1) / math.log(1 + self._fanout)
        return max(math.ceil(rounds), _ROUNDS_MIN)
