"""Failure detector: decides which members are suspect and which are dead.

Does no I/O. A monitored member that misses heartbeats is probed, then becomes
suspect, then is declared dead unless it refutes the suspicion in time.
"""

import math
import random
from collections.abc import Iterator

from cowsliprill.decisions import gossip as gossip_lib
from cowsliprill.decisions import member_records as records_lib
from cowsliprill.decisions import member_table

# Heartbeat timeouts after which a monitored member is probed and becomes
# suspect. By then a heartbeat and the replies to one or two probes are missing.
_PROBE_AFTER_S = 1.3
_SUSPECT_AFTER_S = 2.1

# Time that a suspect member has to refute the suspicion.
_SUSPICION_TIMEOUT_S = 1.4

# Time without any message after which this process considers itself isolated.
ISOLATED_AFTER_S = _SUSPECT_AFTER_S + _SUSPICION_TIMEOUT_S

# A longer gap between two checks means that this process was paused, and not
# that the other members were silent.
_CHECK_GAP_MAX_S = 1.2

# If an availability zone or half of a fleet fails, all monitors of a failed
# member may have failed with it. So once this many members have failed within
# the given time, each check also probes up to `_EXTRA_PROBES` of the members
# without a message for `_STALE_AFTER_S`.
_MASS_FAILURE_MEMBERS = 3
_RECENTLY_FAILED_S = 4.0
_EXTRA_PROBES = 6
_STALE_AFTER_S = 2.0

_ALIVE = records_lib.MemberStatus.ALIVE
_SUSPECT = records_lib.MemberStatus.SUSPECT
_DEAD = records_lib.MemberStatus.DEAD


class FailureDetector:
    """Probes members that miss heartbeats and declares them suspect or dead.

    Args:
      table: The member table.
      gossip: Queue of updates to gossip.
      rng: Random number generator.
      check_interval_s: Time between two calls of `check` in seconds.

    Attributes:
      isolated: Whether no message of any member arrives.
    """

    def __init__(
        self,
        table: member_table.MemberTable,
        gossip: gossip_lib.GossipUpdates,
        rng: random.Random,
        check_interval_s: float,
    ) -> None:
        self.isolated = False
        self._table = table
        self._gossip = gossip
        self._random = rng
        self._check_interval_s = check_interval_s
        self._checked_at = -math.inf
        self._last_received_at = -math.inf

    def received_within(self, seconds: float, now: float) -> bool:
        """Returns whether a message of any member arrived within a time.

        Args:
          seconds: The time span.
          now: Current time in seconds.
        """
        return now - self._last_received_at < seconds

    def record_received(self, now: float) -> None:
        """Records that a message of some member has arrived.

        Args:
          now: Current time in seconds.
        """
        if self.isolated:
            self.isolated = False
            self._restart_timeouts(now)
        self._last_received_at = now

    def check(self, now: float) -> None:
        """Expires suspicions, and picks more members to probe if needed.

        Args:
          now: Current time in seconds.
        """
        if now - self._checked_at > _CHECK_GAP_MAX_S:
            self._restart_timeouts(now)
        self._checked_at = now
        self._expire_suspicions(now)
        self._monitor_after_mass_failure(now)

    def members_to_probe(self, now: float) -> Iterator[member_table.Member]:
        """Yields members to probe; those past their timeout become suspect.

        Args:
          now: Current time in seconds.
        """
        for member in self._table.alive():
            silent_s = now - member.last_received_at
            if not member.monitored or silent_s < _PROBE_AFTER_S:
                continue
            may_suspect = member.status is _ALIVE and not self.isolated
            if may_suspect and silent_s >= _SUSPECT_AFTER_S:
                self._declare(member, _SUSPECT, now)
            yield member

    def _restart_timeouts(self, now: float) -> None:
        self._last_received_at = max(self._last_received_at, now)
        for member in self._table.members_by_id.values():
            if member.monitored:
                member.last_received_at = now
            if member.status is _SUSPECT:
                member.status_changed_at = now

    def _expire_suspicions(self, now: float) -> None:
        self.isolated = now - self._last_received_at > ISOLATED_AFTER_S
        if self.isolated:
            return
        for member in self._table.alive():
            if member.status is not _SUSPECT:
                continue
            silent_since = max(
                member.status_changed_at, member.last_received_at
            )
            # If no message of any member has arrived since then, this process
            # itself may be cut off.
            is_connected = self._last_received_at > silent_since
            if is_connected and now - silent_since > _SUSPICION_TIMEOUT_S:
                self._declare(member, _DEAD, now)

    def _monitor_after_mass_failure(self, now: float) -> None:
        recently_failed = [
            member
            for member in self._table.members_by_id.values()
            if member.status is not _ALIVE
            and now - member.status_changed_at < _RECENTLY_FAILED_S
        ]
        if len(recently_failed) < _MASS_FAILURE_MEMBERS:
            return
        stale = [
            member
            for member in self._table.alive()
            if not member.monitored
            and now - member.last_received_at > _STALE_AFTER_S
        ]
        count = min(_EXTRA_PROBES, len(stale))
        for member in self._random.sample(stale, count):
            # The member is probed at once. Its reply ends the monitoring;
            # without a reply it becomes suspect at the next check.
            member.monitored = True
            member.last_received_at = (
                now - _SUSPECT_AFTER_S + self._check_interval_s / 2
            )

    def _declare(
        self,
        member: member_table.Member,
        status: records_lib.MemberStatus,
        now: float,
    ) -> None:
        update = records_lib.GossipUpdate(record=member.record, status=status)
        self._table.apply(update, now)
        self._gossip.add(member.record.id)
