"""HTTP interface of a fake engine."""

import asyncio
import dataclasses
import time

from tornado import iostream

from cowsliprill import codec
from cowsliprill.decisions import model
from cowsliprill.engines import load_report
from cowsliprill.engines import model as engine_model
from cowsliprill.engines import prompt_blocks
from cowsliprill.engines import protocol
from cowsliprill.standins import engine as engine_lib
from cowsliprill.standins import engine_memory
from cowsliprill.standins import fault_injection
from cowsliprill.standins import http_server

# An export takes as long as the simulated KV cache takes on the link, but only
# this many bytes are sent in place of a real engine's hundreds of megabytes.
_EXPORT_CHUNKS = 16
_EXPORT_CHUNK_BYTES = 16_384
_FOREIGN_REQUEST_ID = "another.e0.x.1.0"
_CODE_CANCELLED = "cancelled"
_CODE_WRONG_ROLE = "wrong_role"
_Stage = engine_memory.RequestStage


def routes(engine: engine_lib.Engine) -> list[tuple]:
    """Returns the tornado routes of a fake engine."""
    handler_arguments = {"engine": engine}
    return [
        (protocol.COMPLETIONS_PATH, _CompletionHandler, handler_arguments),
        (protocol.CHAT_PATH, _CompletionHandler, handler_arguments),
        (protocol.KV_PATH + "(.+)", _ExportHandler, handler_arguments),
        (protocol.RESUME_PATH, _ResumeHandler, handler_arguments),
        (protocol.CANCEL_PATH, _CancelHandler, handler_arguments),
        (protocol.RUNNING_PATH, _RunningHandler, handler_arguments),
        (protocol.METRICS_PATH, _MetricsHandler, handler_arguments),
        (protocol.CACHE_EVENTS_PATH, _CacheEventsHandler, handler_arguments),
        (protocol.ORDERS_PATH, _OrdersHandler, handler_arguments),
        (
            http_server.FAULTS_PATH,
            http_server.FaultsHandler,
            {"faults": engine.faults},
        ),
        (http_server.USAGE_PATH, _UsageHandler, handler_arguments),
        (http_server.REQUEST_LOG_PATH, _RequestLogHandler, handler_arguments),
    ]


class _EngineHandler(http_server.Handler):
    def initialize(self, engine: engine_lib.Engine) -> None:
        self._engine = engine
        self._engine_state = engine.state

    async def stream_events(
        self,
        request: engine_memory.Request,
        after_token: int,
        faults: fault_injection.Faults,
    ) -> None:
        """Streams a request's events, then the end marker.

        Closes the connection without an end marker if the request ends before
        it is finished.

        Args:
          request: The request.
          after_token: Number of the last token not to send, 0 for all.
          faults: Faults to inject.
        """
        self.set_header("Content-Type", "text/event-stream")
        await self.flush()
        sender = _EventSender(self, faults)
        sent_tokens = after_token
        while not sender.is_closed:
            await request.wait_for_events(sent_tokens)
            if len(request.events) <= sent_tokens:
                break
            sent_tokens += 1
            await sender.send(request.events[sent_tokens - 1], sent_tokens)
        if sender.is_closed:
            return
        if request.stage is not _Stage.FINISHED:
            self.abort_connection()
            return
        if not faults.omit_end_marker:
            await sender.send(protocol.END_MARKER, None)
        if not sender.is_closed:
            self.finish()


class _EventSender:
    """Sends a stream's events and injects connection failures.

    Attributes:
      is_closed: Whether the connection is closed, by a fault or the client.
    """

    def __init__(
        self, handler: _EngineHandler, faults: fault_injection.Faults
    ) -> None:
        self._handler = handler
        self._faults = faults
        self._sent_bytes = 0
        self.is_closed = False

    async def send(self, event: bytes, token_number: int | None) -> None:
        """Sends one event.

        Args:
          event: The event as bytes.
          token_number: Number of the token, None for the end marker.
        """
        faults = self._faults
        cut_at_byte = faults.cut_at_byte
        if (
            cut_at_byte is not None
            and self._sent_bytes + len(event) > cut_at_byte
        ):
            event = event[: cut_at_byte - self._sent_bytes]
            self.is_closed = True
        self._handler.write(event)
        self._sent_bytes += len(event)
        try:
            await self._handler.flush()
        except iostream.StreamClosedError:
            # The client disconnected; the request runs until it is cancelled.
            self.is_closed = True
            return
        if token_number is not None and token_number == faults.cut_at_token:
            self.is_closed = True
        if self.is_closed:
            self._handler.abort_connection()


