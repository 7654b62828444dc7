"""Budgets of retries."""

import dataclasses

from cowsliprill.decisions import model
from cowsliprill.decisions import retry

_RULES = model.RetryRules(ratio=0.1, burst=5, attempts=3)


class TestRetryBudget:
    """A failing engine can't turn load into more load."""

    def test_load_is_bounded_when_everything_fails(self):
        """Each call fails and each caller's request is retried if it may be.

        Over 1,000 requests the extra attempts are a tenth and the burst.
        """
        budget = retry.RetryBudget(_RULES)
        attempts = 0
        for _ in range(1_000):
            budget.earn()
            attempts_made = 1
            while budget.spend(attempts_made):
                attempts_made += 1
            attempts += attempts_made
        assert attempts <= 1_000 * 1.1 + 5

    def test_attempts_of_one_request(self):
        budget = retry.RetryBudget(_RULES)
        assert budget.spend(1)
        assert budget.spend(2)
        assert not budget.spend(3)

    def test_new_rules_cut_what_is_saved(self):
        budget = retry.RetryBudget(_RULES)
        budget.follow(dataclasses.replace(_RULES, burst=1))
        assert budget.spend(1)
        assert not budget.spend(1)
