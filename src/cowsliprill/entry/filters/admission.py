"""How many requests one process holds at once."""

import dataclasses

from cowsliprill.entry import context
from cowsliprill.entry import errors

MAX_REQUESTS = 2_000
_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Admission:
    """Refuses requests beyond what the process's memory allows.

    Waiting for slots is the scheduler's business; this only keeps a flood
    from ending the process, and with it all other requests.

    Attributes:
      max_requests: Most requests at once.
      present: Requests that are here now.
    """

    max_requests: int = MAX_REQUESTS
    present: int = 0

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Lets the request pass or refuses it."""
        if self.present >= self.max_requests:
            raise errors.EntryError(
                errors.Code.OVERLOADED,
                "This process holds as many requests as it can.",
                retry_after_s=_RETRY_AFTER_S,
            )
        self.present += 1
        try:
            await proceed(ctx)
        finally:
            self.present -= 1
