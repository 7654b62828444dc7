"""What all VMs together admit of customers with quotas, added up in one place.

Pure. Each VM reports to the owner of a customer's quota what was asked for and
admitted there, as totals that only grow, and is told which part of the next
requests it may admit. A lost or repeated report does no harm; an owner that
takes over begins where the VMs' last answered reports end.
"""

import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill.decisions import model
from cowsliprill.decisions import token_bucket

# How long what was asked for counts towards the demand, seconds.
_DEMAND_S = 1.0

# Seconds of a quota that are left in the bucket when admission is cut down.
# Reports are a few tenths of a second old, and VMs go on admitting meanwhile.
_RESERVE_S = 0.25

# A VM that isn't heard for so long takes nothing of the demand any more.
_REPORTER_S = 30.0

# VMs that hear no more than this part of the fleet use that part of a quota:
# the others may be alive and use the rest.
_MAJORITY = 0.5

# Callers of a customer above its quota are told to come back no sooner.
_RETRY_AFTER_MIN_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """One VM's report of one customer, in cost units since its start.

    Attributes:
      customer: The customer.
      asked: Cost of all requests.
      admitted: Cost of those that were admitted.
      asked_before: `asked` as last answered.
      admitted_before: `admitted` as last answered.
    """

    customer: str
    asked: float
    admitted: float
    asked_before: float = 0.0
    admitted_before: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What a VM may admit of a customer until it hears again.

    Attributes:
      customer: The customer.
      admit_part: Part of the requests that are admitted, from 0 to 1.
      retry_after_s: When those that are refused should come back, seconds.
      own_part: The VM's part of what is asked for, from 0 to 1.
    """

    customer: str
    admit_part: float = 1.0
    retry_after_s: float = 0.0
    own_part: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tolerance:
    """By how much quotas may be exceeded.

    Attributes:
      part: Part of the quota.
      tokens: Cost units beyond, once, for quotas that count tokens.
    """

    part: float = 0.0
    tokens: float = 0.0

    def widen(self, quota: model.Quota) -> model.Quota:
        """Returns the quota that is enforced."""
        extra = self.tokens if quota.by_tokens else 0.0
        return dataclasses.replace(
            quota,
            per_s=quota.per_s * (1 + self.part),
            burst=quota.burst * (1 + self.part) + extra,
        )


@dataclasses.dataclass(slots=True)
class _Demand:
    """What is asked for in a second, forgetting older requests."""

    units: float = 0.0
    at: float = -math.inf

    def add(self, units: float, now: float) -> None:
        self.units = self.per_s(now) * _DEMAND_S + units
        self.at = now

    def per_s(self, now: float) -> float:
        return self.units * math.exp((self.at - now) / _DEMAND_S) / _DEMAND_S


@dataclasses.dataclass(slots=True)
class _Reporter:
    asked: float
    admitted: float
    heard_at: float
    demand: _Demand = dataclasses.field(default_factory=_Demand)


@dataclasses.dataclass(slots=True)
class _Account:
    bucket: token_bucket.TokenBucket
    demand: _Demand = dataclasses.field(default_factory=_Demand)
    reporters_by_id: dict[str, _Reporter] = dataclasses.field(
        default_factory=dict
    )


class QuotaOwner:
    """The accounts of the customers whose quotas are owned here.

    Args:
      tolerance: By how much a quota may be exceeded before its customer is
        refused. A customer and its provider count at different moments, and
        one that keeps to its quota must never be refused for it.
    """

    def __init__(self, tolerance: Tolerance | None = None) -> None:
        self._tolerance = tolerance or Tolerance()
        self._accounts_by_customer: dict[str, _Account] = {}

    def report(
        self,
        reporter: str,
        usages: Iterable[Usage],
        quotas_by_customer: Mapping[str, model.Quota],
        heard_part: float,
        now: float,
    ) -> list[Verdict]:
        """Takes what a VM reports.

        Args:
          reporter: Id of its process.
          usages: Its reports, one a customer.
          quotas_by_customer: The quotas in force.
          heard_part: Part of the known VMs that are heard here.
          now: Time, seconds.

        Returns:
          What it may admit, of each customer it named.
        """
        part = 1.0 if heard_part > _MAJORITY else heard_part
        return [
            self._take(
                reporter,
                usage,
                quotas_by_customer.get(usage.customer),
                part,
                now,
            )
            for usage in usages
        ]

    def level(self, customer: str) -> float:
        """Returns what is left of a customer's quota, as last reported."""
        account = self._accounts_by_customer.get(customer)
        return account.bucket.level if account else math.inf

    def keep_only(self, customers: Iterable[str]) -> None:
        """Forgets customers that are gone."""
        gone = self._accounts_by_customer.keys() - set(customers)
        for customer in gone:
            del self._accounts_by_customer[customer]

    def _take(
        self,
        reporter_id: str,
        usage: Usage,
        quota: model.Quota | None,
        part: float,
        now: float,
    ) -> Verdict:
        if quota is None:
            return Verdict(customer=usage.customer)
        quota = self._tolerance.widen(quota)
        per_s, burst = quota.per_s * part, quota.burst * part
        account = self._accounts_by_customer.get(usage.customer)
        if account is None:
            account = _Account(token_bucket.TokenBucket(burst, now))
            self._accounts_by_customer[usage.customer] = account
        account.bucket.refill(per_s, burst, now)
        reporter = self._reporter(account, reporter_id, usage, now)
        asked = max(usage.asked - reporter.asked, 0.0)
        account.bucket.level -= usage.admitted - reporter.admitted
        account.demand.add(asked, now)
        reporter.demand.add(asked, now)
        reporter.asked = usage.asked
        reporter.admitted = usage.admitted
        reporter.heard_at = now
        return _verdict(usage.customer, account, reporter, per_s, now)

    @staticmethod
    def _reporter(
        account: _Account, reporter_id: str, usage: Usage, now: float
    ) -> _Reporter:
        reporter = account.reporters_by_id.get(reporter_id)
        if reporter is None:
            account.reporters_by_id = {
                name: known
                for name, known in account.reporters_by_id.items()
                if now - known.heard_at < _REPORTER_S
            }
            reporter = _Reporter(
                usage.asked_before, usage.admitted_before, heard_at=now
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
    # Just what comes in is admitted when half of the reserve is left.
    filled = max(level, 0.0) / (reserve / 2) if reserve else 0.0
    admit_part = filled * per_s / demand if demand > 0 else 1.0
    missing = reserve / 2 - level
    wait_s = missing / per_s if per_s else _DEMAND_S
    return Verdict(
        customer=customer,
        admit_part=min(admit_part, 1.0),
        retry_after_s=max(wait_s, _RETRY_AFTER_MIN_S),
        own_part=own_part,
    )
