"""Going on with a token stream that broke."""

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

_FIRST_BACK_OFF_S = 0.02


@dataclasses.dataclass(slots=True)
class Resumer:
    """Reopens broken streams where the service's rules allow it.

    Attributes:
      client: Client of engines.
      budgets: Budgets of retries; each try to resume spends from them.
      metrics: The process's metrics.
      log: The process's log.
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

        Args:
          ctx: The request.
          endpoint: The decode engine that holds it.
          stream: The broken stream.
          broken: How it broke.

        Returns:
          Whether the stream goes on.
        """
        if not (ctx.service.resume and broken.resumable):
            return False
        progress = ctx.progress
        if broken.last_token > progress.resumed_at_token:
            progress.resumes = 0
        progress.resumed_at_token = broken.last_token
        budget = self.budgets.of(ctx.service)
        back_off_s = _FIRST_BACK_OFF_S
        # A stream that is cut again and again without a new token counts as
        # one that failed as often: else it would be resumed without end.
        while budget.try_withdraw(1 + progress.resumes):
            progress.resumes += 1
            try:
                await self.client.resume(
                    endpoint, stream, timeout_s=ctx.service.timeout_s
                )
                self._record(ctx, broken, resumed=True)
                return True
            except engine_errors.EngineRefused:
                break
            except engine_errors.CallError:
                await asyncio.sleep(back_off_s)
                back_off_s *= 2
        self._record(ctx, broken, resumed=False)
        return False

    def _record(
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
