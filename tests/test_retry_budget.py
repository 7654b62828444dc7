"""Tests of retry budgets."""

import dataclasses

from cowsliprill.decisions import model
from cowsliprill.decisions import retry_budget

_RULES = model.RetryPolicy(ratio=0.1, burst=5, attempts=3)


class TestRetryBudget:
    """Retries must not multiply the load on failing engines."""

    def test_load_is_bounded_when_everything_fails(self):
        """Every attempt fails and is retried if the budget allows.

        Over 1,000 requests, the retries are at most a tenth plus the burst.
        """
        budget = retry_budget.RetryBudget(_RULES)
        attempts = 0
        for _ in range(1_000):
            budget.deposit()
            attempts_made = 1
            while budget.try_withdraw(attempts_made):
                attempts_made += 1
            attempts += attempts_made
        assert attempts <= 1_000 * 1.1 + 5

    def test_attempts_per_request_are_limited(self):
        budget = retry_budget.RetryBudget(_RULES)
        assert budget.try_withdraw(1)
        assert budget.try_withdraw(2)
        assert not budget.try_withdraw(3)

    def test_lower_burst_reduces_the_balance(self):
        budget = retry_budget.RetryBudget(_RULES)
        budget.set_rules(dataclasses.replace(_RULES, burst=1))
        assert budget.try_withdraw(1)
        assert not budget.try_withdraw(1)
