"""Whether a customer's quota has room for a request."""

import dataclasses
from typing import Protocol

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.entry import errors


class Admission(Protocol):
    """Admits requests by quota."""

    async def admit(
        self, customer_id: str, quota: model.Quota, cost: float
    ) -> float | None:
        """Returns None if a request is admitted, else when to come back."""

    def refund(self, customer_id: str, cost: float) -> None:
        """Takes back an admitted request that has not run."""


class Unlimited:
    """Admits all, where no quotas are kept."""

    async def admit(
        self, customer_id: str, quota: model.Quota, cost: float
    ) -> float | None:
        """Returns None."""
        del customer_id, quota, cost

    def refund(self, customer_id: str, cost: float) -> None:
        """Does nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Refuses what goes beyond a customer's quota.

    Attributes:
      admission: Counts at all VMs together.
    """

    admission: Admission

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Lets the request pass or refuses it."""
        quota = ctx.customer.quota
        if quota is None:
            await proceed(ctx)
            return
        cost = _cost(ctx, quota)
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


def _cost(ctx: context.Context, quota: model.Quota) -> float:
    if not quota.by_tokens:
        return 1.0
    return float(ctx.declared_tokens or quota.plain_cost)
