"""Filter that computes the fingerprint of a request."""

import dataclasses

from cowsliprill.decisions import request_fingerprint
from cowsliprill.entry import context


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprint:
    """Sets the fingerprint by which repetitions of a request are recognized.

    Attributes:
      fingerprinter: Computes fingerprints that are the same at all VMs.
    """

    fingerprinter: request_fingerprint.Fingerprinter

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Sets `ctx.fingerprint` and passes the request on."""
        call = ctx.call
        ctx.fingerprint = self.fingerprinter.fingerprint(
            request_fingerprint.RequestContent(
                customer=ctx.customer.id,
                method=call.method,
                # Elsewhere the host only names the VM that got the request.
                host=ctx.route.host if ctx.route else "",
                target=call.target,
                body=call.body,
            )
        )
        await proceed(ctx)
