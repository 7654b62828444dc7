"""Answers the usage reports of customers whose quotas this VM owns."""

from collections.abc import Callable
from collections.abc import Mapping

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_owner
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.quotas import wire

_MS_PER_S = 1_000


class UsageReportHandler:
    """Answers usage reports of other VMs and of this one.

    A customer's quota is owned by the VM that the reporting VMs pick by
    rendezvous hashing. The owner adds up what all VMs admit.

    Args:
      tolerance: By how much quotas may be exceeded.
      reachable_fraction: Returns the fraction of the known VMs that this VM
        receives heartbeats from.
      log: The process's log.
      metrics: The process's metrics.
    """

    def __init__(
        self,
        tolerance: quota_owner.QuotaTolerance,
        reachable_fraction: Callable[[], float],
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._accounts = quota_owner.QuotaOwner(tolerance)
        self._reachable_fraction = reachable_fraction
        self._log = log
        self._metrics = metrics
        self._quotas_by_customer: Mapping[str, model.Quota] = {}

    def set_quotas(self, quotas_by_customer: Mapping[str, model.Quota]) -> None:
        """Sets the quotas in force by customer id."""
        self._quotas_by_customer = quotas_by_customer
        self._accounts.keep_only(self._quotas_by_customer, clock.now())

    def handle(self, report: wire.UsageReport) -> wire.UsageResponse:
        """Records a VM's usage report and returns its verdicts."""
        verdicts = self._accounts.report(
            report.reporter,
            report.usages,
            self._quotas_by_customer,
            self._reachable_fraction(),
            clock.now(),
        )
        for event in self._accounts.take_events():
            self._log_event(event, report.reporter)
        return wire.UsageResponse(verdicts=tuple(verdicts))

    def _log_event(
        self, event: quota_owner.AccountEvent, reporter: str
    ) -> None:
        match event:
            case quota_owner.AccountOpened():
                self._metrics.quota_accounts_opened.inc(
                    {"basis": event.basis.value}
                )
                self._log.event(
                    "quota_account_opened",
                    customer=event.customer,
                    reporter=reporter,
                    level=round(event.level),
                    burst=round(event.burst),
                    basis=event.basis.value,
                    age_ms=round(event.age_s * _MS_PER_S),
                )
            case quota_owner.LevelLearned():
                self._log.event(
                    "quota_level_learned",
                    customer=event.customer,
                    reporter=reporter,
                    level=round(event.level),
                    age_ms=round(event.age_s * _MS_PER_S),
                )
            case quota_owner.UsageRejected():
                self._log.warning(
                    "quota_usage_invalid",
                    customer=event.customer,
                    reporter=reporter,
                    reason=event.reason,
                )
