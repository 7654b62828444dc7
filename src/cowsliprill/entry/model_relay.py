"""Runs one attempt at a model request: prefill, KV transfer, decode, relay."""

import dataclasses
import math
from collections.abc import Callable
from typing import Any

from cowsliprill import clock
from cowsliprill.decisions import engine_silence as silence_lib
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import protocol
from cowsliprill.entry import attempts
from cowsliprill.entry import calls as calls_lib
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import endpoint_permits
from cowsliprill.entry import engine_silence
from cowsliprill.entry import errors
from cowsliprill.entry import held_stream
from cowsliprill.entry import output_stream
from cowsliprill.entry import placement_backend
from cowsliprill.entry import request_quarantine
from cowsliprill.entry import sinks
from cowsliprill.observability import log as log_lib
from cowsliprill.rate_limiting import permit_client

ReportLeaving = Callable[[str, float], None]

# Interval at which the scheduler is sent the token count of a stream.
_PROGRESS_INTERVAL_S = 1.0
_LEAVING_NOTICE_TTL_S = 60.0
# A prefill is taken as stalled after the base timeout plus this multiple of the
# time that its engine's speed predicts. Waiting longer would keep the reserved
# decode slot idle.
_PREFILL_TIMEOUT_FACTOR = 4.0
_PREFILL_TIMEOUT_BASE_S = 2.0
_MIN_TIMEOUT_S = 0.001
# An engine that runs begins to answer within this time, plus the multiple above
# of the time for a prefill. Transfers and batches of others take some tenths of
# a second.
_FIRST_ANSWER_BASE_S = 1.0
# Part of an exported KV cache's TTL that is reserved for the next scheduling
# decision and the transfer; both together take at most this long.
_KV_FETCH_RESERVE_S = 0.06
# A new engine is listed on all VMs within this time.
_NEW_ENDPOINT_WAIT_S = 0.3
_BUSY_CODES = frozenset({protocol.CODE_FULL, protocol.CODE_DRAINING})
# Every engine would reject such a request, so it is not retried on another one.
_CLIENT_ERROR_CODES = frozenset({"bad_request", "invalid_request"})


