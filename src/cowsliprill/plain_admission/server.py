"""Decides on the limits of the plain pools that this process coordinates."""

from cowsliprill import clock
from cowsliprill import record_exchange
from cowsliprill.decisions import customer_shares
from cowsliprill.decisions import model
from cowsliprill.decisions.overload import plain_admission
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.plain_admission import wire


class AdmissionServer:
    """Answers the reports of all processes, with state in memory only.

    A VM whose list of VMs differs may report to another coordinator. Each
    divides only the capacity that its own reporters get.

    Args:
      network: Access to settings and VM list.
      log: Log of the process.
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        network: record_exchange.Network,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._network = network
        self._log = log
        self._metrics = metrics
        self._admission_by_pool: dict[str, plain_admission.PoolAdmission] = {}
        self._limited_pools: set[str] = set()

    def handle(self, report: wire.CallReport) -> wire.CallVerdict:
        """Returns the verdict for the process that has sent a report."""
        servers = self._servers(report.pool)
        if not servers:
            return wire.CallVerdict()
        admission = self._admission_by_pool.setdefault(
            report.pool, plain_admission.PoolAdmission()
        )
        snapshot = self._network.cluster_state.snapshot
        verdict = admission.handle(
            report.process,
            wire.report_from_wire(report),
            servers,
            customer_shares.CustomerShares(snapshot.customers_by_id),
            clock.now(),
        )
        self._log_change(report.pool, admission)
        return wire.verdict_to_wire(verdict)

    def expire(self) -> None:
        """Drops pools that no process reports on any more."""
        now = clock.now()
        for pool, admission in list(self._admission_by_pool.items()):
            if admission.expire(now):
                del self._admission_by_pool[pool]
            self._log_change(pool, admission)

    def _servers(self, pool: str) -> int:
        endpoints = self._network.cluster_state.snapshot.endpoints_by_id
        return sum(
            endpoint.pool == pool and endpoint.kind is model.EndpointKind.PLAIN
            for endpoint in endpoints.values()
        )

    def _log_change(
        self, pool: str, admission: plain_admission.PoolAdmission
    ) -> None:
        capacity_per_s = admission.capacity_per_s
        fractions = admission.fractions_by_customer
        self._metrics.plain_pool_capacity.set(
            {"pool": pool}, round(capacity_per_s or 0.0, 1)
        )
        if fractions and pool not in self._limited_pools:
            self._limited_pools.add(pool)
            self._log.event(
                "plain_limits_begun",
                pool=pool,
                capacity_per_s=round(capacity_per_s or 0.0, 1),
                fractions=fractions,
            )
        elif capacity_per_s is None and pool in self._limited_pools:
            self._limited_pools.discard(pool)
            self._log.event("plain_limits_ended", pool=pool)
