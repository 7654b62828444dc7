"""Which VM alone may give a pool's engines orders.

Pure. There is no lock to be had: nothing of ours lasts, and nothing is agreed
on. So nobody takes over from a leader that can't be heard. The leader of a pool
is the first by rendezvous hashing among all VMs that a process ever met, the
silent ones included; a dead leader's pool gets no orders until it is back.
Seeds that it hasn't met count as VMs that it doesn't hear. Two VMs can then
only both lead while they know different VMs. That ends within a few heartbeats,
and a VM orders only after it has learnt of no further VM, and has heard most of
them, for longer than that and the time within which two may not order one
engine.
"""

import dataclasses

from cowsliprill.decisions import ownership

# Two VMs must not order one engine within this time.
LEASE_S = 3.0

# A VM that starts is known to those that hear it, and through them to whoever
# led before, within two beats of 1 s, one of them lost.
_SPREAD_S = 2.0

# Looks come several times a second. After a longer gap the process or its VM
# stood still, and what it knows of the others is as old as the gap.
STOOD_STILL_S = 1.0

# Numbers for one millisecond, so that two VMs hardly share one. Readers of JSON
# hold the product exactly, as it stays below 2 to the power of 53.
_TIE_BREAKERS = 2_048


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Electorate:
    """The VMs as one process knows them.

    Attributes:
      own: Id of its own VM.
      known: Ids of all VMs that it ever met, its own included.
      heard: How many of these are alive, its own included.
      unmet: Seeds that no known VM has the address of.
      patience_s: How long a VM that has fallen silent counts as alive.
    """

    own: str
    known: frozenset[str]
    heard: int
    unmet: int
    patience_s: float

    def hears_most(self) -> bool:
        """Returns whether more than half of all VMs are heard."""
        return 2 * self.heard > len(self.known) + self.unmet

    def calm_s(self) -> float:
        """Returns the time without a change before a VM leads.

        Whoever led before goes on until it hears of this VM, or until those
        who could tell it count as dead there.
        """
        return self.patience_s + _SPREAD_S + LEASE_S

    def first(self, pool: str) -> str:
        """Returns the VM that leads a pool."""
        return max(self.known, key=lambda vm: (ownership.score(vm, pool), vm))


class Leadership:
    """Whether this process may order engines, from one look to the next."""

    def __init__(self) -> None:
        self._electorate: Electorate | None = None
        self._looked_at = 0.0
        self._calm_since = 0.0

    def look(self, electorate: Electorate, now: float) -> None:
        """Takes in which VMs there are.

        Args:
          electorate: The VMs.
          now: Time, seconds, that of a suspended VM included.
        """
        before = self._electorate
        calm = (
            before is not None
            and before.known == electorate.known
            and electorate.hears_most()
            and now - self._looked_at <= STOOD_STILL_S
        )
        if not calm:
            self._calm_since = now
        self._electorate = electorate
        self._looked_at = now

    def leads(self, pool: str, now: float) -> bool:
        """Returns whether this process may order a pool's engines now.

        Args:
          pool: Name of the pool.
          now: Time, seconds; asked at once before each order.
        """
        electorate = self._electorate
        if electorate is None or now - self._looked_at > STOOD_STILL_S:
            return False
        if now - self._calm_since < electorate.calm_s():
            return False
        return electorate.first(pool) == electorate.own


class FencingTokens:
    """Numbers for one process's orders, each higher than those before.

    A later order of another VM must bear a higher number than an earlier one,
    and never the same. The time of day does: VMs' clocks differ by less than
    the time that passes before another VM leads. A clock that is set back must
    not make a process's own orders go back.

    Args:
      own: Id of the VM.
    """

    def __init__(self, own: str) -> None:
        self._tie_breaker = ownership.score(own, "") % _TIE_BREAKERS
        self._last_ms = 0

    def next(self, time_of_day_ms: int) -> int:
        """Returns the number of the next order."""
        self._last_ms = max(time_of_day_ms, self._last_ms + 1)
        return self._last_ms * _TIE_BREAKERS + self._tie_breaker