@dataclasses.dataclass(slots=True)
class ModelRelay:
    """Runs attempts at model requests.

    Attributes:
      calls: Calls to engines.
      scheduling: Receives an event for each stage of an attempt.
      leases: Slot leases; checked right before work is sent to an engine.
      cluster_state: Cluster state: settings snapshot and VM list.
      resumer: Resumes broken streams on the same engine, None where engines
        drop a request when its connection is lost.
      report_leaving: Called with endpoint ID and TTL in seconds when an engine
        responds that it is draining.
      log: Process log.
      quarantine: Checked right before work is sent to an engine.
      silence: Decides how long a call waits for data.
      permits: Permits for engines that limit their requests.
    """

    calls: calls_lib.EngineCalls
    scheduling: placement_backend.Scheduling
    leases: placement_backend.PermissionChecker
    cluster_state: cluster_state_lib.ClusterState
    resumer: calls_lib.StreamResumer | None
    report_leaving: ReportLeaving
    log: log_lib.Log
    quarantine: request_quarantine.RequestQuarantine
    silence: engine_silence.SilenceMonitor
    permits: endpoint_permits.EndpointPermits = dataclasses.field(
        default_factory=endpoint_permits.Unlimited
    )

    async def __call__(self, ctx: context.Context) -> None:
        """Runs the attempt in `ctx.start` and relays the output to the caller.

        If the stream of an earlier attempt is held, the first to send events
        goes on. A held stream that goes on is relayed in place of the attempt.

        Raises:
          attempts.AttemptLost: The attempt failed and another one may follow:
            the caller has received nothing, or another engine may resume the
            stream.
          errors.EntryError: The request has failed for good.
        """
        held = ctx.held
        if held is not None and held.is_going_on:
            ctx.held = None
            held.stream.watch_silence()
            await self._deliver(ctx, held.endpoint, held.stream, held)
            return
        try:
            await self._wait_for_engines(ctx.start)
            await self._acquire_permits(ctx)
            await self._connect_decode_engine(ctx)
            prefilled = await self._reuse_or_prefill(ctx)
            endpoint, stream = await self._decode(ctx, prefilled)
        finally:
            if ctx.connection is not None:
                ctx.connection.close()
                ctx.connection = None
        await self._deliver(ctx, endpoint, stream)

    async def _wait_for_engines(self, start: messages.Start) -> None:
        # The pool's coordinator may know new engines before this process does.
        # Without this wait the attempt would fail, and its retries as well.
        for endpoint_id in (start.prefill_id, start.decode_id):
            await self.cluster_state.wait_until_listed(
                endpoint_id, _NEW_ENDPOINT_WAIT_S
            )

    async def _acquire_permits(self, ctx: context.Context) -> None:
        # Both are acquired before the prefill, which would be wasted without
        # the decode.
        start = ctx.start
        if start.has_prefill() and not start.reuses_prefill:
            await self._acquire_permit(
                ctx, start.prefill_id, messages.Stage.PREFILL
            )
        await self._acquire_permit(
            ctx, start.decode_id, messages.Stage.TRANSFER
        )

    async def _acquire_permit(
        self, ctx: context.Context, endpoint_id: str, stage: messages.Stage
    ) -> None:
        endpoint = self.cluster_state.snapshot.endpoints_by_id.get(endpoint_id)
        if endpoint is None or not self.permits.is_limited(endpoint):
            return
        decision = await self.permits.acquire(ctx, [endpoint], 0.0)
        match decision:
            case permit_client.Refusal():
                raise attempts.AttemptError(
                    endpoint_id,
                    stage,
                    "its rate limit is reached",
                    refused=True,
                    unsent=True,
                )

    async def _connect_decode_engine(self, ctx: context.Context) -> None:
        # An engine that has crashed, or whose host is unreachable, stays listed
        # for some seconds. Connecting only after the prefill would waste the
        # prefill of each request placed there.
        endpoint = self._decode_endpoint(ctx)
        try:
            await self.calls.prepare(ctx, endpoint)
        except (
            engine_errors.ConnectFailed,
            engine_errors.EndpointUnavailable,
        ) as error:
            raise attempts.AttemptError(
                endpoint.id,
                messages.Stage.TRANSFER,
                str(error),
                unsent=True,
                unreachable=isinstance(error, engine_errors.ConnectFailed),
                kept_s=self._export_left_s(ctx)
                if ctx.exported_prefill
                else 0.0,
            ) from error

    async def _reuse_or_prefill(
        self, ctx: context.Context
    ) -> calls_lib.FinishedPrefill | None:
        exported, ctx.exported_prefill = ctx.exported_prefill, None
        if exported is not None and ctx.start.reuses_prefill:
            return exported
        if exported is not None:
            self.calls.discard(exported)
        if not ctx.start.has_prefill():
            return None
        prefilled = await self._prefill(ctx)
        ctx.progress.prefilled_at = clock.now()
        self.scheduling.post(messages.PrefillFinished(ctx.number))
        return prefilled

    async def _prefill(self, ctx: context.Context) -> calls_lib.FinishedPrefill:
        stage = messages.Stage.PREFILL
        endpoint = self._available_endpoint(ctx.start.prefill_id, stage)
        self._check_lease(ctx.start, ctx.start.decode_id, stage)
        self._check_lease(ctx.start, endpoint.id, stage)
        self.quarantine.check(ctx)
        ctx.progress.prefills += 1
        timeout_s = _prefill_timeout_s(ctx, endpoint)
        first_answer_s = _first_answer_s(ctx, endpoint)
        ctx.silence = self._watch(ctx, endpoint, first_answer_s)
        with self._guard_call(ctx, endpoint, stage) as call:
            call.result = await self.calls.prefill(ctx, endpoint, timeout_s)
        return call.result

    async def _decode(
        self, ctx: context.Context, prefilled: calls_lib.FinishedPrefill | None
    ) -> tuple[model.Endpoint, output_stream.OutputStream]:
        stage = messages.Stage.TRANSFER
        try:
            endpoint = self._decode_endpoint(ctx)
            self._check_lease(ctx.start, endpoint.id, stage)
            self.quarantine.check(ctx)
            first_answer_s = (
                _FIRST_ANSWER_BASE_S
                if prefilled is not None
                else _first_answer_s(ctx, endpoint)
            )
            ctx.silence = self._watch(ctx, endpoint, first_answer_s)
            ctx.engine_wait = attempts.EngineWait(
                endpoint.id,
                stage,
                max(first_answer_s, silence_lib.STANDSTILL_MAX_S),
                clock.now(),
            )
            with self._guard_call(ctx, endpoint, stage) as call:
                call.result = await self.calls.decode(
                    ctx, endpoint, prefilled, _remaining_time_s(ctx)
                )
        except attempts.AttemptError as lost:
            if prefilled is not None:
                lost.kept_s = self._export_left_s(ctx)
            if lost.kept_s:
                ctx.exported_prefill = prefilled
            else:
                self._discard_prefill(prefilled)
            raise
        except BaseException:
            # After any other failure, or when the caller disconnects, the
            # exported KV cache would hold engine memory until its TTL expires.
            self._discard_prefill(prefilled)
            raise
        return endpoint, call.result

    def _watch(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        first_answer_s: float,
    ) -> engine_silence.CallWatch | None:
        if not ctx.service.resume:
            return None
        return self.silence.watch(endpoint, first_answer_s)

    def _discard_prefill(
        self, prefilled: calls_lib.FinishedPrefill | None
    ) -> None:
        if prefilled is not None:
            self.calls.discard(prefilled)

    def _export_left_s(self, ctx: context.Context) -> float:
        """Returns the seconds for which an exported prefill can be fetched.

        A decode engine that was unreachable or full has not fetched the KV
        cache. Another engine may fetch it, which saves a second prefill.
        Returns 0 if the request may have been executed or the prefill engine
        is no longer listed.
        """
        if ctx.progress.run is not messages.Executed.NO:
            return 0.0
        prefill = ctx.snapshot.endpoints_by_id.get(ctx.start.prefill_id)
        if prefill is None:
            return 0.0
        age_s = clock.now() - ctx.progress.prefilled_at
        remaining_s = prefill.export_ttl_s - age_s - _KV_FETCH_RESERVE_S
        return max(remaining_s, 0.0)

    async def _deliver(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stream: output_stream.OutputStream,
        held: held_stream.HeldStream | None = None,
    ) -> None:
        try:
            await self._relay_stream(ctx, endpoint, stream, held)
        except engine_errors.EngineSilent as silent:
            # Only a stream that has begun is worth to be held.
            is_held = stream.tokens > 0
            if is_held:
                ctx.held = held_stream.HeldStream(endpoint, stream, ctx.start)
            raise attempts.AttemptError(
                endpoint.id,
                messages.Stage.DECODE,
                str(silent),
                resumable=True,
                sent=True,
                had_output=is_held,
                held=is_held,
                # A single call may hang at an engine that serves others.
                silent=is_held and self.silence.stands_still(endpoint.id),
            ) from silent
        finally:
            if ctx.held is None or ctx.held.stream is not stream:
                stream.close()

    async def _relay_stream(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stream: output_stream.OutputStream,
        held: held_stream.HeldStream | None,
    ) -> None:
        sink = self.calls.sink(ctx, stream)
        before_first_token = held is None
        if held is not None and held.events:
            await self._write_events(ctx, stream, sink, held.events)
        while True:
            try:
                await self._relay_events(
                    ctx,
                    endpoint,
                    stream,
                    sink,
                    before_first_token=before_first_token,
                )
                return
            except engine_errors.StreamBroken as broken:
                before_first_token = before_first_token and not stream.tokens
                if broken.unread:
                    raise self._unread(ctx, endpoint, broken) from broken
                if self.resumer is not None and await self.resumer.resume(
                    ctx, endpoint, stream, broken
                ):
                    continue
                if self._can_resume_elsewhere(ctx, broken):
                    raise attempts.AttemptError(
                        endpoint.id,
                        messages.Stage.DECODE,
                        str(broken),
                        resumable=True,
                        sent=True,
                        connection_lost=broken.connection_lost,
                        had_output=stream.tokens > 0,
                    ) from broken
                if ctx.progress.first_token_at:
                    # The scheduler starts no new attempt after a first token.
                    self._report_broken(ctx, endpoint, broken)
                    self.log.warning(
                        "stream_broken",
                        request=ctx.request_id,
                        caller=ctx.caller_id,
                        fingerprint=ctx.fingerprint,
                        endpoint=endpoint.id,
                        tokens=stream.tokens,
                        reason=str(broken),
                    )
                    raise errors.EntryError(
                        errors.Code.STREAM_BROKEN,
                        "The stream broke and couldn't be resumed.",
                        run=messages.Executed.UNKNOWN,
                    ) from broken
                raise attempts.AttemptError(
                    endpoint.id,
                    messages.Stage.DECODE,
                    str(broken),
                    sent=True,
                    connection_lost=broken.connection_lost,
                    timed_out=_is_stalled(broken),
                ) from broken

    def _unread(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        broken: engine_errors.StreamBroken,
    ) -> errors.EntryError:
        """Logs a stream whose caller was too slow; no engine has failed."""
        self.log.event(
            "stream_unread",
            request=ctx.request_id,
            caller=ctx.caller_id,
            endpoint=endpoint.id,
            tokens=broken.last_token,
            reason=str(broken),
        )
        return errors.EntryError(
            errors.Code.STREAM_BROKEN,
            "The stream wasn't read in time.",
            run=messages.Executed.UNKNOWN,
        )

    def _report_broken(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        broken: engine_errors.StreamBroken,
    ) -> None:
        """Reports an engine that has broken its stream for good.

        A lost connection doesn't tell whether the engine or the path failed.
        """
        if broken.malformed:
            failure = messages.AttemptFailed(
                request_id=ctx.number,
                endpoint_id=endpoint.id,
                stage=messages.Stage.DECODE,
            )
        elif _is_stalled(broken) and ctx.engine_wait is not None:
            failure = ctx.engine_wait.failure(ctx.number, clock.now())
        else:
            return
        if failure is not None:
            self.scheduling.post(failure)

    async def _relay_events(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stream: output_stream.OutputStream,
        sink: sinks.Sink,
        *,
        before_first_token: bool,
    ) -> None:
        progress = ctx.progress
        reported_at = clock.now()
        if ctx.engine_wait is not None:
            ctx.engine_wait.stage = messages.Stage.DECODE
        async for events in stream:
            now = clock.now()
            if before_first_token:
                before_first_token = False
                if ctx.held is not None:
                    ctx.held.close()
                    ctx.held = None
                progress.first_token_at = progress.first_token_at or now
                progress.software_version = endpoint.software_version
                progress.prefills_used += 1
                self.scheduling.post(messages.FirstToken(ctx.number))
                self.quarantine.report_survived(ctx)
            elif now - reported_at > _PROGRESS_INTERVAL_S:
                reported_at = now
                self.scheduling.post(
                    messages.Progress(ctx.number, stream.tokens)
                )
            await self._write_events(ctx, stream, sink, events)
        await sink.end()

    async def _write_events(
        self,
        ctx: context.Context,
        stream: output_stream.OutputStream,
        sink: sinks.Sink,
        events: bytes,
    ) -> None:
        had_output = stream.tokens > ctx.progress.tokens
        ctx.progress.last_token_at = clock.now()
        ctx.progress.tokens = stream.tokens
        wait = ctx.engine_wait
        if wait is None or not had_output:
            await sink.write_events(events)
            return
        wait.begun_at = math.inf
        await sink.write_events(events)
        wait.max_s = silence_lib.STANDSTILL_MAX_S
        wait.begun_at = clock.now()

    def _can_resume_elsewhere(
        self, ctx: context.Context, broken: engine_errors.StreamBroken
    ) -> bool:
        return (
            self.calls.can_resume_elsewhere
            and ctx.service.resume
            and broken.resumable
        )

    def _available_endpoint(
        self, endpoint_id: str, stage: messages.Stage
    ) -> model.Endpoint:
        # The coordinator that placed the request may have older state than this
        # process, after a pause or delayed updates. A leaving engine would end
        # in the middle of the output.
        endpoint = self.cluster_state.snapshot.endpoints_by_id.get(endpoint_id)
        leaving = self.cluster_state.fleet_at(clock.now()).leaving_endpoint_ids
        if endpoint is None or endpoint_id in leaving:
            reason = (
                "the endpoint is leaving"
                if endpoint
                else "the endpoint is not in the settings"
            )
            raise attempts.AttemptError(endpoint_id, stage, reason, unsent=True)
        return endpoint

    def _decode_endpoint(self, ctx: context.Context) -> model.Endpoint:
        stage = messages.Stage.TRANSFER
        endpoint = self._available_endpoint(ctx.start.decode_id, stage)
        # The coordinator may run an older release that doesn't know of software
        # versions, or have another version of the engine's entry.
        if ctx.progress.software_version not in (
            None,
            endpoint.software_version,
        ):
            raise attempts.AttemptError(
                endpoint.id,
                stage,
                f"its software version is {endpoint.software_version!r}, the "
                f"stream's is {ctx.progress.software_version!r}",
                unsent=True,
            )
        return endpoint

    def _check_lease(
        self, start: messages.Start, endpoint_id: str, stage: messages.Stage
    ) -> None:
        now = clock.now()
        if not self.leases.allow(endpoint_id, start.decided_at, now):
            raise attempts.AttemptError(
                endpoint_id,
                stage,
                "its lease has run out",
                refused=True,
                unsent=stage is messages.Stage.PREFILL,
            )

    def _guard_call(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stage: messages.Stage,
    ) -> "_EngineCallGuard":
        counts_as_execution = (
            stage is not messages.Stage.PREFILL
            or self.calls.prefill_counts_as_execution
        )
        return _EngineCallGuard(
            ctx, endpoint, stage, self.report_leaving, counts_as_execution
        )