class _CompletionHandler(_EngineHandler):
    async def post(self) -> None:
        faults = self._engine.faults.take()
        body = self.json_body()
        request_id = self.request.headers.get(protocol.REQUEST_ID_HEADER, "")
        transfer = body.get("kv_transfer_params") or {}
        is_decode = bool(transfer.get("do_remote_prefill"))
        role = self._engine.order.target.role
        if faults.rate_limit:
            self.set_header(protocol.RATE_LIMIT_HEADER, faults.rate_limit)
        if faults.cut_before_run:
            self.abort_connection()
        elif not request_id:
            self.respond_error(400, "no_request_id")
        elif faults.refuse:
            await self.respond_refusal(faults)
        elif is_decode is not (role is model.EndpointKind.DECODE):
            self.respond_error(409, _CODE_WRONG_ROLE)
        elif self._engine_state.is_cancelled(request_id):
            self.respond_error(409, _CODE_CANCELLED)
        else:
            await self._admit(request_id, body, faults, is_decode)

    async def _admit(
        self,
        request_id: str,
        body: dict,
        faults: fault_injection.Faults,
        is_decode: bool,
    ) -> None:
        prompt = prompt_blocks.prompt_text(body)
        tokens = prompt_blocks.count_tokens(prompt)
        stage = _Stage.TRANSFER if is_decode else _Stage.PREFILL
        output_tokens = int(body.get("max_tokens", 0)) if is_decode else 0
        request = self._engine_state.admit(
            request_id, prompt, tokens + output_tokens, stage
        )
        if request is None:
            self.respond_error(429, protocol.CODE_FULL)
            return
        request.prompt_tokens = tokens
        if is_decode:
            await self._decode(request, body, faults)
        else:
            await self._prefill(request, body, faults)

    async def _prefill(
        self,
        request: engine_memory.Request,
        body: dict,
        faults: fault_injection.Faults,
    ) -> None:
        await self._engine.prefill(request, body, faults)
        await asyncio.sleep(faults.delay_s)
        if request.stage is _Stage.CANCELLED:
            self.respond_error(409, _CODE_CANCELLED, run="unknown")
            return
        host, port = self.request.host.split(":")
        self.finish(
            {
                "id": _FOREIGN_REQUEST_ID
                if faults.foreign_id
                else request.request_id,
                "kv_transfer_params": {
                    "remote_engine_id": self._engine.command.id,
                    "remote_host": host,
                    "remote_port": int(port),
                    "remote_handle": request.request_id,
                },
                "usage": {"prompt_tokens": request.prompt_tokens},
            }
        )

    async def _decode(
        self,
        request: engine_memory.Request,
        body: dict,
        faults: fault_injection.Faults,
    ) -> None:
        transfer = body["kv_transfer_params"]
        if not await self._engine.fetch_kv_cache(request, transfer):
            self.respond_error(410, protocol.CODE_EVICTED)
            return
        self._engine.start_decode(request, body, faults)
        await asyncio.sleep(faults.delay_s)
        if faults.foreign_id:
            self.set_header(protocol.REQUEST_ID_HEADER, _FOREIGN_REQUEST_ID)
        streamed_request = (
            self._other_request(request) if faults.swap else request
        )
        await self.stream_events(streamed_request, 0, faults)

    def _other_request(
        self, request: engine_memory.Request
    ) -> engine_memory.Request:
        other_requests = [
            other
            for other in self._engine_state.requests_by_id.values()
            if other is not request and other.events
        ]
        return other_requests[-1] if other_requests else request


