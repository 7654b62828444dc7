"""At most one run for each ticket or idempotency key."""

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
_IN_PROGRESS_RETRY_S = 1.0


@dataclasses.dataclass(slots=True)
class Idempotency:
    """Lets each key run once here, and sends tickets to their owners.

    Attributes:
      ticket_store: Tickets and keys of this incarnation.
      forwarder: Passes requests on to the owners of their tickets.
      recording_budget: Room for answers while they are recorded.
    """

    ticket_store: tickets.TicketStore
    forwarder: ticket_forwarding.TicketForwarder
    recording_budget: response_writer_lib.RecordingBudget = dataclasses.field(
        default_factory=response_writer_lib.RecordingBudget
    )

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Runs the request, repeats its answer or refuses it."""
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
                await self._run(ctx, proceed, record)
            case tickets.Replay(answer) if answer is not None:
                ctx.progress.outcome = "replayed"
                headers = [*answer.headers, (REPLAYED_HEADER, "true")]
                await response_writer_lib.send(
                    ctx.response_writer,
                    answer.status,
                    _bare(headers),
                    answer.body,
                )
            case tickets.OwnedElsewhere(ticket):
                await self.forwarder.forward(ctx, ticket)
            case claim:
                raise _refusal(claim)

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

    async def _run(
        self, ctx: context.Context, proceed: context.Handler, record: str
    ) -> None:
        recording = response_writer_lib.RecordingResponseWriter(
            ctx.response_writer, self.recording_budget
        )
        ctx.response_writer = recording
        # A booking whose caller is gone has most likely been made. Going on to
        # its end costs no engine memory, and the caller's retry then learns
        # what became of it instead of "unknown".
        ctx.continues_after_disconnect = (
            ctx.service.idempotency is model.Idempotency.NON_IDEMPOTENT
            and ctx.service.kind is model.ServiceKind.PLAIN
        )
        try:
            await proceed(ctx)
        except errors.EntryError as error:
            self._settle_error(record, recording, error)
            raise
        except BaseException:
            self._settle_unknown(record, ctx)
            raise
        else:
            self.ticket_store.finish(record, recording.answer())
        finally:
            recording.release()

    def _settle_error(
        self,
        record: str,
        recording: response_writer_lib.RecordingResponseWriter,
        error: errors.EntryError,
    ) -> None:
        if error.run is messages.Executed.NO:
            self.ticket_store.release(record)
            return
        answer = tickets.StoredResponse(
            status=error.status,
            headers=tuple(error.headers().items()),
            body=error.body(),
        )
        self.ticket_store.finish(record, None if recording.started else answer)

    def _settle_unknown(self, record: str, ctx: context.Context) -> None:
        if ctx.progress.run is messages.Executed.NO:
            self.ticket_store.release(record)
        else:
            self.ticket_store.finish(record, None)


def _bare(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return [pair for pair in headers if pair[0].lower() != "content-length"]


def _fingerprint(call: context.Call) -> bytes:
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


def _refusal(claim: tickets.Claim) -> errors.EntryError:
    unknown = messages.Executed.UNKNOWN
    match claim:
        case tickets.InProgress():
            return errors.EntryError(
                errors.Code.IN_PROGRESS,
                "The first request with this key still runs.",
                run=unknown,
                retry_after_s=_IN_PROGRESS_RETRY_S,
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
                retry_after_s=_IN_PROGRESS_RETRY_S,
            )
        case _:
            return errors.EntryError(
                errors.Code.RESPONSE_NOT_STORED,
                "A request with this key has ended; its answer isn't stored.",
                run=unknown,
            )
