"""Aggregates the usage of customers with quotas over all VMs.

Each VM reports to the owner of a customer's quota what was requested and
admitted, as cumulative totals. The response states the fraction of further
requests that the VM may admit. Lost, repeated and reordered reports do no harm,
and a new owner resumes from the totals in the VMs' last acknowledged reports.
"""

import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill.decisions import model
from cowsliprill.decisions import quorum
from cowsliprill.decisions import token_bucket

# Time constant of the exponential decay of demand, in seconds.
_DEMAND_DECAY_S = 1.0

# Admission is reduced when the bucket holds less than the quota of this many
# seconds. Reports are a few tenths of a second old, and VMs go on admitting in
# between.
_RESERVE_S = 0.25

# A VM that hasn't reported for this long no longer counts towards demand.
_REPORTER_TTL_S = 30.0

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
    """

    customer: str
    asked: float
    admitted: float
    asked_before: float = 0.0
    admitted_before: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What a VM may admit for a customer until the next verdict.

    Attributes:
      customer: Id of the customer.
      admit_part: Fraction of requests to admit, from 0 to 1.
      retry_after_s: Retry delay for rejected requests, in seconds.
      own_part: The VM's fraction of the customer's demand, from 0 to 1.
    """

    customer: str
    admit_part: float = 1.0
    retry_after_s: float = 0.0
    own_part: float = 0.0


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
class AccountOpening:
    """An account that this process has begun to keep.

    Attributes:
      customer: Id of the customer.
      level: Cost units that the account begins with.
      burst: Size of its bucket in cost units.
    """

    customer: str
    level: float
    burst: float


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
    demand: _Demand = dataclasses.field(default_factory=_Demand)


@dataclasses.dataclass(slots=True)
class _Account:
    bucket: token_bucket.TokenBucket
    demand: _Demand = dataclasses.field(default_factory=_Demand)
    reporters_by_id: dict[str, _Reporter] = dataclasses.field(
        default_factory=dict
    )


class QuotaOwner:
    """Usage accounts of the customers whose quotas this process owns.

    Args:
      tolerance: How far a quota may be exceeded before requests are rejected.
        A customer and its provider count at different moments, and a
        customer that keeps to its quota must never be rejected for that.
    """

    def __init__(self, tolerance: QuotaTolerance | None = None) -> None:
        self._tolerance = tolerance or QuotaTolerance()
        self._accounts_by_customer: dict[str, _Account] = {}
        self._openings: list[AccountOpening] = []

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
        return [
            self._apply_usage(
                reporter,
                usage,
                quotas_by_customer.get(usage.customer),
                fraction,
                now,
            )
            for usage in usages
        ]

    def level(self, customer: str) -> float:
        """Returns what is left of a customer's quota at the last report."""
        account = self._accounts_by_customer.get(customer)
        return account.bucket.level if account else math.inf

    def take_openings(self) -> list[AccountOpening]:
        """Returns the accounts that were begun since the last call."""
        openings, self._openings = self._openings, []
        return openings

    def keep_only(self, customers: Iterable[str]) -> None:
        """Drops the accounts of customers that were removed."""
        gone = self._accounts_by_customer.keys() - set(customers)
        for customer in gone:
            del self._accounts_by_customer[customer]

    def _apply_usage(
        self,
        reporter_id: str,
        usage: Usage,
        quota: model.Quota | None,
        fraction: float,
        now: float,
    ) -> Verdict:
        if quota is None:
            return Verdict(customer=usage.customer)
        quota = self._tolerance.apply_to(quota)
        per_s, burst = quota.per_s * fraction, quota.burst * fraction
        account = self._accounts_by_customer.get(usage.customer)
        if account is None:
            account = _Account(token_bucket.TokenBucket(burst, now))
            self._accounts_by_customer[usage.customer] = account
            self._openings.append(
                AccountOpening(
                    customer=usage.customer, level=burst, burst=burst
                )
            )
        account.bucket.refill(per_s, burst, now)
        reporter = self._get_reporter(account, reporter_id, usage, now)
        reporter.reported_at = now
        asked = usage.asked - reporter.asked
        # A report that a later one has overtaken holds nothing new.
        if asked >= 0:
            account.bucket.level -= usage.admitted - reporter.admitted
            account.demand.add(asked, now)
            reporter.demand.add(asked, now)
            reporter.asked = usage.asked
            reporter.admitted = usage.admitted
        return _verdict(usage.customer, account, reporter, per_s, now)

    @staticmethod
    def _get_reporter(
        account: _Account, reporter_id: str, usage: Usage, now: float
    ) -> _Reporter:
        reporter = account.reporters_by_id.get(reporter_id)
        if reporter is None:
            account.reporters_by_id = {
                existing_id: existing
                for existing_id, existing in account.reporters_by_id.items()
                if now - existing.reported_at < _REPORTER_TTL_S
            }
            reporter = _Reporter(
                usage.asked_before, usage.admitted_before, reported_at=now
            )
            account.reporters_by_id[reporter_id] = reporter
        return reporter


def _verdict(
    customer: str,
    account: _Account,
    reporter: _Reporter,
    per_s: float,
    now: float,
) -> Verdict:
    demand = account.demand.per_s(now)
    own_part = reporter.demand.per_s(now) / demand if demand > 0 else 0.0
    reserve = per_s * _RESERVE_S
    level = account.bucket.level
    if level >= reserve:
        return Verdict(customer=customer, own_part=own_part)
    # With half of the reserve left, requests are admitted at the rate of the
    # quota.
    fill_ratio = max(level, 0.0) / (reserve / 2) if reserve else 0.0
    admit_part = fill_ratio * per_s / demand if demand > 0 else 1.0
    deficit = reserve / 2 - level
    wait_s = deficit / per_s if per_s else _DEMAND_DECAY_S
    return Verdict(
        customer=customer,
        admit_part=min(admit_part, 1.0),
        retry_after_s=max(wait_s, _RETRY_AFTER_MIN_S),
        own_part=own_part,
    )
