"""Where calls enter: numbers them, bounds their bodies, knows which run."""

import asyncio
import dataclasses

from cowsliprill import clock
from cowsliprill.decisions import identity
from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import response_writer as response_writer_lib
from cowsliprill.entry import world as world_lib

_MAX_BUFFERED_BYTES = 16_777_216
_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Gate:
    """What the callers' and peers' handlers share.

    Attributes:
      incarnation: This process.
      world: The settings in force.
      draining: Whether the process is leaving; it still serves.
      closed: Whether it takes no more calls.
      buffered_bytes: Bytes of bodies that are held in memory.
      tasks: Requests in progress, by the tasks that handle them.
    """

    incarnation: identity.Incarnation
    world: world_lib.World
    draining: bool = False
    closed: bool = False
    buffered_bytes: int = 0
    tasks: dict[asyncio.Task, context.Context] = dataclasses.field(
        default_factory=dict
    )
    _next_number: int = 0

    @property
    def limits(self) -> model.HttpLimits:
        """What the settings in force let callers send."""
        return self.world.snapshot.limits

    def open(
        self,
        call: context.Call,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> context.Context:
        """Gives a call its number and the settings that hold for it."""
        number = self._next_number
        self._next_number += 1
        return context.Context(
            number=number,
            request_id=f"{self.incarnation}.{number}",
            call=call,
            response_writer=response_writer,
            arrived_at=clock.now(),
            snapshot=self.world.snapshot,
        )

    def run(
        self, handle: context.Handle, ctx: context.Context
    ) -> asyncio.Task[None]:
        """Starts the handling of a request.

        Args:
          handle: Its filters.
          ctx: The request.

        Returns:
          The task; a graceful shutdown waits for it.
        """
        task = asyncio.create_task(handle(ctx))
        self.tasks[task] = ctx
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    async def wait_until_empty(self, limit_s: float) -> int:
        """Waits until no request is in progress.

        Args:
          limit_s: How long to wait.

        Returns:
          Requests that are still in progress.
        """
        try:
            async with asyncio.timeout(limit_s):
                while self.tasks:
                    await asyncio.wait(self.tasks)
        except TimeoutError:
            pass
        return len(self.tasks)

    def cut(self) -> None:
        """Breaks off all requests in progress, so that callers notice."""
        for task, ctx in list(self.tasks.items()):
            ctx.response_writer.abort()
            task.cancel()

    def check_open(self) -> errors.EntryError | None:
        """Returns why no call is taken now, None if it is.

        Callers keep connections, and go on sending on them to a process that
        the balancer has long left out. A call that is begun shortly before
        the end would be cut; refused, it is sent again elsewhere.
        """
        if not self.closed:
            return None
        return errors.EntryError(
            errors.Code.LEAVING, "This process is leaving.", retry_after_s=0.0
        )

    def check_room(self, size: int) -> errors.EntryError | None:
        """Returns why a body of a size can't be taken, None if it can."""
        limit = self.limits.body_bytes
        if size > limit:
            return errors.EntryError(
                errors.Code.BODY_TOO_LARGE, f"The body has over {limit} bytes."
            )
        if self.buffered_bytes + size > _MAX_BUFFERED_BYTES:
            return errors.EntryError(
                errors.Code.OVERLOADED,
                "This process holds as many bodies as it can.",
                retry_after_s=_RETRY_AFTER_S,
            )
        return None
