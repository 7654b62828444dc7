"""Answers the usage reports of customers whose quotas this VM owns."""

from collections.abc import Callable
from collections.abc import Mapping

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_owner
from cowsliprill.observability import log as log_lib
from cowsliprill.quotas import wire


class UsageReportHandler:
    """Answers usage reports of other VMs and of this one.

    A customer's quota is owned by the VM that the reporting VMs pick by
    rendezvous hashing. The owner adds up what all VMs admit.

    Args:
      tolerance: By how much quotas may be exceeded.
      reachable_fraction: Returns the fraction of the known VMs that this VM
        receives heartbeats from.
      log: The process's log.
    """

    def __init__(
        self,
        tolerance: quota_owner.QuotaTolerance,
        reachable_fraction: Callable[[], float],
        log: log_lib.Log,
    ) -> None:
        self._accounts = quota_owner.QuotaOwner(tolerance)
        self._reachable_fraction = reachable_fraction
        self._log = log
        self._quotas_by_customer: Mapping[str, model.Quota] = {}

    def set_quotas(self, quotas_by_customer: Mapping[str, model.Quota]) -> None:
        """Sets the quotas in force by customer id."""
        self._quotas_by_customer = quotas_by_customer
        self._accounts.keep_only(self._quotas_by_customer)

    def handle(self, report: wire.UsageReport) -> wire.UsageResponse:
        """Records a VM's usage report and returns its verdicts."""
        verdicts = self._accounts.report(
            report.reporter,
            report.usages,
            self._quotas_by_customer,
            self._reachable_fraction(),
            clock.now(),
        )
        for opening in self._accounts.take_openings():
            self._log.event(
                "quota_account_opened",
                customer=opening.customer,
                reporter=report.reporter,
                level=round(opening.level),
                burst=round(opening.burst),
            )
        return wire.UsageResponse(verdicts=tuple(verdicts))
