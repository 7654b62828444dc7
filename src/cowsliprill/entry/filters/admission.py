"""Filter that limits the number of concurrent requests in a process."""

import dataclasses

from cowsliprill.entry import context
from cowsliprill.entry import errors

MAX_REQUESTS = 2_000
_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Admission:
    """Sheds requests beyond what the process's memory allows.

    The scheduler queues requests that wait for slots. This limit only keeps an
    overload from exhausting the process's memory, which would end all other
    requests too.

    Attributes:
      max_requests: Maximum number of concurrent requests.
      active_requests: Current number of requests.
    """

    max_requests: int = MAX_REQUESTS
    active_requests: int = 0

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Passes the request on or raises `errors.EntryError`."""
        if self.active_requests >= self.max_requests:
            raise errors.EntryError(
                errors.Code.OVERLOADED,
                "This process holds as many requests as it can.",
                retry_after_s=_RETRY_AFTER_S,
            )
        self.active_requests += 1
        try:
            await proceed(ctx)
        finally:
            self.active_requests -= 1
