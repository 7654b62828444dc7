"""Fair admission to a pool of plain servers that many processes call.

Load pattern: one customer floods a pool of few servers through many processes,
each of which sees only a few calls a second, while the other customers stay
within their shares. The processes report counts to the pool's coordinator,
which estimates the capacity, divides it by max-min fairness over the customers'
shares, and answers with the calls to admit. No I/O.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping

from cowsliprill.decisions import demand
from cowsliprill.decisions.overload import plain_limits
from cowsliprill.decisions.overload import plain_reports

# All reports of a pool and their answers together take at most this many bytes
# a second. That is a tenth of the coordinator's link of 5 Mbit/s.
MAX_BYTES_PER_S = 64_000

# Size of a report and its answer in bytes: HTTP headers and fixed fields of
# both, and what each customer adds.
EXCHANGE_BYTES = 900
CUSTOMER_BYTES = 40

# Fraction of the attempts that full servers reject, and of the calls that are
# late, from which on a pool counts as overloaded.
_MIN_REJECTED_FRACTION = 0.03
_MIN_LATE_FRACTION = 0.3
_MIN_LATE_FRACTION_LIMITED = 0.1

# A single server that rejects may be defective, so the capacity is lowered only
# if more than this fraction of the pool's servers reject.
_MIN_REJECTING_SERVERS = 0.5

# A limit below the rate of completions lets the queues of the servers drain.
_DECREASE = 0.8

# The queues are full when the first limits come and a flood lasts only a few
# seconds, so the first limit drains them faster. The same holds for the
# completions of each process that begins to report.
_FIRST_DECREASE = 0.6

# Near the rate at which the servers were full, a faster rise would fill their
# queues again within seconds, and each time all customers' calls are late.
_INCREASE_PER_S = 0.01

# Below this fraction of the greatest recent rate of completions the capacity
# rises faster: the first reports of an overload come from few processes and
# count completions from before the servers were busy.
_SAFE_FRACTION = 0.85
_FAST_INCREASE_PER_S = 0.4

# Responses may be late for another cause than overload, such as a slow server.
# Without rejections the capacity is lowered only so many times.
_MAX_LATE_DECREASES = 3

# The capacity is never taken for less than this fraction of the greatest recent
# rate of completions, so that servers which reject for another cause than load
# don't lower it without end.
_FLOOR = 0.6
_PEAK_DECAY_PER_S = 0.02

# Time without overload after which the limits end.
_CALM_S = 3.0

# Reports of one process within this time are taken together, as a process sees
# only a few calls in a short interval.
_WINDOW_S = 1.0

# Shortest time between two evaluations before there are limits: the reports of
# one or two processes say too little, so the next ones are taken in soon.
_DETECTION_INTERVAL_S = 0.1

# With fewer attempts in the window, completions say too little about capacity.
_MIN_ATTEMPTS = 10


@dataclasses.dataclass(slots=True)
class _Received:
    """Recent reports of one process.

    Attributes:
      recent: Time of receipt and counts of the reports in the window.
      report: Their sum.
      valid_until: When they no longer count, in seconds.
    """

    recent: collections.deque[tuple[float, plain_reports.Report]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    report: plain_reports.Report = plain_reports.Report(
        span_s=plain_reports.MIN_INTERVAL_S
    )
    valid_until: float = -math.inf

    def add(
        self, report: plain_reports.Report, now: float, interval_s: float
    ) -> None:
        self.recent.append((now, report))
        while len(self.recent) > 1 and self.recent[0][0] <= now - _WINDOW_S:
            self.recent.popleft()
        self.report = plain_reports.merge(item for _, item in self.recent)
        self.valid_until = now + plain_limits.VALID_INTERVALS * interval_s

    @property
    def completed_per_s(self) -> float:
        return self.report.completed / self.report.span_s


@dataclasses.dataclass(slots=True)
class _Totals:
    """Rates over all reports, per second."""

    by_customer: dict[str, dict[int, float]]
    others: float = 0.0
    completed: float = 0.0
    late: float = 0.0
    rejected: float = 0.0
    attempts: int = 0
    rejecting_servers: int = 0

    def has_rejections(self) -> bool:
        attempts = self.completed + self.rejected
        return self.rejected > _MIN_REJECTED_FRACTION * attempts

    def demand(self) -> dict[str, float]:
        return {
            customer: sum(rates.values())
            for customer, rates in self.by_customer.items()
        }


class PoolAdmission:
    """Capacity of one pool and its division, at the pool's coordinator.

    All is relative to the processes that report: capacity grows and shrinks
    with the completions of those that begin and cease to report.

    Attributes:
      capacity_per_s: Calls a second that the reporting processes may admit,
        None while the pool isn't overloaded.
    """

    def __init__(self) -> None:
        self.capacity_per_s: float | None = None
        self._received_by_process: dict[str, _Received] = {}
        self._interval_s = plain_reports.MIN_INTERVAL_S
        self._limits_by_customer: dict[str, plain_limits.Limit] = {}
        self._evaluated_at = -math.inf
        self._changed_at = -math.inf
        self._overloaded_at = -math.inf
        self._late_decreases = 0
        self._peak_per_s = 0.0
        self._servers = 0

    def handle(
        self,
        process: str,
        report: plain_reports.Report,
        servers: int,
        shares_by_customer: Mapping[str, float],
        now: float,
    ) -> plain_limits.Verdict:
        """Takes a report into account.

        Args:
          process: Id of the process that reports.
          report: Its counts.
          servers: Number of servers of the pool.
          shares_by_customer: Weights of the customers.
          now: Current time in seconds.

        Returns:
          The verdict.
        """
        self._drop_expired(now)
        self._set_servers(servers)
        is_new = process not in self._received_by_process
        self._interval_s = self._report_interval_s(is_new)
        received = self._received_by_process.setdefault(process, _Received())
        received.add(report, now, self._interval_s)
        if is_new and self.capacity_per_s is not None:
            self.capacity_per_s += _FIRST_DECREASE * received.completed_per_s
            self._peak_per_s += received.completed_per_s
        is_unlimited = self.capacity_per_s is None
        gap_s = (
            _DETECTION_INTERVAL_S
            if is_unlimited
            else plain_reports.MIN_INTERVAL_S
        )
        if now - self._evaluated_at >= gap_s:
            self._evaluate(shares_by_customer, now)
        return plain_limits.Verdict(
            limits_by_customer=self._limits_by_customer,
            interval_s=self._interval_s,
        )

    def expire(self, now: float) -> bool:
        """Drops old reports; returns whether no process reports any more."""
        self._drop_expired(now)
        if not self._received_by_process:
            self._end()
        return not self._received_by_process

    @property
    def fractions_by_customer(self) -> dict[str, float]:
        """Fraction of the calls at the limiting priority, by customer."""
        return {
            customer: round(limit.fraction, 3)
            for customer, limit in self._limits_by_customer.items()
        }

    def _drop_expired(self, now: float) -> None:
        expired = [
            process
            for process, received in self._received_by_process.items()
            if received.valid_until <= now
        ]
        if not expired:
            return
        before = self._completed_per_s()
        for process in expired:
            del self._received_by_process[process]
        if self.capacity_per_s is not None and before:
            # The peak stays: if the processes have ended, others get their
            # calls, and the capacity of those has to rise fast.
            self.capacity_per_s *= self._completed_per_s() / before

    def _completed_per_s(self) -> float:
        received = self._received_by_process.values()
        return sum(item.completed_per_s for item in received)

    def _set_servers(self, servers: int) -> None:
        """Scales the capacity as servers join or leave."""
        if self.capacity_per_s is not None and servers != self._servers:
            scale = servers / self._servers
            self.capacity_per_s *= scale
            self._peak_per_s *= scale
        self._servers = servers

    def _report_interval_s(self, is_new: bool) -> float:
        reports = [item.report for item in self._received_by_process.values()]
        processes = len(reports) + is_new
        named = sum(len(report.arrived) for report in reports)
        named += (processes - len(reports)) * plain_reports.MAX_CUSTOMERS
        named += processes * len(self._limits_by_customer)
        size = processes * EXCHANGE_BYTES + named * CUSTOMER_BYTES
        return max(plain_reports.MIN_INTERVAL_S, size / MAX_BYTES_PER_S)

    def _totals(self) -> _Totals:
        totals = _Totals({})
        rejecting = set()
        for received in self._received_by_process.values():
            report = received.report
            for (customer, priority), count in report.arrived.items():
                rates = totals.by_customer.setdefault(customer, {})
                rate = count / report.span_s
                rates[priority] = rates.get(priority, 0.0) + rate
            totals.others += report.others / report.span_s
            totals.completed += received.completed_per_s
            totals.late += report.late / report.span_s
            rejected = sum(report.rejected_by_server.values())
            totals.rejected += rejected / report.span_s
            totals.attempts += report.completed + rejected
            rejecting.update(report.rejected_by_server)
        totals.rejecting_servers = len(rejecting)
        return totals

    def _evaluate(
        self, shares_by_customer: Mapping[str, float], now: float
    ) -> None:
        elapsed_s = min(now - self._evaluated_at, self._interval_s)
        self._evaluated_at = now
        totals = self._totals()
        self._peak_per_s = max(
            self._peak_per_s * (1 - _PEAK_DECAY_PER_S * elapsed_s),
            totals.completed,
        )
        if self._is_overloaded(totals):
            self._overloaded_at = now
            self._decrease(totals, now)
        elif self.capacity_per_s is not None:
            is_low = self.capacity_per_s < _SAFE_FRACTION * self._peak_per_s
            rise = _FAST_INCREASE_PER_S if is_low else _INCREASE_PER_S
            self.capacity_per_s *= 1 + rise * elapsed_s
        self._divide(totals, shares_by_customer)
        is_calm = now - self._overloaded_at >= _CALM_S
        if is_calm and not self._limits_by_customer:
            self._end()

    def _is_overloaded(self, totals: _Totals) -> bool:
        if totals.attempts < _MIN_ATTEMPTS:
            return False
        if totals.has_rejections() and (
            totals.rejecting_servers > _MIN_REJECTING_SERVERS * self._servers
        ):
            self._late_decreases = 0
            return True
        min_late = (
            _MIN_LATE_FRACTION
            if self.capacity_per_s is None
            else _MIN_LATE_FRACTION_LIMITED
        )
        return (
            totals.late > min_late * max(totals.completed, totals.late)
            and self._late_decreases < _MAX_LATE_DECREASES
        )

    def _decrease(self, totals: _Totals, now: float) -> None:
        # The effect of the last decrease shows once all processes have got it
        # and have reported after it.
        settle_s = plain_limits.VALID_INTERVALS * self._interval_s + _WINDOW_S
        is_settling = now - self._changed_at < settle_s
        current = self.capacity_per_s
        served = totals.completed
        if not totals.has_rejections() and current is not None:
            served = min(served, current)
        floor = _FLOOR * self._peak_per_s
        factor = _FIRST_DECREASE if current is None else _DECREASE
        capacity_per_s = max(served * factor, floor)
        if current is not None and not is_settling and capacity_per_s > current:
            # Full servers complete what they can.
            self.capacity_per_s = capacity_per_s
        elif current is None or not is_settling:
            self._changed_at = now
            self._late_decreases += not totals.has_rejections()
            self.capacity_per_s = capacity_per_s

    def _divide(
        self, totals: _Totals, shares_by_customer: Mapping[str, float]
    ) -> None:
        self._limits_by_customer = {}
        if self.capacity_per_s is None:
            return
        demand_by_customer = totals.demand()
        allotted = demand.fair_shares(
            max(self.capacity_per_s - totals.others, 0.0),
            demand_by_customer,
            shares_by_customer,
        )
        excess = {
            customer: rate - allotted[customer]
            for customer, rate in demand_by_customer.items()
            if allotted[customer] < rate
        }
        largest = sorted(excess, key=excess.__getitem__, reverse=True)
        processes = len(self._received_by_process)
        for customer in largest[: plain_reports.MAX_CUSTOMERS]:
            self._limits_by_customer[customer] = _limit(
                totals.by_customer[customer], allotted[customer], processes
            )

    def _end(self) -> None:
        self.capacity_per_s = None
        self._limits_by_customer = {}
        self._late_decreases = 0
        self._peak_per_s = 0.0


def _limit(
    rate_by_priority: Mapping[int, float], allotted: float, processes: int
) -> plain_limits.Limit:
    """Returns the limit that admits the allotted rate, urgent calls first."""
    calls_per_s = allotted / processes
    left = allotted
    priority, fraction = 0, 1.0
    for priority in sorted(rate_by_priority, reverse=True):
        rate = rate_by_priority[priority]
        if rate > left:
            fraction = left / rate
            break
        left -= rate
    return plain_limits.Limit(
        priority=priority, fraction=fraction, calls_per_s=calls_per_s
    )
