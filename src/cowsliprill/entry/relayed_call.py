"""Messages by which one VM has another serve a caller's request.

The request keeps its body and end-to-end headers. The envelope, in a header of
its own, states what the sending VM has determined and what must not be done
twice: its customer's quota is charged already, and attempts that were sent
count. The envelope is signed together with the body.
"""

import dataclasses

from tornado import httputil

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill.decisions import messages
from cowsliprill.engines import hop_headers
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import relay_envelope

ENVELOPE_HEADER = hop_headers.RELAY_ENVELOPE
ERROR_HEADER = hop_headers.RELAY_ERROR
# Marks the responses of the relay interface. A response without it comes from
# a process that doesn't have the interface.
VERSION_HEADER = hop_headers.RELAY_VERSION
VERSION = "1"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayError:
    """Why the helping VM has no response of an endpoint.

    Attributes:
      code: Code of the error.
      message: Text of the error.
      run: Whether the request was executed, as far as known.
      retry_after_s: Seconds after which the caller may retry, None if a retry
        isn't suggested.
    """

    code: str
    message: str
    run: messages.Executed
    retry_after_s: float | None = None

    def to_entry_error(self, run: messages.Executed) -> errors.EntryError:
        """Returns the error to end the request with at the sending VM.

        Args:
          run: Whether any VM has executed the request, as far as known.
        """
        return errors.EntryError(
            _known_code(self.code),
            self.message,
            run=run,
            retry_after_s=self.retry_after_s,
        )


def envelope_of(ctx: context.Context, vm: str) -> relay_envelope.Envelope:
    """Returns the envelope of a request that is about to be sent.

    Args:
      ctx: The request.
      vm: Id of this VM.
    """
    now = clock.now()
    return relay_envelope.Envelope(
        vm=vm,
        request_id=ctx.request_id,
        method=ctx.call.method,
        uri=ctx.call.uri or ctx.call.target,
        host=ctx.call.headers.get("Host", ""),
        revision=ctx.snapshot.revision,
        deadline_s=ctx.deadline - now,
        response_due_s=ctx.response_due_at - now,
        useful_s=ctx.useful_until - now if ctx.useful_until else None,
        attempts=ctx.progress.attempts,
        run=ctx.progress.run,
        idempotency_key=ctx.idempotency_key,
        last_event_id=ctx.progress.last_event_id,
        software_version=ctx.progress.software_version,
    )


def encode(
    envelope: relay_envelope.Envelope,
    call: context.Call,
    auth: peer_auth.PeerAuth,
) -> httputil.HTTPHeaders:
    """Returns the headers of a relayed request.

    Args:
      envelope: What this VM knows of the request.
      call: The request as the caller sent it.
      auth: Signs the envelope and the body.
    """
    text = codec.encode_without_defaults(envelope)
    headers = hop_headers.end_to_end(call.headers)
    headers[ENVELOPE_HEADER] = text.decode()
    headers.pop(peer_auth.HEADER, None)
    headers.update(auth.headers(_signed(text, call.body)))
    return headers


def decode(
    headers: httputil.HTTPHeaders, body: bytes, auth: peer_auth.PeerAuth
) -> tuple[relay_envelope.Envelope, httputil.HTTPHeaders]:
    """Returns the envelope and the caller's headers of a relayed request.

    Args:
      headers: Headers of the message.
      body: The caller's body.
      auth: Verifies the signature.

    Raises:
      errors.EntryError: The message isn't signed by a peer, or is malformed.
    """
    callers = httputil.HTTPHeaders(headers)
    text = callers.pop(ENVELOPE_HEADER, "")
    signature = callers.pop(peer_auth.HEADER, None)
    if not auth.verify(_signed(text.encode(), body), signature):
        raise errors.EntryError(
            errors.Code.NOT_A_PEER, "Only peers may pass requests on."
        )
    try:
        envelope = codec.decode(relay_envelope.Envelope, text)
    except codec.CodecError as error:
        raise errors.EntryError(
            errors.Code.INVALID_HEADER, f"{ENVELOPE_HEADER}: {error.message}"
        ) from error
    callers["Host"] = envelope.host
    return envelope, callers


class ErrorFormatter:
    """Formats errors for the sending VM, which formats them for its caller."""

    def error_response(self, error: errors.EntryError) -> errors.ErrorResponse:
        """Returns a response with the error in a header."""
        relay_error = RelayError(
            code=error.code,
            message=error.message,
            run=error.run,
            retry_after_s=error.retry_after_s,
        )
        return errors.ErrorResponse(
            status=error.status,
            headers=((ERROR_HEADER, codec.encode(relay_error).decode()),),
        )

    def error_event(self, error: errors.EntryError) -> bytes:
        """Returns no bytes; the sending VM sees that the stream is broken."""
        del error
        return b""


def error_of(headers: httputil.HTTPHeaders) -> RelayError | None:
    """Returns the error in a response, None for an endpoint's response.

    Args:
      headers: Headers of the response.

    Raises:
      codec.CodecError: The error can't be read.
    """
    text = headers.get(ERROR_HEADER)
    return None if text is None else codec.decode(RelayError, text)


def _signed(envelope: bytes, body: bytes) -> bytes:
    return envelope + b"\n" + body


def _known_code(code: str) -> errors.Code | messages.RefusalCode:
    for codes in (errors.Code, messages.RefusalCode):
        if code in list(codes):
            return codes(code)
    # A newer version may have codes of its own.
    return errors.Code.ENDPOINT_FAILED
