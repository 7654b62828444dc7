"""One attempt at a model request: prefill, transfer, decode, relay."""

import dataclasses
from collections.abc import Callable
from typing import Any

from cowsliprill import clock
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import engine_client
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import model as engine_model
from cowsliprill.engines import prefix
from cowsliprill.engines import protocol
from cowsliprill.engines import token_stream
from cowsliprill.entry import attempts
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import leases as leases_lib
from cowsliprill.entry import scheduling as scheduling_lib
from cowsliprill.entry import sinks
from cowsliprill.entry import stream_resume
from cowsliprill.entry import world as world_lib

ReportLeaving = Callable[[str, float], None]

# How often the scheduler hears of a stream's pace.
_REPORT_S = 1.0
_LEAVING_TTL_S = 60.0
# A prefill that takes this much longer than its engine's speed tells has
# stalled; waiting on would keep the promised decode slot idle.
_PREFILL_PATIENCE = 4.0
_PREFILL_GRACE_S = 2.0
_BUSY = frozenset({protocol.CODE_FULL, protocol.CODE_DRAINING})
# No engine would take this request, so trying another wastes its time.
_CODES_OF_CALLERS_FAULTS = frozenset({"bad_request", "invalid_request"})


@dataclasses.dataclass(slots=True)
class ModelRelay:
    """Runs attempts at model requests.

    Attributes:
      incarnation: This process, named in attempt ids.
      client: Client of engines.
      scheduling: The scheduler's task; told of each stage.
      leases: Asked right before work is placed on an engine.
      world: The settings in force.
      resumer: Goes on with broken streams.
      report_leaving: Told of an engine's draining answer.
    """

    incarnation: identity.Incarnation
    client: engine_client.EngineClient
    scheduling: scheduling_lib.Scheduling
    leases: leases_lib.Leases
    world: world_lib.World
    resumer: stream_resume.Resumer
    report_leaving: ReportLeaving

    async def __call__(self, ctx: context.Context) -> None:
        """Runs the attempt of `ctx.start` and answers the caller.

        Raises:
          attempts.AttemptLost: Nothing reached the caller.
          errors.EntryError: The request has ended without a whole answer.
        """
        start = ctx.start
        number, attempt = start.request_id, start.attempt
        request_id = str(identity.AttemptId(self.incarnation, number, attempt))
        prefilled = await self._prefill(ctx, request_id)
        self.scheduling.post(messages.PrefillFinished(number))
        stream = await self._decode(ctx, request_id, prefilled)
        try:
            await self._deliver(ctx, stream)
        finally:
            stream.close()

    async def _prefill(
        self, ctx: context.Context, request_id: str
    ) -> engine_model.PrefillResult:
        stage = messages.Stage.PREFILL
        endpoint = self._endpoint(ctx.start.prefill_id, stage)
        self._check_lease(ctx.start, ctx.start.decode_id, stage)
        self._check_lease(ctx.start, endpoint.id, stage)
        ctx.progress.prefills += 1
        with self._call(ctx, endpoint, stage) as call:
            call.result = await self.client.prefill(
                endpoint,
                request_id,
                _body(ctx),
                path=ctx.generation.path,
                timeout_s=_prefill_timeout(ctx, endpoint),
            )
        return call.result

    async def _decode(
        self,
        ctx: context.Context,
        request_id: str,
        prefilled: engine_model.PrefillResult,
    ) -> token_stream.TokenStream:
        stage = messages.Stage.TRANSFER
        endpoint = self._endpoint(ctx.start.decode_id, stage)
        self._check_lease(ctx.start, endpoint.id, stage)
        with self._call(ctx, endpoint, stage) as call:
            call.result = await self.client.decode(
                endpoint,
                request_id,
                _body(ctx),
                prefilled,
                path=ctx.generation.path,
                timeout_s=ctx.service.timeout_s,
            )
        return call.result

    async def _deliver(
        self, ctx: context.Context, stream: token_stream.TokenStream
    ) -> None:
        endpoint = self._endpoint(ctx.start.decode_id, messages.Stage.DECODE)
        sink = sinks.sink_for(ctx)
        while True:
            try:
                await self._relay(ctx, stream, sink)
                return
            except engine_errors.StreamBroken as broken:
                if await self.resumer.resume(ctx, endpoint, stream, broken):
                    continue
                if ctx.progress.first_token_at:
                    # The scheduler starts nothing anew once a token was there.
                    raise errors.EntryError(
                        errors.Code.STREAM_BROKEN,
                        "The stream broke and couldn't be resumed.",
                        run=messages.Run.UNKNOWN,
                    ) from broken
                raise attempts.AttemptLost(
                    endpoint.id, messages.Stage.DECODE, str(broken)
                ) from broken

    async def _relay(
        self,
        ctx: context.Context,
        stream: token_stream.TokenStream,
        sink: sinks.Sink,
    ) -> None:
        progress = ctx.progress
        reported_at = clock.now()
        async for events in stream:
            now = clock.now()
            progress.last_token_at = now
            progress.tokens = stream.checker.last_token
            if not progress.first_token_at:
                progress.first_token_at = now
                progress.prefills_used += 1
                self.scheduling.post(messages.FirstToken(ctx.number))
            elif now - reported_at > _REPORT_S:
                reported_at = now
                self.scheduling.post(
                    messages.Progress(ctx.number, progress.tokens)
                )
            await sink.take(events)
        await sink.end()

    def _endpoint(
        self, endpoint_id: str, stage: messages.Stage
    ) -> model.Endpoint:
        endpoint = self.world.snapshot.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            raise attempts.AttemptLost(
                endpoint_id, stage, "the settings no longer name it"
            )
        return endpoint

    def _check_lease(
        self, start: messages.Start, endpoint_id: str, stage: messages.Stage
    ) -> None:
        now = clock.now()
        if not self.leases.allow(endpoint_id, start.decided_at, now):
            raise attempts.AttemptLost(
                endpoint_id,
                stage,
                "its lease has run out",
                refused=True,
                unsent=stage is messages.Stage.PREFILL,
            )

    def _call(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stage: messages.Stage,
    ) -> "_EngineCall":
        return _EngineCall(ctx, endpoint, stage, self.report_leaving)


