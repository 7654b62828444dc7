"""Retry budgets of services.

A failing engine turns each request into several attempts, and the extra
attempts overload the engines that still work. Each request therefore deposits
a fraction of a retry: at a ratio of 0.1, retries add at most a tenth to the
load once the burst is used up.
"""

from collections.abc import Iterable

from cowsliprill.decisions import model


class RetryBudget:
    """Retry budget of one service.

    Args:
      rules: The service's retry rules.
    """

    def __init__(self, rules: model.RetryPolicy) -> None:
        self._rules = rules
        self._balance = float(rules.burst)

    def set_rules(self, rules: model.RetryPolicy) -> None:
        """Sets new rules; keeps the balance, up to the new burst."""
        self._rules = rules
        self._balance = min(self._balance, float(rules.burst))

    def deposit(self) -> None:
        """Deposits the retry fraction of one new request."""
        earned = self._balance + self._rules.ratio
        self._balance = min(earned, float(self._rules.burst))

    def try_withdraw(self, attempts_made: int) -> bool:
        """Tries to withdraw one retry from the budget.

        Args:
          attempts_made: Number of attempts that this request has had.

        Returns:
          Whether the request may be attempted again, in which case one retry is
          withdrawn.
        """
        if attempts_made >= self._rules.attempts or self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class RetryBudgets:
    """Retry budgets of all services that one process has served."""

    def __init__(self) -> None:
        self._budgets_by_key: dict[str, RetryBudget] = {}

    def of(self, service: model.Service) -> RetryBudget:
        """Returns the budget of a service, with its current rules."""
        key = _budget_key(service)
        budget = self._budgets_by_key.get(key)
        if budget is None:
            budget = RetryBudget(service.retries)
            self._budgets_by_key[key] = budget
        budget.set_rules(service.retries)
        return budget

    def keep_only(self, services: Iterable[model.Service]) -> None:
        """Drops the budgets of services that are no longer configured."""
        configured_keys = {_budget_key(service) for service in services}
        self._budgets_by_key = {
            key: budget
            for key, budget in self._budgets_by_key.items()
            if key in configured_keys
        }


def _budget_key(service: model.Service) -> str:
    return service.retry_group or service.id
