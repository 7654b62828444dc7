"""Selection of the one VM that may send orders to a pool's engines.

Does no I/O. There is neither a lock service nor consensus, and no state
survives a restart. So there is no failover: the leader of a pool is the first
by rendezvous hashing among all VMs that a process has ever seen, unreachable
ones included, and the pool of a dead leader gets no orders until that VM is
back. Seeds that were never seen count as unreachable VMs. Two VMs can then both
be leader only while they know different sets of VMs, which ends within a few
heartbeats. A VM starts to send orders only after its set of known VMs was
unchanged, and most of them reachable, for longer than that plus the lease: the
time within which no two VMs may send orders to the same engine.
"""

import dataclasses

from cowsliprill.decisions import rendezvous

# Two VMs must not send orders to the same engine within this time.
LEASE_S = 3.0

# Time until all VMs that receive the messages of a new VM, and through them the
# previous leader, know the new VM: two heartbeats of 1 s, one of them lost.
_PROPAGATION_S = 2.0

# `observe` is called several times a second. A longer gap means that the
# process or its VM was paused, and that its knowledge is as old as the gap.
OBSERVATION_GAP_MAX_S = 1.0

# Token values within one millisecond, so that two VMs hardly ever use the same
# one. Tokens stay below 2**53 and so are exact as JSON numbers.
_TIE_BREAKERS = 2_048


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipView:
    """The membership as one process knows it.

    Attributes:
      own: Id of the process's own VM.
      known_ids: Ids of all VMs ever seen, the own one included.
      alive_count: Number of known VMs that are alive, the own one included.
      undiscovered_seeds: Number of seed addresses that no known VM has.
      failure_timeout_s: Time in seconds for which a silent VM counts as alive.
    """

    own: str
    known_ids: frozenset[str]
    alive_count: int
    undiscovered_seeds: int
    failure_timeout_s: float

    def has_majority(self) -> bool:
        """Returns whether more than half of all VMs are alive."""
        return (
            2 * self.alive_count > len(self.known_ids) + self.undiscovered_seeds
        )

    def stabilization_s(self) -> float:
        """Returns the stabilization period before a VM may lead, in seconds.

        A previous leader goes on until it learns of this VM, or until the VMs
        that could have reported this VM to it count as dead there.
        """
        return self.failure_timeout_s + _PROPAGATION_S + LEASE_S

    def leader_of(self, pool: str) -> str:
        """Returns the id of a pool's leader by rendezvous hashing.

        Args:
          pool: Name of the pool.
        """
        return max(
            self.known_ids,
            key=lambda vm: (rendezvous.rendezvous_score(vm, pool), vm),
        )


class Leadership:
    """Tracks whether this process may send orders to engines."""

    def __init__(self) -> None:
        self._membership_view: MembershipView | None = None
        self._observed_at = 0.0
        self._stable_since = 0.0

    def observe(self, membership_view: MembershipView, now: float) -> None:
        """Records the current membership.

        Args:
          membership_view: The membership.
          now: Current time in seconds, by a clock that goes on while the VM is
            suspended.
        """
        before = self._membership_view
        stable = (
            before is not None
            and before.known_ids == membership_view.known_ids
            and membership_view.has_majority()
            and now - self._observed_at <= OBSERVATION_GAP_MAX_S
        )
        if not stable:
            self._stable_since = now
        self._membership_view = membership_view
        self._observed_at = now

    def is_leader(self, pool: str, now: float) -> bool:
        """Returns whether this process may send orders to a pool's engines.

        Must be called directly before each order.

        Args:
          pool: Name of the pool.
          now: Current time in seconds, as for `observe`.
        """
        membership_view = self._membership_view
        if (
            membership_view is None
            or now - self._observed_at > OBSERVATION_GAP_MAX_S
        ):
            return False
        if now - self._stable_since < membership_view.stabilization_s():
            return False
        return membership_view.leader_of(pool) == membership_view.own


class FencingTokens:
    """Strictly increasing fencing tokens for one process's orders.

    A later order must also have a higher token than earlier orders of other
    VMs and of earlier processes of this VM, and never the same one. Tokens are
    based on the wall clock, which may be set back and differs between VMs. So
    each VM publishes the time of its newest token as its incarnation, and a
    token is later than all incarnations known.

    Args:
      own: Id of the VM.
    """

    def __init__(self, own: str) -> None:
        self._tie_breaker = rendezvous.rendezvous_score(own, "") % _TIE_BREAKERS
        self._last_ms = 0

    @property
    def last_ms(self) -> int:
        """Time of the newest token in milliseconds, to be published."""
        return self._last_ms

    def next(self, wall_clock_ms: int, newest_incarnation: int = 0) -> int:
        """Returns the token of the next order.

        Args:
          wall_clock_ms: Wall clock time in milliseconds since the epoch.
          newest_incarnation: Highest incarnation of all known VMs, this one
            included.
        """
        self._last_ms = max(
            wall_clock_ms, self._last_ms + 1, newest_incarnation + 1
        )
        return self._last_ms * _TIE_BREAKERS + self._tie_breaker