class _EngineCallGuard:
    """Context manager that maps errors of an engine call to attempt errors.

    Also tracks in the request's progress whether the request may have been
    executed.

    Attributes:
      result: Return value of the call, set by the `with` block.
    """

    def __init__(
        self,
        ctx: context.Context,
        endpoint: model.Endpoint,
        stage: messages.Stage,
        report_leaving: ReportLeaving,
        counts_as_execution: bool,
    ) -> None:
        self._counts_as_execution = counts_as_execution
        self._ctx = ctx
        self._endpoint = endpoint
        self._stage = stage
        self._report_leaving = report_leaving
        self._executed_before = ctx.progress.run
        self.result: Any = None

    def __enter__(self) -> "_EngineCallGuard":
        # Set before the call: if the caller disconnects during the call, the
        # task is cancelled and can't record how far the call got.
        self._ctx.progress.sent_at = clock.now()
        if self._counts_as_execution:
            self._ctx.progress.run = messages.Executed.UNKNOWN
        return self

    def __exit__(self, kind, error, traceback) -> None:
        del kind, traceback
        if not isinstance(error, engine_errors.CallError):
            return
        if error.run is messages.Executed.NO:
            self._revert_progress()
        refused = isinstance(error, engine_errors.EngineRefused)
        if refused and error.code == protocol.CODE_DRAINING:
            self._report_leaving(self._endpoint.id, _LEAVING_NOTICE_TTL_S)
        if refused and error.code in _CLIENT_ERROR_CODES:
            raise errors.EntryError(
                errors.Code.ENDPOINT_REFUSED,
                f"The engine refused it: {error.message}",
                run=self._ctx.progress.run,
            ) from error
        raise attempts.AttemptError(
            self._endpoint.id,
            self._stage,
            str(error),
            refused=refused and error.code in _BUSY_CODES,
            unsent=isinstance(error, engine_errors.EndpointUnavailable),
            unreachable=isinstance(error, engine_errors.ConnectFailed),
            answered=isinstance(
                error,
                engine_errors.EngineFailed | engine_errors.MalformedResponse,
            ),
            timed_out=isinstance(error, engine_errors.CallTimeout),
            sent=_was_sent(error),
            connection_lost=isinstance(error, engine_errors.ConnectionLost),
        ) from error

    def _revert_progress(self) -> None:
        self._ctx.progress.run = self._executed_before
        if self._stage is messages.Stage.PREFILL:
            self._ctx.progress.prefills -= 1


