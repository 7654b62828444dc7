"""Filter that has peers serve requests while endpoints can't be reached."""

import dataclasses

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import path_monitor
from cowsliprill.entry import peer_relay


@dataclasses.dataclass(frozen=True, slots=True)
class Failover:
    """Relays requests through a peer while this VM's path is lost.

    A relayed request isn't relayed again: a VM that can't reach the endpoints
    either refuses it, and the sending VM chooses another.

    Attributes:
      paths: Tells whether this VM is cut off from the endpoints.
      relay: Sends requests to peers, None if it is disabled.
    """

    paths: path_monitor.PathMonitor
    relay: peer_relay.PeerRelay | None

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Passes the request on, to a peer if the path is or gets lost."""
        if self.relay is None:
            await proceed(ctx)
            return
        if self.paths.is_lost():
            await self._relay(ctx, errors.path_lost(ctx.progress.run))
            return
        try:
            await proceed(ctx)
        except errors.EntryError as error:
            if error.code != errors.Code.PATH_LOST:
                raise
            await self._relay(ctx, error)

    async def _relay(
        self, ctx: context.Context, error: errors.EntryError
    ) -> None:
        if not _may_relay(ctx) or not await self.relay.relay(ctx):
            raise error


def _may_relay(ctx: context.Context) -> bool:
    if ctx.call.envelope is not None or ctx.response_writer.started:
        return False
    return (
        ctx.progress.run is messages.Executed.NO
        or ctx.service.idempotency is model.Idempotency.IDEMPOTENT
    )
