"""Limits of customers over their share of a plain pool. No I/O."""

import dataclasses
import math
from collections.abc import Mapping

from cowsliprill.decisions.overload import plain_reports

# A verdict and a report hold for this many report intervals.
VALID_INTERVALS = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Which calls of a customer over its share are admitted.

    Attributes:
      priority: Calls of higher priority are all admitted, those of lower
        priority refused.
      fraction: Fraction of the calls of this priority that is admitted.
      calls_per_s: Calls of the customer that one process may admit a second;
        refused callers come back at this rate.
    """

    priority: int
    fraction: float
    calls_per_s: float

    def fraction_at(self, priority: int) -> float:
        """Returns the fraction of the calls of some priority to admit."""
        if priority != self.priority:
            return 1.0 if priority > self.priority else 0.0
        return self.fraction


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """The coordinator's answer to a report.

    Attributes:
      limits_by_customer: Customers over their share.
      interval_s: When the process reports again, in seconds.
    """

    limits_by_customer: Mapping[str, Limit] = dataclasses.field(
        default_factory=dict
    )
    interval_s: float = plain_reports.MIN_INTERVAL_S

    @property
    def valid_s(self) -> float:
        """Time for which the verdict holds, in seconds."""
        return self.interval_s * VALID_INTERVALS


class Thinning:
    """Admits fractions of the calls of customers over their share.

    Error accumulation admits the exact fraction without random numbers, so a
    process with few calls doesn't deviate from it by chance.

    Args:
      offset: Fraction of a call that each customer has in credit at first,
        different in each process so that not all refuse their first calls.
    """

    def __init__(self, offset: float) -> None:
        self._offset = offset
        self._limits_by_customer: Mapping[str, Limit] = {}
        self._credit_by_customer: dict[str, float] = {}
        self._valid_until = -math.inf

    def apply(self, verdict: Verdict, now: float) -> None:
        """Replaces the limits by those of a verdict."""
        self._limits_by_customer = verdict.limits_by_customer
        self._valid_until = now + verdict.valid_s
        self._credit_by_customer = {
            customer: credit
            for customer, credit in self._credit_by_customer.items()
            if customer in verdict.limits_by_customer
        }

    def is_limiting(self, now: float) -> bool:
        """Returns whether a verdict with limits holds."""
        return bool(self._limits_by_customer) and now < self._valid_until

    def refusing_limit(
        self, customer: str, priority: int, now: float
    ) -> Limit | None:
        """Returns the limit that a call exceeds, None if it is admitted."""
        limit = self._limits_by_customer.get(customer)
        if limit is None or now >= self._valid_until:
            return None
        fraction = limit.fraction_at(priority)
        if fraction in (0.0, 1.0):
            return None if fraction else limit
        credit = self._credit_by_customer.get(customer, self._offset) + fraction
        admitted = credit >= 1.0
        self._credit_by_customer[customer] = credit - admitted
        return None if admitted else limit
