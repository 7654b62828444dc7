"""One call to a plain service."""

import dataclasses
import http

from cowsliprill import clock
from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import service_client
from cowsliprill.entry import attempts
from cowsliprill.entry import calls as calls_lib
from cowsliprill.entry import context
from cowsliprill.entry import reply as reply_lib


@dataclasses.dataclass(slots=True)
class PlainRelay:
    """Makes calls to plain services.

    Attributes:
      calls: Calls to plain services.
    """

    calls: calls_lib.PlainCalls

    async def __call__(self, ctx: context.Context) -> None:
        """Calls `ctx.endpoint` once and passes on its whole answer.

        Raises:
          attempts.PlainCallLost: There was no whole answer, or the server
            failed at a request that may be repeated.
        """
        answer = await self._call(ctx)
        if _is_worth_another(ctx, answer):
            raise attempts.PlainCallLost(
                messages.Executed.UNKNOWN, f"status {answer.status}", answer
            )
        await send_answer(ctx, answer)

    async def _call(self, ctx: context.Context) -> service_client.ServiceAnswer:
        progress = call_lib.CallProgress()
        try:
            return await self.calls.call(ctx, progress)
        except engine_errors.CallError as error:
            raise attempts.PlainCallLost(
                error.run,
                str(error),
                unsent=isinstance(error, engine_errors.ConnectFailed),
            ) from error
        finally:
            # Also when the caller has left amid the call.
            if progress.run is messages.Executed.UNKNOWN:
                ctx.progress.run = messages.Executed.UNKNOWN


async def send_answer(
    ctx: context.Context, answer: service_client.ServiceAnswer
) -> None:
    """Passes a plain service's whole answer on to the caller.

    Args:
      ctx: The request.
      answer: The answer.
    """
    ctx.progress.first_token_at = clock.now()
    ctx.progress.last_token_at = ctx.progress.first_token_at
    await reply_lib.send(
        ctx.reply, answer.status, answer.headers.get_all(), answer.body
    )


def _is_worth_another(
    ctx: context.Context, answer: service_client.ServiceAnswer
) -> bool:
    return (
        ctx.service.retries.failed_answers
        and ctx.service.idempotency is model.Idempotency.IDEMPOTENT
        and answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    )
