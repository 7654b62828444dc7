"""Filter that executes each ticket or idempotency key at most once."""

import dataclasses
import hashlib

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import tickets
from cowsliprill.engines import protocol
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import forward
from cowsliprill.entry import reply as reply_lib

REPLAYED_HEADER = "Idempotent-Replayed"

_MAX_KEY_BYTES = 255
_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Idempotency:
    """Executes each key once here and forwards tickets to their owners.

    Attributes:
      book: Tickets and keys of this incarnation.
      forwarder: Forwards requests to the processes that issued their tickets.
      room: Memory budget for responses that are being recorded.
    """

    book: tickets.TicketBook
    forwarder: forward.Forwarder
    room: reply_lib.RecordingRoom = dataclasses.field(
        default_factory=reply_lib.RecordingRoom
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handle
    ) -> None:
        """Executes the request, replays its response or rejects it."""
        key = ctx.call.headers.get(protocol.IDEMPOTENCY_KEY_HEADER, "")
        if not key:
            await proceed(ctx)
            return
        if len(key) > _MAX_KEY_BYTES or not key.isprintable():
            raise errors.EntryError(
                errors.Code.INVALID_HEADER,
                "An idempotency key must have at most"
                f" {_MAX_KEY_BYTES} printable characters.",
            )
        ctx.idempotency_key = key
        match self._claim(ctx, key):
            case tickets.Granted(record):
                await self._run_and_record(ctx, proceed, record)
            case tickets.Replay(response) if response is not None:
                ctx.progress.outcome = "replayed"
                headers = [*response.headers, (REPLAYED_HEADER, "true")]
                await reply_lib.send(
                    ctx.reply,
                    response.status,
                    _without_content_length(headers),
                    response.body,
                )
            case tickets.Foreign(ticket):
                await self.forwarder.forward(ctx, ticket)
            case claim:
                raise _error_for_claim(claim)

    def _claim(self, ctx: context.Context, key: str) -> tickets.Claim:
        fingerprint = _fingerprint(ctx.call)
        now = clock.now()
        customer, service = ctx.customer.id, ctx.service.id
        try:
            ticket = tickets.Ticket.parse(key)
        except tickets.TicketError:
            return self.book.claim_key(key, customer, service, fingerprint, now)
        return self.book.claim_ticket(
            ticket, customer, service, fingerprint, now
        )

    async def _run_and_record(
        self, ctx: context.Context, proceed: context.Handle, record: str
    ) -> None:
        recording = reply_lib.RecordingReply(ctx.reply, self.room)
        ctx.reply = recording
        # A non-idempotent call whose caller disconnects has most likely been
        # executed. Completing it costs no engine memory, and the caller's
        # retry gets its response instead of "unknown".
        ctx.survives_caller = (
            ctx.service.idempotency is model.Idempotency.UNREPEATABLE
            and ctx.service.kind is model.ServiceKind.PLAIN
        )
        try:
            await proceed(ctx)
        except errors.EntryError as error:
            self._record_error(record, recording, error)
            raise
        except BaseException:
            self._record_unexpected_end(record, ctx)
            raise
        else:
            self.book.finish(record, recording.answer())
        finally:
            recording.forget()

    def _record_error(
        self,
        record: str,
        recording: reply_lib.RecordingReply,
        error: errors.EntryError,
    ) -> None:
        if error.run is messages.Run.NO:
            self.book.release(record)
            return
        response = tickets.Answer(
            status=error.status,
            headers=tuple(error.headers().items()),
            body=error.body(),
        )
        self.book.finish(record, None if recording.started else response)

    def _record_unexpected_end(self, record: str, ctx: context.Context) -> None:
        if ctx.progress.run is messages.Run.NO:
            self.book.release(record)
        else:
            self.book.finish(record, None)


def _without_content_length(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    return [
        header for header in headers if header[0].lower() != "content-length"
    ]


def _fingerprint(call: context.Call) -> bytes:
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


def _error_for_claim(claim: tickets.Claim) -> errors.EntryError:
    unknown = messages.Run.UNKNOWN
    match claim:
        case tickets.InProgress():
            return errors.EntryError(
                errors.Code.IN_PROGRESS,
                "The first request with this key is still running.",
                run=unknown,
                retry_after_s=_RETRY_AFTER_S,
            )
        case tickets.Mismatch():
            return errors.EntryError(
                errors.Code.KEY_REUSED,
                "This key was used for a different request; this one was not"
                " executed.",
            )
        case tickets.Invalid():
            return errors.EntryError(
                errors.Code.TICKET_INVALID,
                "This ticket was not issued to you for this service.",
            )
        case tickets.Expired():
            return errors.EntryError(
                errors.Code.TICKET_EXPIRED,
                "This ticket has expired; whether its request was executed is"
                " unknown.",
                run=unknown,
            )
        case tickets.Full():
            return errors.EntryError(
                errors.Code.TOO_MANY_KEYS,
                "The store of idempotency keys is full.",
                retry_after_s=_RETRY_AFTER_S,
            )
        case _:
            return errors.EntryError(
                errors.Code.ANSWER_NOT_STORED,
                "A request with this key has ended, but its response is not"
                " stored.",
                run=unknown,
            )
