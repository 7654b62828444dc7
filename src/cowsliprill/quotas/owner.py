"""The quotas that this process owns, and their answers to the other VMs."""

from collections.abc import Callable
from collections.abc import Mapping

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_owner
from cowsliprill.quotas import wire


class Owner:
    """Answers reports for the customers that VMs name here.

    Args:
      tolerance: By how much quotas may be exceeded.
      heard_part: Returns the part of the known VMs that are heard here.
    """

    def __init__(
        self,
        tolerance: quota_owner.Tolerance,
        heard_part: Callable[[], float],
    ) -> None:
        self._accounts = quota_owner.QuotaOwner(tolerance)
        self._heard_part = heard_part
        # Endpoints change far more often than the customers, who may be many.
        self._customers_by_id: Mapping[str, model.Customer] = {}
        self._quotas_by_customer: dict[str, model.Quota] = {}

    def update(self, snapshot: model.Snapshot) -> None:
        """Takes new settings."""
        if snapshot.customers_by_id is self._customers_by_id:
            return
        self._customers_by_id = snapshot.customers_by_id
        self._quotas_by_customer = {
            customer.id: customer.quota
            for customer in snapshot.customers_by_id.values()
            if customer.quota is not None
        }
        self._accounts.keep_only(self._quotas_by_customer)

    def answer(self, report: wire.Report) -> wire.Answer:
        """Takes a VM's report."""
        verdicts = self._accounts.report(
            report.reporter,
            report.usages,
            self._quotas_by_customer,
            self._heard_part(),
            clock.now(),
        )
        return wire.Answer(verdicts=tuple(verdicts))
