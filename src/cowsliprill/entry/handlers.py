"""tornado request handlers of the public port and of the peer port."""

import asyncio
import json
from collections.abc import Awaitable

from tornado import httputil
from tornado import web

from cowsliprill import peer_auth
from cowsliprill.decisions import identity
from cowsliprill.entry import caller_stream
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import relayed_call
from cowsliprill.entry import response_writer as response_writer_lib
from cowsliprill.entry import ticket_forwarding

# A body above the limit is read and discarded up to this multiple of the limit,
# so that its sender may reuse the connection; above, the connection is closed
# after the 413.
_MAX_DISCARDED_BODY_RATIO = 4

# The signature, and headers that HTTP clients add.
_MAX_RELAY_HEADER_BYTES = 1_024


@web.stream_request_body
class CallHandler(web.RequestHandler):
    """Reads one request and runs the filter chain of its path."""

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    def initialize(self, gate: gate_lib.Gate, handle: context.Handler) -> None:
        """Sets up the handler.

        Args:
          gate: Request gate of the process.
          handle: Filter chain of this path.
        """
        # tornado must not finish an aborted response: its receiver would take
        # the truncated response for a complete one.
        self._auto_finish = False
        self._gate = gate
        self._handle = handle
        # A body that its sender was allowed to begin stays allowed, whatever
        # the settings become while it is received.
        self._limits = gate.limits
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._buffered_bytes = 0
        self._rejection: errors.EntryError | None = None
        self._ctx: context.Context | None = None
        self._task: asyncio.Task | None = None

    def set_default_headers(self) -> None:
        """Asks callers to reconnect to another process during shutdown."""
        self.clear_header("Server")
        gate = getattr(self, "_gate", None)
        if gate is not None and gate.draining:
            self.set_header("Connection", "close")

    def compute_etag(self) -> None:
        """Returns no ETag, because responses are passed on unchanged."""

    async def prepare(self) -> None:
        """Checks the sizes that are known before the body is received."""
        self._rejection = self._gate.check_accepting()
        headers = self.request.headers
        size = sum(len(name) + len(value) for name, value in headers.get_all())
        limit = self._limits.header_bytes
        if size + len(self.request.uri or "") > limit + self._envelope_bytes:
            self._rejection = self._rejection or errors.EntryError(
                errors.Code.HEADERS_TOO_LARGE,
                f"The headers have over {limit} bytes.",
            )
        length = headers.get("Content-Length", "0")
        if length.isdigit():
            self._rejection = self._rejection or self._check_size(int(length))
            if int(length) > self._max_discarded_bytes:
                await self._serve()
        if self._task is None:
            self._gate.uploads.add(self._refuse_upload)

    @property
    def _envelope_bytes(self) -> int:
        """Bytes of headers that a peer may add to those of the caller."""
        return 0

    @property
    def _max_discarded_bytes(self) -> int:
        return self._limits.body_bytes * _MAX_DISCARDED_BODY_RATIO

    def _check_size(self, size: int) -> errors.EntryError | None:
        return self._gate.check_body_size(size, self._limits)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffers a chunk of the body, unless the request is refused."""
        self._received_bytes += len(chunk)
        self._rejection = self._rejection or self._check_size(len(chunk))
        if self._received_bytes > self._limits.body_bytes:
            self._rejection = self._check_size(self._received_bytes)
        if self._rejection is None:
            self._chunks.append(chunk)
            self._buffered_bytes += len(chunk)
            self._gate.buffered_bytes += len(chunk)
        if self._received_bytes <= self._max_discarded_bytes or self._task:
            return None
        return self._serve()

    async def get(self, *_: str) -> None:
        """Serves the request."""
        await self._serve()

    head = post = put = patch = delete = options = get

    def finish(
        self, chunk: str | bytes | dict | None = None
    ) -> asyncio.Future[None]:
        """Finishes the response."""
        stream = self.request.connection.stream
        if isinstance(stream, caller_stream.CallerStream):
            stream.answered = True
        return super().finish(chunk)

    def on_connection_close(self) -> None:
        """Cancels the request of a caller that has disconnected."""
        super().on_connection_close()
        if self._task is None:
            # The caller disconnected during its upload. Bytes that stayed
            # counted would add up until every request is refused as overload.
            self._release_body()
            self._gate.uploads.discard(self._refuse_upload)
        elif not self._ctx.continues_after_disconnect:
            gate_lib.cancel(self._task)

    def call(self, body: bytes) -> context.Call:
        """Returns the request as the caller sent it."""
        return context.Call(
            method=self.request.method or "",
            path=self.request.path,
            query=self.request.query,
            headers=self.request.headers,
            body=body,
            rejection=self._rejection,
            uri=self.request.uri or "",
        )

    async def _serve(self) -> None:
        if self._task is None:
            self._start()
        try:
            await asyncio.wait([self._task])
        finally:
            self._release_body()
        if not self._finished and not self.request.connection.stream.closed():
            # The error that ended the request couldn't be sent.
            self.send_error()

    def _start(self) -> None:
        self._gate.uploads.discard(self._refuse_upload)
        body = b"".join(self._chunks)
        # The body stays counted until the request ends, but is held once.
        self._chunks.clear()
        response_writer = response_writer_lib.HttpResponseWriter(self)
        self._ctx = self._gate.create_context(self.call(body), response_writer)
        response_writer.request_id = self._ctx.request_id
        self._task = self._gate.run(self._handle, self._ctx)

    def _refuse_upload(self) -> None:
        """Refuses a request that the process can't wait for."""
        self._rejection = errors.leaving()
        self._start()
        self._release_body()

    def _release_body(self) -> None:
        self._chunks.clear()
        self._gate.buffered_bytes -= self._buffered_bytes
        self._buffered_bytes = 0

    def send_error(self, status_code: int = 500, **kwargs: object) -> None:
        """Aborts a response that has begun; otherwise sends an error.

        tornado would properly finish a response that has begun, also when the
        handler is cancelled because the process ends. The caller would take
        the truncated response for a complete one.
        """
        if self._headers_written:
            self.request.connection.stream.close()
            return
        super().send_error(status_code, **kwargs)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Sends errors of tornado itself in the JSON form of all errors."""
        del kwargs
        self.set_status(status_code)
        error = errors.from_status(status_code)
        for name, value in error.headers().items():
            self.set_header(name, value)
        self.finish(error.body())


class ForwardHandler(CallHandler):
    """`POST /v1/forward`: a request whose ticket this incarnation issued.

    The peer isn't trusted beyond forwarding: the request carries its caller's
    API key and passes the same filters as a request sent here directly.
    """

    def initialize(
        self,
        gate: gate_lib.Gate,
        handles_by_prefix: list[tuple[str, context.Handler]],
        auth: peer_auth.PeerAuth,
    ) -> None:
        """Sets up the handler.

        Args:
          gate: Request gate of the process.
          handles_by_prefix: Filter chains by path prefix; the first match wins.
          auth: Verifies the signatures of peers.
        """
        super().initialize(gate, _not_found)
        self._auth = auth
        self._handles_by_prefix = handles_by_prefix

    def call(self, body: bytes) -> context.Call:
        """Returns the caller's request that the peer has forwarded."""
        headers = httputil.HTTPHeaders(self.request.headers)
        method = headers.pop(ticket_forwarding.METHOD_HEADER, "")
        target = headers.pop(ticket_forwarding.TARGET_HEADER, "")
        owner = headers.pop(ticket_forwarding.OWNER_INCARNATION_HEADER, "")
        signature = headers.pop(peer_auth.HEADER, None)
        path, _, query = target.partition("?")
        for prefix, handle in self._handles_by_prefix:
            if path.startswith(prefix):
                self._handle = handle
                break
        return context.Call(
            method=method,
            path=path,
            query=query,
            headers=headers,
            body=body,
            rejection=self._rejection
            or self._check_peer(body, signature)
            or self._check_owner(owner),
            forwarded=True,
        )

    def _check_peer(
        self, body: bytes, signature: str | None
    ) -> errors.EntryError | None:
        if self._auth.verify(body, signature):
            return None
        return errors.EntryError(
            errors.Code.NOT_A_PEER,
            "Only peers may pass requests on.",
        )

    def _check_owner(self, owner: str) -> errors.EntryError | None:
        if owner == str(self._gate.incarnation):
            return None
        return ticket_forwarding.owner_ended_error()


