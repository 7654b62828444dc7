"""tornado handlers of the callers' interface and of the peers'."""

import asyncio
import json

from tornado import httputil
from tornado import web

from cowsliprill import peer_auth
from cowsliprill.decisions import identity
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import response_writer as response_writer_lib
from cowsliprill.entry import ticket_forwarding

# A body beyond the limit is read and dropped up to so many times the limit, so
# that its sender gets to read the 413; beyond, the connection is closed.
_DROPPED_BODIES = 4


@web.stream_request_body
class CallHandler(web.RequestHandler):
    """Reads one call and passes it to its filters."""

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    def initialize(self, gate: gate_lib.Gate, handle: context.Handle) -> None:
        """Keeps what the handler needs.

        Args:
          gate: Where calls enter.
          handle: The filters of this path.
        """
        # An answer that was broken off must not be ended by tornado: its
        # receiver would take it for whole.
        self._auto_finish = False
        self._gate = gate
        self._handle = handle
        self._chunks: list[bytes] = []
        self._size = 0
        self._held = 0
        self._fault: errors.EntryError | None = None
        self._ctx: context.Context | None = None
        self._task: asyncio.Task | None = None

    def set_default_headers(self) -> None:
        """Asks callers to come by another process when this one leaves."""
        self.clear_header("Server")
        gate = getattr(self, "_gate", None)
        if gate is not None and gate.draining:
            self.set_header("Connection", "close")

    def compute_etag(self) -> None:
        """Computes none: answers are passed on as they are."""

    async def prepare(self) -> None:
        """Checks the sizes that are known before the body comes."""
        self._fault = self._gate.check_open()
        headers = self.request.headers
        size = sum(len(name) + len(value) for name, value in headers.get_all())
        limit = self._gate.limits.header_bytes
        if size + len(self.request.uri or "") > limit:
            self._fault = self._fault or errors.EntryError(
                errors.Code.HEADERS_TOO_LARGE,
                f"The headers have over {limit} bytes.",
            )
        length = headers.get("Content-Length", "0")
        if length.isdigit():
            self._fault = self._fault or self._gate.check_room(int(length))
            if int(length) > self._max_dropped_bytes:
                await self._serve()

    @property
    def _max_dropped_bytes(self) -> int:
        return self._gate.limits.body_bytes * _DROPPED_BODIES

    def data_received(self, chunk: bytes) -> None:
        """Takes a part of the body."""
        self._size += len(chunk)
        if self._size > self._max_dropped_bytes:
            self.request.connection.stream.close()
        self._fault = self._fault or self._gate.check_room(len(chunk))
        if self._size > self._gate.limits.body_bytes:
            self._fault = self._gate.check_room(self._size)
        if self._fault is None:
            self._chunks.append(chunk)
            self._held += len(chunk)
            self._gate.buffered_bytes += len(chunk)

    async def get(self, *_: str) -> None:
        """Serves the call."""
        await self._serve()

    head = post = put = patch = delete = options = get

    def on_connection_close(self) -> None:
        """Ends the request of a caller that is gone."""
        if self._task is None:
            # It left amid its upload. Bytes that stayed counted would add up
            # until every call is refused as one too many.
            self._release_body()
        elif not self._ctx.survives_caller:
            self._task.cancel()

    def call(self, body: bytes) -> context.Call:
        """Returns the caller's call."""
        return context.Call(
            method=self.request.method or "",
            path=self.request.path,
            query=self.request.query,
            headers=self.request.headers,
            body=body,
            fault=self._fault,
            uri=self.request.uri or "",
        )

    async def _serve(self) -> None:
        body = b"".join(self._chunks)
        response_writer = response_writer_lib.HttpResponseWriter(self)
        self._ctx = self._gate.open(self.call(body), response_writer)
        response_writer.request_id = self._ctx.request_id
        self._task = self._gate.run(self._handle, self._ctx)
        try:
            await asyncio.wait([self._task])
        finally:
            self._release_body()

    def _release_body(self) -> None:
        self._chunks.clear()
        self._gate.buffered_bytes -= self._held
        self._held = 0

    def send_error(self, status_code: int = 500, **kwargs: object) -> None:
        """Cuts an answer that has begun; else answers with an error.

        tornado would end a begun answer in good order, also when it is
        cancelled as the process ends. Its caller would take it for whole.
        """
        if self._headers_written:
            self.request.connection.stream.close()
            return
        super().send_error(status_code, **kwargs)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answers what tornado itself refuses in the same JSON shape."""
        del kwargs
        self.set_status(status_code)
        error = errors.of_status(status_code)
        for name, value in error.headers().items():
            self.set_header(name, value)
        self.finish(error.body())


class ForwardHandler(CallHandler):
    """`POST /v1/forward`: a call whose ticket names this incarnation.

    The peer is trusted with nothing: the call carries its caller's API key and
    passes the same filters as if it had come here at first.
    """

    def initialize(
        self,
        gate: gate_lib.Gate,
        handles_by_prefix: list[tuple[str, context.Handle]],
        auth: peer_auth.PeerAuth,
    ) -> None:
        """Keeps what the handler needs.

        Args:
          gate: Where calls enter.
          handles_by_prefix: Filters by the beginning of the path.
          auth: Tells peers from strangers.
        """
        super().initialize(gate, _not_found)
        self._auth = auth
        self._handles_by_prefix = handles_by_prefix

    def call(self, body: bytes) -> context.Call:
        """Returns the call that the peer has passed on."""
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
            fault=self._fault
            or self._check_peer(body, signature)
            or self._check_owner(owner),
            forwarded=True,
        )

    def _check_peer(
        self, body: bytes, signature: str | None
    ) -> errors.EntryError | None:
        if self._auth.accepts(body, signature):
            return None
        return errors.EntryError(
            errors.Code.NOT_A_PEER, "Only peers may pass requests on."
        )

    def _check_owner(self, owner: str) -> errors.EntryError | None:
        if owner == str(self._gate.incarnation):
            return None
        return ticket_forwarding.owner_ended_error()


async def _not_found(ctx: context.Context) -> None:
    raise errors.EntryError(
        errors.Code.PATH_NOT_FOUND, f"There is nothing at {ctx.call.path}."
    )


class IncarnationHandler(web.RequestHandler):
    """`GET /v1/incarnation`."""

    def initialize(self, incarnation: identity.Incarnation) -> None:
        """Keeps what the handler needs.

        Args:
          incarnation: This process.
        """
        self._incarnation = incarnation

    def get(self) -> None:
        """Answers with this process's incarnation."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps({"incarnation": str(self._incarnation)}))
