"""Which members watch this process. Pure."""

import random

from cowsliprill.decisions import member_table

# Members that watch one process. Up to seven processes all watch each other.
WATCHERS = 6


class Watchers:
    """The members that are to miss this process's heartbeats.

    Args:
      table: The members.
      rng: Random numbers.

    Attributes:
      ids: Their ids.
    """

    def __init__(
        self, table: member_table.MemberTable, rng: random.Random
    ) -> None:
        self.ids: list[str] = []
        self._table = table
        self._random = rng

    def turn(self) -> list[member_table.Member]:
        """Draws the next watchers; returns one that is so no longer.

        One changes at each beat. While a fleet starts all know the seeds
        first, which would otherwise watch everyone for good.
        """
        alive_by_id = {
            member.record.id: member for member in self._table.alive()
        }
        ids = [name for name in self.ids if name in alive_by_id]
        released = []
        others = [name for name in alive_by_id if name not in ids]
        if len(ids) >= WATCHERS and others:
            released.append(alive_by_id[ids.pop(0)])
        missing = min(WATCHERS - len(ids), len(others))
        ids += self._random.sample(others, missing)
        self.ids = ids
        return released

    def draw_others(self) -> list[str]:
        """Draws some that don't watch this process.

        What it says of itself has nobody else to say it. If it can't reach
        those who watch it, all would hold it for dead.
        """
        others = [
            member.record.id
            for member in self._table.alive()
            if member.record.id not in self.ids
        ]
        return self._random.sample(others, min(WATCHERS, len(others)))
