"""The HTTP interface of an engine's stand-in."""

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
from cowsliprill.standins import misbehaviour as misbehaviour_lib
from cowsliprill.standins import shell

# An export takes the time that its whole size takes on the link, but a real
# engine's hundreds of megabytes aren't sent for it.
_EXPORT_CHUNKS = 16
_EXPORT_CHUNK_BYTES = 16_384
_OTHER_ID = "another.e0.x.1.0"
_CODE_CANCELLED = "cancelled"
_CODE_WRONG_ROLE = "wrong_role"
_Stage = engine_memory.RequestStage


def routes(engine: engine_lib.Engine) -> list[tuple]:
    """Returns the tornado routes of an engine."""
    own = {"engine": engine}
    return [
        (protocol.COMPLETIONS_PATH, _CompletionHandler, own),
        (protocol.CHAT_PATH, _CompletionHandler, own),
        (protocol.KV_PATH + "(.+)", _ExportHandler, own),
        (protocol.RESUME_PATH, _ResumeHandler, own),
        (protocol.CANCEL_PATH, _CancelHandler, own),
        (protocol.RUNNING_PATH, _RunningHandler, own),
        (protocol.METRICS_PATH, _MetricsHandler, own),
        (protocol.CACHE_EVENTS_PATH, _CacheEventsHandler, own),
        (protocol.ORDERS_PATH, _OrdersHandler, own),
        (
            shell.MISBEHAVE_PATH,
            shell.MisbehaveHandler,
            {"conduct": engine.conduct},
        ),
        (shell.HELD_PATH, _HeldHandler, own),
        (shell.JOURNAL_PATH, _JournalHandler, own),
    ]


