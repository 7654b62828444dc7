"""Counts of the calls of a process to a pool of plain servers. No I/O."""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

MIN_INTERVAL_S = 0.25

# A process first reports this long after a sign of overload. A flood may last
# only a few seconds, and the queues of the servers are full within half a
# second; each process is limited from its first report on.
FIRST_REPORT_S = 0.1

# Customers that one report or verdict names; bounds its size.
MAX_CUSTOMERS = 16

_MIN_SPAN_S = MIN_INTERVAL_S

_Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Calls of one process to one pool over an interval.

    Attributes:
      span_s: Length of the interval in seconds.
      arrived: Calls that arrived, by customer and priority, whether or not they
        were admitted; of at most `MAX_CUSTOMERS` pairs.
      others: Calls of all other customers.
      completed: Calls that a server completed.
      late: Those of them, and calls without a response, that missed the target.
      rejected_by_server: Attempts that each server rejected as it was full.
    """

    span_s: float
    arrived: Mapping[_Key, int] = dataclasses.field(default_factory=dict)
    others: int = 0
    completed: int = 0
    late: int = 0
    rejected_by_server: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )


class CallCounts:
    """Counts the calls of this process to one pool.

    Args:
      now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self.since = now
        self._arrived: collections.Counter[_Key] = collections.Counter()
        self._rejected: collections.Counter[str] = collections.Counter()
        self._completed = 0
        self._late = 0

    def arrived(self, customer: str, priority: int) -> None:
        """Counts a call before it is admitted or refused."""
        self._arrived[customer, priority] += 1

    def rejected(self, server: str) -> None:
        """Counts an attempt that a server rejected as it was full."""
        self._rejected[server] += 1

    def completed(self, *, late: bool) -> None:
        """Counts a call that a server completed."""
        self._completed += 1
        self._late += late

    def unanswered(self) -> None:
        """Counts a call that got no response in time."""
        self._late += 1

    def report(self, now: float) -> Report:
        """Returns the counts since the last report and begins anew."""
        named = self._arrived.most_common(MAX_CUSTOMERS)
        report = Report(
            span_s=max(now - self.since, _MIN_SPAN_S),
            arrived=dict(named),
            others=self._arrived.total() - sum(count for _, count in named),
            completed=self._completed,
            late=self._late,
            rejected_by_server=dict(self._rejected.most_common(MAX_CUSTOMERS)),
        )
        self.__init__(now)
        return report


def merge(reports: Iterable[Report]) -> Report:
    """Returns the sum of consecutive reports of one process."""
    arrived: collections.Counter[_Key] = collections.Counter()
    rejected: collections.Counter[str] = collections.Counter()
    span_s, others, completed, late = 0.0, 0, 0, 0
    for report in reports:
        span_s += report.span_s
        arrived.update(report.arrived)
        others += report.others
        completed += report.completed
        late += report.late
        rejected.update(report.rejected_by_server)
    return Report(
        span_s=span_s,
        arrived=arrived,
        others=others,
        completed=completed,
        late=late,
        rejected_by_server=rejected,
    )
