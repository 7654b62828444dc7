"""Request gate: numbers requests, limits bodies, tracks requests in flight."""

import asyncio
import dataclasses
from collections.abc import Callable

from cowsliprill import buffer_budget
from cowsliprill import clock
from cowsliprill.decisions import identity
from cowsliprill.decisions import model
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import response_writer as response_writer_lib

_RETRY_AFTER_S = 1.0
_UPLOAD_CHECK_S = 0.01


def cancel(task: asyncio.Task) -> None:
    """Cancels the task of a request once the task has begun.

    A task that is cancelled before its first step does nothing at all: its
    request gets no answer and has no line in the log.

    Args:
      task: Task that serves a request.
    """
    asyncio.get_running_loop().call_soon(task.cancel)


@dataclasses.dataclass(slots=True)
class Gate:
    """State shared by the HTTP handlers for callers and for peers.

    Attributes:
      incarnation: Identity of this process since its start.
      cluster_state: Current settings and VM list.
      draining: Whether shutdown has begun; requests are still accepted.
      closed: Whether new requests are refused.
      max_buffered_bytes: Bound on `buffered_bytes`.
      buffered_bytes: Total size of the request bodies in memory.
      tasks: Contexts of the requests in flight by the tasks that serve them.
      uploads: For each request that is still being received, the function that
        refuses it.
    """

    incarnation: identity.Incarnation
    cluster_state: cluster_state_lib.ClusterState
    draining: bool = False
    closed: bool = False
    max_buffered_bytes: int = buffer_budget.body_bytes(0)
    buffered_bytes: int = 0
    tasks: dict[asyncio.Task, context.Context] = dataclasses.field(
        default_factory=dict
    )
    uploads: set[Callable[[], None]] = dataclasses.field(default_factory=set)
    _next_number: int = 0

    @property
    def limits(self) -> model.HttpLimits:
        """Size limits for requests from the current settings."""
        return self.cluster_state.snapshot.limits

    def create_context(
        self,
        call: context.Call,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> context.Context:
        """Creates the context of a request, with its id and settings."""
        number = self._next_number
        self._next_number += 1
        return context.Context(
            number=number,
            request_id=f"{self.incarnation}.{number}",
            call=call,
            response_writer=response_writer,
            arrived_at=clock.now(),
            snapshot=self.cluster_state.snapshot,
        )

    def run(
        self, handle: context.Handler, ctx: context.Context
    ) -> asyncio.Task[None]:
        """Starts the task that serves a request.

        Args:
          handle: The filter chain of the request's path.
          ctx: The request.

        Returns:
          The task; a graceful shutdown waits for it.
        """
        task = asyncio.create_task(handle(ctx))
        self.tasks[task] = ctx
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    async def wait_until_idle(self, timeout_s: float) -> int:
        """Waits until no request is in flight or being received.

        Args:
          timeout_s: Timeout in seconds.

        Returns:
          Number of requests that still are.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.tasks or self.uploads:
                    if self.tasks:
                        await asyncio.wait(self.tasks)
                    else:
                        await asyncio.sleep(_UPLOAD_CHECK_S)
        except TimeoutError:
            pass
        return len(self.tasks) + len(self.uploads)

    def interrupt_all(self) -> None:
        """Ends all requests in flight, because the process ends.

        Requests without a response get an error that tells whether they were
        run, and requests that are still being received are refused. A response
        that has begun is left without its proper end, so that
        the caller sees that it is truncated.
        """
        for task, ctx in list(self.tasks.items()):
            ctx.is_interrupted = True
            cancel(task)
        for refuse in list(self.uploads):
            refuse()

    def abort_all(self) -> None:
        """Closes the connections of all requests in flight."""
        for task, ctx in list(self.tasks.items()):
            ctx.response_writer.abort()
            cancel(task)

    def check_accepting(self) -> errors.EntryError | None:
        """Returns the error for requests during shutdown, None if accepting.

        Callers reuse connections and keep sending on them after the load
        balancer has excluded this process. A request accepted shortly before
        the process ends would be aborted; a refused one is retried elsewhere.
        """
        return errors.leaving() if self.closed else None

    def check_body_size(
        self, size: int, limits: model.HttpLimits
    ) -> errors.EntryError | None:
        """Returns the error for a body that is too large, None if it fits.

        Args:
          size: Bytes of the body, or of its next chunk.
          limits: Limits that hold for the request.
        """
        limit = limits.body_bytes
        if size > limit:
            return errors.EntryError(
                errors.Code.BODY_TOO_LARGE,
                f"The body has over {limit} bytes.",
            )
        if self.buffered_bytes + size > self.max_buffered_bytes:
            return errors.EntryError(
                errors.Code.OVERLOADED,
                "This process holds as many bodies as it can.",
                retry_after_s=_RETRY_AFTER_S,
            )
        return None
