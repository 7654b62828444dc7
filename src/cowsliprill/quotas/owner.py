"""The quotas that this process owns, and their answers to the other VMs."""

from collections.abc import Callable
from collections.abc import Mapping

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_owner
from cowsliprill.quotas import wire


class UsageReportHandler:
    """Answers reports for the customers that VMs name here.

    Args:
      tolerance: By how much quotas may be exceeded.
      reachable_fraction: Returns the part of the known VMs that are heard here.
    """

    def __init__(
        self,
        tolerance: quota_owner.Tolerance,
        reachable_fraction: Callable[[], float],
    ) -> None:
        self._accounts = quota_owner.QuotaOwner(tolerance)
        self._reachable_fraction = reachable_fraction
        self._quotas_by_customer: Mapping[str, model.Quota] = {}

    def set_quotas(self, quotas_by_customer: Mapping[str, model.Quota]) -> None:
        """Sets the quotas in force."""
        self._quotas_by_customer = quotas_by_customer
        self._accounts.keep_only(self._quotas_by_customer)

    def handle(self, report: wire.UsageReport) -> wire.UsageResponse:
        """Takes a VM's report."""
        verdicts = self._accounts.report(
            report.reporter,
            report.usages,
            self._quotas_by_customer,
            self._reachable_fraction(),
            clock.now(),
        )
        return wire.UsageResponse(verdicts=tuple(verdicts))
