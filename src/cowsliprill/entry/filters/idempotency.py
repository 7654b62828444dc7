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
from cowsliprill.entry import response_writer as response_writer_lib
from cowsliprill.entry import ticket_forwarding

REPLAYED_HEADER = "Idempotent-Replayed"

_MAX_KEY_BYTES = 255
_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Idempotency:
    """Executes each key once here and forwards tickets to their owners.

    Attributes:
      ticket_store: Tickets and keys of this incarnation.
      forwarder: Forwards requests to the processes that issued their tickets.
      recording_budget: Memory budget for responses that are being recorded.
    """

    ticket_store: tickets.TicketStore
    forwarder: ticket_forwarding.TicketForwarder
    recording_budget: response_writer_lib.RecordingBudget = dataclasses.field(
        default_factory=response_writer_lib.RecordingBudget
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Executes the request, replays its response or rejects it."""
        key = ctx.call.headers.get(protocol.IDEMPOTENCY_KEY_HEADER, "")
        if not key:
            await proceed(ctx)
            return
        if len(key) > _MAX_KEY_BYTES or not key.isprintable():
            raise errors.EntryError(
                errors.Code.INVALID_HEADER,
                f"An idempotency key has at most {_MAX_KEY_BYTES} characters.",
            )
        ctx.idempotency_key = key
        match self._claim(ctx, key):
            case tickets.Granted(record):
                await self._run_and_record(ctx, proceed, record)
            case tickets.Replay(response) if response is not None:
                ctx.progress.outcome = "replayed"
                headers = [*response.headers, (REPLAYED_HEADER, "true")]
                await response_writer_lib.send(
                    ctx.response_writer,
                    response.status,
                    _without_content_length(headers),
                    response.body,
                )
            case tickets.OwnedElsewhere(ticket):
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
            return self.ticket_store.claim_key(
                key, customer, service, fingerprint, now
            )
        return self.ticket_store.claim_ticket(
            ticket, customer, service, fingerprint, now
        )

    async def _run_and_record(
        self, ctx: context.Context, proceed: context.Handler, record: str
    ) -> None:
        recording = response_writer_lib.RecordingResponseWriter(
            ctx.response_writer, self.recording_budget
        )
        ctx.response_writer = recording
        # A non-idempotent call whose caller disconnects has most likely been
        # executed. Completing it costs no engine memory, and the caller's
        # retry gets its response instead of "unknown".
        ctx.continues_after_disconnect = (
            ctx.service.idempotency is model.Idempotency.NON_IDEMPOTENT
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
            self.ticket_store.finish(record, recording.answer())
        finally:
            recording.release()

    def _record_error(
        self,
        record: str,
        recording: response_writer_lib.RecordingResponseWriter,
        error: errors.EntryError,
    ) -> None:
        if error.run is messages.Executed.NO:
            self.ticket_store.release(record)
            return
        response = tickets.StoredResponse(
            status=error.status,
            headers=tuple(error.headers().items()),
            body=error.body(),
        )
        self.ticket_store.finish(
            record, None if recording.started else response
        )

    def _record_unexpected_end(self, record: str, ctx: context.Context) -> None:
        if ctx.progress.run is messages.Executed.NO:
            self.ticket_store.release(record)
        else:
            self.ticket_store.finish(record, None)


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
    unknown = messages.Executed.UNKNOWN
    match claim:
        case tickets.InProgress():
            return errors.EntryError(
                errors.Code.IN_PROGRESS,
                "The first request with this key still runs.",
                run=unknown,
                retry_after_s=_RETRY_AFTER_S,
            )
        case tickets.Mismatch():
            return errors.EntryError(
                errors.Code.KEY_REUSED,
                "This key belongs to another request; this one wasn't run.",
            )
        case tickets.Invalid():
            return errors.EntryError(
                errors.Code.TICKET_INVALID,
                "This ticket wasn't given to you for this service.",
            )
        case tickets.Expired():
            return errors.EntryError(
                errors.Code.TICKET_EXPIRED,
                "This ticket is too old to be run, or to tell whether it was.",
                run=unknown,
            )
        case tickets.StoreFull():
            return errors.EntryError(
                errors.Code.TOO_MANY_KEYS,
                "No more keys can be remembered now.",
                retry_after_s=_RETRY_AFTER_S,
            )
        case _:
            return errors.EntryError(
                errors.Code.RESPONSE_NOT_STORED,
                "A request with this key has ended; its answer isn't stored.",
                run=unknown,
            )