class RelayHandler(CallHandler):
    """`POST /v1/relay`: a request of a VM that can't reach the endpoints.

    The request carries its caller's API key and passes the same filters as a
    request sent here directly, except those that the sending VM has applied
    for all VMs.
    """

    def initialize(
        self,
        gate: gate_lib.Gate,
        handle: context.Handler,
        auth: peer_auth.PeerAuth,
    ) -> None:
        """Sets up the handler.

        Args:
          gate: Request gate of the process.
          handle: Filter chain of relayed requests.
          auth: Verifies the signatures of peers.
        """
        super().initialize(gate, handle)
        self._auth = auth

    def set_default_headers(self) -> None:
        """Marks each response as one of this interface."""
        super().set_default_headers()
        self.set_header(relayed_call.VERSION_HEADER, relayed_call.VERSION)

    @property
    def _envelope_bytes(self) -> int:
        envelope = self.request.headers.get(relayed_call.ENVELOPE_HEADER, "")
        return len(envelope) + _MAX_RELAY_HEADER_BYTES

    def call(self, body: bytes) -> context.Call:
        """Returns the caller's request that the peer relays."""
        # The body of a rejected request isn't kept, so that its signature
        # can't be verified.
        if self._rejection is not None:
            return _rejected_call(self._rejection)
        try:
            envelope, headers = relayed_call.decode(
                self.request.headers, body, self._auth
            )
        except errors.EntryError as error:
            return _rejected_call(error)
        path, _, query = envelope.uri.partition("?")
        return context.Call(
            method=envelope.method,
            path=path,
            query=query,
            headers=headers,
            body=body,
            uri=envelope.uri,
            envelope=envelope,
        )

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Sends errors of tornado itself in the form of relayed errors."""
        del kwargs
        self.set_status(status_code)
        response = relayed_call.ErrorFormatter().error_response(
            errors.from_status(status_code)
        )
        for name, value in response.headers:
            self.set_header(name, value)
        self.finish()


def _rejected_call(rejection: errors.EntryError) -> context.Call:
    return context.Call(
        method="",
        path="",
        query="",
        headers=httputil.HTTPHeaders(),
        body=b"",
        rejection=rejection,
    )


async def _not_found(ctx: context.Context) -> None:
    raise errors.EntryError(
        errors.Code.PATH_NOT_FOUND, f"There is nothing at {ctx.call.path}."
    )


class IncarnationHandler(web.RequestHandler):
    """`GET /v1/incarnation`: the identity of this process since its start."""

    def initialize(self, incarnation: identity.Incarnation) -> None:
        """Sets up the handler.

        Args:
          incarnation: Identity of this process since its start.
        """
        self._incarnation = incarnation

    def get(self) -> None:
        """Sends the incarnation of this process."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps({"incarnation": str(self._incarnation)}))
