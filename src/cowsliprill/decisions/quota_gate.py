"""Admission control on one VM for customers with quotas.

Requests are admitted according to the latest verdict of the quota's owner. An
outdated verdict only admits requests of a customer that had much of its quota
left, and before the first verdict the VM's own share of the quota is admitted;
else the owner is asked first. If it doesn't answer, the VM enforces its own
share, as last reported by the owner.
"""

import dataclasses
import math
import random
from collections.abc import Set

from cowsliprill.decisions import model
from cowsliprill.decisions import quota_account
from cowsliprill.decisions import quota_owner
from cowsliprill.decisions import token_bucket

# The latest verdict is ignored if the owner hasn't answered for this long.
_OWNER_TIMEOUT_S = 1.2

# An older verdict rejects no request before the owner is asked again, and only
# admits one if more than this fraction of the customer's burst was left.
_VERDICT_TTL_S = 0.4
_AMPLE_BURST_FRACTION = 0.5

# An owner that gave no answer isn't waited for again within this time.
_ASK_AGAIN_AFTER_S = 1.0

# Usage is reported at once if the unreported part exceeds the quota of this
# many seconds.
_UNREPORTED_MAX_S = 0.01

_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class _CustomerState:
    asked: float = 0.0
    admitted: float = 0.0
    asked_before: float = 0.0
    admitted_before: float = 0.0
    verdict: quota_owner.Verdict | None = None
    verdict_at: float = -math.inf
    unanswered_since: float | None = None
    ask_failed_at: float = -math.inf
    local_bucket: token_bucket.TokenBucket | None = None


