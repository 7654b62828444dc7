"""Filter that has peers serve requests for pools that can't be reached."""

import dataclasses

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import path_monitor
from cowsliprill.entry import peer_relay


@dataclasses.dataclass(frozen=True, slots=True)
class Failover:
    """Relays requests through a peer while the path to their pool is lost.

    A relayed request isn't relayed again: a VM that can't reach the pool either
    refuses it, and the sending VM chooses another.

    Attributes:
      paths: Tells which pools this VM can't reach.
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
        if self.paths.is_lost(ctx.service.pool):
            if await self._relay(ctx):
                return
            if _is_refused_without_peers(ctx):
                raise errors.path_lost(ctx.progress.run)
            ctx.no_peer_serves = True
        try:
            await proceed(ctx)
        except errors.EntryError as error:
            if error.code != errors.Code.PATH_LOST:
                raise
            if not await self._relay(ctx):
                raise

    async def _relay(self, ctx: context.Context) -> bool:
        return _may_relay(ctx) and await self.relay.relay(ctx)


def _may_relay(ctx: context.Context) -> bool:
    if ctx.call.envelope is not None:
        return False
    if ctx.progress.resumable:
        return True
    return not ctx.response_writer.started and (
        ctx.progress.run is messages.Executed.NO
        or ctx.service.idempotency is model.Idempotency.IDEMPOTENT
    )


def _is_refused_without_peers(ctx: context.Context) -> bool:
    # If no VM reaches the engines, they have most likely ended together. Model
    # requests may then wait in the queue until engines are back.
    relayed = ctx.call.envelope is not None
    return relayed or ctx.service.kind is model.ServiceKind.PLAIN
