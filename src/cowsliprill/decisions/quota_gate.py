"""Which requests one VM admits of customers with quotas.

Pure. It follows the latest verdict of the quota's owner. Where no owner
answers, it admits its own part of the quota, as the owner last reported it.
"""

import dataclasses
import math
import random
from collections.abc import Set

from cowsliprill.decisions import model
from cowsliprill.decisions import quota_owner
from cowsliprill.decisions import token_bucket

# Without an answer for this long the latest verdict is ignored.
_SILENCE_S = 1.2

# An older verdict refuses nobody; the owner is asked again before.
_RECENT_S = 0.4

# Seconds of a quota that a VM admits before it reports at once.
_URGENT_S = 0.01

_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class _Customer:
    asked: float = 0.0
    admitted: float = 0.0
    asked_before: float = 0.0
    admitted_before: float = 0.0
    verdict: quota_owner.Verdict | None = None
    verdict_at: float = -math.inf
    waiting_since: float | None = None
    own_bucket: token_bucket.TokenBucket | None = None


class QuotaGate:
    """Admits or refuses the requests of one VM.

    Args:
      rng: Draws which requests are admitted.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._customers_by_id: dict[str, _Customer] = {}
        self._members = 1

    def set_members(self, members: int) -> None:
        """Sets how many VMs there are."""
        self._members = max(members, 1)

    def admit(
        self, customer_id: str, quota: model.Quota, cost: float, now: float
    ) -> float | None:
        """Decides on a request.

        Args:
          customer_id: The customer.
          quota: Its quota.
          cost: What the request costs.
          now: Time, seconds.

        Returns:
          None if it is admitted, else when it should come back, in seconds.
        """
        customer = self._customers_by_id.setdefault(customer_id, _Customer())
        customer.asked += cost
        if customer.waiting_since is None:
            customer.waiting_since = now
        return self.decide(customer_id, quota, cost, now)

    def decide(
        self, customer_id: str, quota: model.Quota, cost: float, now: float
    ) -> float | None:
        """Decides anew on a request that `admit` has refused."""
        customer = self._customers_by_id.setdefault(customer_id, _Customer())
        waiting_since = customer.waiting_since
        if waiting_since is not None and now - waiting_since > _SILENCE_S:
            retry_after_s = self._admit_own_part(customer, quota, cost, now)
        else:
            customer.own_bucket = None
            retry_after_s = self._admit_by_verdict(customer)
        if retry_after_s is None:
            customer.admitted += cost
        return retry_after_s

    def give_back(self, customer_id: str, cost: float) -> None:
        """Takes back an admitted request that has not run."""
        customer = self._customers_by_id.get(customer_id)
        if customer is not None:
            customer.admitted -= cost

    def is_recent(self, customer_id: str, now: float) -> bool:
        """Returns whether the latest verdict may refuse a request."""
        customer = self._customers_by_id[customer_id]
        return now - customer.verdict_at <= _RECENT_S

    def is_urgent(self, customer_id: str, quota: model.Quota) -> bool:
        """Returns whether the owner should hear of a customer at once."""
        customer = self._customers_by_id[customer_id]
        unreported = customer.admitted - customer.admitted_before
        return unreported > quota.per_s * _URGENT_S

    def usages(self) -> list[quota_owner.Usage]:
        """Returns the usage that no owner has acknowledged yet."""
        return [
            self.usage(customer_id)
            for customer_id, customer in self._customers_by_id.items()
            if customer.asked != customer.asked_before
            or customer.admitted != customer.admitted_before
        ]

    def usage(self, customer_id: str) -> quota_owner.Usage:
        """Returns the usage of a customer that has asked for something."""
        customer = self._customers_by_id[customer_id]
        return quota_owner.Usage(
            customer=customer_id,
            asked=customer.asked,
            admitted=customer.admitted,
            asked_before=customer.asked_before,
            admitted_before=customer.admitted_before,
        )

    def answered(
        self,
        usage: quota_owner.Usage,
        verdict: quota_owner.Verdict,
        now: float,
    ) -> None:
        """Takes an owner's answer to a report.

        Args:
          usage: What was reported.
          verdict: What may be admitted.
          now: Time, seconds.
        """
        customer = self._customers_by_id.get(usage.customer)
        if customer is None:
            return
        customer.verdict = verdict
        customer.verdict_at = now
        customer.asked_before = usage.asked
        customer.admitted_before = usage.admitted
        unanswered = customer.asked != usage.asked
        customer.waiting_since = now if unanswered else None

    def keep_only(self, customer_ids: Set[str]) -> None:
        """Forgets customers that are gone or have no quota any more."""
        for customer_id in self._customers_by_id.keys() - customer_ids:
            del self._customers_by_id[customer_id]

    def _admit_by_verdict(self, customer: _Customer) -> float | None:
        verdict = customer.verdict
        if verdict is None or verdict.admit_part >= 1.0:
            return None
        if self._random.random() < verdict.admit_part:
            return None
        return verdict.retry_after_s

    def _admit_own_part(
        self,
        customer: _Customer,
        quota: model.Quota,
        cost: float,
        now: float,
    ) -> float | None:
        part = 1 / self._members
        if customer.verdict is not None:
            part = max(customer.verdict.own_part, part)
        per_s, burst = quota.per_s * part, quota.burst * part
        bucket = customer.own_bucket
        if bucket is None:
            bucket = token_bucket.TokenBucket(burst, now)
            customer.own_bucket = bucket
        bucket.refill(per_s, burst, now)
        # A part may be smaller than one request; it then counts as a debt.
        if bucket.level <= 0:
            return max(-bucket.level / per_s, _RETRY_AFTER_S)
        bucket.level -= cost
        return None
