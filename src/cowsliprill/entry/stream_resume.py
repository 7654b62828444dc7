"""Resumes interrupted token streams on the same decode engine."""

import asyncio
import dataclasses

from cowsliprill.decisions import model
from cowsliprill.decisions import retry_budget
from cowsliprill.engines import engine_client
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import token_stream
from cowsliprill.entry import context
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_INITIAL_BACKOFF_S = 0.02


@dataclasses.dataclass(slots=True)
class StreamResumer:
    """Reopens broken streams of services whose settings allow resuming.

    Attributes:
      client: Engine client.
      budgets: Retry budgets; each attempt to resume withdraws from them.
      metrics: Process metrics.
      log: Process log.
    """

    client: engine_client.EngineClient
    budgets: retry_budget.RetryBudgets
    metrics: metrics_lib.Metrics
    log: log_lib.Log

    async def resume(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stream: token_stream.TokenStream,
        broken: engine_errors.StreamBroken,
    ) -> bool:
        """Tries to reopen a stream after its last delivered token.

        Retries with exponential backoff until the retry budget is exhausted or
        the engine refuses.

        Args:
          ctx: Request context.
          endpoint: Decode engine that holds the stream.
          stream: Broken stream; reopened in place.
          broken: Error that interrupted the stream.

        Returns:
          Whether the stream was reopened.
        """
        if not (ctx.service.resume and broken.resumable):
            return False
        progress = ctx.progress
        if broken.last_token > progress.resumed_at_token:
            progress.resumes_since_token = 0
        progress.resumed_at_token = broken.last_token
        budget = self.budgets.of(ctx.service)
        backoff_s = _INITIAL_BACKOFF_S
        # A stream that breaks repeatedly without a new token counts all its
        # earlier resumes. Otherwise it would be resumed without end.
        while budget.try_withdraw(1 + progress.resumes_since_token):
            progress.resumes_since_token += 1
            try:
                await self.client.resume(
                    endpoint, stream, timeout_s=ctx.service.timeout_s
                )
                self._record_outcome(ctx, broken, resumed=True)
                return True
            except engine_errors.EngineRefused:
                break
            except engine_errors.CallError:
                await asyncio.sleep(backoff_s)
                backoff_s *= 2
        self._record_outcome(ctx, broken, resumed=False)
        return False

    def _record_outcome(
        self,
        ctx: context.Context,
        broken: engine_errors.StreamBroken,
        *,
        resumed: bool,
    ) -> None:
        event = "stream_resumed" if resumed else "stream_lost"
        self.metrics.events.inc({"event": event})
        self.log.event(
            event,
            request=ctx.request_id,
            endpoint=ctx.start.decode_id,
            reason=broken.reason.value,
            after_token=broken.last_token,
        )
