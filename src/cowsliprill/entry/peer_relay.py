"""Has other VMs serve requests for pools that this VM can't reach."""

import http
import random

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import relay_choice
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import exchange
from cowsliprill.engines import http_client
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import peer_paths
from cowsliprill.entry import peer_response
from cowsliprill.entry import relay_envelope
from cowsliprill.entry import relayed_call
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_CONNECT_TIMEOUT_S = 0.15

# The helping VM keeps the request's time limit itself. Its answer to that is
# waited for, as it knows whether the request was executed.
_TIMEOUT_MARGIN_S = 0.1

# A VM that refuses with one of these may be out of service for the request
# where others are not.
_DECLINED_CODES = frozenset(
    {
        errors.Code.PATH_LOST,
        errors.Code.LEAVING,
        errors.Code.NOT_READY,
        errors.Code.SETTINGS_UNCONFIRMED,
    }
)


class _Declined(Exception):  # noqa: N818
    """Raised when a VM has not executed a request and others may."""


class PeerRelay:
    """Sends requests to other VMs and relays their responses.

    Args:
      vm_id: Id of this VM.
      availability_zone: Availability zone of this VM.
      http: HTTP client.
      auth: Signs requests.
      cluster_state: Cluster state; its VM list gives the addresses.
      log: Log of the process.
      metrics: Metrics of the process.
      rng: Chooses among equally suitable VMs.
      paths: Tells which peers can't reach a pool.
    """

    def __init__(
        self,
        vm_id: str,
        availability_zone: str,
        http: http_client.HttpClient,
        auth: peer_auth.PeerAuth,
        cluster_state: cluster_state_lib.ClusterState,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
        paths: peer_paths.PeerPaths,
    ) -> None:
        self._vm_id = vm_id
        self._paths = paths
        self._http = http
        self._auth = auth
        self._cluster_state = cluster_state
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._choice = relay_choice.RelayChoice(vm_id, availability_zone, rng)

    async def relay(self, ctx: context.Context) -> bool:
        """Has another VM serve a request.

        Args:
          ctx: The request; of its response nothing has been sent, or events of
            a stream that may be resumed.

        Returns:
          Whether a VM has served it; else no VM has executed it.

        Raises:
          errors.EntryError: A VM has refused the request for a reason that
            holds at all VMs, or it is unknown whether it was executed.
        """
        tried_ids: set[str] = set()
        while (vm := self._choose(ctx, tried_ids)) is not None:
            tried_ids.add(vm.id)
            try:
                await self._relay_to(ctx, vm)
                return True
            except _Declined as declined:
                self._record_declined(ctx, vm, str(declined))
        self._record_exhausted(ctx, asked=len(tried_ids))
        return False

    def _choose(
        self, ctx: context.Context, tried_ids: set[str]
    ) -> model.Vm | None:
        return self._choice.choose(
            self._cluster_state.fleet.vms_by_id.values(),
            ctx.service.pool,
            tried_ids,
            self._paths.without_path(ctx.service.pool),
            clock.now(),
        )

    def _record_declined(
        self, ctx: context.Context, vm: model.Vm, reason: str
    ) -> None:
        self._choice.record_declined(vm.id, ctx.service.pool, clock.now())
        self._metrics.relayed_requests.inc(
            {"service": ctx.service.id, "outcome": "declined"}
        )
        self._log.event(
            "relay_declined",
            request=ctx.request_id,
            caller=ctx.caller_id,
            pool=ctx.service.pool,
            vm=vm.id,
            zone=vm.availability_zone,
            reason=reason,
        )

    def _record_exhausted(self, ctx: context.Context, asked: int) -> None:
        pool = ctx.service.pool
        self._metrics.relayed_requests.inc(
            {"service": ctx.service.id, "outcome": "exhausted"}
        )
        self._log.event(
            "relay_exhausted",
            request=ctx.request_id,
            caller=ctx.caller_id,
            pool=pool,
            asked=asked,
            declined=self._choice.declined(pool, clock.now()),
            without_path=len(self._paths.without_path(pool)),
        )

    def _record_failed(
        self, ctx: context.Context, vm: model.Vm, error: engine_errors.CallError
    ) -> None:
        self._metrics.relayed_requests.inc(
            {"service": ctx.service.id, "outcome": "failed"}
        )
        self._log.warning(
            "relay_failed",
            request=ctx.request_id,
            caller=ctx.caller_id,
            vm=vm.id,
            reason=error.message,
        )

    async def _relay_to(self, ctx: context.Context, vm: model.Vm) -> None:
        envelope = relayed_call.envelope_of(ctx, self._vm_id)
        executed_before = ctx.progress.run
        ctx.relayed_to = vm.id
        self._choice.begin(vm.id)
        try:
            # Set before the call: if the caller disconnects, the task is
            # cancelled and can't record how far the call got.
            ctx.progress.run = messages.Executed.UNKNOWN
            response = await self._send(ctx, vm, envelope)
            try:
                await self._relay_response(ctx, response)
            finally:
                response.close()
        except _Declined:
            ctx.progress.run = executed_before
            ctx.relayed_to = ""
            raise
        except engine_errors.CallError as error:
            self._record_failed(ctx, vm, error)
            raise _failure(ctx, error) from error
        finally:
            self._choice.end(vm.id)
        self._metrics.relayed_requests.inc(
            {"service": ctx.service.id, "outcome": "answered"}
        )

    async def _send(
        self,
        ctx: context.Context,
        vm: model.Vm,
        envelope: relay_envelope.Envelope,
    ) -> exchange.Response:
        idempotent = ctx.service.idempotency is model.Idempotency.IDEMPOTENT
        try:
            response = await self._http.call(
                vm.host,
                self._rng.choice(vm.entry_ports),
                "POST",
                _path(envelope),
                relayed_call.encode(envelope, ctx.call, self._auth),
                ctx.call.body,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                timeout_s=max(envelope.response_due_s, 0.0) + _TIMEOUT_MARGIN_S,
                # The VM may close an idle connection just as a request is sent
                # on it.
                new_connection=not idempotent,
            )
        except engine_errors.ConnectFailed as error:
            raise _Declined(error.message) from error
        try:
            self._check(ctx, response, envelope.run)
        except BaseException:
            response.close()
            raise
        return response

    def _check(
        self,
        ctx: context.Context,
        response: exchange.Response,
        executed_before: messages.Executed,
    ) -> None:
        """Raises if a response is not an endpoint's response."""
        if relayed_call.VERSION_HEADER not in response.headers:
            if response.status == http.HTTPStatus.NOT_FOUND:
                raise _Declined("it runs a version without relays")
            raise engine_errors.CallError(f"status {response.status}")
        try:
            error = relayed_call.error_of(response.headers)
        except codec.CodecError as malformed:
            raise engine_errors.CallError(malformed.message) from malformed
        if error is None:
            return
        not_executed_there = error.run is messages.Executed.NO
        if error.code in _DECLINED_CODES and (
            not_executed_there or executed_before is messages.Executed.UNKNOWN
        ):
            raise _Declined(error.code)
        self._metrics.relayed_requests.inc(
            {"service": ctx.service.id, "outcome": "refused"}
        )
        if not_executed_there:
            ctx.progress.run = executed_before
        raise error.to_entry_error(ctx.progress.run)

    async def _relay_response(
        self, ctx: context.Context, response: exchange.Response
    ) -> None:
        if (
            ctx.response_writer.started
            and response.status != http.HTTPStatus.OK
        ):
            raise engine_errors.CallError(f"status {response.status}")
        ctx.progress.first_token_at = ctx.progress.first_token_at or clock.now()
        await peer_response.relay(ctx.response_writer, response)
        ctx.progress.last_token_at = clock.now()


def _path(envelope: relay_envelope.Envelope) -> str:
    if envelope.last_event_id:
        return peers.RELAY_STREAM_PATH
    return peers.RELAY_PATH


def _failure(
    ctx: context.Context, error: engine_errors.CallError
) -> errors.EntryError:
    code = errors.Code.ENDPOINT_FAILED
    if ctx.response_writer.started:
        code = errors.Code.STREAM_BROKEN
    elif isinstance(error, engine_errors.CallTimeout):
        code = errors.Code.TIMEOUT
    return errors.EntryError(
        code,
        f"The VM that served it gave no whole answer: {error.message}.",
        run=messages.Executed.UNKNOWN,
    )
