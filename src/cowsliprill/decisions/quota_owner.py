"""Aggregates the usage of customers with quotas over all VMs.

Each VM reports to the owner of a customer's quota what was requested and
admitted, as cumulative totals. The response states the fraction of further
requests that the VM may admit. Lost, repeated and reordered reports do no harm,
and a new owner resumes from the totals in the VMs' last acknowledged reports,
and from the levels that the VMs were told with them; see `quota_account`.
"""

import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill.decisions import model
from cowsliprill.decisions import quorum
from cowsliprill.decisions import quota_account

# Time constant of the exponential decay of demand, in seconds.
_DEMAND_DECAY_S = 1.0

# Admission is reduced when the bucket holds less than the quota of this many
# seconds. Reports are a few tenths of a second old, and VMs go on admitting in
# between.
_RESERVE_S = 0.25

# A VM that hasn't reported for this long no longer counts towards demand.
_REPORTER_TTL_S = 30.0

# The account of a quota that was removed is kept for this long: it may be set
# again.
_REMOVED_TTL_S = 60.0

# Minimum retry delay for the callers of a customer above its quota.
_RETRY_AFTER_MIN_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """One VM's usage report for one customer, in cost units since its start.

    Attributes:
      customer: Id of the customer.
      asked: Cost of all requests.
      admitted: Cost of the admitted requests.
      asked_before: Value of `asked` in the last acknowledged report.
      admitted_before: Value of `admitted` in the last acknowledged report.
      level: Level of the account in the answer to that report, None if none
        was told.
    """

    customer: str
    asked: float
    admitted: float
    asked_before: float = 0.0
    admitted_before: float = 0.0
    level: quota_account.ReportedLevel | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What a VM may admit for a customer until the next verdict.

    Attributes:
      customer: Id of the customer.
      admit_part: Fraction of requests to admit, from 0 to 1.
      retry_after_s: Retry delay for rejected requests, in seconds.
      own_part: The VM's fraction of the customer's demand, from 0 to 1.
      level: Cost units left in the account, None if the customer has no quota;
        the owner of a part of the fleet may give out less.
      level_assumed: Whether the owner didn't know what was used before it
        began.
    """

    customer: str
    admit_part: float = 1.0
    retry_after_s: float = 0.0
    own_part: float = 0.0
    level: float | None = None
    level_assumed: bool = False

    def is_valid(self) -> bool:
        """Returns whether all numbers are finite."""
        numbers = (self.admit_part, self.retry_after_s, self.own_part)
        return all(map(math.isfinite, (*numbers, self.level or 0.0)))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTolerance:
    """How far quotas may be exceeded.

    Attributes:
      fraction: Fraction of the quota.
      tokens: Additional cost units, once, for quotas that count tokens.
    """

    fraction: float = 0.0
    tokens: float = 0.0

    def apply_to(self, quota: model.Quota) -> model.Quota:
        """Returns the quota that is enforced, which includes the tolerance."""
        extra = self.tokens if quota.by_tokens else 0.0
        return dataclasses.replace(
            quota,
            per_s=quota.per_s * (1 + self.fraction),
            burst=quota.burst * (1 + self.fraction) + extra,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountOpened:
    """This process has begun to keep an account.

    Attributes:
      customer: Id of the customer.
      level: Cost units that the account begins with.
      burst: Size of its bucket in cost units.
      basis: What the level rests on.
      age_s: Age of the level in seconds, 0 if it is assumed.
    """

    customer: str
    level: float
    burst: float
    basis: quota_account.LevelBasis
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelLearned:
    """The level of a new account was corrected by a VM's report.

    Attributes:
      customer: Id of the customer.
      level: Cost units left in the account.
      age_s: Age of the level that the VM reported, in seconds.
    """

    customer: str
    level: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageRejected:
    """A part of a VM's report can't be true, and wasn't applied.

    Attributes:
      customer: Id of the customer.
      reason: What is wrong with it.
    """

    customer: str
    reason: str


AccountEvent = AccountOpened | LevelLearned | UsageRejected


@dataclasses.dataclass(slots=True)
class _Demand:
    """Exponentially decayed rate of the requested cost units."""

    units: float = 0.0
    updated_at: float = -math.inf

    def add(self, units: float, now: float) -> None:
        self.units = self.per_s(now) * _DEMAND_DECAY_S + units
        self.updated_at = now

    def per_s(self, now: float) -> float:
        return (
            self.units
            * math.exp((self.updated_at - now) / _DEMAND_DECAY_S)
            / _DEMAND_DECAY_S
        )


@dataclasses.dataclass(slots=True)
class _Reporter:
    asked: float
    admitted: float
    reported_at: float
    lost_refill: float
    demand: _Demand = dataclasses.field(default_factory=_Demand)


@dataclasses.dataclass(slots=True)
class _CustomerUsage:
    account: quota_account.Account
    demand: _Demand = dataclasses.field(default_factory=_Demand)
    reporters_by_id: dict[str, _Reporter] = dataclasses.field(
        default_factory=dict
    )
    removed_at: float | None = None


class QuotaOwner:
    """Usage accounts of the customers whose quotas this process owns.

    Args:
      tolerance: How far a quota may be exceeded before requests are rejected.
        A customer and its provider count at different moments, and a
        customer that keeps to its quota must never be rejected for that.
    """

    def __init__(self, tolerance: QuotaTolerance | None = None) -> None:
        self._tolerance = tolerance or QuotaTolerance()
        self._usage_by_customer: dict[str, _CustomerUsage] = {}
        self._events: list[AccountEvent] = []

    def report(
        self,
        reporter: str,
        usages: Iterable[Usage],
        quotas_by_customer: Mapping[str, model.Quota],
        reachable_fraction: float,
        now: float,
    ) -> list[Verdict]:
        """Applies a VM's usage report.

        Args:
          reporter: Id of the reporting process.
          usages: Its usage, one entry per customer.
          quotas_by_customer: The current quotas.
          reachable_fraction: Fraction of the known VMs that this process
            can reach.
          now: Current time in seconds.

        Returns:
          The verdicts for the customers in the report.
        """
        fraction = quorum.usable_fraction(reachable_fraction)
        verdicts = [
            self._apply_usage(
                reporter,
                usage,
                quotas_by_customer.get(usage.customer),
                fraction,
                now,
            )
            for usage in usages
        ]
        return [verdict for verdict in verdicts if verdict is not None]

    def level(self, customer: str) -> float:
        """Returns what is left of a customer's quota at the last report."""
        usage = self._usage_by_customer.get(customer)
        return usage.account.level if usage else math.inf

    def take_events(self) -> list[AccountEvent]:
        """Returns what has become of the accounts since the last call."""
        events, self._events = self._events, []
        return events

    def keep_only(self, customers: Iterable[str], now: float) -> None:
        """Drops the accounts of customers that were removed a while ago.

        Args:
          customers: Ids of the customers that have a quota.
          now: Current time in seconds.
        """
        kept = set(customers)
        for customer, usage in list(self._usage_by_customer.items()):
            if customer in kept:
                usage.removed_at = None
            elif usage.removed_at is None:
                usage.removed_at = now
            elif now - usage.removed_at > _REMOVED_TTL_S:
                del self._usage_by_customer[customer]

    def _apply_usage(
        self,
        reporter_id: str,
        usage: Usage,
        quota: model.Quota | None,
        fraction: float,
        now: float,
    ) -> Verdict | None:
        if quota is None:
            return Verdict(customer=usage.customer)
        if not _is_finite(usage):
            self._reject(usage, "the usage is not a finite number")
            return None
        enforced = self._tolerance.apply_to(quota)
        reported = self._check_level(usage, enforced)
        state = self._usage_by_customer.get(usage.customer)
        if state is None:
            state = self._open(usage, enforced, quota.burst, reported, now)
        state.account.refill(enforced, fraction, now)
        reporter = state.reporters_by_id.get(reporter_id)
        if reporter is None:
            reporter = _add_reporter(state, reporter_id, usage, now)
            if reported is not None and state.account.take_over(
                reported, enforced, now
            ):
                self._record_learned(usage, state.account, reported)
        reporter.reported_at = now
        asked = usage.asked - reporter.asked
        # A report that a later one has overtaken holds nothing new.
        if asked >= 0:
            elsewhere = _admitted_elsewhere(usage, reporter)
            if elsewhere:
                state.account.charge_elsewhere(elsewhere, reporter.lost_refill)
                if reported is not None and state.account.limit_to(
                    reported, enforced
                ):
                    self._record_learned(usage, state.account, reported)
            admitted = usage.admitted - reporter.admitted
            state.account.charge(admitted - elsewhere)
            state.demand.add(asked, now)
            reporter.demand.add(asked, now)
            reporter.asked = usage.asked
            reporter.admitted = usage.admitted
        reporter.lost_refill = state.account.lost_refill
        per_s = enforced.per_s * fraction
        return _verdict(usage.customer, state, reporter, per_s, now)

    def _open(
        self,
        usage: Usage,
        quota: model.Quota,
        assumed_level: float,
        reported: quota_account.ReportedLevel | None,
        now: float,
    ) -> _CustomerUsage:
        account = quota_account.Account(quota, assumed_level, reported, now)
        state = _CustomerUsage(account)
        self._usage_by_customer[usage.customer] = state
        self._events.append(
            AccountOpened(
                customer=usage.customer,
                level=account.level,
                burst=quota.burst,
                basis=account.basis,
                age_s=reported.age_s if reported is not None else 0.0,
            )
        )
        return state

    def _record_learned(
        self,
        usage: Usage,
        account: quota_account.Account,
        reported: quota_account.ReportedLevel,
    ) -> None:
        self._events.append(
            LevelLearned(
                customer=usage.customer,
                level=account.level,
                age_s=reported.age_s,
            )
        )

    def _check_level(
        self, usage: Usage, quota: model.Quota
    ) -> quota_account.ReportedLevel | None:
        """Returns the level in a report if it can be true, else None."""
        if usage.level is None:
            return None
        problem = quota_account.find_problem(usage.level, quota)
        if problem:
            self._reject(usage, problem)
            return None
        return usage.level

    def _reject(self, usage: Usage, reason: str) -> None:
        self._events.append(
            UsageRejected(customer=usage.customer, reason=reason)
        )