class _EngineCall:
    """Turns what goes wrong in one call into what becomes of the attempt.

    Attributes:
      result: What the call returned.
    """

    def __init__(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stage: messages.Stage,
        report_leaving: ReportLeaving,
    ) -> None:
        self._ctx = ctx
        self._endpoint = endpoint
        self._stage = stage
        self._report_leaving = report_leaving
        self._run_before = ctx.progress.run
        self.result: Any = None

    def __enter__(self) -> "_EngineCall":
        # Said before the call: when the caller leaves amid it, nobody comes
        # back here to find out how far it got.
        self._ctx.progress.run = messages.Run.UNKNOWN
        return self

    def __exit__(self, kind, error, traceback) -> None:
        del kind, traceback
        if not isinstance(error, engine_errors.CallError):
            return
        if error.run is messages.Run.NO:
            self._take_back()
        refused = isinstance(error, engine_errors.EngineRefused)
        if refused and error.code == protocol.CODE_DRAINING:
            self._report_leaving(self._endpoint.id, _LEAVING_TTL_S)
        if refused and error.code in _CODES_OF_CALLERS_FAULTS:
            raise errors.EntryError(
                errors.Code.ENDPOINT_REFUSED,
                f"The engine refused it: {error.message}",
                run=self._ctx.progress.run,
            ) from error
        raise attempts.AttemptLost(
            self._endpoint.id,
            self._stage,
            str(error),
            refused=refused and error.code in _BUSY,
        ) from error

    def _take_back(self) -> None:
        self._ctx.progress.run = self._run_before
        if self._stage is messages.Stage.PREFILL:
            self._ctx.progress.prefills -= 1


def _body(ctx: context.Context) -> dict[str, Any]:
    generation = ctx.generation
    fields = dict(generation.fields)
    fields.pop("max_completion_tokens", None)
    fields["model"] = ctx.service.model or ctx.service.name
    fields["priority"] = ctx.priority
    fields["max_tokens"] = generation.output_tokens
    # Engines key their prefix caches by this as well, so that rivals who send
    # the same prompt don't share blocks. A caller's own salt is overridden.
    fields[prefix.SALT_FIELD] = ctx.user.id
    return fields


def _prefill_timeout(ctx: context.Context, endpoint: model.Endpoint) -> float:
    if endpoint.prefill_tokens_per_s <= 0:
        return ctx.service.timeout_s
    tokens = ctx.generation.prompt_tokens
    expected_s = tokens / endpoint.prefill_tokens_per_s
    patience_s = _PREFILL_GRACE_S + _PREFILL_PATIENCE * expected_s
    return min(patience_s, ctx.service.timeout_s)