def _is_stalled(broken: engine_errors.StreamBroken) -> bool:
    return broken.reason is stream_lib.StreamFault.STALLED


def _was_sent(error: engine_errors.CallError) -> bool:
    answered = isinstance(error, engine_errors.EngineFailed)
    return error.run is messages.Executed.UNKNOWN and not answered


def _prefill_timeout_s(ctx: context.Context, endpoint: model.Endpoint) -> float:
    if endpoint.prefill_tokens_per_s <= 0:
        return _remaining_time_s(ctx)
    tokens = ctx.generation.prompt_tokens
    expected_s = tokens / endpoint.prefill_tokens_per_s
    timeout_s = _PREFILL_TIMEOUT_BASE_S + _PREFILL_TIMEOUT_FACTOR * expected_s
    return min(timeout_s, _remaining_time_s(ctx))


def _first_answer_s(ctx: context.Context, endpoint: model.Endpoint) -> float:
    """Returns how long a prompt may wait for and take its prefill."""
    if endpoint.prefill_tokens_per_s <= 0:
        return _FIRST_ANSWER_BASE_S
    expected_s = ctx.generation.prompt_tokens / endpoint.prefill_tokens_per_s
    return _FIRST_ANSWER_BASE_S + _PREFILL_TIMEOUT_FACTOR * expected_s


def _remaining_time_s(ctx: context.Context) -> float:
    # A timeout of 0 would mean a timer that never fires.
    return max(ctx.response_due_at - clock.now(), _MIN_TIMEOUT_S)
