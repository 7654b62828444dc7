"""Budget of retries of one service.

A failing engine turns each request into several attempts, and the extra
attempts overload the engines that still work. Retries are therefore earned by
requests: at the ratio 0.1 no failure adds more than a tenth to the load, once
the saved burst is spent.
"""

from collections.abc import Iterable

from cowsliprill.decisions import model


class RetryBudget:
    """Counts what one service may still retry.

    Args:
      rules: The service's rules.
    """

    def __init__(self, rules: model.RetryRules) -> None:
        self._rules = rules
        self._saved = float(rules.burst)

    def follow(self, rules: model.RetryRules) -> None:
        """Takes new rules; what is saved is kept, up to the new burst."""
        self._rules = rules
        self._saved = min(self._saved, float(rules.burst))

    def earn(self) -> None:
        """Counts one new request."""
        earned = self._saved + self._rules.ratio
        self._saved = min(earned, float(self._rules.burst))

    def spend(self, attempts_made: int) -> bool:
        """Asks for one more attempt.

        Args:
          attempts_made: Attempts that this request has had.

        Returns:
          Whether it may have another, which is then spent.
        """
        if attempts_made >= self._rules.attempts or self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class RetryBudgets:
    """The budgets of all services that one process has met."""

    def __init__(self) -> None:
        self._budgets_by_key: dict[str, RetryBudget] = {}

    def of(self, service: model.Service) -> RetryBudget:
        """Returns the budget of a service, under its present rules."""
        key = _key(service)
        budget = self._budgets_by_key.get(key)
        if budget is None:
            budget = RetryBudget(service.retries)
            self._budgets_by_key[key] = budget
        budget.follow(service.retries)
        return budget

    def keep_only(self, services: Iterable[model.Service]) -> None:
        """Forgets budgets of services that the settings no longer name."""
        wanted = {_key(service) for service in services}
        self._budgets_by_key = {
            key: budget
            for key, budget in self._budgets_by_key.items()
            if key in wanted
        }


def _key(service: model.Service) -> str:
    return service.retry_group or service.id
