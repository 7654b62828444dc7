"""One call to a plain service."""

import dataclasses

from cowsliprill import clock
from cowsliprill.decisions import call as call_lib
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import service_client
from cowsliprill.entry import attempts
from cowsliprill.entry import context
from cowsliprill.entry import reply as reply_lib


@dataclasses.dataclass(slots=True)
class PlainRelay:
    """Makes calls to plain services.

    Attributes:
      incarnation: This process, named in attempt ids.
      client: Client of plain services.
    """

    incarnation: identity.Incarnation
    client: service_client.ServiceClient

    async def __call__(self, ctx: context.Context) -> None:
        """Calls `ctx.endpoint` once and passes on its whole answer.

        Raises:
          attempts.PlainCallLost: There was no whole answer.
        """
        answer = await self._call(ctx)
        ctx.progress.first_token_at = clock.now()
        ctx.progress.last_token_at = ctx.progress.first_token_at
        await reply_lib.send(
            ctx.reply, answer.status, answer.headers.get_all(), answer.body
        )

    async def _call(self, ctx: context.Context) -> service_client.ServiceAnswer:
        progress = call_lib.Progress()
        # An attempt's number counts from 0.
        attempt = ctx.progress.attempts - 1
        request = service_client.ServiceRequest(
            request_id=str(
                identity.AttemptId(self.incarnation, ctx.number, attempt)
            ),
            method=ctx.call.method,
            path=ctx.service_path,
            headers=ctx.call.headers,
            body=ctx.call.body,
            idempotency_key=_scoped_key(ctx),
        )
        try:
            return await self.client.call(
                ctx.endpoint, ctx.service, request, progress
            )
        except engine_errors.CallError as error:
            raise attempts.PlainCallLost(error.run, str(error)) from error
        finally:
            # Also when the caller has left amid the call.
            if progress.run is messages.Run.UNKNOWN:
                ctx.progress.run = messages.Run.UNKNOWN


def _scoped_key(ctx: context.Context) -> str:
    # Two firms may choose the same key. Were it passed on as it is, a service
    # that checks keys would give the second firm the answer of the first.
    if not ctx.idempotency_key:
        return ""
    return f"{ctx.user.id}:{ctx.idempotency_key}"