class _EngineHandler(shell.Handler):
    def initialize(self, engine: engine_lib.Engine) -> None:
        self._engine = engine
        self._memory = engine.memory

    async def stream(
        self,
        request: engine_memory.Request,
        after: int,
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> None:
        """Streams a request's events from a token on."""
        self.set_header("Content-Type", "text/event-stream")
        await self.flush()
        cutter = _Cutter(self, conduct)
        sent = after
        while not cutter.is_cut:
            await request.grown_beyond(sent)
            if len(request.events) <= sent:
                break
            sent += 1
            await cutter.send(request.events[sent - 1], sent)
        if cutter.is_cut:
            return
        if request.stage is not _Stage.FINISHED:
            self.cut()
            return
        if not conduct.omit_end_marker:
            await cutter.send(protocol.END_MARKER, None)
        if not cutter.is_cut:
            self.finish()


class _Cutter:
    """Sends a stream's events and cuts the connection where told."""

    def __init__(
        self, handler: _EngineHandler, conduct: misbehaviour_lib.Misbehaviour
    ) -> None:
        self._handler = handler
        self._conduct = conduct
        self._sent = 0
        self.is_cut = False

    async def send(self, event: bytes, number: int | None) -> None:
        """Sends one event.

        Args:
          event: Its bytes.
          number: The token's number, None for the end marker.
        """
        conduct = self._conduct
        end = conduct.cut_at_byte
        if end is not None and self._sent + len(event) > end:
            event = event[: end - self._sent]
            self.is_cut = True
        self._handler.write(event)
        self._sent += len(event)
        try:
            await self._handler.flush()
        except iostream.StreamClosedError:
            # The reader is gone; the request goes on until it is cancelled.
            self.is_cut = True
            return
        if number is not None and number == conduct.cut_at_token:
            self.is_cut = True
        if self.is_cut:
            self._handler.cut()


class _CompletionHandler(_EngineHandler):
    async def post(self) -> None:
        conduct = self._engine.conduct.take()
        body = self.fields()
        request_id = self.request.headers.get(protocol.REQUEST_ID_HEADER, "")
        transfer = body.get("kv_transfer_params") or {}
        wants_decode = bool(transfer.get("do_remote_prefill"))
        role = self._engine.order.target.role
        if conduct.cut_before_run:
            self.cut()
        elif not request_id:
            self.fail(400, "no_request_id")
        elif conduct.refuse:
            await self.refuse(conduct)
        elif wants_decode is not (role is model.EndpointKind.DECODE):
            self.fail(409, _CODE_WRONG_ROLE)
        elif self._memory.is_cancelled(request_id):
            self.fail(409, _CODE_CANCELLED)
        else:
            await self._admit(request_id, body, conduct, wants_decode)

    async def _admit(
        self,
        request_id: str,
        body: dict,
        conduct: misbehaviour_lib.Misbehaviour,
        wants_decode: bool,
    ) -> None:
        text = prompt_blocks.prompt_text(body)
        tokens = prompt_blocks.count_tokens(text)
        stage = _Stage.TRANSFER if wants_decode else _Stage.PREFILL
        answer_tokens = int(body.get("max_tokens", 0)) if wants_decode else 0
        request = self._memory.admit(
            request_id, text, tokens + answer_tokens, stage
        )
        if request is None:
            self.fail(429, protocol.CODE_FULL)
            return
        request.prompt_tokens = tokens
        if wants_decode:
            await self._decode(request, body, conduct)
        else:
            await self._prefill(request, body, conduct)

    async def _prefill(
        self,
        request: engine_memory.Request,
        body: dict,
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> None:
        await self._engine.prefill(request, body, conduct)
        await asyncio.sleep(conduct.delay_s)
        if request.stage is _Stage.CANCELLED:
            self.fail(409, _CODE_CANCELLED, run="unknown")
            return
        host, port = self.request.host.split(":")
        self.finish(
            {
                "id": _OTHER_ID if conduct.foreign_id else request.request_id,
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
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> None:
        transfer = body["kv_transfer_params"]
        if not await self._engine.fetch(request, transfer):
            self.fail(410, protocol.CODE_EVICTED)
            return
        self._engine.generate(request, body, conduct)
        await asyncio.sleep(conduct.delay_s)
        if conduct.foreign_id:
            self.set_header(protocol.REQUEST_ID_HEADER, _OTHER_ID)
        shown = self._other(request) if conduct.swap else request
        await self.stream(shown, 0, conduct)

    def _other(self, request: engine_memory.Request) -> engine_memory.Request:
        others = [
            other
            for other in self._memory.requests_by_id.values()
            if other is not request and other.events
        ]
        return others[-1] if others else request


class _ExportHandler(_EngineHandler):
    async def get(self, handle: str) -> None:
        conduct = self._engine.conduct.current
        request = self._memory.requests_by_id.get(handle)
        if request is None or request.stage is not _Stage.EXPORTED:
            self.fail(410, protocol.CODE_EVICTED)
            return
        size = request.prompt_tokens * self._engine.command.kv_bytes_per_token
        self.set_header("Content-Type", "application/octet-stream")
        for number in range(_EXPORT_CHUNKS):
            sent = number * _EXPORT_CHUNK_BYTES
            await self._engine.pace_link(size / _EXPORT_CHUNKS)
            if conduct.stall_export_at_byte is not None:
                await self._stall(request, sent, conduct.stall_export_at_byte)
            cut_at = conduct.cut_export_at_byte
            lost = cut_at is not None and sent >= cut_at
            if lost or request.stage is not _Stage.EXPORTED:
                self.cut()
                return
            self.write(bytes(_EXPORT_CHUNK_BYTES))
            await self.flush()
        await request.move(_Stage.FINISHED)
        self.finish()

    async def _stall(
        self, request: engine_memory.Request, sent: int, at_byte: int
    ) -> None:
        if sent < at_byte:
            return
        await request.left(_Stage.EXPORTED)


class _ResumeHandler(_EngineHandler):
    async def post(self) -> None:
        conduct = self._engine.conduct.take()
        fields = self.fields()
        request = self._memory.requests_by_id.get(str(fields["request_id"]))
        after = int(fields["after_token"])
        known = request is not None and (
            request.holds_memory or request.stage is _Stage.FINISHED
        )
        if conduct.cut_before_run:
            self.cut()
        elif not known:
            self.fail(404, protocol.CODE_UNKNOWN_REQUEST)
        else:
            early = int(conduct.repeat_token and after > 0)
            await self.stream(request, after - early, conduct)


class _CancelHandler(_EngineHandler):
    async def post(self) -> None:
        conduct = self._engine.conduct.current
        request_id = str(self.fields()["request_id"])
        match conduct.cancel:
            case misbehaviour_lib.CancelFault.REFUSE:
                self._engine.conduct.take()
                self.fail(503, "cancel_refused")
                return
            case misbehaviour_lib.CancelFault.LOSE:
                self._engine.conduct.take()
                self.cut()
                return
            case misbehaviour_lib.CancelFault.LATE:
                self._engine.conduct.take()
                await asyncio.sleep(conduct.cancel_delay_s)
        await self._memory.cancel(request_id)
        self.finish({"request_id": request_id, "held": False})


class _RunningHandler(_EngineHandler):
    def get(self) -> None:
        now = time.monotonic()
        requests = [
            {
                "request_id": request.request_id,
                "stage": request.stage,
                "age_s": now - request.came_at,
            }
            for request in self._memory.held_requests()
        ]
        self.finish({"requests": requests})


class _MetricsHandler(_EngineHandler):
    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(load_report.render(self._engine.report))


class _CacheEventsHandler(_EngineHandler):
    def get(self) -> None:
        conduct = self._engine.conduct.current
        events = self._memory.cache_events(
            int(self.get_query_argument("after", "0")),
            conduct.cache_lag_s,
            conduct.drop_cache_events,
        )
        self.finish({"events": [dataclasses.asdict(event) for event in events]})


class _OrdersHandler(_EngineHandler):
    def get(self) -> None:
        order = self._engine.order
        self.finish(protocol.order_body(order.fencing, order.target))

    def post(self) -> None:
        engine = self._engine
        fencing = int(self.fields()[protocol.FENCING_FIELD])
        highest = engine.order.fencing
        checks = (
            engine.command.checks_fencing
            and not engine.conduct.current.ignore_fencing
        )
        if checks and fencing < highest:
            self.fail(409, protocol.CODE_STALE_FENCING, highest=highest)
            return
        try:
            target = codec.decode(model.EngineTarget, self.request.body)
        except codec.CodecError as error:
            self.fail(400, error.code)
            return
        engine.order = engine_model.EngineOrder(fencing=fencing, target=target)
        self.get()


class _HeldHandler(_EngineHandler):
    def get(self) -> None:
        exports = [
            request
            for request in self._memory.held_requests()
            if request.stage is _Stage.EXPORTED
        ]
        self.finish(
            {
                "slots": self._memory.used_slots(),
                "kv_blocks": self._memory.used_blocks(),
                "exports": len(exports),
            }
        )


class _JournalHandler(_EngineHandler):
    def get(self) -> None:
        entries = [
            {
                "request_id": request.request_id,
                "runs": request.runs,
                "stage": request.stage,
                "tokens": len(request.events),
            }
            for request in self._memory.requests_by_id.values()
        ]
        self.finish({"requests": entries})
