"""Whether a call can be taken at all."""

import dataclasses

from cowsliprill.entry import context
from cowsliprill.entry import errors

_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """Refuses calls of the wrong method or size, or before any settings.

    Attributes:
      methods: HTTP methods of the path, empty for any.
    """

    methods: tuple[str, ...] = ()

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Lets the call pass or refuses it."""
        if ctx.call.rejection is not None:
            raise ctx.call.rejection
        if self.methods and ctx.call.method not in self.methods:
            raise errors.EntryError(
                errors.Code.METHOD_NOT_ALLOWED,
                f"{ctx.call.path} takes {', '.join(self.methods)}.",
            )
        if not ctx.snapshot.revision:
            raise errors.EntryError(
                errors.Code.NOT_READY,
                "This process has no settings yet.",
                retry_after_s=_RETRY_AFTER_S,
            )
        await proceed(ctx)
