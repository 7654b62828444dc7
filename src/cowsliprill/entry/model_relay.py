"""One attempt at a model request: prefill, transfer, decode, relay."""

import dataclasses
from collections.abc import Callable
from typing import Any

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import protocol
from cowsliprill.entry import attempts
from cowsliprill.entry import calls as calls_lib
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import placing
from cowsliprill.entry import sinks
from cowsliprill.entry import world as world_lib
from cowsliprill.observability import log as log_lib

ReportLeaving = Callable[[str, float], None]

# How often the scheduler hears of a stream's pace.
_REPORT_S = 1.0
_LEAVING_TTL_S = 60.0
# A prefill that takes this much longer than its engine's speed tells has
# stalled; waiting on would keep the promised decode slot idle.
_PREFILL_PATIENCE = 4.0
_PREFILL_GRACE_S = 2.0
_LEAST_TIME_S = 0.001
# A stream that may go on elsewhere and is silent for so long has most likely
# lost its engine. Engines that are full or slow pause for some tenths.
_STALL_S = 1.0
# What a decision and a fetch take at most, of the time for which a finished
# prefill is kept.
_FETCH_S = 0.06
# News of a new engine reach all VMs within this time.
_NEWS_S = 0.3
_BUSY = frozenset({protocol.CODE_FULL, protocol.CODE_DRAINING})
# No engine would take this request, so trying another wastes its time.
_CODES_OF_CALLERS_FAULTS = frozenset({"bad_request", "invalid_request"})