class _ExportHandler(_EngineHandler):
    async def get(self, handle: str) -> None:
        faults = self._engine.faults.current
        request = self._engine_state.requests_by_id.get(handle)
        if request is None or request.stage is not _Stage.EXPORTED:
            self.respond_error(410, protocol.CODE_EVICTED)
            return
        size_bytes = (
            request.prompt_tokens * self._engine.command.kv_bytes_per_token
        )
        self.set_header("Content-Type", "application/octet-stream")
        for chunk_number in range(_EXPORT_CHUNKS):
            sent_bytes = chunk_number * _EXPORT_CHUNK_BYTES
            await self._engine.throttle_link(size_bytes / _EXPORT_CHUNKS)
            if faults.stall_export_at_byte is not None:
                await self._stall_export(
                    request, sent_bytes, faults.stall_export_at_byte
                )
            cut_at_byte = faults.cut_export_at_byte
            is_cut = cut_at_byte is not None and sent_bytes >= cut_at_byte
            if is_cut or request.stage is not _Stage.EXPORTED:
                self.abort_connection()
                return
            self.write(bytes(_EXPORT_CHUNK_BYTES))
            await self.flush()
        await request.set_stage(_Stage.FINISHED)
        self.finish()

    async def _stall_export(
        self,
        request: engine_memory.Request,
        sent_bytes: int,
        stall_at_byte: int,
    ) -> None:
        if sent_bytes < stall_at_byte:
            return
        await request.wait_until_left(_Stage.EXPORTED)


class _ResumeHandler(_EngineHandler):
    async def post(self) -> None:
        faults = self._engine.faults.take()
        fields = self.json_body()
        request = self._engine_state.requests_by_id.get(
            str(fields["request_id"])
        )
        after_token = int(fields["after_token"])
        is_resumable = request is not None and (
            request.holds_kv_blocks or request.stage is _Stage.FINISHED
        )
        if faults.cut_before_run:
            self.abort_connection()
        elif not is_resumable:
            self.respond_error(404, protocol.CODE_UNKNOWN_REQUEST)
        else:
            rewind = int(faults.repeat_token and after_token > 0)
            await self.stream_events(request, after_token - rewind, faults)


class _CancelHandler(_EngineHandler):
    async def post(self) -> None:
        faults = self._engine.faults.current
        request_id = str(self.json_body()["request_id"])
        match faults.cancel:
            case fault_injection.CancelFault.REFUSE:
                self._engine.faults.take()
                self.respond_error(503, "cancel_refused")
                return
            case fault_injection.CancelFault.LOSE:
                self._engine.faults.take()
                self.abort_connection()
                return
            case fault_injection.CancelFault.LATE:
                self._engine.faults.take()
                await asyncio.sleep(faults.cancel_delay_s)
        await self._engine_state.cancel(request_id)
        self.finish({"request_id": request_id, "held": False})


class _RunningHandler(_EngineHandler):
    def get(self) -> None:
        now = time.monotonic()
        requests = [
            {
                "request_id": request.request_id,
                "stage": request.stage,
                "age_s": now - request.arrived_at,
            }
            for request in self._engine_state.active_requests()
        ]
        self.finish({"requests": requests})


class _MetricsHandler(_EngineHandler):
    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(load_report.render(self._engine.report))


class _CacheEventsHandler(_EngineHandler):
    def get(self) -> None:
        faults = self._engine.faults.current
        events = self._engine_state.cache_events(
            int(self.get_query_argument("after", "0")),
            faults.cache_lag_s,
            faults.drop_cache_events,
        )
        self.finish({"events": [dataclasses.asdict(event) for event in events]})


class _OrdersHandler(_EngineHandler):
    def get(self) -> None:
        order = self._engine.order
        self.finish(protocol.order_body(order.fencing, order.target))

    def post(self) -> None:
        engine = self._engine
        fencing = int(self.json_body()[protocol.FENCING_FIELD])
        highest = engine.order.fencing
        is_checked = (
            engine.command.checks_fencing
            and not engine.faults.current.ignore_fencing
        )
        if is_checked and fencing < highest:
            self.respond_error(
                409, protocol.CODE_STALE_FENCING, highest=highest
            )
            return
        try:
            target = codec.decode(model.EngineTarget, self.request.body)
        except codec.CodecError as error:
            self.respond_error(400, error.code)
            return
        engine.order = engine_model.EngineOrder(fencing=fencing, target=target)
        self.get()


class _UsageHandler(_EngineHandler):
    def get(self) -> None:
        exported = [
            request
            for request in self._engine_state.active_requests()
            if request.stage is _Stage.EXPORTED
        ]
        self.finish(
            {
                "slots": self._engine_state.used_slots(),
                "kv_blocks": self._engine_state.used_blocks(),
                "exports": len(exported),
            }
        )


class _RequestLogHandler(_EngineHandler):
    def get(self) -> None:
        entries = [
            {
                "request_id": request.request_id,
                "runs": request.executions,
                "stage": request.stage,
                "tokens": len(request.events),
            }
            for request in self._engine_state.requests_by_id.values()
        ]
        self.finish({"requests": entries})
