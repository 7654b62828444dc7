"""Budgets of retries, so that a failure doesn't multiply the load."""

from cowsliprill.decisions import model


class RetryBudgets:
    """One token bucket per service, filled by its requests."""

    def __init__(self) -> None:
        self._tokens_by_service: dict[str, float] = {}

    def earn(self, service: model.Service) -> None:
        """Adds what a new request earns."""
        rules = service.retries
        tokens = self._tokens_by_service.get(service.id, float(rules.burst))
        self._tokens_by_service[service.id] = min(
            tokens + rules.ratio, float(rules.burst)
        )

    def spend(self, service: model.Service) -> bool:
        """Takes a retry from the budget, if there is one."""
        rules = service.retries
        tokens = self._tokens_by_service.get(service.id, float(rules.burst))
        if tokens < 1.0:
            return False
        self._tokens_by_service[service.id] = tokens - 1.0
        return True
