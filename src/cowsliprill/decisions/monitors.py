"""Selection of the members that monitor this process's heartbeats.

Does no I/O.
"""

import random

from cowsliprill.decisions import member_table

# With up to seven members, all of them monitor each other.
MONITORS_PER_MEMBER = 6


class Monitors:
    """The members that this process asks to monitor its heartbeats.

    Args:
      table: The member table.
      rng: Random number generator.

    Attributes:
      ids: Ids of the monitoring members.
    """

    def __init__(
        self, table: member_table.MemberTable, rng: random.Random
    ) -> None:
        self.ids: list[str] = []
        self._table = table
        self._random = rng

    def rotate(self) -> list[member_table.Member]:
        """Draws new monitors and returns the members released from the task.

        One monitor is replaced at each heartbeat. While a fleet starts, all
        processes know the seeds first; without rotation the seeds would
        monitor everyone permanently.
        """
        alive_by_id = {
            member.record.id: member for member in self._table.alive()
        }
        ids = [member_id for member_id in self.ids if member_id in alive_by_id]
        released = []
        others = [
            member_id for member_id in alive_by_id if member_id not in ids
        ]
        if len(ids) >= MONITORS_PER_MEMBER and others:
            released.append(alive_by_id[ids.pop(0)])
        missing = min(MONITORS_PER_MEMBER - len(ids), len(others))
        ids += self._random.sample(others, missing)
        self.ids = ids
        return released

    def sample_others(self) -> list[str]:
        """Draws ids of members that don't monitor this process.

        Updates about this process originate here alone. If they went only to
        its monitors and it couldn't reach these, all members would consider it
        dead.
        """
        others = [
            member.record.id
            for member in self._table.alive()
            if member.record.id not in self.ids
        ]
        return self._random.sample(
            others, min(MONITORS_PER_MEMBER, len(others))
        )