class QuotaGate:
    """Admits or rejects the requests that reach one VM.

    Args:
      rng: Source of random numbers for admitting a fraction of the requests.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._customers_by_id: dict[str, _CustomerState] = {}
        self._totals_by_removed_id: dict[str, tuple[float, float]] = {}
        self._vm_count = 1

    def set_vm_count(self, vm_count: int) -> None:
        """Sets the number of VMs in the fleet."""
        self._vm_count = max(vm_count, 1)

    def admit(
        self, customer_id: str, quota: model.Quota, cost: float, now: float
    ) -> float | None:
        """Counts a request as demand and decides whether to admit it.

        Args:
          customer_id: Id of the customer.
          quota: The customer's quota.
          cost: Cost units of the request.
          now: Current time in seconds.

        Returns:
          None if the request is admitted, else the retry delay in seconds. It
          may still be admitted where `should_ask` is true.
        """
        customer = self._customer(customer_id)
        customer.asked += cost
        if customer.unanswered_since is None:
            customer.unanswered_since = now
        if not self.has_fresh_verdict(customer_id, now) and (
            _had_ample_quota(customer, quota, now)
            or self._is_within_first_share(customer, quota, cost, now)
        ):
            return self._count(customer, quota, cost, None, now)
        if self.should_ask(customer_id, cost, now):
            return _RETRY_AFTER_S
        return self.decide_again(customer_id, quota, cost, now)

    def should_ask(self, customer_id: str, cost: float, now: float) -> bool:
        """Returns whether a request waits until the owner was asked.

        Args:
          customer_id: Id of the customer.
          cost: Cost units of the request.
          now: Current time in seconds.
        """
        customer = self._customer(customer_id)
        if self.has_fresh_verdict(customer_id, now):
            return not self._is_within_own_part(customer, cost)
        return now - customer.ask_failed_at > _ASK_AGAIN_AFTER_S

    def record_unanswered(self, customer_id: str, now: float) -> None:
        """Records that the owner was asked and gave no answer.

        Args:
          customer_id: Id of the customer.
          now: Current time in seconds.
        """
        self._customer(customer_id).ask_failed_at = now

    def decide_again(
        self, customer_id: str, quota: model.Quota, cost: float, now: float
    ) -> float | None:
        """Decides again on a request after the owner was asked.

        The request is not counted as demand again. Arguments and result are as
        for `admit`.
        """
        customer = self._customer(customer_id)
        if not self.has_fresh_verdict(customer_id, now):
            retry_after_s = self._admit_local_share(customer, quota, now)
        elif self._is_within_own_part(customer, cost):
            retry_after_s = self._admit_by_verdict(customer)
        else:
            return _RETRY_AFTER_S
        return self._count(customer, quota, cost, retry_after_s, now)

    def refund(self, customer_id: str, cost: float) -> None:
        """Refunds the cost of an admitted request that was not executed."""
        customer = self._customers_by_id.get(customer_id)
        if customer is not None:
            customer.admitted -= cost

    def has_fresh_verdict(self, customer_id: str, now: float) -> bool:
        """Returns whether the latest verdict may reject a request."""
        customer = self._customer(customer_id)
        return now - customer.verdict_at <= _VERDICT_TTL_S

    def needs_prompt_report(self, customer_id: str, quota: model.Quota) -> bool:
        """Returns whether a customer's usage should be reported at once."""
        customer = self._customers_by_id[customer_id]
        unreported = customer.admitted - customer.admitted_before
        return unreported > quota.per_s * _UNREPORTED_MAX_S

    def usages(self, now: float) -> list[quota_owner.Usage]:
        """Returns the usage of all customers with unacknowledged changes.

        Args:
          now: Current time in seconds.
        """
        return [
            self.usage(customer_id, now)
            for customer_id, customer in self._customers_by_id.items()
            if customer.asked != customer.asked_before
            or customer.admitted != customer.admitted_before
        ]

    def usage(self, customer_id: str, now: float) -> quota_owner.Usage:
        """Returns the usage of a customer that has sent requests.

        Args:
          customer_id: Id of the customer.
          now: Current time in seconds.
        """
        customer = self._customer(customer_id)
        return quota_owner.Usage(
            customer=customer_id,
            asked=customer.asked,
            admitted=customer.admitted,
            asked_before=customer.asked_before,
            admitted_before=customer.admitted_before,
            level=_known_level(customer, now),
        )

    def record_verdict(
        self,
        usage: quota_owner.Usage,
        verdict: quota_owner.Verdict,
        now: float,
    ) -> None:
        """Records the owner's response to a report.

        Args:
          usage: The usage that was reported.
          verdict: The owner's verdict.
          now: Current time in seconds.
        """
        customer = self._customers_by_id.get(usage.customer)
        if customer is None:
            return
        if usage.asked < customer.asked_before:
            # A later report has been answered already.
            return
        customer.verdict = verdict
        customer.verdict_at = now
        customer.asked_before = usage.asked
        customer.admitted_before = usage.admitted
        has_unreported = customer.asked != usage.asked
        customer.unanswered_since = now if has_unreported else None

    def keep_only(self, customer_ids: Set[str]) -> None:
        """Drops customers that were removed or no longer have a quota."""
        for customer_id in self._customers_by_id.keys() - customer_ids:
            customer = self._customers_by_id.pop(customer_id)
            # An owner that has missed the removal still knows these totals, and
            # would take lower ones for usage that is given back.
            self._totals_by_removed_id[customer_id] = (
                customer.asked,
                customer.admitted,
            )

    def _customer(self, customer_id: str) -> _CustomerState:
        customer = self._customers_by_id.get(customer_id)
        if customer is None:
            asked, admitted = self._totals_by_removed_id.pop(
                customer_id, (0.0, 0.0)
            )
            customer = _CustomerState(
                asked=asked,
                admitted=admitted,
                asked_before=asked,
                admitted_before=admitted,
            )
            self._customers_by_id[customer_id] = customer
        return customer

    def _admit_by_verdict(self, customer: _CustomerState) -> float | None:
        verdict = customer.verdict
        if verdict is None or verdict.admit_part >= 1.0:
            return None
        if self._rng.random() < verdict.admit_part:
            return None
        return verdict.retry_after_s

    def _is_within_first_share(
        self,
        customer: _CustomerState,
        quota: model.Quota,
        cost: float,
        now: float,
    ) -> bool:
        """Returns whether the local share covers a request before a verdict."""
        if customer.verdict is not None:
            return False
        return self._refill(customer, quota, now).level >= cost

    def _is_within_own_part(
        self, customer: _CustomerState, cost: float
    ) -> bool:
        """Returns whether a request fits in before usage is reported again.

        Without this bound, a VM that stood still could admit all that has
        arrived meanwhile by one verdict.
        """
        verdict = customer.verdict
        unreported = customer.admitted - customer.admitted_before
        if verdict.level is None or unreported <= 0:
            return True
        own_part = max(verdict.own_part, 1 / self._vm_count)
        return unreported + cost <= verdict.level * own_part

    def _admit_local_share(
        self, customer: _CustomerState, quota: model.Quota, now: float
    ) -> float | None:
        per_s, _ = self._local_share(customer, quota)
        level = self._refill(customer, quota, now).level
        # The local share may be smaller than one request, which then leaves the
        # bucket negative.
        if level > 0:
            return None
        wait_s = -level / per_s if per_s else 0.0
        return max(wait_s, _RETRY_AFTER_S)

    def _count(
        self,
        customer: _CustomerState,
        quota: model.Quota,
        cost: float,
        retry_after_s: float | None,
        now: float,
    ) -> float | None:
        """Counts a request if it was admitted; returns `retry_after_s`."""
        if retry_after_s is not None:
            return retry_after_s
        customer.admitted += cost
        bucket = self._refill(customer, quota, now)
        _, burst = self._local_share(customer, quota)
        # A share of the quota that was larger leaves no lasting debt.
        bucket.level = max(bucket.level - cost, -max(burst, cost))
        return None

    def _refill(
        self, customer: _CustomerState, quota: model.Quota, now: float
    ) -> token_bucket.TokenBucket:
        """Returns the bucket of this VM's share, filled up to this time."""
        per_s, burst = self._local_share(customer, quota)
        if customer.local_bucket is None:
            customer.local_bucket = token_bucket.TokenBucket(burst, now)
        customer.local_bucket.refill(per_s, burst, now)
        return customer.local_bucket

    def _local_share(
        self, customer: _CustomerState, quota: model.Quota
    ) -> tuple[float, float]:
        """Returns rate and burst of this VM's share of a quota."""
        fraction = 1 / self._vm_count
        if customer.verdict is not None:
            fraction = max(customer.verdict.own_part, fraction)
        return quota.per_s * fraction, quota.burst * fraction


def _had_ample_quota(
    customer: _CustomerState, quota: model.Quota, now: float
) -> bool:
    """Returns whether the last verdict left room for further requests."""
    verdict = customer.verdict
    if verdict is None or verdict.admit_part < 1.0:
        return False
    unanswered_since = customer.unanswered_since
    if unanswered_since is None or now - unanswered_since > _OWNER_TIMEOUT_S:
        return False
    if verdict.level is None:
        return True
    return verdict.level > quota.burst * _AMPLE_BURST_FRACTION


def _known_level(
    customer: _CustomerState, now: float
) -> quota_account.ReportedLevel | None:
    verdict = customer.verdict
    if verdict is None or verdict.level is None:
        return None
    return quota_account.ReportedLevel(
        level=round(verdict.level, 1),
        age_s=round(now - customer.verdict_at, 3),
        assumed=verdict.level_assumed,
    )
