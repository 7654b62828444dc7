"""Filter that computes digests of the parts of a prompt."""

import dataclasses

from cowsliprill.decisions import request_fingerprint
from cowsliprill.entry import context


@dataclasses.dataclass(frozen=True, slots=True)
class PromptParts:
    """Sets the digests by which parts that requests share are recognized.

    Attributes:
      fingerprinter: Computes digests that are the same at all VMs.
    """

    fingerprinter: request_fingerprint.Fingerprinter

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Sets `ctx.prompt_parts` and passes the request on."""
        if ctx.generation is not None:
            ctx.prompt_parts = self.fingerprinter.part_digests(
                ctx.generation.part_ids, ctx.service.pool
            )
        await proceed(ctx)
