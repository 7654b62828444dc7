"""Makes one call to a plain (non-model) service and relays its response."""

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
from cowsliprill.entry import errors
from cowsliprill.entry import response_writer as response_writer_lib


@dataclasses.dataclass(slots=True)
class PlainRelay:
    """Calls plain services and relays their responses.

    Attributes:
      calls: Calls to plain services.
    """

    calls: calls_lib.PlainCalls

    async def __call__(self, ctx: context.Context) -> None:
        """Calls `ctx.endpoint` once and relays its complete response.

        Raises:
          attempts.PlainCallLost: No complete response arrived, or the server
            responded with a 5xx status and the service's retry policy allows
            another attempt.
        """
        response = await self._call_service(ctx)
        if _should_retry(ctx, response):
            raise attempts.PlainCallError(
                messages.Executed.UNKNOWN, f"status {response.status}", response
            )
        await relay_response(ctx, response)

    async def _call_service(
        self, ctx: context.Context
    ) -> service_client.ServiceResponse:
        progress = call_lib.CallProgress()
        ctx.progress.sent_at = clock.now()
        try:
            return await self.calls.call(ctx, progress)
        except engine_errors.EndpointUnavailable as error:
            raise attempts.PlainCallError(
                error.run, str(error), unsent=True, withheld=True
            ) from error
        except engine_errors.ResponseUnread as error:
            raise errors.EntryError(
                errors.Code.INTERRUPTED,
                "This process couldn't hold the whole response.",
                run=error.run,
            ) from error
        except engine_errors.CallError as error:
            raise attempts.PlainCallError(
                error.run,
                str(error),
                unsent=isinstance(error, engine_errors.ConnectFailed),
                connection_lost=isinstance(error, engine_errors.ConnectionLost),
            ) from error
        finally:
            # Runs too when the caller disconnects during the call.
            if progress.run is messages.Executed.UNKNOWN:
                ctx.progress.run = messages.Executed.UNKNOWN


async def relay_response(
    ctx: context.Context, response: service_client.ServiceResponse
) -> None:
    """Sends a plain service's complete response to the caller.

    Args:
      ctx: Request context.
      response: Response of the service.
    """
    ctx.progress.first_token_at = clock.now()
    ctx.progress.last_token_at = ctx.progress.first_token_at
    await response_writer_lib.send(
        ctx.response_writer,
        response.status,
        response.headers.get_all(),
        response.body,
    )


def _should_retry(
    ctx: context.Context, response: service_client.ServiceResponse
) -> bool:
    return (
        ctx.service.retries.failed_answers
        and ctx.service.idempotency is model.Idempotency.IDEMPOTENT
        and response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    )
