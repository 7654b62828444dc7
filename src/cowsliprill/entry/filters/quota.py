"""Filter that enforces the customers' request quotas."""

import dataclasses
from typing import Protocol

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.entry import errors


class Admission(Protocol):
    """Interface to the quota accounting."""

    async def admit(
        self, customer_id: str, quota: model.Quota, cost: float
    ) -> float | None:
        """Admits a request if the quota allows its cost.

        Args:
          customer_id: ID of the customer.
          quota: The customer's quota.
          cost: Cost of the request in units of the quota.

        Returns:
          None if the request is admitted, else the seconds until a retry.
        """

    def refund(self, customer_id: str, cost: float) -> None:
        """Refunds the cost of an admitted request that was not executed."""


class Unlimited:
    """Admits all requests, for deployments without quotas."""

    async def admit(
        self, customer_id: str, quota: model.Quota, cost: float
    ) -> float | None:
        """Returns None, which admits the request."""
        del customer_id, quota, cost

    def refund(self, customer_id: str, cost: float) -> None:
        """Does nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Rejects requests beyond a customer's quota.

    Attributes:
      admission: Quota accounting shared by all VMs.
    """

    admission: Admission

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Passes the request on or raises `errors.EntryError`."""
        quota = ctx.customer.quota
        if quota is None:
            await proceed(ctx)
            return
        cost = _request_cost(ctx, quota)
        retry_after_s = await self.admission.admit(ctx.customer.id, quota, cost)
        if retry_after_s is not None:
            raise errors.EntryError(
                errors.Code.QUOTA_EXCEEDED,
                "The quota is used up.",
                retry_after_s=retry_after_s,
            )
        try:
            await proceed(ctx)
        except errors.EntryError as error:
            if error.run is messages.Executed.NO:
                self.admission.refund(ctx.customer.id, cost)
            raise


def _request_cost(ctx: context.Context, quota: model.Quota) -> float:
    if not quota.by_tokens:
        return 1.0
    return float(ctx.declared_tokens or quota.plain_cost)