@dataclasses.dataclass(slots=True)
class ModelRelay:
    """Runs attempts at model requests.

    Attributes:
      calls: Calls to engines.
      scheduling: The scheduler's task; told of each stage.
      leases: Asked right before work is placed on an engine.
      world: The settings in force.
      resumer: Goes on with broken streams at the same engine, if that can be.
      report_leaving: Told of an engine's draining answer.
      log: The process's log.
    """

    calls: calls_lib.EngineCalls
    scheduling: placing.Scheduling
    leases: placing.Permissions
    world: world_lib.World
    resumer: calls_lib.Resumer | None
    report_leaving: ReportLeaving
    log: log_lib.Log

    async def __call__(self, ctx: context.Context) -> None:
        """Runs the attempt of `ctx.start` and answers the caller.

        Raises:
          attempts.AttemptLost: Nothing reached the caller.
          errors.EntryError: The request has ended without a whole answer.
        """
        ctx.stall_s = _STALL_S if ctx.service.resume else None
        try:
            await self._learn_of_engines(ctx.start)
            await self._prepare(ctx)
            prefilled = await self._prefilled(ctx)
            endpoint, stream = await self._decode(ctx, prefilled)
        finally:
            if ctx.connection is not None:
                ctx.connection.close()
                ctx.connection = None
        try:
            await self._deliver(ctx, endpoint, stream)
        finally:
            stream.close()

    async def _learn_of_engines(self, start: messages.Start) -> None:
        # Its home may have placed a request on engines that have just come.
        # Given up here, the attempt would be lost, and the next ones as well.
        for endpoint_id in (start.prefill_id, start.decode_id):
            await self.world.learn_of(endpoint_id, _NEWS_S)

    async def _prepare(self, ctx: context.Context) -> None:
        # An engine that has crashed, or whose machine is dark, is still listed
        # for some seconds. Found out only after the prefill, each request
        # placed there would have its prompt read for nothing.
        endpoint = self._endpoint(ctx.start.decode_id, messages.Stage.TRANSFER)
        try:
            await self.calls.prepare(ctx, endpoint)
        except engine_errors.ConnectFailed as error:
            spent = isinstance(error, engine_errors.ConnectionsSpent)
            raise attempts.AttemptLost(
                endpoint.id,
                messages.Stage.TRANSFER,
                str(error),
                refused=spent,
                unsent=True,
                unreachable=not spent,
                kept_s=self._kept_s(ctx) if ctx.kept else 0.0,
            ) from error

    async def _prefilled(
        self, ctx: context.Context
    ) -> calls_lib.Prefilled | None:
        kept, ctx.kept = ctx.kept, None
        if kept is not None and ctx.start.reuses_prefill:
            return kept
        if kept is not None:
            self.calls.discard(kept)
        if not ctx.start.has_prefill():
            return None
        prefilled = await self._prefill(ctx)
        ctx.progress.prefilled_at = clock.now()
        self.scheduling.post(messages.PrefillFinished(ctx.number))
        return prefilled

    async def _prefill(self, ctx: context.Context) -> calls_lib.Prefilled:
        stage = messages.Stage.PREFILL
        endpoint = self._endpoint(ctx.start.prefill_id, stage)
        self._check_lease(ctx.start, ctx.start.decode_id, stage)
        self._check_lease(ctx.start, endpoint.id, stage)
        ctx.progress.prefills += 1
        with self._call(ctx, endpoint, stage) as call:
            call.result = await self.calls.prefill(
                ctx, endpoint, _prefill_timeout(ctx, endpoint)
            )
        return call.result

    async def _decode(
        self, ctx: context.Context, prefilled: calls_lib.Prefilled | None
    ) -> tuple[model.Endpoint, calls_lib.AnswerStream]:
        stage = messages.Stage.TRANSFER
        try:
            endpoint = self._endpoint(ctx.start.decode_id, stage)
            self._check_lease(ctx.start, endpoint.id, stage)
            with self._call(ctx, endpoint, stage) as call:
                call.result = await self.calls.decode(
                    ctx, endpoint, prefilled, _time_left(ctx)
                )
        except attempts.AttemptLost as lost:
            if prefilled is not None:
                lost.kept_s = self._kept_s(ctx)
            if lost.kept_s:
                ctx.kept = prefilled
            else:
                self._discard(prefilled)
            raise
        except BaseException:
            # Whoever is given up here, a caller that left among them, leaves
            # a prefill that holds its engine's memory until it expires.
            self._discard(prefilled)
            raise
        return endpoint, call.result

    def _discard(self, prefilled: calls_lib.Prefilled | None) -> None:
        if prefilled is not None:
            self.calls.discard(prefilled)

    def _kept_s(self, ctx: context.Context) -> float:
        """Returns how long the prefill of a lost attempt may yet be used.

        A decode engine that couldn't be reached, or had no room, has left the
        prefill where it was. Another engine may fetch it, which saves reading
        the prompt again.
        """
        if ctx.progress.run is not messages.Executed.NO:
            return 0.0
        prefill = ctx.snapshot.endpoints_by_id.get(ctx.start.prefill_id)
        if prefill is None:
            return 0.0
        spent_s = clock.now() - ctx.progress.prefilled_at
        left_s = prefill.export_ttl_s - spent_s - _FETCH_S
        return max(left_s, 0.0)

    async def _deliver(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stream: calls_lib.AnswerStream,
    ) -> None:
        sink = self.calls.sink(ctx, stream)
        first = True
        while True:
            try:
                await self._relay(ctx, stream, sink, first=first)
                return
            except engine_errors.StreamBroken as broken:
                first = first and not stream.tokens
                if self.resumer is not None and await self.resumer.resume(
                    ctx, endpoint, stream, broken
                ):
                    continue
                if self._resumes_elsewhere(ctx, broken):
                    raise attempts.AttemptLost(
                        endpoint.id,
                        messages.Stage.DECODE,
                        str(broken),
                        resumable=True,
                    ) from broken
                if ctx.progress.first_token_at:
                    # The scheduler starts nothing anew once a token was there.
                    self.log.warning(
                        "stream_broken",
                        request=ctx.request_id,
                        caller=ctx.caller_id,
                        endpoint=endpoint.id,
                        tokens=stream.tokens,
                        reason=str(broken),
                    )
                    raise errors.EntryError(
                        errors.Code.STREAM_BROKEN,
                        "The stream broke and couldn't be resumed.",
                        run=messages.Executed.UNKNOWN,
                    ) from broken
                raise attempts.AttemptLost(
                    endpoint.id, messages.Stage.DECODE, str(broken)
                ) from broken

    async def _relay(
        self,
        ctx: context.Context,
        stream: calls_lib.AnswerStream,
        sink: sinks.Sink,
        *,
        first: bool,
    ) -> None:
        progress = ctx.progress
        reported_at = clock.now()
        async for events in stream:
            now = clock.now()
            progress.last_token_at = now
            progress.tokens = stream.tokens
            if first:
                first = False
                progress.first_token_at = progress.first_token_at or now
                progress.prefills_used += 1
                self.scheduling.post(messages.FirstToken(ctx.number))
            elif now - reported_at > _REPORT_S:
                reported_at = now
                self.scheduling.post(
                    messages.Progress(ctx.number, progress.tokens)
                )
            await sink.take(events)
        await sink.end()

    def _resumes_elsewhere(
        self, ctx: context.Context, broken: engine_errors.StreamBroken
    ) -> bool:
        return (
            self.calls.resumes_elsewhere
            and ctx.service.resume
            and broken.resumable
        )

    def _endpoint(
        self, endpoint_id: str, stage: messages.Stage
    ) -> model.Endpoint:
        # Whoever placed the request may know less than this process: it stood
        # still, or hears late. The engine would end amid the answer.
        endpoint = self.world.snapshot.endpoints_by_id.get(endpoint_id)
        leaving = self.world.fleet_at(clock.now()).leaving_endpoint_ids
        if endpoint is None or endpoint_id in leaving:
            gone = "it leaves" if endpoint else "the settings don't name it"
            raise attempts.AttemptLost(endpoint_id, stage, gone, unsent=True)
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
        runs = stage is not messages.Stage.PREFILL or self.calls.prefill_runs
        return _EngineCall(ctx, endpoint, stage, self.report_leaving, runs)


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
        runs: bool,
    ) -> None:
        self._runs = runs
        self._ctx = ctx
        self._endpoint = endpoint
        self._stage = stage
        self._report_leaving = report_leaving
        self._run_before = ctx.progress.run
        self.result: Any = None

    def __enter__(self) -> "_EngineCall":
        # Said before the call: when the caller leaves amid it, nobody comes
        # back here to find out how far it got.
        if self._runs:
            self._ctx.progress.run = messages.Executed.UNKNOWN
        return self

    def __exit__(self, kind, error, traceback) -> None:
        del kind, traceback
        if not isinstance(error, engine_errors.CallError):
            return
        if error.run is messages.Executed.NO:
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
            unreachable=isinstance(error, engine_errors.ConnectFailed),
            answered=isinstance(error, engine_errors.EngineFailed),
        ) from error

    def _take_back(self) -> None:
        self._ctx.progress.run = self._run_before
        if self._stage is messages.Stage.PREFILL:
            self._ctx.progress.prefills -= 1


def _prefill_timeout(ctx: context.Context, endpoint: model.Endpoint) -> float:
    if endpoint.prefill_tokens_per_s <= 0:
        return _time_left(ctx)
    tokens = ctx.generation.prompt_tokens
    expected_s = tokens / endpoint.prefill_tokens_per_s
    patience_s = _PREFILL_GRACE_S + _PREFILL_PATIENCE * expected_s
    return min(patience_s, _time_left(ctx))


def _time_left(ctx: context.Context) -> float:
    # A call with no time at all would be a timer that never fires.
    return max(ctx.ends_at - clock.now(), _LEAST_TIME_S)