def _is_finite(usage: Usage) -> bool:
    totals = (usage.asked, usage.admitted)
    totals_before = (usage.asked_before, usage.admitted_before)
    return all(map(math.isfinite, (*totals, *totals_before)))


def _add_reporter(
    state: _CustomerUsage, reporter_id: str, usage: Usage, now: float
) -> _Reporter:
    state.reporters_by_id = {
        existing_id: existing
        for existing_id, existing in state.reporters_by_id.items()
        if now - existing.reported_at < _REPORTER_TTL_S
    }
    reporter = _Reporter(
        usage.asked_before,
        usage.admitted_before,
        reported_at=now,
        lost_refill=state.account.lost_refill,
    )
    state.reporters_by_id[reporter_id] = reporter
    return reporter


def _admitted_elsewhere(usage: Usage, reporter: _Reporter) -> float:
    """Returns the cost that another owner has acknowledged meanwhile."""
    acknowledged = min(usage.admitted_before, usage.admitted)
    return max(acknowledged - reporter.admitted, 0.0)


def _verdict(
    customer: str,
    state: _CustomerUsage,
    reporter: _Reporter,
    per_s: float,
    now: float,
) -> Verdict:
    demand = state.demand.per_s(now)
    own_part = reporter.demand.per_s(now) / demand if demand > 0 else 0.0
    reserve = per_s * _RESERVE_S
    level = state.account.usable_level
    verdict = Verdict(
        customer=customer,
        own_part=own_part,
        level=state.account.level,
        level_assumed=(state.account.basis is quota_account.LevelBasis.ASSUMED),
    )
    if level >= reserve:
        return verdict
    # With half of the reserve left, requests are admitted at the rate of the
    # quota.
    fill_ratio = max(level, 0.0) / (reserve / 2) if reserve else 0.0
    admit_part = fill_ratio * per_s / demand if demand > 0 else 1.0
    deficit = reserve / 2 - level
    wait_s = deficit / per_s if per_s else _DEMAND_DECAY_S
    return dataclasses.replace(
        verdict,
        admit_part=min(admit_part, 1.0),
        retry_after_s=max(wait_s, _RETRY_AFTER_MIN_S),
    )
