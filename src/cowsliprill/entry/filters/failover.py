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
        lost = errors.path_lost(ctx.progress.run)
        if not self.paths.is_lost(ctx.service.pool):
            try:
                await proceed(ctx)
                return
            except errors.EntryError as error:
                if error.code != errors.Code.PATH_LOST:
                    raise
                lost = error
        if _may_relay(ctx) and await self.relay.relay(ctx):
            return
        if not _may_begin_again(ctx):
            raise lost
        # If no VM reaches the pool, its endpoints have most likely ended, and
        # those that are left, or are back, are found by trying them.
        ctx.no_peer_serves = True
        await proceed(ctx)


def _may_relay(ctx: context.Context) -> bool:
    resumable = ctx.progress.resumable and ctx.call.envelope is None
    return resumable or _may_begin_again(ctx)


def _may_begin_again(ctx: context.Context) -> bool:
    if ctx.call.envelope is not None or ctx.response_writer.started:
        return False
    return (
        ctx.progress.run is messages.Executed.NO
        or ctx.service.idempotency is model.Idempotency.IDEMPOTENT
    )
