"""Interface for the filter that places plain calls under overload."""

from collections.abc import Iterable
from typing import Protocol

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.plain_admission import client as client_lib

_MS_PER_S = 1_000


class PlainCallAdmission(Protocol):
    """Fair admission of plain calls."""

    def admit(self, ctx: context.Context) -> None:
        """Counts a call that has arrived.

        Raises:
          errors.EntryError: Its customer is over its share.
        """

    def rejected(self, ctx: context.Context, server: str) -> None:
        """Records that a full server has rejected a call."""

    def no_server_free(self, ctx: context.Context, servers: set[str]) -> None:
        """Records that a call is refused as no server has room.

        Args:
          ctx: The call.
          servers: Servers that were not asked as this process alone keeps them
            busy.
        """

    def responded(self, ctx: context.Context) -> None:
        """Records that a server has responded to a call."""

    def unanswered(self, ctx: context.Context) -> None:
        """Records that a call ended without a response."""

    def is_full(self, server: str) -> bool:
        """Returns whether a server has just rejected a call as full."""

    def is_busy(self, pool: str, others: Iterable[str]) -> bool:
        """Returns whether a rejection shows load rather than a defect.

        Args:
          pool: Pool of the server that has rejected a call.
          others: The other servers of the pool.
        """


class AdmitAll:
    """Admits every call and counts nothing."""

    def admit(self, ctx: context.Context) -> None:
        """Admits a call."""

    def rejected(self, ctx: context.Context, server: str) -> None:
        """Does nothing."""

    def no_server_free(self, ctx: context.Context, servers: set[str]) -> None:
        """Does nothing."""

    def responded(self, ctx: context.Context) -> None:
        """Does nothing."""

    def unanswered(self, ctx: context.Context) -> None:
        """Does nothing."""

    def is_full(self, server: str) -> bool:
        """Returns False."""
        del server
        return False

    def is_busy(self, pool: str, others: Iterable[str]) -> bool:
        """Returns False."""
        del pool, others
        return False


class FairAdmission:
    """Admits calls by the verdicts of the pools' coordinators.

    Args:
      client: Counts calls and holds the verdicts.
      cluster_state: Current settings.
      log: Log of the process.
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        client: client_lib.AdmissionClient,
        cluster_state: cluster_state_lib.ClusterState,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._client = client
        self._cluster_state = cluster_state
        self._log = log
        self._metrics = metrics
        self._has_shares_of: model.Snapshot | None = None
        self._has_shares = False

    def admit(self, ctx: context.Context) -> None:
        """Counts a call; refuses it beyond its customer's fraction."""
        if not self._applies():
            return
        pool = ctx.service.pool
        customer = ctx.customer.id if ctx.customer else ""
        retry_after_s = self._client.arrived(pool, customer, ctx.priority)
        if retry_after_s is None:
            return
        self._count_refusal(pool, "over_share")
        self._log.event(
            "refused",
            request=ctx.request_id,
            caller=ctx.caller_id,
            reason=messages.RefusalCode.OVERLOADED.value,
            over_share=True,
            retry_after_ms=round(retry_after_s * _MS_PER_S, 1),
        )
        raise errors.EntryError(
            messages.RefusalCode.OVERLOADED,
            "The service is overloaded and the customer is over its share.",
            run=ctx.progress.run,
            retry_after_s=retry_after_s,
        )

    def rejected(self, ctx: context.Context, server: str) -> None:
        """Counts a rejection; the server is avoided for a short time."""
        if self._applies():
            self._client.rejected(ctx.service.pool, server)

    def no_server_free(self, ctx: context.Context, servers: set[str]) -> None:
        """Counts a refused call, and servers as if they had rejected it."""
        if not self._applies():
            return
        for server in servers:
            self._client.rejected(ctx.service.pool, server)
        self._count_refusal(ctx.service.pool, "any")

    def responded(self, ctx: context.Context) -> None:
        """Counts a completed call, late if it missed its target."""
        if self._applies():
            self._client.completed(ctx.service.pool, late=_is_late(ctx))

    def unanswered(self, ctx: context.Context) -> None:
        """Counts a call without a response once its target has passed."""
        if self._applies() and _is_late(ctx):
            self._client.unanswered(ctx.service.pool)

    def is_full(self, server: str) -> bool:
        """Returns whether a server has just rejected a call as full."""
        return self._client.is_full(server)

    def is_busy(self, pool: str, others: Iterable[str]) -> bool:
        """Returns whether the pool is limited or another server is full."""
        return self._client.is_limiting(pool) or any(
            map(self._client.is_full, others)
        )

    def _applies(self) -> bool:
        """Returns whether the settings have quotas or unlike shares."""
        snapshot = self._cluster_state.snapshot
        if self._has_shares_of is not snapshot:
            self._has_shares_of = snapshot
            self._has_shares = _has_shares(snapshot)
        return self._has_shares

    def _count_refusal(self, pool: str, customer_class: str) -> None:
        self._metrics.plain_refusals.inc(
            {"pool": pool, "customer_class": customer_class}
        )


def _is_late(ctx: context.Context) -> bool:
    return clock.now() - ctx.arrived_at > ctx.service.ttft_target_s


def _has_shares(snapshot: model.Snapshot) -> bool:
    shares = set()
    for customer in snapshot.customers_by_id.values():
        shares.add(customer.share)
        if customer.quota is not None or len(shares) > 1:
            return True
    return False
